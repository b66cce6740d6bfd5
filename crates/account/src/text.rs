//! The tables as text.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use crate::summary::{CallRow, LossRow, NamingRow, Summary};

impl Summary {
    /// Writes the tables for a terminal.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{} lines, {} damaged; {} entries; {} requests answered\n",
            self.lines, self.damaged, self.processes, self.answered
        );
        write_totals(&mut text, &self.losses);
        write_seconds(&mut text, &self.losses);
        write_calls(&mut text, &self.calls);
        write_namings(&mut text, &self.namings);
        text
    }
}

/// Writing to a String does not fail.
fn line(text: &mut String, args: std::fmt::Arguments<'_>) {
    let _ = writeln!(text, "{args}");
}

fn write_totals(text: &mut String, losses: &[LossRow]) {
    let mut totals: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for row in losses {
        *totals.entry((&row.reason, &row.data_centre)).or_default() += row.count;
    }
    line(text, format_args!("\nlost, by reason and data centre"));
    for ((reason, data_centre), count) in totals {
        line(
            text,
            format_args!("  {reason:24} {data_centre:20} {count:>8}"),
        );
    }
}

/// Writes a row a second and a column a reason.
fn write_seconds(text: &mut String, losses: &[LossRow]) {
    let reasons: BTreeSet<&str> = losses.iter().map(|row| &*row.reason).collect();
    let mut seconds: BTreeMap<u64, BTreeMap<&str, u64>> = BTreeMap::new();
    for row in losses {
        let counts = seconds.entry(row.second).or_default();
        *counts.entry(&row.reason).or_default() += row.count;
    }
    line(text, format_args!("\nlost, by second since the first line"));
    let header: Vec<String> = reasons.iter().map(|it| format!("{it:>20}")).collect();
    line(text, format_args!("  {:>6}{}", "second", header.concat()));
    for (second, counts) in seconds {
        let count = |reason: &&str| counts.get(reason).copied().unwrap_or_default();
        let cells: Vec<String> = reasons
            .iter()
            .map(|reason| format!("{:>20}", count(reason)))
            .collect();
        line(text, format_args!("  {second:>6}{}", cells.concat()));
    }
}

fn write_calls(text: &mut String, calls: &[CallRow]) {
    line(text, format_args!("\ncalls to the registry"));
    for row in calls {
        let CallRow {
            data_centre,
            topic,
            cause,
            outcome,
            count,
            median_ms,
            p99_ms,
        } = row;
        line(
            text,
            format_args!(
                "  {data_centre:20} {topic:10} {cause:16} {outcome:9} {count:>7}  median {median_ms} ms, p99 {p99_ms} ms"
            ),
        );
    }
}

fn write_namings(text: &mut String, namings: &[NamingRow]) {
    line(
        text,
        format_args!("\nweights, and how long before their first read they were told to be named"),
    );
    for row in namings {
        let seconds =
            |span: Option<f64>| span.map_or("unknown".to_owned(), |s| format!("{s:.2} s"));
        line(
            text,
            format_args!(
                "  {} {}: learned {} times, median {}, most {}",
                row.model,
                row.version,
                row.learned,
                seconds(row.median_before_s),
                seconds(row.most_before_s)
            ),
        );
    }
}
