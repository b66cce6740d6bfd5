//! Task that keeps the weights named by the document loaded in an engine.
//!
//! One task both requests the engine's status and sends its commands, so that a status is never
//! older than a command result that was applied before it.

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

/// Maximum time between two status requests to the engine.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two status requests: hundreds of chunks may arrive per second.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(20);

/// Time-out of a status request. Long enough that a busy, slow engine does not count as
/// unreachable.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before chunks are requested again after a fetch failed, such as for an invalid manifest.
const FAILED_FETCH_RETRY_DELAY: Duration = Duration::from_secs(15);

/// Time between two samples of the pressure on live answers.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The result of a command.
#[derive(Debug)]
enum CommandResult {
    Load(Result<Digest, String>),
    Unload(Result<(), PlatformError>),
}

/// Keeps the wanted weights loaded in one engine.
#[derive(Debug)]
pub(crate) struct EngineWatch<E> {
    hub: Arc<Hub>,
    engine: E,
    chunks: Chunks,
    peers: watch::Receiver<Vec<VmEntry>>,
    loader: Loader,
    commands: JoinSet<CommandResult>,
    load: Option<AbortHandle>,
    started_at: Option<SystemTime>,
    is_unreachable: bool,
    wanted: Option<Wanted>,
    failed_at: Option<Instant>,
    is_fetching: bool,
    loaded: BTreeSet<Epoch>,
    gauge: PressureGauge,
    sampled_at: Instant,
}

