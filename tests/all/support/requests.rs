//! What the proofs about requests share: a small fleet that is live, and the count of what ran.

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future::join_all;
use tokio::sync::{Semaphore, SemaphorePermit};
use wagtailreel_bench::answer::{Answer, AnswerStream, Ask, Ending};
use wagtailreel_bench::fleet::{
    DataCentreSpec, Fleet, FleetBinaries, FleetSpec, UpstreamSpec, check_answer,
};
use wagtailreel_bench::metrics::sum_metric;
use wagtailreel_bench::{Look, wait_for, wait_until};
use wagtailreel_core::{Digest, Document, Offset};
use wagtailreel_standins::{OriginModel, RequestState, RequestStats, TokenSource, prompt_hash};

/// The engines' service.
pub(crate) const SERVICE: &str = "wagtail-scribes";
/// The plain service.
pub(crate) const PLAIN: &str = "workshop-misc";
/// The model.
pub(crate) const MODEL: &str = "epitaph";
/// Longest wait for a condition.
pub(crate) const BOUND: Duration = Duration::from_secs(30);

/// Fleets that run at once in this process, so that a busy machine still serves each.
static FLEETS: Semaphore = Semaphore::const_new(2);

/// A fleet whose documents are in force.
pub(crate) struct Live {
    /// The fleet.
    pub(crate) fleet: Fleet,
    /// Bundle of the engines' service.
    pub(crate) bundle: Digest,
    /// The engines' document.
    pub(crate) document: Document,
    /// Its revision.
    pub(crate) revision: Offset,
    // The last to go: the next fleet starts when this one's processes have ended.
    _permit: SemaphorePermit<'static>,
}

/// Makes one data centre with `entries` entries and `engines` engines.
pub(crate) fn one_centre(entries: u32, engines: usize) -> FleetSpec {
    small_models(vec![
        DataCentreSpec::new("quito-hall", "sierra")
            .with_entries(entries)
            .with_upstreams(engines, UpstreamSpec::engine(SERVICE)),
    ])
}

/// Makes a fleet whose models are small.
pub(crate) fn small_models(data_centres: Vec<DataCentreSpec>) -> FleetSpec {
    let models = ["1", "2"].map(|it| OriginModel::new(MODEL, it, 256 << 10, 64 << 10));
    FleetSpec::new(data_centres).with_models(models.to_vec())
}

/// Starts a fleet and brings the engines' service live.
pub(crate) async fn start(spec: FleetSpec) -> Live {
    start_with(spec, |_| {}).await
}

/// Starts a fleet and brings the engines' service live with a changed document.
pub(crate) async fn start_with<F>(spec: FleetSpec, change: F) -> Live
where
    F: FnOnce(&mut Document),
{
    let permit = FLEETS.acquire().await.unwrap();
    let fleet = Fleet::start(spec, binaries()).await.unwrap();
    let mut document = fleet.spec().document(SERVICE, Some((MODEL, "1")));
    change(&mut document);
    let bundle = fleet.bundle_of(&document).unwrap();
    let revision = fleet.go_live(&document, 0).await.unwrap();
    let live = Live {
        fleet,
        bundle,
        document,
        revision,
        _permit: permit,
    };
    for entry in live.fleet.entries() {
        live.wait_answers(&entry).await;
    }
    live
}

fn binaries() -> FleetBinaries {
    FleetBinaries {
        wagtailreel: PathBuf::from(env!("CARGO_BIN_EXE_wagtailreel")),
        agent: PathBuf::from(env!("CARGO_BIN_EXE_wagtailreel-agent")),
    }
}

/// Returns a key of an order that is honoured now.
pub(crate) fn fresh_key(text: &str) -> String {
    key_of_age(text, Duration::ZERO)
}

/// Returns a key of an order that was made `age` ago.
pub(crate) fn key_of_age(text: &str, age: Duration) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    format!("{}.{text}", (now - age).as_secs())
}

