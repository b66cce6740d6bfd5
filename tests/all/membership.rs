//! Proofs that what leaves gets nothing new and loses nothing that runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::join_all;
use rstest::rstest;
use tokio::time::sleep;
use wagtailreel_bench::answer::{Answer, Ask, Ending};
use wagtailreel_bench::fleet::{DataCentreSpec, FleetSpec, UpstreamSpec, check_answer};
use wagtailreel_bench::wait_until;
use wagtailreel_standins::VmChange;

use crate::requests::{BOUND, Live, SERVICE, one_centre, small_models, start};

/// Longest time after which what leaves must get nothing new.
const SETTLED: Duration = Duration::from_secs(3);

/// How long is looked whether anything new comes after that.
const WATCHED: Duration = Duration::from_secs(2);

/// A lag of the list that no test sees the end of.
const NEVER: Duration = Duration::from_secs(3_600);

/// The upstream that leaves.
const LEAVER: &str = "quito-hall-u1";

/// How the word of leaving comes.
#[derive(Clone, Copy, Debug)]
enum Word {
    /// The agent is told; every list still shows it as live.
    Notice,
    /// Every list says so; the notice to the agent is lost.
    List,
    /// Only the list of its own data centre says so; the other lags, and the notice is lost.
    OwnList,
}

async fn leave(live: &Live, word: Word) {
    let lists = &live.fleet.standins.vm_lists;
    let lag = |centre: &str| lists[centre].faults().update(|faults| faults.lag = NEVER);
    match word {
        Word::Notice => {
            lag("quito-hall");
            lag("cuenca-hall");
            live.fleet.terminate(LEAVER).await.unwrap();
        }
        Word::List => {}
        Word::OwnList => lag("cuenca-hall"),
    }
    live.standins_leave(LEAVER);
}

impl Live {
    fn standins_leave(&self, vm: &str) {
        self.fleet.standins.change_vms(&VmChange {
            leaving: vec![vm.to_owned()],
            ..VmChange::default()
        });
    }

    fn started_at(&self, vm: &str) -> u64 {
        self.fleet.standins.engines[vm].stats().started
    }
}

/// Two data centres; the second has no engine, so that its callers are served by the first.
fn two_centres() -> FleetSpec {
    small_models(vec![
        DataCentreSpec::new("quito-hall", "sierra")
            .with_entries(1)
            .with_upstreams(2, UpstreamSpec::engine(SERVICE)),
        DataCentreSpec::new("cuenca-hall", "austro").with_entries(1),
    ])
}

/// A leaving upstream gets nothing new after 3 s, however the word of it comes.
#[rstest]
#[case::notice(Word::Notice)]
#[case::list(Word::List)]
#[case::own_list(Word::OwnList)]
#[tokio::test(flavor = "multi_thread")]
async fn leaver_spared(#[case] word: Word) {
    let live = Arc::new(start(two_centres()).await);
    let load = Load::start(&live);
    // It runs to the end of the test, so that the agent is there to get something new.
    let ask = live.ask("Keep me to the end", 100_000);
    let kept = kept_at(&live, LEAVER, &ask).await;
    let stays = "quito-hall-u2";
    wait_until("both engines to get work", BOUND, || async {
        live.started_at(LEAVER) > 5 && live.started_at(stays) > 5
    })
    .await
    .unwrap();
    leave(&live, word).await;
    sleep(SETTLED).await;
    let before = (live.started_at(LEAVER), live.started_at(stays));
    sleep(WATCHED).await;
    assert_eq!(live.started_at(LEAVER), before.0, "it got something new");
    assert!(live.started_at(stays) > before.1, "nothing was asked");
    drop(kept);
    for (ask, answer) in load.stop().await {
        assert_eq!(check_answer(&ask, &answer).unwrap(), live.bundle);
    }
}

/// Opens streams until one runs at the engine of `vm`.
async fn kept_at(live: &Live, vm: &str, ask: &Ask) -> Vec<crate::requests::Begun> {
    let mut kept = Vec::new();
    for n in 0..20 {
        let mut ask = ask.clone();
        ask.prompt = format!("{} {n}", ask.prompt);
        kept.push(live.begin("quito-hall-e1", &ask, 1).await);
        if live.running_at(&ask.prompt) == vm {
            return kept;
        }
    }
    panic!("no stream went to {vm}");
}

