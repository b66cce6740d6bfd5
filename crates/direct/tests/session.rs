//! A session of one service as a readable transcript: the reports that an entry gets, and what it chooses.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_direct::{Attempt, Ending, Requirements, Upstreams, next_step};
use wagtailreel_fleet::{
    AllowedRegions, LoadStatus, LoadedModel, RouteKind, Upstream, UpstreamState,
};

const MODEL: &str = "epitaph";

const STREAM: RouteKind = RouteKind::Stream {
    resumable: true,
    gap: None,
};

/// The upstreams of an entry, and the transcript of reports and choices.
struct Session {
    fleet: Upstreams,
    start: Instant,
    at: Duration,
    text: String,
}

impl Session {
    fn new() -> Self {
        let regions = [("quito-hall", "sierra"), ("cuenca-hall", "austro")];
        let regions: BTreeMap<String, String> = regions
            .iter()
            .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
            .collect();
        Self {
            fleet: Upstreams::new("quito-hall".to_owned(), regions),
            start: Instant::now(),
            at: Duration::ZERO,
            text: String::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + self.at
    }

    fn wait(&mut self, ms: u64) {
        self.at += Duration::from_millis(ms);
    }

    fn line(&mut self, line: &str) {
        writeln!(self.text, "{:>5} ms  {line}", self.at.as_millis()).unwrap();
    }

    /// An upstream registers itself in the registry.
    fn registers(&mut self, host: u8, place: &str, version: Option<u64>, state: UpstreamState) {
        let id = format!("e{host}");
        let models = version.map(|version| LoadedModel {
            model: MODEL.to_owned(),
            version,
            whole: true,
        });
        self.line(&format!("{id} in {place}: {state}, weights {version:?}"));
        self.fleet.update(Upstream {
            started: 0,
            id,
            service: "scribes".to_owned(),
            addr: SocketAddr::from(([10, 0, 0, host], 80)),
            data_centre: place.to_owned(),
            slots: 3,
            state,
            warmup_left: Duration::ZERO,
            models: models.into_iter().collect(),
        });
    }

    /// An agent reports the load of its engine.
    fn agent(&mut self, host: u8, version: Option<u64>, running: u32, is_switching: bool) {
        let closed = if is_switching { ", closed" } else { "" };
        self.line(&format!(
            "agent of e{host}: weights {version:?}, {running} running{closed}"
        ));
        let status = LoadStatus {
            version,
            is_switching,
            running,
            ..LoadStatus::default()
        };
        let ip = SocketAddr::from(([10, 0, 0, host], 80)).ip();
        let trip = Some(Duration::from_millis(1));
        self.fleet.status(ip, &status, trip, self.now());
    }

    /// A request with a prompt of `tokens` arrives.
    fn request(&mut self, tokens: u32, least: Option<u64>, tried: &[&str]) {
        let tried: BTreeSet<String> = tried.iter().map(|id| (*id).to_owned()).collect();
        let engine = common::engine_model();
        let needs = Requirements {
            model: Some(MODEL),
            least_version: least,
            tried,
            engine: Some(&engine),
            prompt: tokens,
            objective: Duration::from_millis(300),
            regions: AllowedRegions::default(),
            reported_since: None,
            prefixes: &[],
        };
        let now = self.now();
        match self.fleet.choose(&needs, now) {
            Ok(pick) => {
                self.fleet.started(&pick.id, tokens);
                let known = format!("{} in flight by {}", pick.in_flight, pick.source);
                let version = pick.version.unwrap();
                self.line(&format!(
                    "request -> {} on weights {version} ({known})",
                    pick.id
                ));
            }
            Err(shortage) => self.line(&format!("request refused: {shortage}")),
        }
    }

    /// An attempt ends without an answer.
    fn attempt_ends(&mut self, id: &str, ending: Ending, sent: u32) {
        self.fleet.finished(id, 0);
        let now = self.now();
        let ejection = self.fleet.failed(id, now);
        let next = next_step(Attempt {
            kind: STREAM,
            ending,
            sent,
            max_attempts: 2,
            unreached: 0,
            may_have_run: ending == Ending::Lost,
            has_time: true,
        });
        let ejected = ejection.map_or(String::new(), |ejection| {
            format!(", ejected for {ejection:?}")
        });
        self.line(&format!("attempt at {id} {ending}: {next}{ejected}"));
    }
}

#[rstest]
fn whole_session() {
    let mut s = Session::new();
    s.request(900, None, &[]);
    s.registers(1, "quito-hall", Some(1), UpstreamState::Ready);
    s.registers(2, "quito-hall", None, UpstreamState::Ready);
    s.registers(3, "cuenca-hall", Some(1), UpstreamState::Ready);
    for _ in 0..3 {
        s.request(900, None, &[]);
    }
    s.line("the local engine has a long prefill queue, the new one holds no weights");
    s.request(4000, None, &[]);
    s.wait(100);
    s.agent(1, Some(1), 3, false);
    s.agent(2, Some(1), 0, false);
    s.request(900, None, &[]);
    s.line("weights 2 are named; e2 closes to load them");
    s.agent(2, Some(1), 1, true);
    s.request(900, None, &[]);
    s.wait(600);
    s.agent(2, Some(2), 0, false);
    s.request(900, Some(2), &[]);
    s.line("e1 breaks two streams");
    s.attempt_ends("e1", Ending::Lost, 1);
    s.attempt_ends("e1", Ending::Lost, 1);
    s.request(900, Some(2), &["e1"]);
    s.line("e2 drains");
    s.registers(2, "quito-hall", Some(2), UpstreamState::Draining);
    s.request(900, Some(2), &["e1"]);
    s.request(900, None, &["e1"]);
    insta::assert_snapshot!(s.text);
}
