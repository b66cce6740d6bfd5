//! Keeps an engine with the weights that the document names: looks, decides, orders.
//!
//! One task looks at the engine and gives its orders, so that a look is never older than an
//! answer taken in before it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;
use wagtailreel_adapters::{Engine, EngineStatus, PlatformError};
use wagtailreel_core::{Digest, Epoch, Objectives, ServiceState, VmEntry, WeightsPhase};
use wagtailreel_transfer::Wanted;

use crate::chunks::{Chunks, ChunksView};
use crate::events;
use crate::hub::Hub;
use crate::loader::{Action, EngineView, Loader, View};
use crate::pressure::PressureGauge;

/// Time between two looks at the engine.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Time between two looks at least: chunks may come by the hundred a second.
const LOOK_GAP: Duration = Duration::from_millis(20);

/// How long the engine's status is waited for. An engine that is only slow, because it is busy,
/// shall not count as away.
const LOOK_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait before chunks that can't be brought, for a manifest that can't be right, are wanted anew.
const FAILED_RETRY: Duration = Duration::from_secs(15);

/// Time between two samples of the pressure on live answers.
const SAMPLE_EVERY: Duration = Duration::from_secs(1);

/// The answer to an order.
#[derive(Debug)]
enum Answer {
    Load(Result<Digest, String>),
    Unload(Result<(), PlatformError>),
}

/// Keeps one engine with its weights.
#[derive(Debug)]
pub(crate) struct EngineWatch<E> {
    hub: Arc<Hub>,
    engine: E,
    chunks: Chunks,
    peers: watch::Receiver<Vec<VmEntry>>,
    loader: Loader,
    orders: JoinSet<Answer>,
    load: Option<AbortHandle>,
    started_at: Option<SystemTime>,
    is_away: bool,
    wanted: Option<Wanted>,
    failed_at: Option<Instant>,
    is_fetching: bool,
    loaded: BTreeSet<Epoch>,
    gauge: PressureGauge,
    sampled: Instant,
}