/// Returns the reason of an answer that says "not run"; panics with what came in its place.
pub(crate) fn not_run(answer: &Answer) -> &str {
    match &answer.ending {
        Ending::NotRun { reason, .. } => reason,
        other => panic!("not run in place of {other:?}"),
    }
}

/// Returns whether the answer says when to come back.
pub(crate) fn says_when(answer: &Answer) -> bool {
    let ending = &answer.ending;
    matches!(ending, Ending::NotRun { retry_after, .. } if retry_after.is_some())
}

/// Says whether every thread of a process is stopped by a signal, as the system tells it.
fn all_stopped(pid: u32) -> bool {
    let mut tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    tasks.all(|task| {
        let stat = task.unwrap().path().join("stat");
        let stat = std::fs::read_to_string(stat).unwrap_or_default();
        // The state follows the name, which stands in brackets.
        let rest = stat.rsplit(") ").next().unwrap_or_default();
        rest.starts_with('T')
    })
}

impl Live {
    /// Makes an ordinary request of the first customer.
    pub(crate) fn ask(&self, prompt: &str, tokens: u32) -> Ask {
        self.fleet.ask_of(0, SERVICE, prompt, tokens)
    }

    /// Asks at an entry and reads the whole answer.
    pub(crate) async fn answer(&self, entry: &str, ask: &Ask) -> Answer {
        self.fleet.ask(entry, ask).await.unwrap()
    }

    /// Opens a stream and reads its first `tokens` tokens.
    pub(crate) async fn begin(&self, entry: &str, ask: &Ask, tokens: usize) -> Begun {
        let stream = self.fleet.open(entry, ask).await.unwrap();
        let ask = ask.clone();
        let mut begun = Begun {
            ask,
            stream,
            tokens: Vec::new(),
        };
        while begun.tokens.len() < tokens {
            match begun.stream.next_token().await {
                Some(token) => begun.tokens.push(token),
                None => panic!("the stream ended: {:?}", begun.stream.finish().await),
            }
        }
        begun
    }

    /// Waits until the entry answers from the live bundle.
    pub(crate) async fn wait_answers(&self, entry: &str) {
        let what = format!("{entry} to answer");
        wait_for(&what, BOUND, || async {
            let ask = self.ask(&format!("Are you there, {entry}?"), 1);
            match self.fleet.ask(entry, &ask).await.map(|it| it.ending) {
                Ok(Ending::Answered { weights, .. }) if weights == self.bundle => Look::Found(()),
                other => Look::NotYet(format!("{other:?}")),
            }
        })
        .await
        .unwrap();
    }

    /// Brings the plain service live.
    pub(crate) async fn start_plain(&self) {
        let document = self.fleet.spec().document(PLAIN, None);
        self.fleet.go_live(&document, 0).await.unwrap();
        for entry in self.fleet.entries() {
            wait_for("the plain service to answer", BOUND, || async {
                match self.fleet.call(&entry, PLAIN, "ready", &[], "").await {
                    Ok(it) if it.status.is_success() => Look::Found(()),
                    other => Look::NotYet(format!("{other:?}")),
                }
            })
            .await
            .unwrap();
        }
    }

    /// Returns how often the plain services ran `path`.
    pub(crate) fn plain_runs(&self, path: &str) -> u64 {
        let path = format!("/{path}");
        let plains = self.fleet.standins.plains.values();
        plains
            .map(|it| it.stats().paths.get(&path).copied().unwrap_or_default())
            .sum()
    }

    /// Returns what the engine of each VM says of the request with `prompt`, under any id.
    pub(crate) fn runs(&self, prompt: &str) -> Vec<(String, RequestStats)> {
        let wanted = prompt_hash(prompt);
        let mut found = Vec::new();
        for (vm, engine) in &self.fleet.standins.engines {
            let requests = engine.stats().requests.into_values();
            let requests = requests.filter(|it| it.prompt == wanted);
            found.extend(requests.map(|it| (vm.clone(), it)));
        }
        found
    }