/// Callers who ask short questions at every entry until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<tokio::task::JoinHandle<Vec<(Ask, Answer)>>>,
}

impl Load {
    fn start(live: &Arc<Live>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for entry in live.fleet.entries() {
            for caller in 0..4 {
                let asking = ask_on(Arc::clone(live), entry.clone(), caller, Arc::clone(&stop));
                callers.push(tokio::spawn(asking));
            }
        }
        Self { stop, callers }
    }

    async fn stop(self) -> Vec<(Ask, Answer)> {
        self.stop.store(true, Ordering::Relaxed);
        let all = join_all(self.callers).await;
        all.into_iter().flat_map(Result::unwrap).collect()
    }
}

async fn ask_on(
    live: Arc<Live>,
    entry: String,
    caller: usize,
    stop: Arc<AtomicBool>,
) -> Vec<(Ask, Answer)> {
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("{entry} {caller} {}", answers.len());
        let ask = live.ask(&prompt, 4);
        let answer = live.answer(&entry, &ask).await;
        answers.push((ask, answer));
        sleep(Duration::from_millis(10)).await;
    }
    answers
}

/// An agent that is told to stop under load finishes its long streams: none is cut or resumed.
#[tokio::test(flavor = "multi_thread")]
async fn agent_drains() {
    let live = Arc::new(start(two_centres()).await);
    let load = Load::start(&live);
    let long = begin_long(&live, &live.fleet.entries()).await;
    let at: Vec<String> = long
        .iter()
        .map(|it| live.running_at(&it.ask.prompt))
        .collect();
    assert!(at.iter().any(|vm| vm == LEAVER), "{at:?}");
    live.fleet.terminate(LEAVER).await.unwrap();
    for begun in long {
        let (ask, answer) = begun.finish().await;
        assert_eq!(check_answer(&ask, &answer).unwrap(), live.bundle);
        assert_eq!(live.starts(&ask.prompt), 1, "{} was resumed", ask.prompt);
    }
    let status = live.fleet.wait_exit(LEAVER, BOUND).await.unwrap();
    assert!(status.success(), "{status}");
    for (ask, answer) in load.stop().await {
        assert_eq!(check_answer(&ask, &answer).unwrap(), live.bundle);
        assert_eq!(live.starts(&ask.prompt), 1, "{} was resumed", ask.prompt);
    }
}

/// An entry that is told to stop under load finishes its long streams, and tells whoever comes
/// later that they were not run.
#[tokio::test(flavor = "multi_thread")]
async fn entry_drains() {
    let live = Arc::new(start(one_centre(2, 2)).await);
    let leaver = "quito-hall-e1";
    let load = Load::start(&live);
    let long = begin_long(&live, &[leaver.to_owned()]).await;
    live.fleet.terminate(leaver).await.unwrap();
    for begun in long {
        let (ask, answer) = begun.finish().await;
        assert_eq!(check_answer(&ask, &answer).unwrap(), live.bundle);
    }
    let status = live.fleet.wait_exit(leaver, BOUND).await.unwrap();
    assert!(status.success(), "{status}");
    for (ask, answer) in load.stop().await {
        match &answer.ending {
            Ending::NotRun { reason, .. } => assert_eq!(reason, "leaving"),
            // The listener is closed: no connection, so nothing was sent.
            Ending::Lost { .. } => assert!(answer.tokens.is_empty(), "cut: {answer:?}"),
            _ => assert_eq!(check_answer(&ask, &answer).unwrap(), live.bundle),
        }
        let told = matches!(answer.ending, Ending::Answered { .. });
        assert_eq!(live.starts(&ask.prompt), u32::from(told), "{answer:?}");
    }
}

/// Begins long streams at the entries.
async fn begin_long(live: &Live, entries: &[String]) -> Vec<crate::requests::Begun> {
    let asks = (0..12).map(|n| {
        let entry = &entries[n % entries.len()];
        (entry, live.ask(&format!("A long answer, number {n}"), 600))
    });
    let asks: Vec<_> = asks.collect();
    join_all(asks.iter().map(|(entry, ask)| live.begin(entry, ask, 5))).await
}
