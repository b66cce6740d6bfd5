//! What the fleet is put to while its costs are counted.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use wagtailreel_core::{VmEntry, VmRole, VmState};

use super::measure::{MODEL, SERVICE};
use crate::answer::AnswerStream;
use crate::error::{BrokenSnafu, Result};
use crate::fleet::{Fleet, Submission, to_yaml};
use crate::load::{MaxTokens, Orders, Plan, Step, run_load};

/// Tokens of a stream that is held open.
const HELD_TOKENS: u32 = 100_000;

/// Submits the document with `version`, waits until every replica serves it, and returns the
/// revision.
pub(super) async fn go_live(fleet: &Fleet, version: &str, base: u64) -> Result<u64> {
    let document = fleet.spec().document(SERVICE, Some((MODEL, version)));
    fleet.go_live(&document, base).await
}

async fn submit(fleet: &Fleet, yaml: &str, base: u64) -> Result<u64> {
    match fleet.submit(SERVICE, yaml, base).await? {
        Submission::Accepted { revision, .. } => Ok(revision),
        other => BrokenSnafu {
            what: format!("the document was not accepted: {other:?}"),
        }
        .fail(),
    }
}

/// Submits edits that change only a limit, one after the other.
pub(super) async fn edit_often(fleet: &Fleet, count: u32, base: u64) -> Result<()> {
    let mut revision = base;
    let mut document = fleet.spec().document(SERVICE, Some((MODEL, "1")));
    for n in 0..count {
        document.default_limit = Some(wagtailreel_core::CustomerLimit {
            requests_per_second: 1000.0 + f64::from(n),
            burst: 1000,
        });
        revision = submit(fleet, &to_yaml(&document)?, revision).await?;
    }
    Ok(())
}

/// Runs a load in which every request has to be answered.
pub(super) async fn load(
    fleet: &Fleet,
    rate: f64,
    tokens: u32,
    orders: f64,
    span: Duration,
) -> Result<()> {
    let step = Step {
        duration: span,
        rate,
    };
    let max_tokens = MaxTokens {
        least: tokens,
        most: tokens,
    };
    let plan = Plan {
        orders: Orders {
            share: orders,
            twice: 0.0,
        },
        ..Plan::steady(fleet, SERVICE, step, max_tokens)
    };
    let report = run_load(plan, CancellationToken::new()).await?;
    let answered = report.total.ended("answered");
    if report.holds() && answered == report.total.sent {
        return Ok(());
    }
    BrokenSnafu {
        what: report.to_text(),
    }
    .fail()
}

/// Opens streams that give a token a second, and waits for the first token of each.
pub(super) async fn hold_streams(fleet: &Fleet, count: u32) -> Result<Vec<AnswerStream>> {
    let entry = &fleet.entries()[0];
    let mut streams = Vec::new();
    for n in 0..count {
        let ask = fleet.ask_of(0, SERVICE, &format!("held {n}"), HELD_TOKENS);
        let mut stream = fleet.open(entry, &ask).await?;
        if stream.next_token().await.is_none() {
            let what = format!("stream {n} ended: {:?}", stream.finish().await);
            return BrokenSnafu { what }.fail();
        }
        streams.push(stream);
    }
    Ok(streams)
}

/// Makes a VM of a data centre far away at an address where nothing listens.
pub(super) fn unreachable_vm(n: u32) -> VmEntry {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    VmEntry {
        vm: format!("far-hall-u{n}"),
        data_centre: "far-hall".to_owned(),
        region: "far".to_owned(),
        role: VmRole::Upstream,
        state: VmState::Live,
        service: Some(SERVICE.to_owned()),
        control: addr,
        data: addr,
    }
}
