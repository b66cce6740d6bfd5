//! How long an entry waits for the first event of a stream before it asks another engine.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::agent::{free_port, load_status, start_agent};
use common::caller::call;
use common::upstream::{Act, TestUpstream, body_of};
use common::{directory, engine_record, entry_with_agents, until_status};
use rstest::rstest;
use wagtailreel_standins::RegistryStandin;

const WRITTEN: &str = "/written/1";

/// A stream waits for the only engine, whether that is full or has a free slot. Callers of this route leave after
/// 2 s.
#[rstest]
#[case::full(4)]
#[case::free_slot(1)]
#[tokio::test]
async fn late_first_event(#[case] running: u32) {
    let registry = RegistryStandin::default();
    let late = Act::DelayedEvents(1500, 1, 2);
    let engine = TestUpstream::start(&[Act::Events(1, 1), late]).await;
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
    assert_eq!(answer.status, 200);
    assert_eq!((answer.body, answer.is_whole), (body_of(1, 2), true));
    assert_eq!(engine.seen().len(), 2);
}

/// A stream moves away from an engine that has a free slot and sends nothing, if another engine is free, and
/// stays at one that is full.
#[rstest]
#[case::full(4, 0)]
#[case::free_slot(1, 1)]
#[tokio::test]
async fn other_engine(#[case] running: u32, #[case] moved: usize) {
    let registry = RegistryStandin::default();
    let late = Act::DelayedEvents(1800, 1, 2);
    let engine = TestUpstream::start(&[Act::Events(1, 1), late]).await;
    let other = TestUpstream::start_on("127.0.0.2", &[Act::Events(1, 2)]).await;
    let port = free_port().await;
    let agent = start_agent("127.0.0.1", port, load_status(1, 0)).await;
    let _other_agent = start_agent("127.0.0.2", port, load_status(1, 0)).await;
    registry.config(directory(1));
    registry.upstream(engine_record("engine", &engine, 1));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, "GET", WRITTEN).await });
    engine.until_seen(2).await;
    registry.upstream(engine_record("other", &other, 1));
    agent.send_replace(load_status(1, running));
    let answer = waiting.await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!((answer.body, answer.is_whole), (body_of(1, 2), true));
    assert_eq!(other.seen().len(), moved);
}
