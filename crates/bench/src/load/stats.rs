//! Counts the outcomes against what the engines say that they ran.
//!
//! The system gives requests ids of its own, so that the engines' requests are found by their
//! prompts, each of which is asked only once.

use std::collections::BTreeMap;

use wagtailreel_core::OrderKey;
use wagtailreel_standins::EngineStats;

use super::tally::Tally;
use crate::error::{ParseSnafu, Result};
use crate::http_client::HttpClient;

/// How often the engines started one prompt.
#[derive(Clone, Copy, Debug, Default)]
struct Starts {
    /// In all.
    all: u32,
    /// From the first token on, which a resumed answer is not.
    from_first: u32,
}

/// Asks every engine for its statistics and adds a problem for each contradiction.
///
/// # Errors
///
/// Returns an error if an engine can't be asked.
pub(crate) async fn check_engines(
    client: &HttpClient,
    engines: &[String],
    tally: &mut Tally,
) -> Result<()> {
    if engines.is_empty() {
        return Ok(());
    }
    let mut starts: BTreeMap<String, Starts> = BTreeMap::new();
    for url in engines {
        let stats = read_stats(client, url).await?;
        if stats.forgotten > 0 {
            let forgotten = stats.forgotten;
            tally.add_problem(format!("{url} forgot {forgotten} requests: remember more"));
        }
        for request in stats.requests.into_values() {
            let starts = starts.entry(request.prompt).or_default();
            starts.all += request.started;
            starts.from_first += request.from_first;
        }
    }
    compare(&starts, tally);
    Ok(())
}

async fn read_stats(client: &HttpClient, url: &str) -> Result<EngineStats> {
    let url = format!("{url}/standin/stats");
    let fetched = client.get(&url).await?;
    serde_json::from_slice(&fetched.body).map_err(|source| {
        ParseSnafu {
            what: url,
            detail: source.to_string(),
        }
        .build()
    })
}

/// Holds every outcome against the starts, and the starts of every order against once.
fn compare(starts: &BTreeMap<String, Starts>, tally: &mut Tally) {
    let mut orders: BTreeMap<&OrderKey, u32> = BTreeMap::new();
    let mut problems = Vec::new();
    for (request, ended) in &tally.requests {
        let started = starts.get(&ended.prompt).copied().unwrap_or_default();
        match (ended.word, started.all) {
            ("not-run", 1..) => problems.push(format!("{request}: told not run, but it was run")),
            ("answered", 0) => problems.push(format!("{request}: answered, but no engine ran it")),
            _ => {}
        }
        if let Some(order) = &ended.order {
            *orders.entry(order).or_default() += started.from_first;
        }
    }
    let twice = orders.iter().filter(|(_, started)| **started > 1);
    problems.extend(twice.map(|(order, started)| format!("order {order} ran {started} times")));
    for problem in problems {
        tally.add_problem(problem);
    }
}
