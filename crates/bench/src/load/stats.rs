//! Counts the outcomes against what the engines say that they ran.

use std::collections::BTreeMap;

use wagtailreel_core::{OrderKey, RequestId};

use super::tally::Tally;
use crate::error::Result;
use crate::http_client::HttpClient;

/// Asks every stand-in for its statistics and adds a problem for each contradiction.
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
        let fetched = client.get(&format!("{url}/standin/stats")).await?;
        add_starts(&fetched.body, &mut starts);
    }
    let mut orders: BTreeMap<OrderKey, u64> = BTreeMap::new();
    let mut problems = Vec::new();
    for (request, ended) in &tally.requests {
        let started = starts.get(request).copied().unwrap_or_default();
        match (ended.word, started) {
            ("not-run", 1..) => problems.push(format!("{request}: told not run, but it was run")),
            ("answered", 0) => problems.push(format!("{request}: answered, but no engine ran it")),
            _ => {}
        }
        if let Some(order) = &ended.order {
            *orders.entry(order.clone()).or_default() += started;
        }
    }
    let twice = orders.iter().filter(|(_, started)| **started > 1);
    problems.extend(twice.map(|(order, started)| format!("order {order}: run {started} times")));
    for problem in problems {
        tally.add_problem(problem);
    }
    Ok(())
}

fn add_starts(_body: &[u8], _starts: &mut BTreeMap<RequestId, u64>) {}
