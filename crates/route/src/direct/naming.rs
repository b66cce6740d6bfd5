//! Namings: which versions of a model's weights a request may begin on.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, ModelName, NamedWeights, WeightsVersion};

/// Longest time past the bound that a request may wait to begin on weights whose naming was missed. Bound and
/// wait together stay below the 3 s that a new process is given.
const MAX_WAIT_FOR_MISSED_NAMING: Duration = Duration::from_millis(250);

/// Proofs of one naming that differ by less than this differ only in network delay.
const PROOF_TOLERANCE: Duration = Duration::from_millis(20);

/// The first version of a model's weights.
const FIRST_VERSION: WeightsVersion = 1;

/// How long requests may still begin on older weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamingBounds {
    /// Time after a naming in which requests may begin on older weights.
    pub begin: Duration,
    /// Time after a naming in which a request that was sent to older weights may still wait to begin.
    pub last_begin: Duration,
    /// Time in which requests may begin on older weights if the time of the naming is unknown.
    pub unknown: Duration,
}

/// How a process learned of a naming.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NamingSource {
    /// This process read the naming from the registry.
    #[display("news")]
    Registry {
        /// Start of the bound.
        received_at: BootTime,
        /// Latest time at which the registry did not name the weights yet.
        after: BootTime,
    },
    /// The registry already named the weights at the first read of this process, which started at this time.
    #[display("before-start")]
    BeforeStart(BootTime),
    /// As `BeforeStart`, but the registry was unreachable since the start. The bound counts from the first
    /// answer.
    #[display("after-outage")]
    AfterOutage,
    /// An engine holds the weights, so they must have been named.
    #[display("held")]
    Held,
    /// Another process reported the naming, and that the registry did not name the weights yet at this time.
    #[display("word")]
    Reported(BootTime),
}

impl NamingSource {
    /// Returns the latest time at which the registry is proved not to have named the weights, or `None` if
    /// nothing is proved.
    pub const fn after(&self) -> Option<BootTime> {
        match *self {
            Self::Registry { after, .. } | Self::Reported(after) => Some(after),
            Self::BeforeStart(_) | Self::AfterOutage | Self::Held => None,
        }
    }
}

/// A naming, with its time as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Naming {
    /// The weights.
    pub weights: NamedWeights,
    /// Time from which the weights count as named, or `None` if that time is an estimate.
    pub since: Option<BootTime>,
    /// Latest time at which the weights are proved not to have been named, or `None` if nothing is proved.
    pub after: Option<BootTime>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    version: WeightsVersion,
    binding_from: BootTime,
    /// Time at which requests that wait to begin on older weights are withdrawn.
    last_begin: BootTime,
    /// Time from which the weights count as named, unless that time is an estimate.
    since: Option<BootTime>,
    /// Latest time at which the registry is proved not to have named the weights.
    after: Option<BootTime>,
    /// Time at which this process learned of the naming. A proof of a later time is false.
    known_at: BootTime,
    /// The bound is an estimate, and counts from `after` as soon as `after` is known.
    is_estimate: bool,
}

/// Weights newer than those that this process read from the registry.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: WeightsVersion,
    /// Time of the first report.
    at: BootTime,
    /// Time at which another process first reported the naming.
    reported_at: Option<BootTime>,
}

impl NamingBounds {
    /// Returns the version before `named` if this process skipped it, that is if it is newer than `last`, the
    /// newest version known so far.
    ///
    /// The skipped version was named before `named`. A later proof of the time of `named` does not apply to
    /// the skipped version.
    fn skipped_version(
        &self,
        named: Named,
        source: NamingSource,
        last: WeightsVersion,
        now: BootTime,
    ) -> Option<Named> {
        let version = named.version.saturating_sub(1);
        if version <= last {
            return None;
        }
        if !matches!(source, NamingSource::Reported(_)) {
            return Some(Named { version, ..named });
        }
        // The skipped version may have been named long before the time that the report proves.
        let estimate = now.plus(self.unknown).min(named.binding_from);
        let waits = self.waits().min(MAX_WAIT_FOR_MISSED_NAMING);
        Some(Named {
            version,
            binding_from: estimate,
            last_begin: estimate.plus(waits),
            since: None,
            after: None,
            is_estimate: true,
            ..named
        })
    }

    /// Returns how long past the bound a request that was sent in time may still wait to begin.
    const fn waits(&self) -> Duration {
        self.last_begin.saturating_sub(self.begin)
    }
}

