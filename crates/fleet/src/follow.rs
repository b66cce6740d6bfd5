//! The task that follows one topic of the registry.

use std::time::Duration;

use crate::{Applied, BootTime, Change, Follower, Registry, RegistryError, Step, Topic, events};

/// First pause after a failed call, in place of an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pace of reads that take long. One that takes half of its pace leaves half of a link that is
/// full to others; with the read it stays below the 2 s in which a change has to be in force.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(1);

/// How many time-outs of a read the newest of each key may take. It is all that there is, asked for
/// by many processes at once when they start together; 6 MB over 30 Mbit/s take 1.6 s, and a call
/// that is given up before begins from nothing.
const NEWEST_PATIENCE: u32 = 3;

/// How a topic is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowConfig {
    /// The topic.
    pub topic: Topic,
    /// How long the registry may wait for the first record of an answer.
    pub wait: Duration,
    /// Shortest time from one call to the next; a topic that never rests is read in pages of this
    /// length.
    pub read_interval: Duration,
    /// The same for answers that came second-hand; they cost the registry nothing.
    pub relayed_read_interval: Duration,
    /// How much longer than the wait an answer may take.
    pub timeout: Duration,
    /// Longest pause after failed calls. Each call costs the registry work while it is in trouble; a
    /// return is noticed within this time and the time-out.
    pub max_backoff: Duration,
    /// How long a removal is doubted that is read just after the registry was away.
    pub lapse_hold: Duration,
    /// How long the registry has to be away for an upstream that lives to lapse.
    pub lapse_after: Duration,
}

/// Takes what a topic says.
pub trait Sink: Send + Sync + 'static {
    /// Takes a change, in order.
    fn apply(&self, change: Change);

    /// Takes that the topic's state at `as_of` is known.
    fn confirmed(&self, topic: Topic, as_of: BootTime);

    /// Takes that the registry answers again, before what it says is applied; `unanswered` is when the
    /// last call was sent that it did not answer, none if this process made no such call.
    fn returned(&self, topic: Topic, unanswered: Option<BootTime>) {
        let _ = (topic, unanswered);
    }

    /// Waits for a wish to read at once, without the pace and without waiting for news; never returns if
    /// there is none.
    fn read_now_requested(&self, topic: Topic) -> impl Future<Output = ()> + Send {
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
    let mut follower = Follower::new(cfg.lapse_hold, cfg.lapse_after);
    let mut pause = FIRST_PAUSE;
    let mut unanswered = None;
    let mut wait = cfg.wait;
    loop {
        let sent = BootTime::now();
        let answer = ask(&registry, &mut follower, &cfg, wait).await;
        match answer {
            Ok(applied) => {
                pause = FIRST_PAUSE;
                let took = BootTime::now().since(sent);
                let read_interval = match applied.as_of {
                    // There is more to read.
                    None => Duration::ZERO,
                    Some(_) if applied.is_relayed => cfg.relayed_read_interval,
                    // Nothing came; the registry held the call.
                    Some(_) if applied.changes.is_empty() => cfg.read_interval,
                    Some(_) => cfg.read_interval.max((took * 2).min(MAX_READ_INTERVAL)),
                };
                take(sink.as_ref(), &cfg, applied, unanswered.take());
                let due = follower.next_due(BootTime::now());
                let rest_for = read_interval.saturating_sub(BootTime::now().since(sent));
                let is_wished = rest(sink.as_ref(), &cfg, rest_for, due).await;
                // News that the registry has not got would keep back the answer that is wished for.
                wait = if is_wished { Duration::ZERO } else { cfg.wait };
            }
            // Who reads for this process is not away, only slow.
            Err(RegistryError::Pending) => tokio::time::sleep(FIRST_PAUSE).await,
            Err(err) => {
                if err.is_unanswered() {
                    unanswered = Some(sent);
                }
                if follower.failed(&err) {
                    tell(events::REGISTRY_AWAY, cfg.topic, &err.to_string());
                }
                if !matches!(err, RegistryError::Expired { .. }) {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(cfg.max_backoff);
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
    wait: Duration,
) -> Result<Applied, RegistryError>
where
    R: Registry,
{
    match follower.step() {
        Step::Newest => {
            let timeout = cfg.timeout * NEWEST_PATIENCE;
            let snapshot = registry.newest(cfg.topic, timeout).await?;
            Ok(follower.newest(snapshot, BootTime::now()))
        }
        Step::Read(from) => {
            // An answer that isn't held may still be late: it has the time that a held one has.
            let timeout = cfg.timeout + cfg.wait.saturating_sub(wait);
            let page = registry.read(cfg.topic, from, wait, timeout).await?;
            Ok(follower.page(page, BootTime::now()))
        }
    }
}

fn take<S>(sink: &S, cfg: &FollowConfig, applied: Applied, unanswered: Option<BootTime>)
where
    S: Sink,
{
    if applied.is_back {
        tell(events::REGISTRY_BACK, cfg.topic, "");
        sink.returned(cfg.topic, unanswered);
    }
    for change in applied.changes {
        if let Change::Unreadable { key, reason } = &change {
            let fields = [("key", key.as_str()), ("reason", reason.as_str())];
            events::RECORD_UNREADABLE.emit(&fields);
        }
        sink.apply(change);
    }
    if let Some(as_of) = applied.as_of {
        sink.confirmed(cfg.topic, as_of);
    }
}

/// Waits until the next call is due, or a doubted removal before it; returns whether the sink wishes for
/// the call.
async fn rest<S>(sink: &S, cfg: &FollowConfig, rest_for: Duration, due: Option<Duration>) -> bool
where
    S: Sink,
{
    let rest_for = due.map_or(rest_for, |due| due.min(rest_for));
    let rested = async {
        if !rest_for.is_zero() {
            tokio::time::sleep(rest_for).await;
        }
    };
    tokio::select! {
        biased;
        () = sink.read_now_requested(cfg.topic) => true,
        () = rested => false,
    }
}

fn tell(event: wagtailreel_telemetry::Event, topic: Topic, reason: &str) {
    event.emit(&[("topic", &topic.to_string()), ("reason", reason)]);
}
