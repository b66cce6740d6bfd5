//! Reading of single values. Each function notes what is wrong and then returns none.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use wagtailreel_core::{Digest, ServiceKind};

use crate::names::{MODEL_REMEDY, NAME_REMEDY, is_model_name, is_name};
use crate::problem::Problems;
use crate::tree::{Node, Spot, Value};

/// Scheme of all addresses of services.
const SCHEME: &str = "http://";

/// A value with the path that leads to it.
#[derive(Debug)]
pub(crate) struct At<'a> {
    pub(crate) place: String,
    pub(crate) node: &'a Node,
}

impl<'a> At<'a> {
    pub(crate) fn new(place: String, node: &'a Node) -> Self {
        Self { place, node }
    }

    pub(crate) fn spot(&self) -> Spot {
        self.node.spot
    }

    /// Notes a mistake at this value.
    pub(crate) fn problem<W, R>(&self, problems: &mut Problems, what: W, remedy: R)
    where
        W: Into<String>,
        R: Into<String>,
    {
        problems.add(self.spot(), &self.place, what, remedy);
    }
}

/// What a value is, in words.
fn shape(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Scalar { .. } => "a single value",
        Value::List(_) => "a list",
        Value::Map(_) => "a map",
    }
}

/// Reads a text as it is written.
pub(crate) fn text<'a>(at: &At<'a>, problems: &mut Problems) -> Option<&'a str> {
    let Value::Scalar { text, .. } = &at.node.value else {
        let what = format!("{} stands here", shape(&at.node.value));
        at.problem(problems, what, "write a single value");
        return None;
    };
    Some(text)
}

/// Reads a number or truth value as it is written. In quotes it would be a text.
fn unquoted<'a>(at: &At<'a>, problems: &mut Problems) -> Option<&'a str> {
    let text = text(at, problems)?;
    if matches!(at.node.value, Value::Scalar { plain: false, .. }) {
        at.problem(
            problems,
            "the value stands in quotes",
            "take off the quotes",
        );
        return None;
    }
    Some(text)
}

