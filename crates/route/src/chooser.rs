//! Choice of an upstream for one request.

use std::collections::BTreeSet;
use std::time::Instant;

use rand::{Rng, RngExt as _};
use wagtailreel_core::{DataCentre, Digest, Epoch, Region, VmId};

use crate::{Member, Membership};

/// Length in bytes of the prefix of a prompt; prompts with the same prefix share an engine's cache.
const PREFIX_BYTES: usize = 256;

/// Weight of a request of another entry, relative to a request of this entry.
///
/// At 1, all entries converge on the upstreams that the last reports showed as little loaded. At 0, the
/// load that other entries put on an upstream is ignored.
const OTHER_ENTRIES_WEIGHT: f64 = 0.5;

/// Load, as a share of capacity, by which the preferred upstream may exceed the least loaded one.
const AFFINITY_LOAD_SLACK: f64 = 0.125;

/// How an upstream is chosen. All but [`Policy::OwnFirst`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum Policy {
    /// Weighs this entry's exact count above the delayed load of other entries, then prefix affinity.
    #[default]
    #[display("own-first")]
    OwnFirst,
    /// Baseline: each upstream in turn.
    #[display("round-robin")]
    RoundRobin,
    /// Baseline: the lowest load by the last reports alone.
    #[display("least-reported")]
    LeastReported,
}

/// What one request requires of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    /// Hash of the prompt's prefix, for prefix affinity.
    pub prefix: Option<u64>,
    /// Weights on which the request must run, if any.
    pub pin: Option<Digest>,
    /// Whether the upstream must have an open epoch; false for a plain service.
    pub needs_open: bool,
    /// Whether the wait for a switch is over; the request may then go to another data centre.
    pub waited: bool,
    /// Upstreams that already refused or failed this request.
    pub tried: BTreeSet<VmId>,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this VM.
    Upstream(VmId),
    /// No upstream can accept the request now.
    Unavailable(Unavailable),
}

/// Why no upstream could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Unavailable {
    /// No usable upstream is known.
    #[display("no-upstream")]
    NoUpstream,
    /// All upstreams are closed because a switch is in progress.
    #[display("closed")]
    Closed,
    /// No upstream serves the pinned weights.
    #[display("weights")]
    Weights,
    /// All upstreams are full.
    #[display("full")]
    Full,
    /// All eligible upstreams were already tried.
    #[display("tried")]
    Tried,
}

/// Chooses upstreams for one service.
#[derive(Clone, Debug)]
pub struct Chooser {
    policy: Policy,
    data_centre: DataCentre,
    region: Region,
    turn: usize,
}

impl Chooser {
    /// Creates a chooser for an entry of `data_centre` in `region`.
    pub fn new(data_centre: DataCentre, region: Region) -> Self {
        Self {
            policy: Policy::default(),
            data_centre,
            region,
            turn: 0,
        }
    }

    /// Sets the policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Chooses an upstream of `membership` for a request with `needs` at `now`.
    ///
    /// Upstreams of the entry's own data centre come first, then those of its region, then others.
    /// While the own data centre is closed for a switch, the request waits instead of going to
    /// another data centre. Another data centre is used only for the epoch that the own data centre
    /// has open, so that a caller that saw one version is not sent back to the previous one.
    pub fn choose<R>(
        &mut self,
        membership: &Membership,
        needs: &Requirements,
        now: Instant,
        rng: &mut R,
    ) -> Choice
    where
        R: Rng,
    {
        let usable: Vec<&Member> = membership.usable(now).collect();
        if usable.is_empty() {
            return Choice::Unavailable(Unavailable::NoUpstream);
        }
        let local: Vec<&Member> = usable
            .iter()
            .copied()
            .filter(|member| member.report.data_centre == self.data_centre)
            .collect();
        let local_epoch = local.iter().filter_map(|member| member.open()).max();
        let switching =
            !local.is_empty() && local.iter().all(|member| is_closed_for(member, needs));
        if switching && needs.pin.is_none() && !needs.waited {
            return Choice::Unavailable(Unavailable::Closed);
        }
        let eligible: Vec<&Member> = usable
            .into_iter()
            .filter(|member| self.is_eligible(member, needs, local_epoch))
            .collect();
        if eligible.is_empty() {
            let reason = if needs.pin.is_some() {
                Unavailable::Weights
            } else {
                Unavailable::Closed
            };
            return Choice::Unavailable(reason);
        }
        self.choose_eligible(&eligible, needs, rng)
    }