    /// Returns how often the request with `prompt` was started, over all engines.
    pub(crate) fn starts(&self, prompt: &str) -> u32 {
        self.runs(prompt).iter().map(|(_, it)| it.started).sum()
    }

    /// Returns the VM on whose engine the request with `prompt` runs now.
    pub(crate) fn running_at(&self, prompt: &str) -> String {
        let runs = self.runs(prompt);
        let running = runs
            .iter()
            .find(|(_, it)| it.state == RequestState::Running);
        running.unwrap_or_else(|| panic!("{runs:?}")).0.clone()
    }

    /// Waits until no engine runs the request with `prompt` any more; returns its states.
    pub(crate) async fn wait_over(&self, prompt: &str) -> Vec<RequestState> {
        wait_for("the request to be over", BOUND, || async {
            let states: Vec<RequestState> =
                self.runs(prompt).iter().map(|(_, it)| it.state).collect();
            let active = [RequestState::Waiting, RequestState::Running];
            if states.iter().any(|it| active.contains(it)) {
                Look::NotYet(format!("{states:?}"))
            } else {
                Look::Found(states)
            }
        })
        .await
        .unwrap()
    }

    /// Stops the process of `vm`, and waits until each of its threads has stopped: one that runs
    /// on for a moment could still pass an answer on.
    pub(crate) async fn freeze(&self, vm: &str) {
        self.fleet.freeze(vm).await.unwrap();
        let pid = self.fleet.pid(vm).await.unwrap().unwrap();
        let stopped = || std::future::ready(all_stopped(pid));
        wait_until("the process to stop", BOUND, stopped)
            .await
            .unwrap();
    }

    /// Returns the sum of a metric over the entries.
    pub(crate) async fn entries_sum(&self, name: &str, labels: &[&str]) -> f64 {
        let entries = self.fleet.entries();
        let texts = join_all(entries.iter().map(|vm| self.fleet.metrics(vm))).await;
        let sums = texts
            .iter()
            .map(|text| sum_metric(text.as_ref().unwrap(), name, labels));
        sums.flatten().sum()
    }

    /// Checks that a request that was told as not run was never started, and that one that was
    /// answered is whole and its own.
    pub(crate) fn check(&self, ask: &Ask, answer: &Answer) {
        match &answer.ending {
            Ending::Answered { .. } => assert_eq!(check_answer(ask, answer).unwrap(), self.bundle),
            Ending::NotRun { reason, .. } => {
                let runs = self.runs(&ask.prompt);
                assert_eq!(
                    self.starts(&ask.prompt),
                    0,
                    "told {reason}, but ran: {runs:?}"
                );
            }
            Ending::Unknown { .. } | Ending::Lost { .. } => self.check_part(ask, answer),
            other => panic!("{other:?}"),
        }
        if ask.order.is_some() {
            let runs = self.runs(&ask.prompt);
            assert!(self.starts(&ask.prompt) <= 1, "ran again: {runs:?}");
        }
    }

    /// Checks that the tokens that came before a cut are the request's own.
    pub(crate) fn check_part(&self, ask: &Ask, answer: &Answer) {
        let source = TokenSource::new(self.bundle, &ask.prompt);
        for (token, index) in answer.tokens.iter().zip(0..) {
            assert_eq!((token.index, &token.text), (index, &source.text(index)));
        }
    }
}

/// A stream of which some tokens are read.
pub(crate) struct Begun {
    /// What was asked.
    pub(crate) ask: Ask,
    stream: AnswerStream,
    tokens: Vec<wagtailreel_bench::answer::Token>,
}

impl Begun {
    /// Reads to the end.
    pub(crate) async fn finish(mut self) -> (Ask, Answer) {
        while let Some(token) = self.stream.next_token().await {
            self.tokens.push(token);
        }
        let answer = Answer {
            ending: self.stream.finish().await,
            tokens: self.tokens,
            first_token: None,
            took: Duration::ZERO,
        };
        (self.ask, answer)
    }
}