impl<E> EngineWatch<E>
where
    E: Engine,
{
    /// Creates a watch that has no status yet. `seed` feeds the jitter of retries.
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
            commands: JoinSet::new(),
            load: None,
            started_at: None,
            is_unreachable: false,
            wanted: None,
            failed_at: None,
            is_fetching: false,
            loaded: BTreeSet::new(),
            gauge: PressureGauge::new(objective),
            sampled_at: Instant::now(),
        }
    }

    /// Runs for as long as the process does.
    pub(crate) async fn run(mut self) {
        loop {
            for epoch in self.hub.take_missing() {
                self.loader.on_bundle_missing(epoch);
            }
            self.check_engine().await;
            self.request_chunks();
            self.decide();
            self.sample_pressure();
            self.wait().await;
            tokio::time::sleep(MIN_STATUS_INTERVAL).await;
        }
    }

    /// Waits for the next reason to check the engine, and applies the result of a command.
    async fn wait(&mut self) {
        tokio::select! {
            () = tokio::time::sleep(STATUS_INTERVAL) => {}
            () = self.hub.check_requested() => {}
            () = self.chunks.changed() => {}
            Some(result) = self.commands.join_next() => self.on_command_result(result),
        }
    }

    /// Requests the engine's status and applies it.
    async fn check_engine(&mut self) {
        let status = timeout(STATUS_TIMEOUT, self.engine.status()).await;
        let status = status.ok().and_then(Result::ok);
        self.hub.set_load(status.as_ref().map(|status| status.load));
        self.record_reachability(status.is_none());
        if let Some(status) = &status {
            self.record_restart(status);
        }
        let view = status.map(|status| EngineView {
            bundles: status.bundles.into_iter().collect(),
        });
        self.loader.on_status(view);
    }

    fn record_reachability(&mut self, is_unreachable: bool) {
        if is_unreachable && !self.is_unreachable {
            events::ENGINE_AWAY.emit(&[]);
        }
        self.is_unreachable = is_unreachable;
    }

    fn record_restart(&mut self, status: &EngineStatus) {
        let before = self.started_at.replace(status.started_at);
        if before.is_some_and(|before| before != status.started_at) {
            events::ENGINE_RESTARTED.emit(&[]);
        }
    }

    /// Requests the chunks of the state's epoch.
    fn request_chunks(&mut self) {
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

    /// Requests chunks whose fetch failed again after a delay, in case the weights were published
    /// again.
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
        if failed_at.elapsed() >= FAILED_FETCH_RETRY_DELAY {
            self.failed_at = None;
            self.chunks.forget(wanted.epoch);
            self.chunks.want(wanted.clone());
        }
    }

    /// Returns whether the state has weights for this VM.
    fn is_wanted(&self, state: &ServiceState) -> bool {
        let facts = &self.hub.facts;
        state.document.as_ref().is_some_and(|document| {
            document.model.is_some() && document.includes_vm(&facts.data_centre, &facts.vm)
        })
    }

    /// Runs the loader and performs its actions.
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
            self.apply(action);
        }
        self.is_fetching = chunks.is_active;
        self.hub.set_chunks(chunks.count, chunks.bytes);
        self.hub
            .set_trouble(self.loader.trouble().or(chunks.trouble));
    }

    /// Performs one action of the loader.
    fn apply(&mut self, action: Action) {
        match action {
            Action::SetPhase {
                epoch,
                phase,
                bundle,
            } => {
                self.log_if_loaded(epoch, phase, bundle);
                self.hub.set_phase(epoch, phase, bundle);
            }
            Action::StopAdmission { epoch } => self.hub.remove_epoch(epoch),
            Action::Load { epoch, fence, .. } => self.start_load(epoch, fence),
            Action::AbortLoad => {
                if let Some(load) = &self.load {
                    load.abort();
                }
            }
            Action::Unload { bundle, fence } => self.start_unload(bundle, fence),
            Action::RemoveEpoch { epoch } => {
                self.loaded.remove(&epoch);
                self.chunks.forget(epoch);
                self.hub.remove_epoch(epoch);
            }
        }
    }

    fn log_if_loaded(&mut self, epoch: Epoch, phase: WeightsPhase, bundle: Option<Digest>) {
        if phase != WeightsPhase::Loaded {
            self.loaded.remove(&epoch);
            return;
        }
        if self.loaded.insert(epoch) {
            let bundle = bundle.map_or_else(String::new, |bundle| bundle.short());
            events::BUNDLE_LOADED.emit(&[("epoch", &epoch.to_string()), ("bundle", &bundle)]);
        }
    }

    fn start_load(&mut self, epoch: Epoch, fence: Epoch) {
        events::LOAD_ORDERED.emit(&[("epoch", &epoch.to_string())]);
        let engine = self.engine.clone();
        let load = self.chunks.load(engine, epoch, fence);
        self.load = Some(
            self.commands
                .spawn(async move { CommandResult::Load(load.await) }),
        );
    }

    fn start_unload(&mut self, bundle: Digest, fence: Epoch) {
        events::BUNDLE_DROPPED.emit(&[("bundle", &bundle.short())]);
        let engine = self.engine.clone();
        self.commands
            .spawn(async move { CommandResult::Unload(engine.unload(bundle, fence).await) });
    }

    /// Applies the result of a command; the next status shows its effect.
    fn on_command_result(&mut self, result: Result<CommandResult, tokio::task::JoinError>) {
        let now = Instant::now();
        match result {
            Ok(CommandResult::Load(result)) => {
                if let Err(why) = &result {
                    events::LOAD_FAILED.emit(&[("why", why)]);
                }
                self.loader.on_load_result(now, result);
            }
            Ok(CommandResult::Unload(result)) => {
                let result = result.map_err(|err| err.to_string());
                self.loader.on_unload_result(now, result);
            }
            // Only loads are aborted, so a join error belongs to a load.
            Err(err) => self.loader.on_load_result(now, Err(err.to_string())),
        }
    }

    /// Samples the slowdown of live answers, by which transfers are throttled.
    fn sample_pressure(&mut self) {
        if self.sampled_at.elapsed() < SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = Instant::now();
        let gap = self.hub.token_gaps.take_mean();
        let pressure = self.gauge.sample(gap, self.is_fetching);
        self.chunks.set_live_pressure(pressure);
    }
}
