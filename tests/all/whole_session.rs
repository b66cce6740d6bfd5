//! The whole session of an ordinary day, as a transcript: documents, answers, a second version, a
//! drained agent, a plain service.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::Value;
use wagtailreel_bench::answer::Ending;
use wagtailreel_bench::fleet::{FleetSpec, check_answer, to_yaml};
use wagtailreel_bench::{Look, wait_for, wait_until};

use crate::support::{BOUND, Crowd, PLAIN, Rig, SERVICE, check_never_back, check_whole, models};

/// Events of a process's life that come once and in this order in every run.
const EVENTS: [&str; 12] = [
    "entry-started",
    "entry-leaving",
    "entry-stopped",
    "config-applied",
    "agent-started",
    "agent-leaving",
    "agent-stopped",
    "weights-staged",
    "bundle-loaded",
    "epoch-opened",
    "load-failed",
    "chunk-corrupt",
];

/// Callers at each entry while the version changes.
const CALLERS: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn whole_session() {
    let mut session = Session::start().await;
    session.refused_documents().await;
    session.roll_out("1", 0, "first").await;
    session.stream_answers().await;
    session.lost_edit().await;
    session.second_version().await;
    session.drain_agent().await;
    session.plain_service().await;
    session.views().await;
    session.stop().await;
    insta::assert_snapshot!(session.text);
}

struct Session {
    rig: Rig,
    text: String,
}

impl Session {
    async fn start() -> Self {
        let rig = Rig::start(FleetSpec::small().with_models(models())).await;
        let text = String::new();
        Self { rig, text }
    }

    fn step(&mut self, title: &str) {
        writeln!(self.text, "\n== {title}").unwrap();
    }

    fn say(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }

    /// Documents and operators that are turned away.
    async fn refused_documents(&mut self) {
        self.step("documents that are turned away");
        let yaml = to_yaml(&self.rig.document("1", 2)).unwrap();
        let mistyped = yaml.replace("priority:", "prioritty:");
        let scribe = self.rig.scribe("quito-hall-e1");
        let checked = scribe.check(SERVICE, &mistyped).await.unwrap();
        self.say(&format!("check: {} {}", checked.status, checked.text()));
        for team in ["scribes", "workshop"] {
            let operator = self.rig.fleet.operator("quito-hall-e1", team).unwrap();
            let submitted = operator.submit(SERVICE, &mistyped, 0, "mistyped").await;
            self.say(&format!("{team}: {:?}", submitted.unwrap()));
        }
        let current = self.rig.scribe("quito-hall-e1").current(SERVICE).await;
        self.say(&format!("in force: {:?}", current.unwrap()));
    }

    /// Submits a version and waits until every agent serves it.
    async fn roll_out(&mut self, version: &str, base: u64, edit: &str) {
        self.step(&format!("version {version}"));
        let document = self.rig.document(version, 2);
        let yaml = to_yaml(&document).unwrap();
        let scribe = self.rig.scribe("quito-hall-e1");
        let submitted = scribe.submit(SERVICE, &yaml, base, edit).await.unwrap();
        self.say(&format!("{edit}: {submitted:?}"));
        let bundle = self.rig.fleet.bundle_of(&document).unwrap();
        for vm in self.rig.fleet.upstreams(SERVICE) {
            let served = self.rig.fleet.wait_serving(&vm, bundle, BOUND).await;
            served.unwrap();
        }
        for entry in self.rig.fleet.entries() {
            let rollout = self.settled_rollout(&entry).await;
            self.say(&format!("rollout at {entry}"));
            self.text.push_str(&rollout);
        }
    }

    /// Waits until all VMs of a rollout are open, and returns it line by line.
    async fn settled_rollout(&self, entry: &str) -> String {
        wait_for("a settled rollout", BOUND, || async {
            let rollout = self.rig.scribe(entry).rollout(SERVICE).await.unwrap();
            let epoch = &rollout["epoch"];
            let halls = rollout["data_centres"].as_object().unwrap();
            let mut lines = String::new();
            let mut open = 0;
            for (hall, place) in halls {
                let counts = ["ready", "loaded", "open"].map(|it| format!("{it} {}", place[it]));
                writeln!(lines, "  {hall}: {}", counts.join(", ")).unwrap();
                for vm in place["vms"].as_array().unwrap() {
                    let shown = ["phase", "chunks", "open", "trouble"].map(|it| vm[it].to_string());
                    let name = vm["vm"].as_str().unwrap();
                    writeln!(lines, "    {name}: {}", shown.join(" ")).unwrap();
                    open += usize::from(vm["open"] == *epoch && vm["config"] == *epoch);
                }
            }
            match open {
                4 => Look::Found(lines),
                _ => Look::NotYet(lines),
            }
        })
        .await
        .unwrap()
    }

    async fn stream_answers(&mut self) {
        self.step("an answer through each entry");
        for entry in self.rig.fleet.entries() {
            let ask = self.rig.fleet.ask_of(0, SERVICE, "For a baker who sang", 6);
            let answer = self.rig.fleet.ask(&entry, &ask).await.unwrap();
            check_answer(&ask, &answer).unwrap();
            let tokens: Vec<&str> = answer.tokens.iter().map(|it| it.text.as_str()).collect();
            self.say(&format!("{entry}: {}", tokens.join(" ")));
            self.say(&format!("{entry}: {}", ended(&answer.ending)));
        }
        let mut ask = self.rig.fleet.ask_of(0, SERVICE, "For a baker", 6);
        ask.key = "no-such-key".to_owned();
        let answer = self.rig.fleet.ask("quito-hall-e1", &ask).await.unwrap();
        self.say(&format!("unknown key: {}", ended(&answer.ending)));
    }

