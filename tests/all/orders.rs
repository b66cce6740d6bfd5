//! Proofs that an order runs at most once, whoever is asked, paused, killed or away.

use std::time::Duration;

use futures::future::join_all;
use rstest::rstest;
use wagtailreel_bench::answer::{Answer, Ask, Ending};
use wagtailreel_bench::fleet::{UpstreamSpec, check_answer};
use wagtailreel_bench::http_client::Fetched;
use wagtailreel_bench::{Look, wait_for, wait_until};
use wagtailreel_core::{NotRunReason, Outcome};

use crate::requests::{
    BOUND, Live, PLAIN, fresh_key, key_of_age, not_run, one_centre, says_when, start,
};

/// Entry that is asked first.
const FIRST: &str = "quito-hall-e1";
/// The other entry.
const SECOND: &str = "quito-hall-e2";

fn order(live: &Live, prompt: &str, tokens: u32, key: &str) -> Ask {
    live.ask(prompt, tokens).with_order(key)
}

/// Starts two entries, two engines and a plain service, all live.
async fn start_both() -> Live {
    let mut spec = one_centre(2, 2);
    let plain = UpstreamSpec::plain(PLAIN);
    spec.data_centres[0].upstreams.push(plain);
    let live = start(spec).await;
    live.start_plain().await;
    live
}

/// Two requests with one key at two entries at once: one runs, the other is told.
#[tokio::test(flavor = "multi_thread")]
async fn same_key_once() {
    let live = start(one_centre(2, 2)).await;
    let asks = (0..30).map(|n| {
        order(
            &live,
            &format!("Cut stone {n}"),
            5,
            &fresh_key(&n.to_string()),
        )
    });
    let asks: Vec<Ask> = asks.collect();
    let both = asks
        .iter()
        .map(|ask| async { tokio::join!(live.answer(FIRST, ask), live.answer(SECOND, ask)) });
    for (ask, (first, second)) in asks.iter().zip(join_all(both).await) {
        assert_eq!(live.starts(&ask.prompt), 1, "{}", ask.prompt);
        let (won, lost) = match &first.ending {
            Ending::Answered { .. } => (first, second),
            _ => (second, first),
        };
        assert_eq!(check_answer(ask, &won).unwrap(), live.bundle);
        assert_eq!(not_run(&lost), "claimed");
    }
}

/// A lost answer to the claim's append neither loses the order nor runs it twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_append_once() {
    let live = start(one_centre(2, 2)).await;
    let log = live.fleet.standins.log.faults();
    for n in 0..5 {
        log.update(|faults| faults.lose_appends = 2);
        let ask = order(
            &live,
            &format!("Lost append {n}"),
            5,
            &fresh_key(&format!("lost-{n}")),
        );
        let first = live.answer(FIRST, &ask).await;
        assert_eq!(check_answer(&ask, &first).unwrap(), live.bundle);
        assert_eq!(not_run(&live.answer(SECOND, &ask).await), "claimed");
        assert_eq!(live.starts(&ask.prompt), 1);
    }
    assert!(live.fleet.standins.log.stats().lost >= 5);
}

/// A holder that was frozen between its claim and its dispatch, and wakes after another entry was
/// asked for the same order, doesn't make it run twice.
#[tokio::test(flavor = "multi_thread")]
async fn paused_holder_wakes() {
    let live = start(one_centre(2, 2)).await;
    let log = &live.fleet.standins.log;
    let ask = order(&live, "Pause my holder", 5, &fresh_key("pause"));
    let before = log.stats().appends;
    log.faults()
        .update(|faults| faults.common.slow = Duration::from_millis(1_500));
    let first = live.answer(FIRST, &ask);
    let rest = async {
        // The holder sees neither the end of its append nor its claim in the log.
        tokio::time::sleep(Duration::from_millis(700)).await;
        live.freeze(FIRST).await;
        assert_eq!(
            log.stats().appends,
            before,
            "the claim was in the log too early"
        );
        let appended = || async { log.stats().appends > before };
        wait_until("the claim to be in the log", BOUND, appended)
            .await
            .unwrap();
        log.faults().clear();
        let second = live.answer(SECOND, &ask).await;
        assert_eq!(not_run(&second), "claimed");
        live.fleet.thaw(FIRST).await.unwrap();
    };
    let (first, ()) = tokio::join!(first, rest);
    live.check(&ask, &first);
    // Given up or run: whatever the key's state is now, no second run comes of it.
    for entry in [SECOND, FIRST, SECOND] {
        live.answer(entry, &ask).await;
    }
    assert_eq!(live.starts(&ask.prompt), 1);
}

