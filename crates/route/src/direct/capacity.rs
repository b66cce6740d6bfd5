//! Whether an engine has room for a request that is to begin in time.

use std::time::Duration;

use super::pick::Requirements;
use super::prediction::Prediction;

/// Share of the objective within which the first event has to be expected for an engine nearby to go
/// before one abroad, and for a request to join others' prompts. The rest is for what a mean doesn't say: the
/// turn of a pass, longer answers, prompts that come in the same moment. With the whole objective 329 of 698
/// requests that came to engines in the first 0.15 s after their load began late, with this share 158 of 603.
const SAFE_OBJECTIVE_SHARE: f64 = 0.7;

/// Returns the time to the first event that is expected to keep to `objective`, whatever a mean doesn't say.
pub(super) fn safe_objective(objective: Duration) -> Duration {
    objective.mul_f64(SAFE_OBJECTIVE_SHARE)
}

/// Says whether the engine of `prediction` has no room for a request.
///
/// One that has a slot is served, though late, unless others' prompts make it so: `has_report` says that the agent tells
/// what the engine reads, of which a guess would refuse too many. One that also waits for a slot is better off
/// elsewhere, or told so at once.
///
/// Of a long prompt only half of what is beyond a usual one counts: by its whole length it is refused at every full
/// engine, and with 2.5 times the load of 16 engines 26 in 100 of the longest tenth were served, of all 72. By a
/// usual length the others lose too much: worth 0.078 in place of 0.094, three seeds.
pub(super) fn is_full<F>(
    prediction: &Prediction<'_>,
    needs: &Requirements<'_>,
    is_queued: bool,
    has_report: bool,
    likely: F,
) -> bool
where
    F: Fn(Duration) -> Duration,
{
    let beyond = needs.prompt.saturating_sub(prediction.model.usual_prompt);
    let prompt = needs.prompt - beyond / 2;
    let is_late = || likely(prediction.first_event(prompt)) > needs.objective;
    (is_queued && is_late())
        || (has_report && prediction.is_crowded(prompt, safe_objective(needs.objective)))
}
