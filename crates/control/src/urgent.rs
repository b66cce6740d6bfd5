//! Which changes of a report are urgent.

use wagtailreel_core::Report;

/// Returns whether routing or a switch depends on a changed field of a report.
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
