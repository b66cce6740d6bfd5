//! The task that follows one topic of the registry and passes its changes to a [`Sink`].

use std::time::Duration;

use crate::{
    Applied, BootTime, Change, Follower, Registry, RegistryError, Restoration, Step, Topic, events,
};

/// Shortest pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Upper bound of the read interval after slow reads. A read is started at most every two read durations,
/// so that half of a saturated link is left to others. With the bound, interval and read together stay below
/// the 2 s in which a change has to be in force.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time-out of a snapshot, as a multiple of the time-out of a read. A snapshot holds the whole topic, and
/// processes that start together read it at the same time: 6 MB over 30 Mbit/s take 1.6 s. A call that times
/// out earlier has to start over.
const SNAPSHOT_TIMEOUT_FACTOR: u32 = 3;

/// Settings for following a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowConfig {
    /// The topic.
    pub topic: Topic,
    /// How long the registry may wait for the first record of an answer.
    pub wait: Duration,
    /// Shortest time from one call to the next. The records of a topic that changes all the time are
    /// collected for this long and read as one page.
    pub read_interval: Duration,
    /// The same for answers that a neighbour relayed; these put no load on the registry.
    pub relayed_read_interval: Duration,
    /// How long an answer may take in addition to the wait.
    pub timeout: Duration,
    /// Longest pause after failed calls. Each call adds load to a registry that has trouble answering. A
    /// recovery is noticed within this time plus the time-out.
    pub max_backoff: Duration,
    /// How long a removal is held back that is read just after the registry was unreachable or restored.
    pub lapse_hold: Duration,
    /// Shortest outage of the registry in which the registration of a running upstream can lapse.
    pub lapse_after: Duration,
}

impl FollowConfig {
    /// Returns the time from one read of the registry to the next, if a read that found records took
    /// `elapsed`.
    pub fn interval_after_read(&self, elapsed: Duration) -> Duration {
        self.read_interval.max((elapsed * 2).min(MAX_READ_INTERVAL))
    }
}

/// Receives the changes of a topic.
pub trait Sink: Send + Sync + 'static {
    /// Applies a change. Changes come in the order of the log.
    fn apply(&self, change: Change);

    /// Records that the state of the topic as of `as_of` has been applied.
    fn confirmed(&self, topic: Topic, as_of: BootTime);

    /// Records that the registry answers again, before the answer's changes are applied. `unanswered` is the
    /// time at which the last unanswered call was sent, `None` if this process sent no such call.
    fn returned(&self, topic: Topic, unanswered: Option<BootTime>) {
        let _ = (topic, unanswered);
    }

    /// Records that the registry came back from an older copy of its log, before the changes are applied.
    fn restored(&self, topic: Topic) {
        let _ = topic;
    }

    /// Records the number of settings of which newer versions are known than the registry holds.
    fn settings_kept(&self, count: usize) {
        let _ = count;
    }

    /// Completes when the sink wants the topic to be read at once, without the read interval and without
    /// waiting for new records.
    fn read_now_requested(&self, topic: Topic) -> impl Future<Output = ()> + Send {
        let _ = topic;
        std::future::pending()
    }
}

/// Follows a topic until the future is dropped.
pub async fn follow<R, S>(registry: R, sink: std::sync::Arc<S>, cfg: FollowConfig)
where
    R: Registry,
    S: Sink,
{
    let mut follower = Follower::new(cfg.lapse_hold, cfg.lapse_after);
    let mut backoff = MIN_BACKOFF;
    let mut unanswered = None;
    let mut wait = cfg.wait;
    loop {
        let sent = BootTime::now();
        let answer = call_registry(&registry, &mut follower, &cfg, wait).await;
        match answer {
            Ok(applied) => {
                backoff = MIN_BACKOFF;
                let elapsed = BootTime::now().since(sent);
                let read_interval = match applied.as_of {
                    // More records are waiting to be read.
                    None => Duration::ZERO,
                    Some(_) if applied.is_relayed => cfg.relayed_read_interval,
                    // The registry held the call, so its duration says nothing about the link.
                    Some(_) if applied.changes.is_empty() => cfg.read_interval,
                    Some(_) => cfg.interval_after_read(elapsed),
                };
                deliver(sink.as_ref(), &cfg, applied, unanswered.take());
                let due = follower.next_due(BootTime::now());
                let remaining = read_interval.saturating_sub(BootTime::now().since(sent));
                let read_requested = wait_until_due(sink.as_ref(), &cfg, remaining, due).await;
                // A call that waits for new records would delay the requested answer.
                wait = if read_requested {
                    Duration::ZERO
                } else {
                    cfg.wait
                };
            }
            // The neighbour that reads for this process is slow, but has not failed.
            Err(RegistryError::Pending) => tokio::time::sleep(MIN_BACKOFF).await,
            Err(err) => {
                if err.is_unanswered() {
                    unanswered = Some(sent);
                }
                if follower.note_failure(&err) {
                    emit(events::REGISTRY_AWAY, cfg.topic, &err.to_string());
                }
                if !err.needs_snapshot() {
                    tokio::time::sleep(backoff).await;
                    backoff = (backoff * 2).min(cfg.max_backoff);
                }
            }
        }
        for change in follower.due_changes(BootTime::now()) {
            sink.apply(change);
        }
    }
}

