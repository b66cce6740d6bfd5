//! Polls one engine for its state and carries out the steps that the rollout decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::MissedTickBehavior;
use tokio_util::task::AbortOnDropHandle;
use wagtailreel_core::rank_score;
use wagtailreel_fleet::{ModelName, NamedWeights, Registry, UpstreamStart, WeightsVersion};

use crate::known_settings::{DesiredWeights, KnownNaming};
use crate::manifest::ChunkManifest;
use crate::origin::ChunkOrigin;
use crate::process::AgentContext;
use crate::resolve::request_manifest;
use crate::{EngineReport, Rollout, RolloutState, StagedEngine, Step, Target, events, fetch};

/// Time between two polls of the engine. Its figures are already some hundred milliseconds old.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time between the order to load and a state of the engine that shows it loading.
const ORDER_START_TIMEOUT: Duration = Duration::from_millis(600);

/// Time over which agents spread their first requests for the manifest of the version that their engines
/// hold, so that all but the first agents get it from another agent.
const MANIFEST_REQUEST_SPREAD: Duration = Duration::from_secs(3);

/// A running fetch of one version.
struct RunningFetch {
    version: WeightsVersion,
    task: AbortOnDropHandle<()>,
}

/// Brings one engine to the weights that it should serve.
pub(crate) struct WeightsLoader<R, E, O> {
    pub(crate) cx: Arc<AgentContext<R, E, O>>,
    pub(crate) rollout: Rollout,
    pub(crate) report: Option<EngineReport>,
    /// The engine's start as given by its last state.
    engine_start: Option<UpstreamStart>,
    target: Option<Target>,
    /// The version of which all chunks are stored, and since when.
    complete: Option<(WeightsVersion, Instant)>,
    fetching: Option<RunningFetch>,
    resolving: Option<AbortOnDropHandle<Option<Arc<ChunkManifest>>>>,
    pub(crate) ordered_at: Option<Instant>,
    started: Instant,
}