/// The namings of each model, and the times from which requests may no longer begin on older weights.
///
/// Invariant: the versions of each model only grow. The newest record of the registry may name an older
/// version than an earlier record, since a write whose answer was lost may take effect seconds later. A
/// process that starts after such a write learns of the newer version from engines that hold it.
#[derive(Clone, Debug)]
pub struct Namings {
    bounds: NamingBounds,
    named: BTreeMap<ModelName, Vec<Named>>,
    /// Versions newer than those read from the registry.
    seen: BTreeMap<ModelName, Seen>,
    /// Whether the registry has to be read again because of the latest entry of `seen`.
    is_read_due: bool,
}

impl Namings {
    /// Creates an empty set of namings.
    pub const fn new(bounds: NamingBounds) -> Self {
        Self {
            bounds,
            named: BTreeMap::new(),
            seen: BTreeMap::new(),
            is_read_due: false,
        }
    }

    /// Returns the oldest version of `model` on which a request may begin at `now`, or `None` if every
    /// version may be used.
    pub fn least_version(&self, model: &str, now: BootTime) -> Option<WeightsVersion> {
        let named = self.named.get(model)?.iter();
        let binding = named.filter(|named| named.binding_from <= now);
        binding.map(|named| named.version).max()
    }

    /// Returns the newest naming of `model`.
    pub fn newest(&self, model: &str) -> Option<Naming> {
        let newest = self.named.get(model)?.iter().max_by_key(|it| it.version)?;
        Some(Naming {
            weights: NamedWeights {
                model: model.to_owned(),
                version: newest.version,
            },
            since: newest.since,
            after: newest.after,
        })
    }

    /// Returns how much longer a request may wait to begin on `version` of `model`, or `None` if no newer
    /// version is named.
    pub fn begin_within(
        &self,
        model: &str,
        version: WeightsVersion,
        now: BootTime,
    ) -> Option<Duration> {
        let newer = self
            .named
            .get(model)?
            .iter()
            .filter(|it| it.version > version);
        newer.map(|named| named.last_begin.since(now)).min()
    }

    /// Records a naming. Returns the time from which no request may begin on older weights, or `None` if the
    /// version is not newer than those known.
    pub fn record(
        &mut self,
        weights: &NamedWeights,
        source: NamingSource,
        now: BootTime,
    ) -> Option<BootTime> {
        let newest = self.newest_version(&weights.model);
        if newest.is_some_and(|newest| newest >= weights.version) {
            return None;
        }
        let backdated = self.backdated(weights, source);
        let source = backdated.unwrap_or(source);
        let waits = self.bounds.waits();
        let waits_at_start = waits.min(MAX_WAIT_FOR_MISSED_NAMING);
        let (binding_from, waits) = match source {
            NamingSource::Registry { received_at, .. } => {
                (received_at.plus(self.bounds.begin), waits)
            }
            NamingSource::AfterOutage => (now.plus(self.bounds.begin), waits),
            NamingSource::BeforeStart(started) => {
                (started.plus(self.bounds.unknown), waits_at_start)
            }
            NamingSource::Held => (now.plus(self.bounds.unknown), waits_at_start),
            NamingSource::Reported(after) => (after.plus(self.bounds.begin), waits),
        };
        let since = match source {
            NamingSource::Registry { received_at, .. } => Some(received_at),
            _ => source.after(),
        };
        let mut last_begin = binding_from.plus(waits);
        if backdated.is_some() {
            // The bound may have passed already. Waiting requests keep their usual time.
            last_begin = last_begin.max(now.plus(waits));
        }
        let named = Named {
            version: weights.version,
            binding_from,
            last_begin,
            since,
            after: source.after(),
            known_at: now,
            is_estimate: matches!(source, NamingSource::BeforeStart(_) | NamingSource::Held),
        };
        let all = self.named.entry(weights.model.clone()).or_default();
        let last = newest.unwrap_or(FIRST_VERSION);
        all.extend(self.bounds.skipped_version(named, source, last, now));
        all.push(named);
        Some(binding_from)
    }

    /// Returns `source` with the time of the first report by another process, or `None` if no such report
    /// came before `source` was received.
    ///
    /// The registry answered the process that sent the report, so this process may not extend the bound
    /// because its own calls to the registry went unanswered.
    fn backdated(&self, weights: &NamedWeights, source: NamingSource) -> Option<NamingSource> {
        let NamingSource::Registry { received_at, after } = source else {
            return None;
        };
        let seen = self.seen.get(&weights.model)?;
        let reported_at = seen
            .reported_at
            .filter(|_| seen.version >= weights.version)?
            .max(after);
        (reported_at < received_at).then_some(NamingSource::Registry {
            received_at: reported_at,
            after,
        })
    }