/// A killed holder's order never runs again, neither elsewhere nor at the entry's next start.
#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_once() {
    let live = start(one_centre(2, 2)).await;
    let ask = order(&live, "Kill my holder", 2_000, &fresh_key("kill"));
    let begun = live.begin(FIRST, &ask, 5).await;
    live.fleet.kill(FIRST).await.unwrap();
    let (_, answer) = begun.finish().await;
    assert_eq!(answer.ending.outcome(), None, "{:?}", answer.ending);
    assert_eq!(not_run(&live.answer(SECOND, &ask).await), "claimed");
    live.fleet.restart(FIRST).await.unwrap();
    live.wait_answers(FIRST).await;
    let again = wait_for("the new entry to know the claims", BOUND, || async {
        let again = live.answer(FIRST, &ask).await;
        match &again.ending {
            Ending::NotRun { reason, .. } if reason == "log-away" => {
                Look::NotYet(format!("{again:?}"))
            }
            _ => Look::Found(again),
        }
    });
    assert_eq!(not_run(&again.await.unwrap()), "claimed");
    assert_eq!(live.starts(&ask.prompt), 1);
}

/// An order whose stream is cut is not resumed elsewhere: that would run it twice.
#[tokio::test(flavor = "multi_thread")]
async fn cut_order_once() {
    let live = start(one_centre(2, 2)).await;
    let ask = order(&live, "Cut my order", 400, &fresh_key("cut"));
    let begun = live.begin(FIRST, &ask, 5).await;
    live.fleet.standins.engines[&live.running_at(&ask.prompt)].crash();
    let (ask, answer) = begun.finish().await;
    assert!(
        matches!(answer.ending, Ending::Unknown { .. }),
        "{:?}",
        answer.ending
    );
    live.check(&ask, &answer);
    assert_eq!(not_run(&live.answer(SECOND, &ask).await), "claimed");
    assert_eq!(live.starts(&ask.prompt), 1);
}

/// How the log is away.
#[derive(Clone, Copy, Debug)]
enum Away {
    /// It can't be reached.
    Gone,
    /// It answers 503.
    Down,
    /// It takes connections and says nothing.
    Silent,
}

fn set_away(live: &Live, away: Away, on: bool) {
    let log = &live.fleet.standins.log;
    match (away, on) {
        (Away::Gone, true) => log.crash(),
        (Away::Gone, false) => log.resume().unwrap(),
        (Away::Down, on) => log.faults().update(|faults| faults.common.down = on),
        (Away::Silent, on) => log.faults().update(|faults| faults.common.frozen = on),
    }
}

/// With the log away an order is not run and says when to come back; other requests go on, and
/// orders do again once it is back.
#[rstest]
#[case::gone(Away::Gone)]
#[case::down(Away::Down)]
#[case::silent(Away::Silent)]
#[tokio::test(flavor = "multi_thread")]
async fn log_away_refused(#[case] away: Away) {
    let live = start(one_centre(2, 2)).await;
    set_away(&live, away, true);
    let mut refused = Vec::new();
    for n in 0..4 {
        let ask = order(
            &live,
            &format!("No log {n}"),
            5,
            &fresh_key(&format!("away-{n}")),
        );
        let entry = [FIRST, SECOND][n % 2];
        let answer = live.answer(entry, &ask).await;
        assert_eq!(not_run(&answer), "log-away");
        assert!(says_when(&answer), "{answer:?}");
        live.wait_answers(entry).await;
        refused.push(ask);
    }
    set_away(&live, away, false);
    for ask in &refused {
        let answer = wait_answered(&live, ask).await;
        assert_eq!(check_answer(ask, &answer).unwrap(), live.bundle);
        assert_eq!(live.starts(&ask.prompt), 1, "{}", ask.prompt);
    }
}

