//! Counts the outcomes against what the engines say that they ran.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use wagtailreel_core::{OrderKey, RequestId};

use super::tally::Tally;
use crate::error::{ParseSnafu, Result};
use crate::http_client::HttpClient;

/// Statistics of a stand-in, as far as they are read: an engine's requests or a plain service's
/// runs.
#[derive(Debug, Deserialize)]
struct Stats {
    #[serde(default)]
    forgotten: u64,
    #[serde(default)]
    requests: BTreeMap<RequestId, Started>,
    #[serde(default)]
    runs: BTreeMap<RequestId, u64>,
}

#[derive(Debug, Deserialize)]
struct Started {
    started: u64,
}

/// Asks every stand-in for its statistics and adds a problem for each contradiction.
///
/// A request that is resumed on another replica starts there under the same id, so only requests
/// of different ids count as two runs of one order.
///
/// # Errors
///
/// Returns an error if a stand-in can't be asked.
pub(crate) async fn check_engines(
    client: &HttpClient,
    engines: &[String],
    tally: &mut Tally,
) -> Result<()> {
    if engines.is_empty() {
        return Ok(());
    }
    let mut starts: BTreeMap<RequestId, u64> = BTreeMap::new();
    for url in engines {
        let stats = read_stats(client, url).await?;
        if stats.forgotten > 0 {
            let forgotten = stats.forgotten;
            tally.add_problem(format!("{url} forgot {forgotten} requests: remember more"));
        }
        let requests = stats.requests.into_iter().map(|(id, it)| (id, it.started));
        for (request, started) in requests.chain(stats.runs) {
            *starts.entry(request).or_default() += started;
        }
    }
    compare(&starts, tally);
    Ok(())
}

async fn read_stats(client: &HttpClient, url: &str) -> Result<Stats> {
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

/// Holds every outcome against the starts, and every order's requests against each other.
fn compare(starts: &BTreeMap<RequestId, u64>, tally: &mut Tally) {
    let mut orders: BTreeMap<&OrderKey, BTreeSet<&RequestId>> = BTreeMap::new();
    let mut problems = Vec::new();
    for (request, ended) in &tally.requests {
        let started = starts.get(request).copied().unwrap_or_default();
        match (ended.word, started) {
            ("not-run", 1..) => problems.push(format!("{request}: told not run, but it was run")),
            ("answered", 0) => problems.push(format!("{request}: answered, but no engine ran it")),
            _ => {}
        }
        if let Some(order) = ended.order.as_ref().filter(|_| started > 0) {
            orders.entry(order).or_default().insert(request);
        }
    }
    let twice = orders.iter().filter(|(_, requests)| requests.len() > 1);
    problems.extend(twice.map(|(order, requests)| format!("order {order} ran as {requests:?}")));
    for problem in problems {
        tally.add_problem(problem);
    }
}