    /// Records that an engine holds `weights`. `read_as_of` is the time whose state the last read of the
    /// registry shows. Returns the time from which no request may begin on older weights, or `None` if
    /// nothing changed.
    ///
    /// The naming counts as missed only if a read of the registry that began after the engine was first seen
    /// still names an older version. An entry that was disconnected receives engine reports first and reads
    /// the naming a moment later. Recording the version at once would cut the streams of a whole data centre when
    /// its links come back. Without any naming there is no version that engines have to load.
    pub fn record_held(
        &mut self,
        weights: &NamedWeights,
        read_as_of: Option<BootTime>,
        now: BootTime,
    ) -> Option<BootTime> {
        self.record_missed(weights, NamingSource::Held, read_as_of, now)
    }

    /// Records `weights` that other processes know of, if this process missed the naming: the last read of
    /// the registry, which shows the state at `read_as_of`, began after the weights were first seen, and
    /// still names an older version.
    fn record_missed(
        &mut self,
        weights: &NamedWeights,
        source: NamingSource,
        read_as_of: Option<BootTime>,
        now: BootTime,
    ) -> Option<BootTime> {
        if self.newest_version(&weights.model)? >= weights.version {
            return None;
        }
        let reported_at = matches!(source, NamingSource::Reported(_)).then_some(now);
        let seen = self.seen.get_mut(&weights.model);
        let Some(seen) = seen.filter(|seen| seen.version >= weights.version) else {
            let seen = Seen {
                version: weights.version,
                at: now,
                reported_at,
            };
            self.seen.insert(weights.model.clone(), seen);
            self.is_read_due = true;
            return None;
        };
        if seen.version == weights.version {
            seen.reported_at = seen.reported_at.or(reported_at);
        }
        if read_as_of? <= seen.at {
            return None;
        }
        self.record(weights, source, now)
    }

    /// Returns whether the registry has to be read now, to find out whether the naming of newer weights that
    /// others reported is still to come. Returns `true` once for each version.
    pub const fn take_read_due(&mut self) -> bool {
        std::mem::replace(&mut self.is_read_due, false)
    }

    /// Records the report of another process that the registry names `weights` and did not name them at
    /// `after`. Returns the time from which no request may begin on older weights, or `None` if nothing
    /// changed.
    ///
    /// A version that this process has not read from the registry yet is recorded only if its naming was
    /// missed, as in [`record_held`](Self::record_held).
    pub fn merge_report(
        &mut self,
        weights: &NamedWeights,
        after: BootTime,
        read_as_of: Option<BootTime>,
        now: BootTime,
    ) -> Option<BootTime> {
        let newest = self.newest_version(&weights.model)?;
        if newest < weights.version {
            return self.record_missed(weights, NamingSource::Reported(after), read_as_of, now);
        }
        self.merge_proof(weights, after)
    }

    /// Records the proof of another process that `weights` were not named yet at `after`. Returns the time
    /// from which no request may begin on older weights, or `None` if the bound does not change.
    ///
    /// The naming came after every time that is proved, so the latest proof counts. With the earliest proof,
    /// an entry that has just started refuses requests 9 s too early. An estimate is replaced by a
    /// proof. A naming that the registry reported after an outage stays: its bound counts from the end of the
    /// outage, and an older proof does not cut requests that wait to begin.
    pub fn merge_proof(&mut self, weights: &NamedWeights, after: BootTime) -> Option<BootTime> {
        let mut named = self.named.get_mut(&weights.model)?.iter_mut();
        let named = named.find(|it| it.version == weights.version)?;
        let is_later = |known: BootTime| known.plus(PROOF_TOLERANCE) < after;
        if after > named.known_at || !named.after.is_none_or(is_later) {
            return None;
        }
        named.after = Some(after);
        if !named.is_estimate && named.since.is_none_or(|since| since >= after) {
            return None;
        }
        named.since = Some(after);
        named.binding_from = after.plus(self.bounds.begin);
        named.last_begin = after.plus(self.bounds.last_begin);
        Some(named.binding_from)
    }

    /// Returns the newest named version of `model`.
    pub fn newest_version(&self, model: &str) -> Option<WeightsVersion> {
        let named = self.named.get(model)?.iter();
        named.map(|named| named.version).max()
    }
}