async fn call_registry<R>(
    registry: &R,
    follower: &mut Follower,
    cfg: &FollowConfig,
    wait: Duration,
) -> Result<Applied, RegistryError>
where
    R: Registry,
{
    match follower.step() {
        Step::Newest => {
            let timeout = cfg.timeout * SNAPSHOT_TIMEOUT_FACTOR;
            let snapshot = registry.newest(cfg.topic, timeout).await?;
            follower.check_era(snapshot.end.era)?;
            Ok(follower.apply_snapshot(snapshot, BootTime::now()))
        }
        Step::Read(from) => {
            // An answer without a wait may be late too, so the total time allowed stays the same.
            let timeout = cfg.timeout + cfg.wait.saturating_sub(wait);
            let page = registry.read(cfg.topic, from, wait, timeout).await?;
            follower.check_era(page.next.era)?;
            Ok(follower.apply_page(page, BootTime::now()))
        }
    }
}

fn deliver<S>(sink: &S, cfg: &FollowConfig, applied: Applied, unanswered: Option<BootTime>)
where
    S: Sink,
{
    if applied.has_recovered {
        emit(events::REGISTRY_BACK, cfg.topic, "");
        sink.returned(cfg.topic, unanswered);
    }
    if let Some(restored) = &applied.restored {
        emit_restored(cfg.topic, restored);
        sink.restored(cfg.topic);
    }
    if cfg.topic == Topic::Settings {
        sink.settings_kept(applied.kept_settings);
    }
    for change in applied.changes {
        let unreadable = match &change {
            Change::Unreadable { key, reason } => Some((key.clone(), reason)),
            Change::UnreadableEvacuation {
                data_centre,
                reason,
            } => Some((format!("evacuation of {data_centre}"), reason)),
            _ => None,
        };
        if let Some((key, reason)) = unreadable {
            events::RECORD_UNREADABLE.emit(&[("key", &key), ("reason", reason)]);
        }
        sink.apply(change);
    }
    if let Some(as_of) = applied.as_of {
        sink.confirmed(cfg.topic, as_of);
    }
}

/// Waits until the next call or an earlier held-back removal is due; returns whether the sink requested a
/// read.
async fn wait_until_due<S>(
    sink: &S,
    cfg: &FollowConfig,
    remaining: Duration,
    due: Option<Duration>,
) -> bool
where
    S: Sink,
{
    let remaining = due.map_or(remaining, |due| due.min(remaining));
    let rested = async {
        if !remaining.is_zero() {
            tokio::time::sleep(remaining).await;
        }
    };
    tokio::select! {
        biased;
        () = sink.read_now_requested(cfg.topic) => true,
        () = rested => false,
    }
}

fn emit_restored(topic: Topic, restored: &Restoration) {
    let Restoration {
        before,
        after,
        kept,
    } = restored;
    events::REGISTRY_RESTORED.emit(&[
        ("topic", &topic.to_string()),
        ("era_before", &before.era.to_string()),
        ("era", &after.era.to_string()),
        ("offset_before", &before.offset.to_string()),
        ("offset", &after.offset.to_string()),
    ]);
    for setting in kept {
        let in_registry = setting.in_registry;
        let in_registry = in_registry.map_or_else(|| "none".to_owned(), |it| it.to_string());
        events::SETTING_KEPT.emit(&[
            ("key", &setting.key),
            ("version", &setting.version.to_string()),
            ("in_registry", &in_registry),
        ]);
    }
}

fn emit(event: wagtailreel_telemetry::Event, topic: Topic, reason: &str) {
    event.emit(&[("topic", &topic.to_string()), ("reason", reason)]);
}
