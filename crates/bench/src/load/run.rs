//! Runs a plan.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::expected::{Expected, Joined, Verdict};
use super::plan::Plan;
use super::report::LoadReport;
use super::schedule::{Arrival, Schedule};
use super::tally::{Observation, Tally};
use crate::answer::{AnswerStream, Ending, Step, read_token};
use crate::error::{IoSnafu, Result};
use crate::http_client::HttpClient;
use snafu::ResultExt;
use wagtailreel_standins::prompt_hash;

/// Requests at once above which the tool sends no more and says so.
const MOST_IN_FLIGHT: usize = 50_000;

/// Observations that may wait to be counted.
const WAITING_OBSERVATIONS: usize = 10_000;

/// How long a caller without a deadline waits for an answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// Reasons after which it is worth trying again, so that a caller is told when.
const RETRY_REASONS: [&str; 7] = [
    "closed",
    "full",
    "lease",
    "leaving",
    "limit",
    "log-away",
    "no-upstream",
];

/// All reasons there are, in wire text.
const REASONS: [&str; 13] = [
    "cancelled",
    "claimed",
    "closed",
    "deadline",
    "expired",
    "full",
    "lease",
    "leaving",
    "limit",
    "log-away",
    "no-upstream",
    "refused",
    "weights",
];

/// What the tasks of one run share.
#[derive(Debug)]
struct Shared {
    plan: Plan,
    client: HttpClient,
    expected: Expected,
    start: Instant,
    in_flight: AtomicUsize,
}

/// Runs `plan` to its end, or until `stop`, and counts.
///
/// # Errors
///
/// Returns an error if the plan is wrong or the engines' statistics can't be read; a failed
/// request is counted, not returned.
pub async fn run_load(plan: Plan, stop: CancellationToken) -> Result<LoadReport> {
    plan.check()?;
    let run = run_name();
    let shared = Arc::new(Shared {
        client: HttpClient::new(),
        expected: Expected::default(),
        start: Instant::now(),
        in_flight: AtomicUsize::new(0),
        plan,
    });
    let (tx, rx) = mpsc::channel(WAITING_OBSERVATIONS);
    let sender = send_arrivals(Arc::clone(&shared), run, tx, stop)?;
    let mut tally = count(rx).await;
    tally.skipped = sender.await.unwrap_or_default();
    super::stats::check_engines(&shared.client, &shared.plan.engines, &mut tally).await?;
    Ok(LoadReport::new(
        &shared.plan,
        shared.start.elapsed(),
        &tally,
    ))
}

/// Returns a name that no other run has, so that request ids and order keys are new.
fn run_name() -> String {
    format!("load-{:08x}", rand::random::<u32>())
}

/// Counts until the last request has ended.
async fn count(mut rx: mpsc::Receiver<Observation>) -> Tally {
    let mut tally = Tally::new();
    while let Some(seen) = rx.recv().await {
        tally.add(seen);
    }
    tally
}

/// Starts the thread that keeps the times of sending, and returns how many were skipped.
///
/// It is a thread of its own since the runtime's timer counts in whole milliseconds, which would
/// be added to every latency.
fn send_arrivals(
    shared: Arc<Shared>,
    run: String,
    tx: mpsc::Sender<Observation>,
    stop: CancellationToken,
) -> Result<tokio::sync::oneshot::Receiver<u64>> {
    let handle = tokio::runtime::Handle::current();
    let (done_tx, done_rx) = tokio::sync::oneshot::channel();
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let epoch_seconds = epoch.unwrap_or_default().as_secs();
    let send = move || {
        let mut skipped = 0;
        for arrival in Schedule::new(&shared.plan, &run, epoch_seconds) {
            let due = shared.start + arrival.at;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if stop.is_cancelled() {
                break;
            }
            if shared.in_flight.fetch_add(1, Ordering::Relaxed) >= MOST_IN_FLIGHT {
                shared.in_flight.fetch_sub(1, Ordering::Relaxed);
                skipped += 1;
                continue;
            }
            handle.spawn(serve(Arc::clone(&shared), arrival, tx.clone()));
        }
        // The receiver is gone only if the run was given up.
        let _ = done_tx.send(skipped);
    };
    std::thread::Builder::new()
        .name("arrivals".to_owned())
        .spawn(send)
        .context(IoSnafu {
            what: "start a thread",
        })?;
    Ok(done_rx)
}

/// Sends one request and hands on what was seen.
async fn serve(shared: Arc<Shared>, arrival: Arrival, tx: mpsc::Sender<Observation>) {
    let seen = observe(&shared, arrival).await;
    shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    // The receiver is gone only if the run was given up.
    let _ = tx.send(seen).await;
}

