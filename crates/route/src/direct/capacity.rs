//! Whether an engine has the capacity to begin a request in time.

use std::time::Duration;

use super::prediction::Prediction;

/// Share of the objective within which the first event must be expected for a local engine to come before a
/// remote one, and for a request to join the prompts of others. The rest covers what the mean does not show:
/// the phase of a pass, longer answers, prompts that arrive at the same moment. With the whole objective, 329
/// of 698 requests that reached engines in the first 0.15 s after their load began late; with this share 158
/// of 603.
const SAFE_OBJECTIVE_SHARE: f64 = 0.7;

/// Returns the expected time to the first event up to which a request keeps to `objective` despite deviations
/// from the mean.
pub(super) fn safe_objective(objective: Duration) -> Duration {
    objective.mul_f64(SAFE_OBJECTIVE_SHARE)
}

/// Returns whether the engine of `prediction` has no capacity for a request that has a prompt of `prompt` tokens
/// to be read.
///
/// A request that gets a slot is served even if it is late, unless the prompts of others make it late.
/// `has_report` tells that the prefill time comes from the agent's report; with an estimate too many requests
/// would be refused. A late request that also waits for a slot is refused here, so that it goes elsewhere or
/// its caller learns of it at once.
///
/// Of a long prompt, only half of the tokens beyond the usual length count. By its whole length, a long
/// prompt is refused at every full engine: under 2.5 times the load that 16 engines can serve, 26 in 100 of
/// the longest tenth of the requests were served, against 72 in 100 of all. By the usual length alone, the
/// other requests lose too much: the value of all answers was 0.078 instead of 0.094, over three seeds.
pub(super) fn is_full<F>(
    prediction: &Prediction<'_>,
    prompt: u32,
    objective: Duration,
    is_queued: bool,
    has_report: bool,
    likely: F,
) -> bool
where
    F: Fn(Duration) -> Duration,
{
    let beyond = prompt.saturating_sub(prediction.model.usual_prompt);
    let prompt = prompt - beyond / 2;
    let is_late = || likely(prediction.first_event(prompt)) > objective;
    (is_queued && is_late())
        || (has_report && prediction.is_prefill_bound(prompt, safe_objective(objective)))
}
