//! What an answer has to be.

use std::collections::BTreeSet;
use std::sync::{PoisonError, RwLock};

use wagtailreel_core::Digest;
use wagtailreel_standins::TokenSource;

/// What a check of an answer's tokens says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The tokens are those of one bundle for this prompt, from the first on.
    Own,
    /// They are not.
    Foreign,
    /// No bundle is known yet against which an unfinished answer can be held.
    Unchecked,
}

/// The tokens of an answer, one after the other, each with a separator behind it.
#[derive(Debug, Default)]
pub(crate) struct Joined {
    text: Vec<u8>,
}

/// Ends each token; the stand-in's tokens contain none.
const SEPARATOR: u8 = 0;

impl Joined {
    /// Adds a token.
    pub(crate) fn push(&mut self, token: &str) {
        self.text.extend_from_slice(token.as_bytes());
        self.text.push(SEPARATOR);
    }

    /// Says whether these are the first tokens that `bundle` gives to `prompt`.
    fn is_from(&self, bundle: Digest, prompt: &str) -> bool {
        let source = TokenSource::new(bundle, prompt);
        let mut tokens = self.text.split_inclusive(|it| *it == SEPARATOR).zip(0..);
        tokens.all(|(token, index)| {
            let token = token.strip_suffix(&[SEPARATOR]).unwrap_or(token);
            source.text(index).as_bytes() == token
        })
    }
}

/// Holds answers against the engines' token function, and remembers the bundles that whole
/// answers named.
#[derive(Debug, Default)]
pub(crate) struct Expected {
    bundles: RwLock<BTreeSet<Digest>>,
}

impl Expected {
    /// Checks the tokens of a finished answer against the bundle that it names.
    pub(crate) fn check_whole(&self, bundle: Digest, prompt: &str, tokens: &Joined) -> Verdict {
        if !tokens.is_from(bundle, prompt) {
            return Verdict::Foreign;
        }
        self.remember(bundle);
        Verdict::Own
    }

    /// Checks the tokens of an unfinished answer against every bundle seen so far.
    pub(crate) fn check_part(&self, prompt: &str, tokens: &Joined) -> Verdict {
        if tokens.text.is_empty() {
            return Verdict::Own;
        }
        let bundles = self.bundles.read().unwrap_or_else(PoisonError::into_inner);
        if bundles.is_empty() {
            return Verdict::Unchecked;
        }
        match bundles.iter().any(|bundle| tokens.is_from(*bundle, prompt)) {
            true => Verdict::Own,
            false => Verdict::Foreign,
        }
    }

    /// Remembers a bundle; there are few, so that the lock is nearly always taken for reading.
    fn remember(&self, bundle: Digest) {
        let known = {
            let bundles = self.bundles.read().unwrap_or_else(PoisonError::into_inner);
            bundles.contains(&bundle)
        };
        if !known {
            let mut bundles = self.bundles.write().unwrap_or_else(PoisonError::into_inner);
            bundles.insert(bundle);
        }
    }
}