/// What is read from one stream.
#[derive(Debug, Default)]
struct Reading {
    joined: Joined,
    tokens: u32,
    first: Option<Instant>,
    last: Option<Instant>,
    gaps: Vec<u32>,
    fault: Option<String>,
}

impl Reading {
    fn add(&mut self, data: &[u8]) {
        let now = Instant::now();
        match read_token(data) {
            Some((index, text)) if index == self.tokens => self.joined.push(&text),
            Some((index, _)) => self.fail(format!("token {index} in place of {}", self.tokens)),
            None => self.fail("a token that can't be read".to_owned()),
        }
        self.tokens += 1;
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            let gap = now.duration_since(last).as_micros();
            self.gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
        }
    }

    fn fail(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }
}

async fn observe(shared: &Shared, arrival: Arrival) -> Observation {
    let due = shared.start + arrival.at;
    let late = Instant::now().saturating_duration_since(due);
    let mut reading = Reading::default();
    let patience = arrival.ask.deadline.unwrap_or(PATIENCE) + shared.plan.drain;
    let read = read_answer(shared, &arrival, &mut reading);
    let ending = match timeout(patience, read).await {
        Ok(ending) => ending,
        Err(_) => Ending::Lost {
            detail: format!("no outcome within {patience:?}"),
        },
    };
    let took = due.elapsed();
    let (verdict, problem) = judge(shared, &arrival, &reading, &ending);
    let deadline = arrival.ask.deadline;
    Observation {
        request: arrival.ask.request.unwrap_or_default(),
        prompt: prompt_hash(&arrival.ask.prompt),
        order: arrival.ask.order,
        customer: arrival.ask.customer,
        priority: arrival.ask.priority,
        step: arrival.step,
        at: arrival.at,
        late,
        verdict,
        problem,
        tokens: reading.tokens,
        first_token: reading.first.map(|it| it.saturating_duration_since(due)),
        took,
        gaps: reading.gaps,
        within_deadline: deadline.is_none_or(|it| took <= it),
        timed: arrival.at >= shared.plan.warm_up,
        ending,
    }
}

async fn read_answer(shared: &Shared, arrival: &Arrival, reading: &mut Reading) -> Ending {
    let target = shared.plan.targets[arrival.target];
    let opened = AnswerStream::open(&shared.client, target, &arrival.ask).await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(error) => {
            return Ending::Lost {
                detail: error.to_string(),
            };
        }
    };
    while let Step::Token(event) = stream.step().await {
        reading.add(event.data());
    }
    stream.finish().await
}

/// Says whether a request ended as it must.
fn judge(
    shared: &Shared,
    arrival: &Arrival,
    reading: &Reading,
    ending: &Ending,
) -> (Verdict, Option<String>) {
    let (expected, joined) = (&shared.expected, &reading.joined);
    let prompt = &arrival.ask.prompt;
    let verdict = match ending {
        Ending::Answered { weights, .. } => expected.check_whole(*weights, prompt, joined),
        _ => expected.check_part(prompt, joined),
    };
    let problem = match (&reading.fault, verdict) {
        (Some(fault), _) => Some(fault.clone()),
        (None, Verdict::Foreign) => Some("tokens that are not this request's own".to_owned()),
        (None, _) => judge_ending(shared, arrival, reading, ending),
    };
    (verdict, problem)
}

fn judge_ending(
    shared: &Shared,
    arrival: &Arrival,
    reading: &Reading,
    ending: &Ending,
) -> Option<String> {
    match ending {
        Ending::Answered { tokens, .. } => {
            let wanted = arrival.ask.max_tokens;
            let short = *tokens != reading.tokens || *tokens != wanted;
            short.then(|| {
                format!(
                    "{} tokens came, {tokens} said, {wanted} asked",
                    reading.tokens
                )
            })
        }
        Ending::NotRun {
            reason,
            retry_after,
            ..
        } => {
            if !REASONS.contains(&reason.as_str()) {
                return Some(format!("not run for the unknown reason `{reason}`"));
            }
            let told = retry_after.is_some() || !RETRY_REASONS.contains(&reason.as_str());
            (!told).then(|| format!("not run for `{reason}` without when to come back"))
        }
        Ending::Unknown { .. } => None,
        Ending::Refused { status, body } => Some(format!("no outcome, status {status}: {body}")),
        Ending::Lost { .. } if shared.plan.lost_allowed => None,
        Ending::Lost { detail } | Ending::Malformed { detail } => Some(detail.clone()),
    }
}
