//! Reading of command-line options that several commands share.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};

use lexopt::{Arg, Parser, ValueExt as _};
use snafu::ResultExt as _;

use crate::error::{ArgumentsSnafu, CommandError, NoTokenSnafu, ReadFileSnafu, UsageSnafu};

/// Name of the environment variable that holds a team's token.
const TOKEN_VARIABLE: &str = "WAGTAILREEL_TOKEN";

/// The options and free words of one command.
#[derive(Debug, Default)]
pub(crate) struct Options {
    values: BTreeMap<String, Vec<String>>,
    words: Vec<String>,
}

impl Options {
    /// Reads `args`, where each option of `known` takes a value.
    ///
    /// # Errors
    ///
    /// Fails on an unknown option or an option without its value.
    pub(crate) fn parse(args: Vec<OsString>, known: &[&str]) -> Result<Self, CommandError> {
        let mut parser = Parser::from_args(args);
        let mut options = Self::default();
        while let Some(arg) = parser.next().context(ArgumentsSnafu)? {
            match arg {
                Arg::Long(name) if known.contains(&name) => {
                    let name = name.to_owned();
                    let value = parser.value().context(ArgumentsSnafu)?;
                    let value = value.string().context(ArgumentsSnafu)?;
                    options.values.entry(name).or_default().push(value);
                }
                Arg::Value(word) => {
                    options.words.push(word.string().context(ArgumentsSnafu)?);
                }
                other => return Err(other.unexpected()).context(ArgumentsSnafu),
            }
        }
        Ok(options)
    }

    /// Returns the last value of an option.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.all(name).last().map(String::as_str)
    }

    /// Returns the whole number that an option gives, if it is there.
    ///
    /// # Errors
    ///
    /// Fails if it is something else.
    pub(crate) fn number(&self, name: &str) -> Result<Option<u64>, CommandError> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => UsageSnafu {
                what: format!("--{name} {text} is not a whole number"),
            }
            .fail(),
        }
    }

    /// Returns every value of an option that may be repeated.
    pub(crate) fn all(&self, name: &str) -> &[String] {
        self.values.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the value of an option that the command can't do without.
    pub(crate) fn require(&self, name: &str) -> Result<&str, CommandError> {
        match self.get(name) {
            Some(value) => Ok(value),
            None => UsageSnafu {
                what: format!("--{name} is missing"),
            }
            .fail(),
        }
    }

    /// Returns the one free word that the command takes.
    pub(crate) fn word(&self, what: &str) -> Result<&str, CommandError> {
        match self.words.as_slice() {
            [word] => Ok(word),
            [] => UsageSnafu {
                what: format!("{what} is missing"),
            }
            .fail(),
            [_, extra, ..] => UsageSnafu {
                what: format!("`{extra}` is one word too many"),
            }
            .fail(),
        }
    }

    /// Returns the free words.
    pub(crate) fn words(&self) -> &[String] {
        &self.words
    }

    /// Checks that no free word was given.
    pub(crate) fn no_words(&self) -> Result<(), CommandError> {
        match self.words.first() {
            None => Ok(()),
            Some(extra) => UsageSnafu {
                what: format!("`{extra}` is one word too many"),
            }
            .fail(),
        }
    }

    /// Returns the team's token from `--token-file` or the environment; never from the command line.
    pub(crate) fn token(&self) -> Result<String, CommandError> {
        if let Some(path) = self.get("token-file") {
            return Ok(read_text(Path::new(path))?.trim().to_owned());
        }
        match std::env::var(TOKEN_VARIABLE) {
            Ok(token) if !token.is_empty() => Ok(token),
            _ => NoTokenSnafu.fail(),
        }
    }
}

/// Reads a whole text file.
pub(crate) fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).context(ReadFileSnafu {
        path: PathBuf::from(path),
    })
}
