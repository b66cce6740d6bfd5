//! Reading of maps, key by key.

use crate::problem::{Problem, Problems};
use crate::tree::{Field, Value, parse};
use crate::values::At;

/// Ends of keys that name a unit.
const UNITS: &[&str] = &["_ms", "_s", "_us", "_min", "_bytes", "_mb", "_kb", "_gb"];

/// The keys of one map, as far as they have been asked for.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    at: At<'a>,
    fields: &'a [Field],
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Begins to read the map at `at`. Anything else is noted.
    pub(crate) fn new(at: At<'a>, problems: &mut Problems) -> Option<Self> {
        let Value::Map(fields) = &at.node.value else {
            at.problem(
                problems,
                "there are no keys here",
                "write a map: `key: value`, one a line",
            );
            return None;
        };
        Some(Self {
            at,
            fields,
            known: Vec::new(),
        })
    }

    /// Returns the place of the map.
    pub(crate) fn at(&self) -> &At<'a> {
        &self.at
    }

    /// Returns the value of a key, if it is there and not empty.
    pub(crate) fn find(&mut self, name: &'static str) -> Option<At<'a>> {
        self.known.push(name);
        let field = self.fields.iter().find(|field| field.name == name)?;
        if matches!(field.node.value, Value::Null) {
            return None;
        }
        Some(At::new(self.place(name), &field.node))
    }

    /// Reads a key that has to be there.
    pub(crate) fn required<T, F>(
        &mut self,
        name: &'static str,
        problems: &mut Problems,
        read: F,
    ) -> Option<T>
    where
        F: FnOnce(&At<'a>, &mut Problems) -> Option<T>,
    {
        let Some(at) = self.find(name) else {
            let place = self.place(name);
            problems.add(
                self.at.spot(),
                &place,
                "the key is missing or empty",
                "add it with its value",
            );
            return None;
        };
        read(&at, problems)
    }

    /// Reads a key that may be left out, which means `default`.
    pub(crate) fn optional<T, F>(
        &mut self,
        name: &'static str,
        problems: &mut Problems,
        default: T,
        read: F,
    ) -> Option<T>
    where
        F: FnOnce(&At<'a>, &mut Problems) -> Option<T>,
    {
        match self.find(name) {
            Some(at) => read(&at, problems),
            None => Some(default),
        }
    }

    /// Reads a key that may be left out, which means none. The outer option is none for a value
    /// that does not fit.
    #[expect(
        clippy::option_option,
        reason = "left out and wrong are two different things"
    )]
    pub(crate) fn maybe<T, F>(
        &mut self,
        name: &'static str,
        problems: &mut Problems,
        read: F,
    ) -> Option<Option<T>>
    where
        F: FnOnce(&At<'a>, &mut Problems) -> Option<T>,
    {
        match self.find(name) {
            Some(at) => read(&at, problems).map(Some),
            None => Some(None),
        }
    }

    /// Notes every key that was not asked for.
    pub(crate) fn finish(self, problems: &mut Problems) {
        for field in self.fields {
            if self.known.contains(&field.name.as_str()) {
                continue;
            }
            let place = self.place(&field.name);
            let (what, remedy) = unknown(&field.name, &self.known);
            problems.add(field.spot, &place, what, remedy);
        }
    }

    fn place(&self, name: &str) -> String {
        if self.at.place.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.at.place)
        }
    }
}

/// Says what is wrong with a key, and what to write.
fn unknown(name: &str, known: &[&str]) -> (String, String) {
    let meant = known.iter().find(|known| stem(known) == stem(name));
    if let Some(meant) = meant {
        let what = format!("`{name}` has the wrong unit");
        return (what, format!("write `{meant}`, and the value in that unit"));
    }
    let what = format!("the key `{name}` is not known here");
    (
        what,
        format!("take it out, or write one of: {}", known.join(", ")),
    )
}

/// Returns the key without its unit.
fn stem(name: &str) -> &str {
    let unit = UNITS.iter().find_map(|unit| name.strip_suffix(unit));
    unit.unwrap_or(name)
}

/// Reads a whole file, whose root is a map, with `read`.
///
/// # Errors
///
/// Returns every mistake with its place and the remedy.
pub(crate) fn read_root<T, F>(text: &str, read: F) -> Result<T, Vec<Problem>>
where
    F: FnOnce(Fields<'_>, &mut Problems) -> Option<T>,
{
    let mut problems = Problems::default();
    let root = parse(text, &mut problems);
    let value = root.and_then(|root| {
        let fields = Fields::new(At::new(String::new(), &root), &mut problems)?;
        read(fields, &mut problems)
    });
    problems.finish(value)
}
