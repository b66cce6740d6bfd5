//! Which changes of a report can't wait.

use wagtailreel_core::Report;

/// Says whether routing or a switch depends on what changed in a report.
pub(crate) fn is_urgent(before: &Report, after: &Report) -> bool {
    before.incarnation != after.incarnation
        || before.data != after.data
        || before.config != after.config
        || before.leaving != after.leaving
        || before.closed_below != after.closed_below
        || before.open != after.open
        || before.weights != after.weights
        || before.trouble != after.trouble
}