/// Sends an order again while the log is away, as its callers are told to.
async fn wait_answered(live: &Live, ask: &Ask) -> Answer {
    wait_for("the order to be answered", BOUND, || async {
        let answer = live.answer(FIRST, ask).await;
        let wait = match &answer.ending {
            // A claim of the time before may be on its way to be given up.
            Ending::NotRun { reason, .. } => matches!(reason.as_str(), "log-away" | "claimed"),
            _ => false,
        };
        if wait {
            Look::NotYet(format!("{:?}", answer.ending))
        } else {
            Look::Found(answer)
        }
    })
    .await
    .unwrap()
}

/// A key that is not honoured runs nothing.
#[rstest]
#[case::expired(key_of_age("old", Duration::from_secs(700)), "expired", 409)]
#[case::no_time("stone-17".to_owned(), "", 400)]
#[case::no_text("1780000000".to_owned(), "", 400)]
#[tokio::test(flavor = "multi_thread")]
async fn bad_key_refused(#[case] key: String, #[case] reason: &str, #[case] status: u16) {
    let live = start(one_centre(1, 1)).await;
    let ask = order(&live, "Bad key", 5, &key);
    let answer = live.answer(FIRST, &ask).await;
    let Ending::NotRun {
        reason: told,
        status: came,
        ..
    } = &answer.ending
    else {
        panic!("{:?}", answer.ending);
    };
    assert_eq!((told.as_str(), came.as_u16()), (reason, status));
    assert_eq!(live.starts(&ask.prompt), 0);
}

/// The same for plain services: one key at two entries at once runs one call.
#[tokio::test(flavor = "multi_thread")]
async fn plain_once() {
    let live = start_both().await;
    let calls = (0..20).map(|n| {
        let live = &live;
        async move {
            let key = fresh_key(&format!("plain-{n}"));
            let path = format!("stone/{n}");
            let (first, second) = tokio::join!(
                call(live, FIRST, &path, &key),
                call(live, SECOND, &path, &key)
            );
            (path, [first, second])
        }
    });
    for (path, answers) in join_all(calls).await {
        assert_eq!(live.plain_runs(&path), 1, "{path}");
        let mut told: Vec<_> = answers
            .iter()
            .map(|it| (outcome_of(it), reason_of(it)))
            .collect();
        told.sort_unstable();
        assert_eq!(
            told,
            [(Some("answered"), None), (Some("not-run"), Some("claimed"))]
        );
    }
}

/// A call whose answer is lost is unknown, and its key runs nothing a second time.
#[tokio::test(flavor = "multi_thread")]
async fn plain_lost_answer() {
    let live = start_both().await;
    let plain = live.fleet.standins.plains.values().next().unwrap();
    plain.faults().update(|faults| faults.lose_answers = 1);
    let key = fresh_key("slab");
    let first = call(&live, FIRST, "slab", &key).await;
    assert_eq!(outcome_of(&first), Some("unknown"), "{}", first.text());
    for entry in [FIRST, SECOND] {
        let again = call(&live, entry, "slab", &key).await;
        assert_eq!(reason_of(&again), Some("claimed"), "{}", again.text());
    }
    assert_eq!(live.plain_runs("slab"), 1);
}

/// An order that was certainly not run is free again: its key may be used once more.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_released() {
    let live = start_both().await;
    let vm = live.fleet.upstreams(PLAIN)[0].clone();
    live.fleet.kill(&vm).await.unwrap();
    let key = fresh_key("later");
    let first = call(&live, FIRST, "later", &key).await;
    assert_eq!(outcome_of(&first), Some("not-run"), "{}", first.text());
    live.fleet.restart(&vm).await.unwrap();
    wait_for("the order to run", BOUND, || async {
        let again = call(&live, SECOND, "later", &key).await;
        match outcome_of(&again) {
            Some("answered") => Look::Found(()),
            _ => Look::NotYet(again.text()),
        }
    })
    .await
    .unwrap();
    assert_eq!(live.plain_runs("later"), 1);
}

async fn call(live: &Live, entry: &str, path: &str, key: &str) -> Fetched {
    let headers = [("wagtailreel-order", key)];
    live.fleet
        .call(entry, PLAIN, path, &headers, "granite")
        .await
        .unwrap()
}

fn outcome_of(answer: &Fetched) -> Option<&str> {
    answer.header(Outcome::HEADER)
}

fn reason_of(answer: &Fetched) -> Option<&str> {
    answer.header(NotRunReason::HEADER)
}
