//! The way of one request.

use std::fmt::Write as _;

use crate::line::Line;

/// The lines of one request, from all processes.
#[derive(Debug)]
pub struct Trail {
    id: String,
    lines: Vec<(f64, String)>,
    has_end: bool,
}

impl Trail {
    /// Makes the trail of the request `id`, of which nothing is known yet.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
            has_end: false,
        }
    }

    /// Takes one line of a log; those of other requests are passed over.
    pub fn take_line(&mut self, text: &str) {
        // Only what names the request is worth decoding.
        if !text.contains(&self.id) {
            return;
        }
        let Some(line) = Line::read(text) else {
            return;
        };
        if line.fields.id.as_deref() != Some(&self.id) {
            return;
        }
        self.has_end |= matches!(line.message.as_ref(), "request-done" | "request-refused");
        self.lines.push((line.at, text.trim().to_owned()));
    }

    /// Writes the lines in the order of their times, and says what is missing.
    pub fn to_text(&self) -> String {
        let mut lines: Vec<&(f64, String)> = self.lines.iter().collect();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (_, line) in lines {
            // Writing to a String does not fail.
            let _ = writeln!(text, "{line}");
        }
        if self.lines.is_empty() {
            text.push_str("missing: no line names this request; is every entry's log here?\n");
        } else if !self.has_end {
            text.push_str(
                "missing: no line ends this request; its entry stopped, or lines were left out\n",
            );
        }
        text
    }
}