    /// Returns the capacity that requests can use at `now`, and the load of other entries there.
    ///
    /// The counted upstreams are those that [`Chooser::choose`] may return. While the own data centre is
    /// closed for a switch, its upstreams count too, because they open again afterwards.
    pub fn capacity_and_load(
        &self,
        membership: &Membership,
        needs_open: bool,
        now: Instant,
    ) -> (u32, u32) {
        let needs = Requirements {
            needs_open,
            ..Requirements::default()
        };
        let local_epoch = membership
            .usable(now)
            .filter(|member| member.report.data_centre == self.data_centre)
            .filter_map(Member::open)
            .max();
        membership
            .usable(now)
            .filter(|member| {
                member.report.data_centre == self.data_centre
                    || self.is_eligible(member, &needs, local_epoch)
            })
            .fold((0, 0), |(capacity, other_in_flight), member| {
                (
                    capacity.saturating_add(member.report.capacity),
                    other_in_flight.saturating_add(member.other_in_flight),
                )
            })
    }

    fn is_eligible(
        &self,
        member: &Member,
        needs: &Requirements,
        local_epoch: Option<Epoch>,
    ) -> bool {
        if is_closed_for(member, needs) {
            return false;
        }
        if !needs.needs_open {
            return true;
        }
        if needs.pin.is_some() {
            return member.open_weights() == needs.pin;
        }
        member.report.data_centre == self.data_centre
            || local_epoch.is_none()
            || local_epoch == member.open()
    }

    fn choose_eligible<R>(
        &mut self,
        eligible: &[&Member],
        needs: &Requirements,
        rng: &mut R,
    ) -> Choice
    where
        R: Rng,
    {
        let untried: Vec<&Member> = eligible
            .iter()
            .copied()
            .filter(|member| !needs.tried.contains(&member.report.vm))
            .collect();
        if untried.is_empty() {
            return Choice::Unavailable(Unavailable::Tried);
        }
        let with_capacity: Vec<&Member> = untried
            .into_iter()
            .filter(|member| member.in_flight() < member.report.capacity)
            .collect();
        let Some(min_distance) = with_capacity
            .iter()
            .map(|member| self.distance(member))
            .min()
        else {
            return Choice::Unavailable(Unavailable::Full);
        };
        let nearest: Vec<&Member> = with_capacity
            .into_iter()
            .filter(|member| self.distance(member) == min_distance)
            .collect();
        let chosen = match self.policy {
            Policy::OwnFirst => own_first(&nearest, needs.prefix, rng),
            Policy::RoundRobin => self.round_robin(&nearest),
            Policy::LeastReported => least_reported(&nearest),
        };
        chosen.map_or(Choice::Unavailable(Unavailable::NoUpstream), |member| {
            Choice::Upstream(member.report.vm.clone())
        })
    }

    /// Returns 0 for the own data centre, 1 for the own region, and 2 for other regions.
    fn distance(&self, member: &Member) -> u8 {
        if member.report.data_centre == self.data_centre {
            0
        } else if member.report.region == self.region {
            1
        } else {
            2
        }
    }

    fn round_robin<'a>(&mut self, nearest: &[&'a Member]) -> Option<&'a Member> {
        self.turn = self.turn.wrapping_add(1);
        nearest.get(self.turn % nearest.len().max(1)).copied()
    }
}

/// Returns whether `member` accepts no request now.
///
/// A plain service's agent signals this by a refusal only, an engine's agent also by having no open epoch.
fn is_closed_for(member: &Member, needs: &Requirements) -> bool {
    member.is_closed() || (needs.needs_open && member.open().is_none())
}

/// Returns the hash of the prefix of `prompt`, which routes prompts with a common prefix to one engine.
pub fn prefix_of(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let head = &bytes[..bytes.len().min(PREFIX_BYTES)];
    let digest = Digest::of(head);
    let mut first = [0_u8; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Returns the share of `member`'s capacity in use.
///
/// The count of this entry is exact, and that of other entries lags behind, so the latter has less weight.
fn cost(member: &Member) -> f64 {
    let in_flight =
        f64::from(member.own_in_flight) + OTHER_ENTRIES_WEIGHT * f64::from(member.other_in_flight);
    in_flight / f64::from(member.report.capacity.max(1))
}

fn own_first<'a, R>(nearest: &[&'a Member], prefix: Option<u64>, rng: &mut R) -> Option<&'a Member>
where
    R: Rng,
{
    let min_cost = nearest
        .iter()
        .map(|member| cost(member))
        .min_by(f64::total_cmp)?;
    if let Some(prefix) = prefix {
        // The bound keeps a popular prefix from overloading one engine.
        return nearest
            .iter()
            .filter(|member| cost(member) <= min_cost + AFFINITY_LOAD_SLACK)
            .max_by_key(|member| mix_bits(prefix ^ member.name_hash))
            .copied();
    }
    let ties: Vec<&&Member> = nearest
        .iter()
        .filter(|member| cost(member) <= min_cost)
        .collect();
    let index = rng.random_range(0..ties.len().max(1));
    ties.get(index).map(|member| **member)
}

fn least_reported<'a>(nearest: &[&'a Member]) -> Option<&'a Member> {
    nearest
        .iter()
        .min_by_key(|member| (member.other_in_flight, &member.report.vm))
        .copied()
}

/// Mixes the bits of `value` (the finaliser of splitmix64).
fn mix_bits(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
