//! A registry that comes back from an older copy, read through neighbours.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{Entry, following, report_regularly, upstream};
use rstest::rstest;
use wagtailreel_standins::RegistryStandin;

/// Guards against an entry that waits at its neighbour until the restored log has grown back to the offset that it
/// had read to.
#[rstest]
#[tokio::test]
async fn chain_after_restore() {
    let store = RegistryStandin::default();
    let first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::at("127.0.0.2:0", store.clone()).await;
    let reporting = report_regularly(&second, vec![first.addr]);
    let (one, a) = following(&first);
    let (two, b) = following(&second);
    for n in 0..10 {
        store.upstream(upstream(&format!("u-{n}")));
    }
    one.until_known("u-9").await;
    two.until_known("u-9").await;
    store.restore(8);
    store.upstream(upstream("new"));
    one.until_known("new").await;
    two.until_known("new").await;
    for task in [reporting, a, b] {
        task.abort();
    }
}
