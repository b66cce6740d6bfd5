//! The table of the capacity page.

use std::fmt::Write as _;

use serde::Serialize;

use super::fit::Fit;

/// One measured slope.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Process that pays: `entry` or `agent`.
    pub role: String,
    /// What is used: `processor time in us`, `memory in bytes`, ...
    pub what: String,
    /// Of what one more is counted: `request`, `token`, ...
    pub per: String,
    /// The line.
    pub fit: Fit,
    /// The measurements: size and cost.
    pub points: Vec<(f64, f64)>,
}

/// Writes slopes as a Markdown table. Writing to a String does not fail.
pub fn to_table(slopes: &[Slope]) -> String {
    let mut table = String::from(
        "| role | cost | of one more | slope | with none | residual | residual / span | sizes |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for it in slopes {
        let sizes = it.points.iter().map(|point| format!("{}", point.0));
        let _ = writeln!(
            table,
            "| {} | {} | {} | {:.3} | {:.1} | {:.2} | {:.1}% | {} |",
            it.role,
            it.what,
            it.per,
            it.fit.slope,
            it.fit.intercept,
            it.fit.residual,
            it.fit.relative * 100.0,
            sizes.collect::<Vec<_>>().join(", ")
        );
    }
    table
}

/// Writes slopes as JSON.
pub fn to_json(slopes: &[Slope]) -> serde_json::Value {
    // Finite numbers and texts always become JSON.
    serde_json::to_value(slopes).unwrap_or_default()
}
