//! How long an entry waits for the first event of a stream before it abandons the engine.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::agent::{free_port, load_status, start_agent};
use common::caller::call;
use common::upstream::{Act, TestUpstream};
use common::{directory, engine_record, entry_with_agents, until_status};
use rstest::rstest;
use wagtailreel_standins::RegistryStandin;

const WRITTEN: &str = "/written/1";

/// A stream stays in the queue of an engine that answers queries and is full. It is abandoned at an engine
/// that has a free slot and still sends nothing. Callers of this route leave after 2 s.
#[rstest]
#[case::full(4, Act::DelayedEvents(1500, 1, 2), 200)]
#[case::free_slot(1, Act::DelayedEvents(1500, 1, 2), 502)]
#[tokio::test]
async fn late_first_event(#[case] running: u32, #[case] act: Act, #[case] status: u16) {
    let registry = RegistryStandin::default();
    let engine = TestUpstream::start(&[Act::Events(1, 1), act]).await;
    let port = free_port().await;
    let agent = start_agent("127.0.0.1", port, load_status(1, 0)).await;
    registry.config(directory(1));
    registry.upstream(engine_record("engine", &engine, 1));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, "GET", WRITTEN).await });
    engine.until_seen(2).await;
    agent.send_replace(load_status(1, running));
    let answer = waiting.await.unwrap();
    assert_eq!(answer.status, status);
}
