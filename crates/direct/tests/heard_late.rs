//! How late entries that read the registry through each other hear of a change.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod chain;

use std::net::TcpListener;
use std::time::Duration;

use chain::{
    CHANGE_BOUND, Follower, OUTAGE_BOUND, append, slowest_addr, time_until_known, until_called,
};
use rstest::rstest;
use wagtailreel_fleet::Topic;
use wagtailreel_standins::RegistryStandin;

/// Time that a slow registry takes to answer.
const SLOW_ANSWER: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Suspended,
    Ended,
    Restarted,
}

/// The entry that reads for two others falls silent just before a change.
#[rstest]
#[tokio::test]
async fn reader_silent(
    #[values(Topic::Settings, Topic::Upstreams)] topic: Topic,
    #[values(Trouble::Suspended, Trouble::Ended, Trouble::Restarted)] trouble: Trouble,
) {
    let store = RegistryStandin::default();
    let first = Follower::start(1, topic, &store, &[]);
    let second = Follower::start(2, topic, &store, &[&first]);
    let third = Follower::start(3, topic, &store, &[&first, &second]);
    append(&store, topic, 1);
    time_until_known(&[&first, &second, &third], 1).await;
    let _first = match trouble {
        Trouble::Suspended => first.suspended(),
        Trouble::Ended => first.ended(),
        Trouble::Restarted => first.restarted(topic, &store),
    };
    append(&store, topic, 2);
    let took = time_until_known(&[&second, &third], 2).await;
    println!("{took:?}");
    assert!(took < CHANGE_BOUND, "{took:?}");
}

/// The reads of both readers are lost, while the registry answers the third entry.
#[rstest]
#[tokio::test]
async fn readers_cut(#[values(Topic::Settings, Topic::Upstreams)] topic: Topic) {
    let (cut, store) = (RegistryStandin::default(), RegistryStandin::default());
    let first = Follower::start(1, topic, &cut, &[]);
    let second = Follower::start(2, topic, &cut, &[&first]);
    let third = Follower::start(3, topic, &store, &[&first, &second]);
    append(&store, topic, 1);
    append(&cut, topic, 1);
    time_until_known(&[&first, &second, &third], 1).await;
    until_called(&cut).await;
    cut.set_losing(true);
    append(&store, topic, 2);
    let took = time_until_known(&[&third], 2).await;
    println!("{took:?}");
    assert!(took < CHANGE_BOUND, "{took:?}");
}

/// The registry answers nothing for a second.
#[rstest]
#[tokio::test]
async fn registry_holds(#[values(Topic::Settings, Topic::Upstreams)] topic: Topic) {
    let store = RegistryStandin::default();
    let first = Follower::start(1, topic, &store, &[]);
    let second = Follower::start(2, topic, &store, &[&first]);
    let third = Follower::start(3, topic, &store, &[&first, &second]);
    append(&store, topic, 1);
    time_until_known(&[&first, &second, &third], 1).await;
    until_called(&store).await;
    store.set_holding(true);
    append(&store, topic, 2);
    let after = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        store.set_holding(false);
    };
    let all = [&first, &second, &third];
    let (took, ()) = tokio::join!(time_until_known(&all, 2), after);
    println!("{took:?}");
    assert!(took < CHANGE_BOUND, "{took:?}");
}

/// An entry that reads alone sends a call just before the end of an outage, and gets no answer to it.
#[rstest]
#[tokio::test]
async fn lone_lost_call(#[values(Topic::Settings, Topic::Upstreams)] topic: Topic) {
    let store = RegistryStandin::default();
    let entry = Follower::start(1, topic, &store, &[]);
    append(&store, topic, 1);
    entry.until_known(1).await;
    store.set_away(true);
    for _ in 0..4 {
        until_called(&store).await;
    }
    store.set_losing(true);
    store.set_away(false);
    until_called(&store).await;
    store.set_losing(false);
    store.set_delay(SLOW_ANSWER);
    append(&store, topic, 2);
    let took = time_until_known(&[&entry], 2).await;
    println!("{took:?}");
    assert!(took < OUTAGE_BOUND, "{took:?}");
}

/// The last call of an entry in an outage is lost, and its readers are answered again.
#[rstest]
#[tokio::test]
async fn relayed_lost_call(#[values(Topic::Settings, Topic::Upstreams)] topic: Topic) {
    let (store, lossy) = (RegistryStandin::default(), RegistryStandin::default());
    let first = Follower::start(1, topic, &store, &[]);
    let second = Follower::start(2, topic, &store, &[&first]);
    let third = Follower::start(3, topic, &lossy, &[&first, &second]);
    append(&store, topic, 1);
    append(&lossy, topic, 1);
    time_until_known(&[&first, &second, &third], 1).await;
    lossy.set_losing(true);
    store.set_away(true);
    until_called(&lossy).await;
    lossy.set_losing(false);
    store.set_away(false);
    append(&store, topic, 2);
    let took = time_until_known(&[&first, &second, &third], 2).await;
    println!("{took:?}");
    assert!(took < OUTAGE_BOUND, "{took:?}");
}

/// The last call of an entry in an outage is lost, and its readers stay cut off from the registry.
#[rstest]
#[tokio::test]
async fn lost_behind_cut(#[values(Topic::Settings, Topic::Upstreams)] topic: Topic) {
    let (cut, store) = (RegistryStandin::default(), RegistryStandin::default());
    let first = Follower::start(1, topic, &cut, &[]);
    let second = Follower::start(2, topic, &cut, &[&first]);
    let listener = TcpListener::bind("127.0.0.3:0").unwrap();
    let own = slowest_addr(3);
    let third = Follower::start_at(own, listener, topic, &store, &[&first, &second]);
    append(&store, topic, 1);
    append(&cut, topic, 1);
    time_until_known(&[&first, &second, &third], 1).await;
    store.set_losing(true);
    cut.set_away(true);
    until_called(&store).await;
    store.set_losing(false);
    append(&store, topic, 2);
    let took = time_until_known(&[&third], 2).await;
    println!("{took:?}");
    assert!(took < OUTAGE_BOUND, "{took:?}");
}
