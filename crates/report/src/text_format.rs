//! Reads the Prometheus text format.

use std::collections::BTreeMap;

use snafu::{OptionExt, Snafu};

/// One value of one series.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Labels by name.
    pub labels: BTreeMap<String, String>,
    /// The value.
    pub value: f64,
}

/// A line of metrics can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("line {line} is no metric: `{text}`; scrape the process's /metrics again"))]
pub struct ParseError {
    line: usize,
    text: String,
}

/// Reads all samples of a text; comments and empty lines are passed over.
///
/// # Errors
///
/// Returns a [`ParseError`] with the first line that is no sample.
pub fn parse(text: &str) -> Result<Vec<Sample>, ParseError> {
    let mut samples = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let sample = parse_line(line).context(ParseSnafu {
            line: index + 1,
            text: line,
        })?;
        samples.push(sample);
    }
    Ok(samples)
}

/// Reads `name{label="value"} number [timestamp]`.
fn parse_line(line: &str) -> Option<Sample> {
    let name_end = line.find(|it: char| it == '{' || it.is_whitespace())?;
    let (name, rest) = line.split_at(name_end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest)?,
        None => (BTreeMap::new(), rest),
    };
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some(Sample {
        name: name.to_owned(),
        labels,
        value,
    })
}

/// Reads labels up to the closing brace, and returns what follows it.
fn parse_labels(mut rest: &str) -> Option<(BTreeMap<String, String>, &str)> {
    let mut labels = BTreeMap::new();
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if let Some(rest) = rest.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, value) = rest.split_once('=')?;
        let (value, after) = parse_quoted(value.strip_prefix('"')?)?;
        labels.insert(name.trim().to_owned(), value);
        rest = after;
    }
}

/// Reads up to the closing quote, and returns what follows it.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            char => value.push(char),
        }
    }
    None
}
