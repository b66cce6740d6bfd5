//! Numbered events, and the catalogue that documents them.

use std::fmt::Write as _;

pub use log::Level;
use log::Record;

/// One kind of event. The number never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event. Each crate has its own range.
    pub id: u16,
    /// Short name in lower case with hyphens.
    pub name: &'static str,
    /// Level at which it is logged.
    pub level: Level,
    /// What has happened.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub remedy: &'static str,
}

impl Event {
    /// Logs the event with `fields` as structured pairs.
    ///
    /// Fields must not contain tokens, keys or texts from callers.
    pub fn emit(&self, fields: &[(&str, &str)]) {
        if self.level > log::max_level() {
            return;
        }
        let mut pairs: Vec<(&str, &str)> = Vec::with_capacity(fields.len() + 1);
        let id = self.id.to_string();
        pairs.push(("event", &id));
        pairs.extend_from_slice(fields);
        log::logger().log(
            &Record::builder()
                .level(self.level)
                .target("wagtailreel")
                .key_values(&pairs.as_slice())
                .args(format_args!("{}", self.name))
                .build(),
        );
    }
}

/// Writes the events as the Markdown table of `docs/events.md`, in order of their numbers.
pub fn catalogue(events: &[Event]) -> String {
    let mut sorted = events.to_vec();
    sorted.sort_by_key(|event| event.id);
    let mut text =
        String::from("| event | name | level | meaning | what to do |\n|---|---|---|---|---|\n");
    for event in sorted {
        let level = event.level.as_str().to_lowercase();
        // Writing to a String does not fail.
        let _ = writeln!(
            text,
            "| {} | `{}` | {} | {} | {} |",
            event.id, event.name, level, event.meaning, event.remedy
        );
    }
    text
}
