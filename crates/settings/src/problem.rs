//! Mistakes in a file, each with its place and the remedy.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

use crate::tree::Spot;

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Line from 1, if there is one.
    pub line: Option<usize>,
    /// Column from 1, if there is one.
    pub column: Option<usize>,
    /// Path of the value, such as `listen.callers` or `teams[1].name`; empty for the whole file.
    pub place: String,
    /// What is wrong.
    pub what: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}")?;
        }
        if let Some(column) = self.column {
            write!(f, ":{column}")?;
        }
        if self.line.is_some() {
            f.write_str(" ")?;
        }
        if self.place.is_empty() {
            f.write_str("the file")?;
        } else {
            write!(f, "`{}`", self.place)?;
        }
        write!(f, ": {}: {}", self.what, self.remedy)
    }
}

/// All mistakes in a settings file, in the order of their places. Shown one a line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[snafu(display("{}", one_a_line(problems)))]
pub struct SettingsErrors {
    /// The mistakes.
    pub problems: Vec<Problem>,
}

fn one_a_line(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

/// The mistakes found so far.
#[derive(Debug, Default)]
pub(crate) struct Problems {
    found: Vec<Problem>,
}

impl Problems {
    /// Notes a mistake at `spot`.
    pub(crate) fn add<W, R>(&mut self, spot: Spot, place: &str, what: W, remedy: R)
    where
        W: Into<String>,
        R: Into<String>,
    {
        self.found.push(Problem {
            line: spot.line,
            column: spot.column,
            place: place.to_owned(),
            what: what.into(),
            remedy: remedy.into(),
        });
    }

    /// Returns `value` if there was no mistake.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, Vec<Problem>> {
        self.found.sort();
        match value {
            Some(value) if self.found.is_empty() => Ok(value),
            _ => Err(self.found),
        }
    }
}