/// Reads a list, each item with `read`. Items that do not fit are left out, and noted.
pub(crate) fn list<'a, T, F>(at: &At<'a>, problems: &mut Problems, mut read: F) -> Option<Vec<T>>
where
    F: FnMut(&At<'a>, &mut Problems) -> Option<T>,
{
    let Value::List(items) = &at.node.value else {
        let what = format!("{} stands here", shape(&at.node.value));
        at.problem(
            problems,
            what,
            "write a list: `[]`, or one line with `- ` for each item",
        );
        return None;
    };
    let mut values = Vec::new();
    for (index, item) in items.iter().enumerate() {
        let item = At::new(format!("{}[{index}]", at.place), item);
        values.extend(read(&item, problems));
    }
    Some(values)
}

/// Reads a name.
pub(crate) fn name(at: &At<'_>, problems: &mut Problems) -> Option<String> {
    let text = text(at, problems)?;
    if !is_name(text) {
        at.problem(problems, format!("`{text}` is not a name"), NAME_REMEDY);
        return None;
    }
    Some(text.to_owned())
}

/// Reads the name or version of a model.
pub(crate) fn model_name(at: &At<'_>, problems: &mut Problems) -> Option<String> {
    let text = text(at, problems)?;
    if !is_model_name(text) {
        let what = format!("`{text}` is not the name or version of a model");
        at.problem(problems, what, MODEL_REMEDY);
        return None;
    }
    Some(text.to_owned())
}

/// Reads `true` or `false`.
pub(crate) fn truth(at: &At<'_>, problems: &mut Problems) -> Option<bool> {
    match unquoted(at, problems)? {
        "true" => Some(true),
        "false" => Some(false),
        other => {
            let what = format!("`{other}` is neither `true` nor `false`");
            at.problem(problems, what, "write one of the two");
            None
        }
    }
}

/// Reads one of the words in `choices`.
pub(crate) fn choice<T>(at: &At<'_>, problems: &mut Problems, choices: &[(&str, T)]) -> Option<T>
where
    T: Copy,
{
    let text = text(at, problems)?;
    let chosen = choices.iter().find(|(word, _)| *word == text);
    if chosen.is_none() {
        let words: Vec<String> = choices
            .iter()
            .map(|(word, _)| format!("`{word}`"))
            .collect();
        let what = format!("`{text}` is not known here");
        at.problem(problems, what, format!("write {}", words.join(" or ")));
    }
    chosen.map(|(_, value)| *value)
}

/// Reads a whole number of `unit` in `range`.
pub(crate) fn whole(
    at: &At<'_>,
    problems: &mut Problems,
    unit: &str,
    range: RangeInclusive<u64>,
) -> Option<u64> {
    let text = unquoted(at, problems)?;
    let number = text.parse().ok().filter(|number| range.contains(number));
    if number.is_none() {
        let (low, high) = (range.start(), range.end());
        let remedy = format!("write a whole number of {unit} from {low} to {high}");
        at.problem(problems, not_a_number(text), remedy);
    }
    number
}

/// Reads a whole number of `unit` in `range`, as [`whole`].
pub(crate) fn count(
    at: &At<'_>,
    problems: &mut Problems,
    unit: &str,
    range: RangeInclusive<u32>,
) -> Option<u32> {
    let range = u64::from(*range.start())..=u64::from(*range.end());
    let number = whole(at, problems, unit, range)?;
    u32::try_from(number).ok()
}

/// Reads a number of milliseconds in `range`.
pub(crate) fn milliseconds(
    at: &At<'_>,
    problems: &mut Problems,
    range: RangeInclusive<u64>,
) -> Option<Duration> {
    whole(at, problems, "milliseconds", range).map(Duration::from_millis)
}

/// Reads a number of seconds in `range`.
pub(crate) fn seconds(
    at: &At<'_>,
    problems: &mut Problems,
    range: RangeInclusive<u64>,
) -> Option<Duration> {
    whole(at, problems, "seconds", range).map(Duration::from_secs)
}

/// Reads a number that `fits`; `remedy` says which do.
pub(crate) fn number<F>(at: &At<'_>, problems: &mut Problems, remedy: &str, fits: F) -> Option<f64>
where
    F: FnOnce(f64) -> bool,
{
    let text = unquoted(at, problems)?;
    let number: Option<f64> = text.parse().ok();
    let number = number.filter(|number| number.is_finite() && fits(*number));
    if number.is_none() {
        at.problem(problems, not_a_number(text), remedy);
    }
    number
}

/// Says in which way `text` is not the number that is wanted.
fn not_a_number(text: &str) -> String {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%');
    if text.parse::<f64>().is_ok() {
        format!("`{text}` does not fit")
    } else if digits.trim_end().parse::<f64>().is_ok() {
        format!("`{text}` carries a unit")
    } else {
        format!("`{text}` is not a number")
    }
}

/// Reads an IP number with a port.
pub(crate) fn address(at: &At<'_>, problems: &mut Problems) -> Option<SocketAddr> {
    let text = text(at, problems)?;
    let address = text.parse().ok();
    if address.is_none() {
        let what = format!("`{text}` is not an address");
        at.problem(
            problems,
            what,
            "write an IP number with a port, such as 127.0.0.1:8080",
        );
    }
    address
}

/// Reads the address of a service: `http://IP:PORT`.
pub(crate) fn url(at: &At<'_>, problems: &mut Problems) -> Option<String> {
    let text = text(at, problems)?;
    let address = text.strip_prefix(SCHEME);
    let address: Option<SocketAddr> = address.and_then(|address| address.parse().ok());
    if address.is_none_or(|address| address.port() == 0) {
        let what = format!("`{text}` is not the address of a service");
        at.problem(problems, what, "write http://IP:PORT and nothing after it");
        return None;
    }
    Some(text.to_owned())
}

/// Reads the hash of a token. The value is never shown: it may be the token itself by mistake.
pub(crate) fn hash(at: &At<'_>, problems: &mut Problems) -> Option<Digest> {
    let text = text(at, problems)?;
    let digest = text.parse().ok();
    if digest.is_none() {
        let remedy = "write the token's blake3 digest, 64 hexadecimal digits, in quotes";
        at.problem(problems, "the value is not a hash", remedy);
    }
    digest
}

/// Reads the kind of an upstream.
pub(crate) fn kind(at: &At<'_>, problems: &mut Problems) -> Option<ServiceKind> {
    let choices = [
        ("engine", ServiceKind::Engine),
        ("plain", ServiceKind::Plain),
    ];
    choice(at, problems, &choices)
}