impl<R, E, O> WeightsLoader<R, E, O>
where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    pub(crate) fn new(cx: Arc<AgentContext<R, E, O>>) -> Self {
        let rollout = Rollout::new(cx.settings.weights, Instant::now());
        Self {
            cx,
            rollout,
            report: None,
            engine_start: None,
            target: None,
            complete: None,
            fetching: None,
            resolving: None,
            ordered_at: None,
            started: Instant::now(),
        }
    }

    /// Runs until dropped.
    pub(crate) async fn run(mut self) {
        let cx = Arc::clone(&self.cx);
        let mut polls = tokio::time::interval(ENGINE_POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = polls.tick() => {}
                () = cx.known_settings.changed.notified() => {}
            }
            let desired = cx.known_settings.desired();
            self.poll_engine(desired.as_ref()).await;
            let Some(desired) = desired else {
                continue;
            };
            self.update_target(&desired).await;
            self.run_step(&desired).await;
        }
    }

    /// Reads the engine's state and publishes it.
    async fn poll_engine(&mut self, desired: Option<&DesiredWeights>) {
        let model = desired
            .map(|desired| desired.model.as_str())
            .unwrap_or_default();
        let requested_at = Instant::now();
        let report = self.cx.engine.report().await;
        let reason = report.as_ref().err().map(ToString::to_string);
        self.report = report.ok();
        self.check_restart();
        let running = self.report.as_ref().map_or(0, |report| report.running);
        self.cx.metrics.running.set(i64::from(running));
        if self
            .cx
            .board
            .set_report(model, self.report.clone(), requested_at)
        {
            let report = self.report.as_ref();
            let version = report.and_then(|report| report.version_of(model));
            let gauge = &self.cx.metrics.version;
            gauge.set(version.and_then(|it| it.try_into().ok()).unwrap_or(0));
            events::ENGINE_CHANGED.emit(&[
                ("version", &version.unwrap_or_default().to_string()),
                ("answers", &self.report.is_some().to_string()),
                ("reason", &reason.unwrap_or_default()),
            ]);
            self.cx.board.push_all();
        }
        self.check_order(model);
    }

    /// Checks whether the engine has restarted since its last state. A restarted engine holds no weights,
    /// has begun no order and knows of none.
    fn check_restart(&mut self) {
        let Some(report) = &self.report else {
            return;
        };
        let before = self.engine_start.replace(report.started);
        if before.is_none_or(|before| before >= report.started) {
            return;
        }
        events::ENGINE_RESTARTED.emit(&[
            ("started", &report.started.to_string()),
            ("before", &before.unwrap_or_default().to_string()),
            ("orders", &report.orders.to_string()),
        ]);
        self.ordered_at = None;
        self.rollout.restarted();
        self.cx.board.set_switching(false);
    }

    /// Ends the switch once the order to load was carried out or has failed, so that requests come again.
    fn check_order(&mut self, model: &str) {
        let Some(ordered_at) = self.ordered_at else {
            return;
        };
        let is_busy = self.report.as_ref().is_some_and(|report| report.is_busy);
        let held = self.report.as_ref().and_then(|it| it.version_of(model));
        let target = self.target.as_ref().map(|target| target.version);
        let is_done = held.is_some() && held >= target;
        let has_expired = !is_busy && ordered_at.elapsed() > ORDER_START_TIMEOUT;
        if !is_done && !has_expired {
            return;
        }
        self.ordered_at = None;
        self.cx.board.set_switching(false);
        if let (true, Some(version)) = (is_done, held) {
            self.cx.chunk_store.release(model, version);
        }
    }

    /// Sets the target to the named weights, or to the newest manifest if no weights are named.
    async fn update_target(&mut self, desired: &DesiredWeights) {
        let known = self.target.as_ref().filter(|it| it.model == desired.model);
        let known = known.map(|target| target.version);
        if let Some(named) = desired.named {
            let KnownNaming {
                version, named_at, ..
            } = named;
            let model = desired.model.clone();
            let weights = NamedWeights { model, version };
            self.cx.board.set_naming(weights, named);
            if known != Some(version) && self.may_replace_target() {
                // The bound of the skipped weights keeps running.
                let skipped = self.target.take().filter(|_| !self.is_loaded(known));
                self.target = Some(Target {
                    model: desired.model.clone(),
                    version,
                    named_at: skipped.and_then(|target| target.named_at).or(named_at),
                });
                self.resolving = None;
            }
            return;
        }
        let holds = self
            .report
            .as_ref()
            .and_then(|it| it.version_of(&desired.model));
        if let Some(held) = holds {
            self.request_held_manifest(&desired.model, held, desired.origin)
                .await;
            return;
        }
        if known.is_some() {
            return;
        }
        let origin = match self.report {
            Some(_) => desired.origin,
            // While the engine starts, only other agents are asked. If all agents start together, none
            // has the manifest, and chunks that their engines hold must not be fetched from the origin.
            None if self.engine_start.is_none() => None,
            None => return,
        };
        if let Some(manifest) = self.resolve(&desired.model, None, origin).await {
            self.target = Some(Target {
                model: manifest.model.clone(),
                version: manifest.version,
                named_at: None,
            });
        }
    }

    /// Returns whether the engine holds `version` or a newer one.
    fn is_loaded(&self, version: Option<WeightsVersion>) -> bool {
        let report = self.report.as_ref();
        let held = report.and_then(|report| report.models.iter().find(|held| held.whole));
        held.is_some_and(|held| Some(held.version) >= version)
    }

    /// Returns whether newer weights may replace the target.
    fn may_replace_target(&self) -> bool {
        let Some(target) = &self.target else {
            return true;
        };
        if self.is_loaded(Some(target.version)) {
            return true;
        }
        let have = self.cx.chunk_store.have(&target.model, target.version);
        let share = have.map_or(0.0, |have| {
            f64::from(have.count()) / f64::from(have.capacity().max(1))
        });
        let is_empty = !self.is_loaded(Some(0));
        let now = Instant::now();
        self.ordered_at.is_none() && self.rollout.may_skip(target, share, is_empty, now)
    }

    /// Returns the engine's position among the engines of its data centre, from 0 to 1.
    ///
    /// All agents compute the same order from the same list, without any message between them.
    fn position(&self, version: WeightsVersion) -> f64 {
        let settings = &self.cx.settings;
        let own = settings.listen.ip().to_string();
        let score = |vm: &str| rank_score(&version.to_be_bytes(), vm);
        let peers = self.cx.peers.borrow();
        let local = peers
            .iter()
            .filter(|it| it.data_centre == settings.data_centre);
        let local: Vec<u64> = local.map(|it| score(&it.vm)).collect();
        let before = local.iter().filter(|it| **it > score(&own)).count();
        // The number of engines in a data centre fits a float without loss.
        #[allow(clippy::cast_precision_loss)]
        let position = (before as f64 + 0.5) / (local.len() as f64 + 1.0);
        position
    }

    /// Requests the manifest of the version that the engine holds, so that the agents of added engines can
    /// get it from this agent while the origin is unreachable.
    async fn request_held_manifest(
        &mut self,
        model: &ModelName,
        held: WeightsVersion,
        origin: Option<SocketAddr>,
    ) {
        let own = self.cx.settings.listen.ip().to_string();
        let score = rank_score(model.as_bytes(), &own);
        // The share needs no more precision than a float has.
        #[allow(clippy::cast_precision_loss)]
        let share = score as f64 / u64::MAX as f64;
        if self.started.elapsed() >= MANIFEST_REQUEST_SPREAD.mul_f64(share) {
            self.resolve(model, Some(held), origin).await;
        }
    }

    /// Returns a manifest if it is stored; otherwise requests it in the background and returns `None`.
    async fn resolve(
        &mut self,
        model: &ModelName,
        version: Option<WeightsVersion>,
        origin: Option<SocketAddr>,
    ) -> Option<Arc<ChunkManifest>> {
        if let Some(manifest) = self.cx.chunk_store.manifest(model, version) {
            return Some(manifest);
        }
        let Some(resolving) = &mut self.resolving else {
            let cx = Arc::clone(&self.cx);
            let request = request_manifest(cx, model.clone(), version, origin);
            self.resolving = Some(AbortOnDropHandle::new(tokio::spawn(request)));
            return None;
        };
        if !resolving.is_finished() {
            return None;
        }
        let resolved = resolving.await;
        self.resolving = None;
        // A failed task is started again with the next poll.
        let manifest = resolved.ok().flatten()?;
        self.cx.chunk_store.add_version(&manifest);
        Some(manifest)
    }

    async fn run_step(&mut self, desired: &DesiredWeights) {
        let complete_since = self.complete_since();
        let is_complete = complete_since.is_some();
        let state = RolloutState {
            report: self.report.as_ref(),
            is_starting: self.engine_start.is_none(),
            target: self.target.as_ref(),
            complete_since,
            position: self
                .target
                .as_ref()
                .map_or(0.0, |it| self.position(it.version)),
        };
        let step = self.rollout.next(state, Instant::now());
        let Some(target) = self.target.clone() else {
            return;
        };
        match step {
            Step::Wait if is_complete => self.prefetch(&target, desired).await,
            // The engine has started with these weights meanwhile, so the fetch is not needed.
            Step::Wait if self.is_loaded(Some(target.version)) => self.fetching = None,
            Step::Wait => {}
            Step::Fetch => self.fetch(&target, desired).await,
            Step::Load if self.ordered_at.is_none() => self.load(&target).await,
            Step::Load => {}
        }
    }

    /// Returns since when all chunks of the target are stored.
    fn complete_since(&mut self) -> Option<Instant> {
        let target = self.target.as_ref()?;
        if !self.cx.chunk_store.is_full(&target.model, target.version) {
            self.complete = None;
            return None;
        }
        let version = target.version;
        let known = self.complete.filter(|(complete, _)| *complete == version);
        let (_, since) = *self
            .complete
            .insert(known.unwrap_or((version, Instant::now())));
        Some(since)
    }

    /// Fetches newer weights while the target waits for its time to be loaded.
    async fn prefetch(&mut self, target: &Target, desired: &DesiredWeights) {
        let Some(KnownNaming {
            version, named_at, ..
        }) = desired.named
        else {
            return;
        };
        let newer = Target {
            model: desired.model.clone(),
            version,
            named_at,
        };
        if version > target.version && !self.cx.chunk_store.is_full(&newer.model, version) {
            self.fetch(&newer, desired).await;
        }
    }

    async fn fetch(&mut self, target: &Target, desired: &DesiredWeights) {
        let running = self.fetching.as_ref();
        if running.is_some_and(|it| it.version == target.version && !it.task.is_finished()) {
            return;
        }
        self.fetching = None;
        let manifest = self.resolve(&target.model, Some(target.version), desired.origin);
        let Some(manifest) = manifest.await else {
            return;
        };
        // An engine that serves an older version has the chunks of that version staged.
        let report = self.report.as_ref();
        let loaded = report.and_then(|it| it.version_of(&target.model));
        let restores_staged = loaded.is_none();
        let cx = Arc::clone(&self.cx);
        let from = fetch::OriginSource {
            origin: desired.origin,
            draw_time: desired.draw_time,
        };
        let task = tokio::spawn(fetch::fetch_version(cx, manifest, from, restores_staged));
        self.fetching = Some(RunningFetch {
            version: target.version,
            task: AbortOnDropHandle::new(task),
        });
    }
}
