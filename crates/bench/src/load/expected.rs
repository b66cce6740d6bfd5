//! What an answer has to be.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use wagtailreel_core::Digest;

/// The stand-in engine's token: a function of the bundle, the prompt and the index.
pub type TokenText = fn(Digest, &str, u32) -> String;

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

/// All tokens that one bundle gives to one prompt, one after the other.
#[derive(Debug)]
struct Tokens {
    text: Vec<u8>,
    ends: Vec<usize>,
}

/// Expected tokens of a pool of prompts, computed once per bundle and prompt.
///
/// An answer is then checked by comparing bytes, which a load of hundreds of thousands of tokens
/// a second needs.
#[derive(Debug)]
pub struct Expected {
    token_text: TokenText,
    prompts: Vec<String>,
    most: u32,
    cache: RwLock<BTreeMap<Digest, BTreeMap<usize, Arc<Tokens>>>>,
}

/// Ends each token in the joined text; the stand-in's tokens contain none.
const SEPARATOR: u8 = 0;

impl Expected {
    /// Makes an empty cache for answers of at most `most` tokens.
    pub fn new(token_text: TokenText, prompts: Vec<String>, most: u32) -> Self {
        Self {
            token_text,
            prompts,
            most,
            cache: RwLock::default(),
        }
    }

    /// Returns the text of the prompt at `index`.
    pub fn prompt(&self, index: usize) -> &str {
        &self.prompts[index]
    }

    /// Adds a token to the joined text of an answer.
    pub fn join(joined: &mut Vec<u8>, token: &str) {
        joined.extend_from_slice(token.as_bytes());
        joined.push(SEPARATOR);
    }

    /// Checks the joined tokens of a finished answer against the bundle that it names.
    pub fn check_whole(
        &self,
        bundle: &Digest,
        prompt: usize,
        tokens: u32,
        joined: &[u8],
    ) -> Verdict {
        let expected = self.tokens(bundle, prompt);
        let end = match tokens.checked_sub(1) {
            Some(last) => expected.ends.get(last as usize).copied(),
            None => Some(0),
        };
        match end.is_some_and(|end| expected.text[..end] == *joined) {
            true => Verdict::Own,
            false => Verdict::Foreign,
        }
    }

    /// Checks the joined tokens of an unfinished answer against every bundle seen so far.
    pub fn check_part(&self, prompt: usize, joined: &[u8]) -> Verdict {
        if joined.is_empty() {
            return Verdict::Own;
        }
        let bundles: Vec<Digest> = {
            let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
            cache.keys().copied().collect()
        };
        if bundles.is_empty() {
            return Verdict::Unchecked;
        }
        let own = bundles
            .iter()
            .any(|bundle| self.tokens(bundle, prompt).text.starts_with(joined));
        if own { Verdict::Own } else { Verdict::Foreign }
    }

    fn tokens(&self, bundle: &Digest, prompt: usize) -> Arc<Tokens> {
        {
            let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
            if let Some(tokens) = cache.get(bundle).and_then(|it| it.get(&prompt)) {
                return Arc::clone(tokens);
            }
        }
        let tokens = Arc::new(self.compute(bundle, prompt));
        let mut cache = self.cache.write().unwrap_or_else(PoisonError::into_inner);
        let prompts = cache.entry(*bundle).or_default();
        Arc::clone(prompts.entry(prompt).or_insert(tokens))
    }

    fn compute(&self, bundle: &Digest, prompt: usize) -> Tokens {
        let mut text = Vec::new();
        let mut ends = Vec::new();
        for index in 0..self.most {
            Self::join(
                &mut text,
                &(self.token_text)(*bundle, &self.prompts[prompt], index),
            );
            ends.push(text.len());
        }
        Tokens { text, ends }
    }
}
