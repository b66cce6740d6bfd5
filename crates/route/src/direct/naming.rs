//! Which versions of a model's weights a request may begin on.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, ModelName, NamedWeights, WeightsVersion};

/// How long a request may wait to begin on weights whose naming was missed, beyond their bound: both
/// together stay below the 3 s that a new process is given.
const LAST_BEGIN_AT_START: Duration = Duration::from_millis(250);

/// Proofs on one naming that differ by less differ only by the time of their way.
const SAME: Duration = Duration::from_millis(20);

/// The first version of a model's weights.
const FIRST_VERSION: WeightsVersion = 1;

/// How long older weights may still be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamingBounds {
    /// How long requests may begin on older weights after newer ones were named.
    pub begin: Duration,
    /// How long a request that was sent to older weights may still wait to begin.
    pub last_begin: Duration,
    /// How long requests may begin on older weights where it is not known since when newer ones are
    /// named.
    pub unknown: Duration,
}

/// How a process comes to know that weights are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NamingSource {
    /// The registry names them now.
    #[display("news")]
    Registry {
        /// The moment from which their bound counts.
        received_at: BootTime,
        /// The registry did not name them at this moment.
        after: BootTime,
    },
    /// The registry already named them when the process, started at this moment, read it first.
    #[display("before-start")]
    BeforeStart(BootTime),
    /// The same, but the registry was away since the start, and the bound counts from its return.
    #[display("after-outage")]
    AfterOutage,
    /// An engine holds them, so that they must have been named.
    #[display("held")]
    Held,
    /// Another process heard the registry name them, and not at this moment yet.
    #[display("word")]
    Reported(BootTime),
}

impl NamingSource {
    /// Returns a moment at which the registry is proved not to have named the weights; none where none is.
    pub const fn after(&self) -> Option<BootTime> {
        match *self {
            Self::Registry { after, .. } | Self::Reported(after) => Some(after),
            Self::BeforeStart(_) | Self::AfterOutage | Self::Held => None,
        }
    }
}

/// Weights that are named, and when they were not yet, if that is proved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Naming {
    /// The weights.
    pub weights: NamedWeights,
    /// Since when they are taken to be named; none where that is a guess.
    pub since: Option<BootTime>,
    /// A moment at which they were not named; none where none is proved.
    pub after: Option<BootTime>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    version: WeightsVersion,
    binding_from: BootTime,
    /// Requests that wait to begin on older weights are taken back at this moment.
    last_begin: BootTime,
    /// Since when they are taken to be named, where that is no guess.
    since: Option<BootTime>,
    /// The latest moment at which the registry is proved not to have named them.
    after: Option<BootTime>,
    /// When this process heard of them; a proof of a later moment is false.
    known_at: BootTime,
    /// The bound was guessed, and counts from `after` once that is known.
    is_guess: bool,
}

/// Newer weights than the registry names to this process.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: WeightsVersion,
    /// When they were first heard of.
    at: BootTime,
    /// When another process first said that the registry names them.
    reported_at: Option<BootTime>,
}

impl NamingBounds {
    /// Returns the version before `named`, if it came after `last`, the newest that this process knew.
    ///
    /// It was named before `named`, and what is proved of that one later says nothing of when.
    fn passed_over(
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
        // It may have been named long before the moment that the word proves.
        let guess = now.plus(self.unknown).min(named.binding_from);
        let waits = self.waits().min(LAST_BEGIN_AT_START);
        Some(Named {
            version,
            binding_from: guess,
            last_begin: guess.plus(waits),
            since: None,
            after: None,
            is_guess: true,
            ..named
        })
    }

    /// Returns how long a request that was sent in time may still wait to begin, beyond the bound.
    const fn waits(&self) -> Duration {
        self.last_begin.saturating_sub(self.begin)
    }
}

/// The weights of each model that are named, and from when on nothing older may begin.
///
/// Invariant: of each model the versions only grow. The newest record of the registry may name an
/// older version than one before it, since a write whose answer was lost may be done seconds later; a
/// process that starts after that hears of the newer version from engines that hold it.
#[derive(Clone, Debug)]
pub struct Namings {
    bounds: NamingBounds,
    named: BTreeMap<ModelName, Vec<Named>>,
    /// Newer weights than the registry names.
    seen: BTreeMap<ModelName, Seen>,
    /// A read of the registry has to begin after what was seen last.
    is_read_due: bool,
}

impl Namings {
    /// Makes the account of a process that knows of no weights.
    pub const fn new(bounds: NamingBounds) -> Self {
        Self {
            bounds,
            named: BTreeMap::new(),
            seen: BTreeMap::new(),
            is_read_due: false,
        }
    }