    /// An edit over a revision that is not in force any more.
    async fn lost_edit(&mut self) {
        self.step("an edit over an old revision");
        let yaml = to_yaml(&self.rig.document("3", 2)).unwrap();
        let scribe = self.rig.scribe("cuenca-hall-e1");
        let submitted = scribe.submit(SERVICE, &yaml, 0, "late").await.unwrap();
        self.say(&format!("late: {submitted:?}"));
    }

    async fn second_version(&mut self) {
        let entries = self.rig.fleet.entries();
        let crowd = Crowd::start(&self.rig.fleet, &entries, CALLERS);
        crowd.wait_epoch(&entries, 1, 10).await;
        self.roll_out("2", 1, "second").await;
        crowd.wait_epoch(&entries, 2, 10).await;
        let seen = crowd.finish().await;
        let bundle = |version: &str| {
            let document = self.rig.document(version, 2);
            self.rig.fleet.bundle_of(&document).unwrap()
        };
        let bundles = BTreeMap::from([(1, bundle("1")), (2, bundle("2"))]);
        check_whole(&seen, &bundles, |_, _| false);
        check_never_back(&seen);
        self.say("callers: every answer whole, none refused, none from the first after the second");
    }

    /// Has one agent leave while answers run on its engine.
    async fn drain_agent(&mut self) {
        self.step("quito-hall-u1 is told to leave");
        let leaver = "quito-hall-u1";
        let engine = &self.rig.fleet.standins.engines[leaver];
        let before = engine.stats().started;
        let mut asks = Vec::new();
        for n in 0..8 {
            let fleet = std::sync::Arc::clone(&self.rig.fleet);
            let ask = fleet.ask_of(0, SERVICE, &format!("A long answer, number {n}"), 100);
            asks.push(tokio::spawn(async move {
                let answer = fleet.ask("quito-hall-e1", &ask).await.unwrap();
                check_answer(&ask, &answer).map(|_| answer.ending)
            }));
        }
        wait_until("an answer on its engine", BOUND, || async {
            engine.stats().started > before
        })
        .await
        .unwrap();
        self.rig.fleet.terminate(leaver).await.unwrap();
        let status = self.rig.fleet.wait_exit(leaver, BOUND).await.unwrap();
        self.say(&format!("{leaver}: {status}"));
        for ask in asks {
            let ending = ask.await.unwrap().unwrap();
            self.say(&ended(&ending));
        }
    }

    async fn plain_service(&mut self) {
        self.step("the plain service");
        let document = self.rig.fleet.spec().document(PLAIN, None);
        let yaml = to_yaml(&document).unwrap();
        let operator = self.rig.fleet.operator("cuenca-hall-e1", "workshop");
        let submitted = operator.unwrap().submit(PLAIN, &yaml, 0, "plain").await;
        self.say(&format!("plain: {:?}", submitted.unwrap()));
        let called = wait_for("the plain service", BOUND, || async {
            let headers = [("wagtailreel-request", "order-of-the-day")];
            let fleet = &self.rig.fleet;
            let called = fleet.call("quito-hall-e1", PLAIN, "orders/17", &headers, "granite");
            match called.await {
                Ok(it) if it.status.is_success() => Look::Found(it),
                other => Look::NotYet(format!("{other:?}")),
            }
        })
        .await
        .unwrap();
        let outcome = called.header("wagtailreel-outcome").unwrap_or("none");
        self.say(&format!("outcome {outcome}: {}", called.text()));
    }

    async fn views(&mut self) {
        self.step("history");
        let history = self.rig.scribe("quito-hall-e1").history(SERVICE).await;
        let history: Value = history.unwrap();
        self.say(&serde_json::to_string_pretty(&history).unwrap());
    }

    /// Has every process end, agents first, and shows what each did in its life.
    async fn stop(&mut self) {
        self.step("the processes");
        let agents = self.rig.fleet.names(|vm| vm.upstream.is_some());
        for vm in agents.into_iter().chain(self.rig.fleet.entries()) {
            let mut ended = "ended before".to_owned();
            if self.rig.fleet.pid(&vm).await.unwrap().is_some() {
                self.rig.fleet.terminate(&vm).await.unwrap();
                let status = self.rig.fleet.wait_exit(&vm, BOUND).await.unwrap();
                ended = status.to_string();
            }
            let log = self.rig.fleet.log_text(&vm).unwrap();
            let events: Vec<&str> = log.lines().filter_map(event_of).collect();
            self.say(&format!("{vm}: {ended}: {}", events.join(" ")));
        }
    }
}

/// Returns the event of a line of a log, if it is one of those that every run has alike.
fn event_of(line: &str) -> Option<&'static str> {
    let line: Value = serde_json::from_str(line).ok()?;
    let message = line["message"].as_str()?;
    EVENTS.into_iter().find(|event| *event == message)
}

fn ended(ending: &Ending) -> String {
    match ending {
        Ending::Answered {
            tokens,
            weights,
            epoch,
        } => format!(
            "{tokens} tokens, weights {}, epoch {epoch}",
            weights.short()
        ),
        other => format!("{other:?}"),
    }
}
