//! How late the records of each topic were heard, and what was waited for before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailreel_fleet::{BootTime, Position, Topic};

use crate::events;

/// Gap after which records of the upstreams are reported. They change several times a second, and are read
/// within a second in calm times.
const LATE_AFTER: Duration = Duration::from_millis(1500);

/// What happened instead of a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Delay {
    /// A neighbour gave no valid answer.
    #[display("neighbour-silent")]
    NeighbourSilent,
    /// A neighbour had only old records, or none.
    #[display("neighbour-old")]
    NeighbourOld,
    /// A neighbour was reading, and was waited for.
    #[display("neighbour-reads")]
    NeighbourReads,
    /// The registry did not answer.
    #[display("call-failed")]
    CallFailed,
    /// The registry was not called, since a call had failed before.
    #[display("not-called")]
    NotCalled,
}

/// State of one topic.
#[derive(Clone, Debug, Default)]
struct Heard {
    /// Source of the last answer, `None` for the registry.
    source: Option<SocketAddr>,
    /// The latest time as of which an answer was complete.
    as_of: Option<BootTime>,
    /// Delays since the last answer.
    delays: BTreeMap<Delay, u32>,
}

/// Records that were heard, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeardRecords {
    /// Source of the records, `None` for the registry.
    pub source: Option<SocketAddr>,
    /// Time since the records are known to be complete.
    pub age: Duration,
    /// Time since the answer before was known to be complete, which is the longest time for which a record can
    /// have been waiting; `None` for the first answer.
    pub gap: Option<Duration>,
    /// Delays since the answer before, with their numbers.
    pub delays: String,
}

/// Observes the reads of each topic.
#[derive(Clone, Debug, Default)]
pub struct HeardLog(BTreeMap<Topic, Heard>);

impl HeardLog {
    /// Records the source of the next answer, `None` for the registry.
    pub fn note_source(&mut self, topic: Topic, source: Option<SocketAddr>) {
        self.0.entry(topic).or_default().source = source;
    }

    /// Records a delay.
    pub fn note_delay(&mut self, topic: Topic, delay: Delay) {
        let delays = &mut self.0.entry(topic).or_default().delays;
        let count = delays.entry(delay).or_default();
        *count = count.saturating_add(1);
    }

    /// Records an answer with `records` records that is complete as of `as_of`. Returns what to report: all
    /// records of the settings, and those of the upstreams that may be late.
    pub fn note_answer(
        &mut self,
        topic: Topic,
        records: usize,
        as_of: BootTime,
        now: BootTime,
    ) -> Option<HeardRecords> {
        let heard = self.0.entry(topic).or_default();
        let gap = heard.as_of.map(|before| now.since(before));
        let is_newer = heard.as_of < Some(as_of);
        heard.as_of = heard.as_of.max(Some(as_of));
        // Old copies from a neighbour that is reading do not end the wait.
        let delays = if is_newer {
            std::mem::take(&mut heard.delays)
        } else {
            heard.delays.clone()
        };
        let is_late = gap.is_none_or(|gap| gap >= LATE_AFTER);
        let is_reported = records > 0 && (topic == Topic::Settings || is_late);
        let delays: Vec<String> = delays
            .iter()
            .map(|(delay, count)| format!("{delay}={count}"))
            .collect();
        is_reported.then(|| HeardRecords {
            source: heard.source,
            age: now.since(as_of),
            gap,
            delays: delays.join(" "),
        })
    }
}

/// The log of a process, which reports what it observes as events.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeardEvents(Arc<Mutex<HeardLog>>);

impl HeardEvents {
    pub(crate) fn note_source(&self, topic: Topic, source: Option<SocketAddr>) {
        self.lock().note_source(topic, source);
    }

    pub(crate) fn note_delay(&self, topic: Topic, delay: Delay) {
        self.lock().note_delay(topic, delay);
    }

    /// Records an answer with `records` records before `next` that is complete as of `as_of`.
    pub(crate) fn note_answer(
        &self,
        topic: Topic,
        records: usize,
        next: Position,
        as_of: BootTime,
    ) {
        let heard = self
            .lock()
            .note_answer(topic, records, as_of, BootTime::now());
        let Some(heard) = heard else {
            return;
        };
        let source = heard.source.map(|it| it.to_string());
        let gap = heard.gap.map(|gap| gap.as_millis().to_string());
        events::RECORDS_HEARD.emit(&[
            ("topic", &topic.to_string()),
            ("records", &records.to_string()),
            ("next", &next.to_string()),
            ("source", source.as_deref().unwrap_or("the registry")),
            ("age_ms", &heard.age.as_millis().to_string()),
            ("gap_ms", gap.as_deref().unwrap_or("none")),
            ("delays", &heard.delays),
        ]);
    }

    fn lock(&self) -> MutexGuard<'_, HeardLog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