    /// Returns the oldest version of `model` on which a request may begin at `now`.
    pub fn least_version(&self, model: &str, now: BootTime) -> Option<WeightsVersion> {
        let named = self.named.get(model)?.iter();
        let binding = named.filter(|named| named.binding_from <= now);
        binding.map(|named| named.version).max()
    }

    /// Returns the newest weights of `model` that are named.
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

    /// Returns how much longer a request may wait to begin on `version` of `model`; none if nothing
    /// newer is named.
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

    /// Takes that `weights` are named; returns from when on nothing older may begin, or none if they
    /// are no news.
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
        let source_of_report = self.source_of_report(weights, source);
        let source = source_of_report.unwrap_or(source);
        let waits = self.bounds.waits();
        let waits_at_start = waits.min(LAST_BEGIN_AT_START);
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
        if source_of_report.is_some() {
            // The bound may be over already; requests that wait keep their usual time.
            last_begin = last_begin.max(now.plus(waits));
        }
        let named = Named {
            version: weights.version,
            binding_from,
            last_begin,
            since,
            after: source.after(),
            known_at: now,
            is_guess: matches!(source, NamingSource::BeforeStart(_) | NamingSource::Held),
        };
        let all = self.named.entry(weights.model.clone()).or_default();
        let last = newest.unwrap_or(FIRST_VERSION);
        all.extend(self.bounds.passed_over(named, source, last, now));
        all.push(named);
        Some(binding_from)
    }

    /// Returns how news of `weights` is told where others told of them sooner; none where nothing was sooner.
    ///
    /// The registry answered whoever told of them: no call that it left unanswered after that excuses this
    /// process.
    fn source_of_report(
        &self,
        weights: &NamedWeights,
        source: NamingSource,
    ) -> Option<NamingSource> {
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

    /// Takes that an engine holds `weights`, and the moment of which the last read of the registry
    /// speaks; returns from when on nothing older may begin, or none if that is no news.
    ///
    /// Only a read that began after the engine was heard of, and still names an older version, says that
    /// the naming was missed. An entry that was cut off hears of engines first, and of the naming a moment
    /// later: taken at once, the streams of a whole data centre were cut when its links came back.
    /// Without any naming there is nothing that engines are to be brought to.
    pub fn record_held(
        &mut self,
        weights: &NamedWeights,
        read_as_of: Option<BootTime>,
        now: BootTime,
    ) -> Option<BootTime> {
        self.record_missed(weights, NamingSource::Held, read_as_of, now)
    }

    /// Takes `weights` that others know of, if the naming was missed: the last read of the registry, which
    /// speaks of `read_as_of`, began after they were heard of first, and still names an older version.
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

    /// Returns whether the registry is to be read now, to know if newer weights that others told of are news
    /// to come; says so once for each version.
    pub const fn take_read_due(&mut self) -> bool {
        std::mem::replace(&mut self.is_read_due, false)
    }

    /// Takes that another process heard the registry name `weights`, and proved that it did not at `after`;
    /// returns from when on nothing older may begin, or none if that is no news.
    ///
    /// A version that the registry has not named to this process is left to it, as in
    /// [`record_held`](Self::take_held).
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

    /// Takes that another process proved `weights` not to be named at `after`; returns from when on
    /// nothing older may begin, or none if that is no news.
    ///
    /// The naming came after each moment that is proved, so the latest of them counts: by the earliest,
    /// an entry that had just started refused its callers 9 s before it had to. A guess gives way to
    /// it. The registry's word on its return from an outage stands: the bound counts from it, and what
    /// waits to begin is not cut by an older one.
    pub fn merge_proof(&mut self, weights: &NamedWeights, after: BootTime) -> Option<BootTime> {
        let mut named = self.named.get_mut(&weights.model)?.iter_mut();
        let named = named.find(|it| it.version == weights.version)?;
        let is_later = |known: BootTime| known.plus(SAME) < after;
        if after > named.known_at || !named.after.is_none_or(is_later) {
            return None;
        }
        named.after = Some(after);
        if !named.is_guess && named.since.is_none_or(|since| since >= after) {
            return None;
        }
        named.since = Some(after);
        named.binding_from = after.plus(self.bounds.begin);
        named.last_begin = after.plus(self.bounds.last_begin);
        Some(named.binding_from)
    }

    /// Returns the newest version of `model` that is named.
    pub fn newest_version(&self, model: &str) -> Option<WeightsVersion> {
        let named = self.named.get(model)?.iter();
        named.map(|named| named.version).max()
    }
}
