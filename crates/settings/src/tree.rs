//! YAML as a tree in which each value knows its place.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::options::MergeKeyPolicy;
use serde_saphyr::{Location, Options, Spanned, UserMessageFormatter};

use crate::problem::Problems;

/// Deepest nesting that is read.
const MAX_DEPTH: usize = 16;

/// A place in a file.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spot {
    pub(crate) line: Option<usize>,
    pub(crate) column: Option<usize>,
}

impl From<Location> for Spot {
    fn from(location: Location) -> Self {
        let known = |number: u64| usize::try_from(number).ok().filter(|number| *number > 0);
        Self {
            line: known(location.line()),
            column: known(location.column()),
        }
    }
}

/// A value and its place.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) spot: Spot,
    pub(crate) value: Value,
}

/// A value as YAML has it.
#[derive(Debug)]
pub(crate) enum Value {
    Null,
    /// A number, a truth value or a text. `plain` says that it stands without quotes.
    Scalar {
        text: String,
        plain: bool,
    },
    List(Vec<Node>),
    Map(Vec<Field>),
}

/// One key of a map and its value.
#[derive(Debug)]
pub(crate) struct Field {
    pub(crate) spot: Spot,
    pub(crate) name: String,
    pub(crate) node: Node,
}

/// Reads `yaml`. A text that is not YAML is one mistake.
pub(crate) fn parse(yaml: &str, problems: &mut Problems) -> Option<Node> {
    match serde_saphyr::from_str_with_options::<Spanned<Raw>>(yaml, options()) {
        Ok(raw) => Some(located(yaml, raw)),
        Err(e) => {
            let spot = e.location().map(Spot::from).unwrap_or_default();
            let e = e.without_snippet();
            let text = e.render_with_formatter(&UserMessageFormatter);
            let suffix = format!(
                " at line {}, column {}",
                spot.line.unwrap_or_default(),
                spot.column.unwrap_or_default()
            );
            let what = text.strip_suffix(&suffix).unwrap_or(&text);
            problems.add(spot, "", what, "correct the YAML here");
            None
        }
    }
}

/// Aliases and merge keys are off: with them a short file can stand for a very long one.
fn options() -> Options {
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_aliases: 0,
            max_anchors: 0,
            max_depth: MAX_DEPTH,
        },
        merge_keys: MergeKeyPolicy::Error,
    }
}

/// A value as the YAML library hands it over.
enum Raw {
    Null,
    Scalar(String),
    List(Vec<Spanned<Raw>>),
    Map(Vec<(Spanned<String>, Spanned<Raw>)>),
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_none<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Raw, E> {
        Ok(Raw::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Raw, E> {
        Ok(Raw::Scalar(value.to_string()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Raw, E> {
        Ok(Raw::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Raw, E> {
        Ok(Raw::Scalar(value.to_string()))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Raw, E> {
        Ok(Raw::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Raw, E> {
        Ok(Raw::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Raw, E> {
        Ok(Raw::Scalar(value.to_owned()))
    }

    fn visit_seq<A>(self, mut items: A) -> Result<Raw, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Raw::List(list))
    }

    fn visit_map<A>(self, mut fields: A) -> Result<Raw, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut map = Vec::new();
        while let Some(name) = fields.next_key()? {
            map.push((name, fields.next_value()?));
        }
        Ok(Raw::Map(map))
    }
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(RawVisitor)
    }
}

fn located(yaml: &str, raw: Spanned<Raw>) -> Node {
    let location = raw.referenced;
    let value = match raw.value {
        Raw::Null => Value::Null,
        Raw::Scalar(text) => scalar(text, source(yaml, location)),
        Raw::List(items) => {
            let items = items.into_iter();
            Value::List(items.map(|item| located(yaml, item)).collect())
        }
        Raw::Map(fields) => {
            let fields = fields.into_iter();
            Value::Map(fields.map(|(name, raw)| field(yaml, name, raw)).collect())
        }
    };
    Node {
        spot: location.into(),
        value,
    }
}

fn field(yaml: &str, name: Spanned<String>, raw: Spanned<Raw>) -> Field {
    Field {
        spot: name.referenced.into(),
        name: name.value,
        node: located(yaml, raw),
    }
}

/// Takes a plain scalar as it is written: `1.10` is the version 1.10 and not the number 1.1.
fn scalar(text: String, source: Option<&str>) -> Value {
    match source {
        Some(source) if !source.starts_with(['"', '\'', '|', '>']) => Value::Scalar {
            text: source.to_owned(),
            plain: true,
        },
        _ => Value::Scalar { text, plain: false },
    }
}

fn source(yaml: &str, location: Location) -> Option<&str> {
    let span = location.span();
    let start = usize::try_from(span.byte_offset()?).ok()?;
    let length = usize::try_from(span.byte_len()?).ok()?;
    yaml.get(start..start.checked_add(length)?)
}
