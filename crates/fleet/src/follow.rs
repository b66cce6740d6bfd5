//! The task that follows one topic of the registry.

use std::time::Duration;

use crate::{Applied, BootTime, Change, Follower, Registry, RegistryError, Step, Topic, events};

/// First pause after a failed call, in place of an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// How a topic is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowConfig {
    /// The topic.
    pub topic: Topic,
    /// How long the registry may wait for the first record of an answer.
    pub wait: Duration,
    /// Shortest time from one answer to the next call; a topic that never rests is read in pages
    /// of this length.
    pub pace: Duration,
    /// How much longer than the wait an answer may take.
    pub timeout: Duration,
    /// Longest pause after failed calls. Each call costs the registry work while it is in trouble; a
    /// return is noticed within this time and the time-out.
    pub longest_pause: Duration,
    /// How long a removal is doubted that is read just after the registry was away.
    pub lapse_hold: Duration,
}

/// Takes what a topic says.
pub trait Sink: Send + Sync + 'static {
    /// Takes a change, in order.
    fn apply(&self, change: Change);

    /// Takes that the topic's state at `as_of` is known.
    fn confirmed(&self, topic: Topic, as_of: BootTime);

    /// Takes that the registry answers again, before what it says is applied.
    fn returned(&self, topic: Topic) {
        let _ = topic;
    }

    /// Waits for a wish to read at once, in place of the pace; never returns if there is none.
    fn wake(&self, topic: Topic) -> impl Future<Output = ()> + Send {
        let _ = topic;
        std::future::pending()
    }
}

/// Follows a topic until it is dropped.
pub async fn follow<R, S>(registry: R, sink: std::sync::Arc<S>, cfg: FollowConfig)
where
    R: Registry,
    S: Sink,
{
    let mut follower = Follower::new(cfg.lapse_hold);
    let mut pause = FIRST_PAUSE;
    loop {
        let answer = ask(&registry, &mut follower, &cfg).await;
        match answer {
            Ok(applied) => {
                pause = FIRST_PAUSE;
                take(sink.as_ref(), &cfg, applied);
                let due = follower.next_due(BootTime::now());
                rest(sink.as_ref(), &cfg, due).await;
            }
            Err(err) => {
                if follower.failed(&err) {
                    tell(events::REGISTRY_AWAY, cfg.topic, &err.to_string());
                }
                if !matches!(err, RegistryError::Expired { .. }) {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(cfg.longest_pause);
                }
            }
        }
        for change in follower.due(BootTime::now()) {
            sink.apply(change);
        }
    }
}

async fn ask<R>(
    registry: &R,
    follower: &mut Follower,
    cfg: &FollowConfig,
) -> Result<Applied, RegistryError>
where
    R: Registry,
{
    let sent = BootTime::now();
    match follower.step() {
        Step::Newest => {
            let snapshot = registry.newest(cfg.topic, cfg.timeout).await?;
            Ok(follower.newest(snapshot, sent, BootTime::now()))
        }
        Step::Read(from) => {
            let page = registry
                .read(cfg.topic, from, cfg.wait, cfg.timeout)
                .await?;
            Ok(follower.page(page, sent, cfg.wait, BootTime::now()))
        }
    }
}

fn take<S>(sink: &S, cfg: &FollowConfig, applied: Applied)
where
    S: Sink,
{
    if applied.is_back {
        tell(events::REGISTRY_BACK, cfg.topic, "");
        sink.returned(cfg.topic);
    }
    for change in applied.changes {
        if let Change::Unreadable { key, reason } = &change {
            let fields = [("key", key.as_str()), ("reason", reason.as_str())];
            events::RECORD_UNREADABLE.emit(&fields);
        }
        sink.apply(change);
    }
    sink.confirmed(cfg.topic, applied.as_of);
}

/// Waits until the next call is due, or a doubted removal before it.
async fn rest<S>(sink: &S, cfg: &FollowConfig, due: Option<Duration>)
where
    S: Sink,
{
    if cfg.pace.is_zero() {
        return;
    }
    tokio::select! {
        () = tokio::time::sleep(due.map_or(cfg.pace, |due| due.min(cfg.pace))) => {}
        () = sink.wake(cfg.topic) => {}
    }
}

fn tell(event: wagtailreel_telemetry::Event, topic: Topic, reason: &str) {
    event.emit(&[("topic", &topic.to_string()), ("reason", reason)]);
}
