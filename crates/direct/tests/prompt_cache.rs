//! An entry whose engines retain prompts.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{get, request, send};
use common::weights::{WRITTEN, answering};
use common::{directory, engine_record, entry_with, until_readiness};
use rstest::rstest;
use wagtailreel_settings::PromptCacheSettings;
use wagtailreel_standins::RegistryStandin;

const RETAINS: PromptCacheSettings = PromptCacheSettings {
    retention: Duration::from_secs(30),
    prefixes: 64,
};

/// Requests with the same beginning go to the engine that has read it, instead of being read again elsewhere.
/// Without the setting they take turns, as before.
#[rstest]
#[case::retained(Some(RETAINS), vec![0, 8], 7 * 4000)]
#[case::not_retained(None, vec![4, 4], 0)]
#[tokio::test]
async fn same_beginning(
    #[case] prompt_cache: Option<PromptCacheSettings>,
    #[case] served: Vec<usize>,
    #[case] held_tokens: u32,
) {
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    let upstreams = [answering().await, answering().await];
    for (id, upstream) in ["a", "b"].iter().zip(&upstreams) {
        registry.upstream(engine_record(id, upstream, 1));
    }
    let entry = entry_with(&registry, |settings| settings.prompt_cache = prompt_cache).await;
    until_readiness(&entry, 200).await;
    for own in 0..8 {
        let parts = format!("manual:4000 {own}:10");
        let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-prompt", &parts)];
        let answer = send(entry.callers(), &request("GET", WRITTEN, &headers, "")).await;
        assert_eq!(answer.status, 200);
    }
    let mut seen: Vec<usize> = upstreams.iter().map(|it| it.seen().len()).collect();
    seen.sort_unstable();
    assert_eq!(seen, served);
    let metrics = get(entry.status(), "/metrics", &[]).await.body;
    let held = format!("wagtailreel_prompt_tokens_held_total {held_tokens}");
    assert!(metrics.contains(&held), "{metrics}");
}