impl<E> EngineWatch<E>
where
    E: Engine,
{
    /// Makes a watch that has not looked yet. `seed` feeds the jitter of retries.
    pub(crate) fn new(
        hub: Arc<Hub>,
        engine: E,
        chunks: Chunks,
        peers: watch::Receiver<Vec<VmEntry>>,
        seed: u64,
    ) -> Self {
        let loader = Loader::new(hub.facts.bundles, seed);
        let objective = Objectives::default().between_tokens;
        Self {
            hub,
            engine,
            chunks,
            peers,
            loader,
            orders: JoinSet::new(),
            load: None,
            started_at: None,
            is_away: false,
            wanted: None,
            failed_at: None,
            is_fetching: false,
            loaded: BTreeSet::new(),
            gauge: PressureGauge::new(objective),
            sampled: Instant::now(),
        }
    }

    /// Keeps the engine for as long as the process runs.
    pub(crate) async fn run(mut self) {
        loop {
            for epoch in self.hub.take_missing() {
                self.loader.on_bundle_missing(epoch);
            }
            self.look().await;
            self.fetch();
            self.decide();
            self.sample();
            self.wait().await;
            tokio::time::sleep(LOOK_GAP).await;
        }
    }

    /// Waits until there is something to look at, and takes in the answer to an order.
    async fn wait(&mut self) {
        tokio::select! {
            () = tokio::time::sleep(LOOK_EVERY) => {}
            () = self.hub.check_requested() => {}
            () = self.chunks.changed() => {}
            Some(answer) = self.orders.join_next() => self.take_answer(answer),
        }
    }

    /// Looks at the engine.
    async fn look(&mut self) {
        let status = timeout(LOOK_TIMEOUT, self.engine.status()).await;
        let status = status.ok().and_then(Result::ok);
        self.hub.set_load(status.as_ref().map(|status| status.load));
        self.note_away(status.is_none());
        if let Some(status) = &status {
            self.note_restart(status);
        }
        let view = status.map(|status| EngineView {
            bundles: status.bundles.into_iter().collect(),
        });
        self.loader.on_status(view);
    }

    fn note_away(&mut self, is_away: bool) {
        if is_away && !self.is_away {
            events::ENGINE_AWAY.emit(&[]);
        }
        self.is_away = is_away;
    }

    fn note_restart(&mut self, status: &EngineStatus) {
        let before = self.started_at.replace(status.started_at);
        if before.is_some_and(|before| before != status.started_at) {
            events::ENGINE_RESTARTED.emit(&[]);
        }
    }

    /// Has the chunks of the state's epoch fetched.
    fn fetch(&mut self) {
        if self.peers.has_changed().unwrap_or(false) {
            let peers = self.peers.borrow_and_update().clone();
            self.chunks.set_peers(peers);
        }
        let Some(state) = self.hub.state() else {
            return;
        };
        let Some(document) = &state.document else {
            return;
        };
        self.gauge.set_objective(document.objectives.between_tokens);
        if !self.is_wanted(&state) {
            return;
        }
        let wanted = Wanted {
            epoch: state.epoch,
            parts: document.parts(),
            settings: document.spread.clone(),
        };
        if self.wanted.as_ref() != Some(&wanted) {
            self.chunks.want(wanted.clone());
            self.wanted = Some(wanted);
            self.failed_at = None;
        }
    }

    /// Has chunks that could not be brought wanted anew after a while, in case that the weights
    /// were published again.
    fn retry_failed(&mut self, chunks: &ChunksView) {
        let Some(wanted) = &self.wanted else {
            return;
        };
        let has_failed = chunks.epochs.get(&wanted.epoch).is_some_and(|it| it.failed);
        if !has_failed {
            self.failed_at = None;
            return;
        }
        let failed_at = self.failed_at.get_or_insert_with(Instant::now);
        if failed_at.elapsed() >= FAILED_RETRY {
            self.failed_at = None;
            self.chunks.forget(wanted.epoch);
            self.chunks.want(wanted.clone());
        }
    }

    /// Says whether the state has weights for this VM.
    fn is_wanted(&self, state: &ServiceState) -> bool {
        let facts = &self.hub.facts;
        state.document.as_ref().is_some_and(|document| {
            document.model.is_some() && document.includes_vm(&facts.data_centre, &facts.vm)
        })
    }

    /// Has the loader decide, and does what it says.
    fn decide(&mut self) {
        let Some(state) = self.hub.state() else {
            return;
        };
        let chunks = self.chunks.view();
        self.retry_failed(&chunks);
        let gated = self.hub.admitter.lock();
        let droppable = gated.gate.droppable(state.epoch);
        let view = View {
            now: Instant::now(),
            epoch: state.epoch,
            wanted: self.is_wanted(&state),
            closed_below: gated.gate.closed_below(),
            staged: &chunks.epochs,
            droppable: &droppable,
            may_swap: gated.gate.may_swap(state.epoch),
            running: gated.running(),
        };
        let actions = self.loader.decide(&view);
        drop(gated);
        for action in actions {
            self.act(action);
        }
        self.is_fetching = chunks.is_active;
        self.hub.set_chunks(chunks.count, chunks.bytes);
        self.hub
            .set_trouble(self.loader.trouble().or(chunks.trouble));
    }

    /// Does one thing that the loader decided.
    fn act(&mut self, action: Action) {
        match action {
            Action::SetPhase {
                epoch,
                phase,
                bundle,
            } => {
                self.note_loaded(epoch, phase, bundle);
                self.hub.set_phase(epoch, phase, bundle);
            }
            Action::GiveUp { epoch } => self.hub.forget(epoch),
            Action::Load { epoch, fence, .. } => self.order_load(epoch, fence),
            Action::AbortLoad => {
                if let Some(load) = &self.load {
                    load.abort();
                }
            }
            Action::Unload { bundle, fence } => self.order_unload(bundle, fence),
            Action::Forget { epoch } => {
                self.loaded.remove(&epoch);
                self.chunks.forget(epoch);
                self.hub.forget(epoch);
            }
        }
    }

    fn note_loaded(&mut self, epoch: Epoch, phase: WeightsPhase, bundle: Option<Digest>) {
        if phase != WeightsPhase::Loaded {
            self.loaded.remove(&epoch);
            return;
        }
        if self.loaded.insert(epoch) {
            let bundle = bundle.map_or_else(String::new, |bundle| bundle.short());
            events::BUNDLE_LOADED.emit(&[("epoch", &epoch.to_string()), ("bundle", &bundle)]);
        }
    }

    fn order_load(&mut self, epoch: Epoch, fence: Epoch) {
        events::LOAD_ORDERED.emit(&[("epoch", &epoch.to_string())]);
        let engine = self.engine.clone();
        let load = self.chunks.load(engine, epoch, fence);
        self.load = Some(self.orders.spawn(async move { Answer::Load(load.await) }));
    }

    fn order_unload(&mut self, bundle: Digest, fence: Epoch) {
        events::BUNDLE_DROPPED.emit(&[("bundle", &bundle.short())]);
        let engine = self.engine.clone();
        self.orders
            .spawn(async move { Answer::Unload(engine.unload(bundle, fence).await) });
    }

    /// Takes in the answer to an order; the next look tells what has become of it.
    fn take_answer(&mut self, answer: Result<Answer, tokio::task::JoinError>) {
        let now = Instant::now();
        match answer {
            Ok(Answer::Load(answer)) => {
                if let Err(why) = &answer {
                    events::LOAD_FAILED.emit(&[("why", why)]);
                }
                self.loader.on_load_result(now, answer);
            }
            Ok(Answer::Unload(answer)) => {
                let answer = answer.map_err(|err| err.to_string());
                self.loader.on_unload_result(now, answer);
            }
            // Only a load is ever broken off.
            Err(err) => self.loader.on_load_result(now, Err(err.to_string())),
        }
    }

    /// Has transfers give way if they slow down the agent's own answers.
    fn sample(&mut self) {
        if self.sampled.elapsed() < SAMPLE_EVERY {
            return;
        }
        self.sampled = Instant::now();
        let gap = self.hub.token_gaps.take_mean();
        let pressure = self.gauge.sample(gap, self.is_fetching);
        self.chunks.set_live_pressure(pressure);
    }
}
