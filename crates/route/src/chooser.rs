//! Choice of an upstream for one request.

use std::collections::BTreeSet;
use std::time::Instant;

use rand::{Rng, RngExt as _};
use wagtailreel_core::{DataCentre, Digest, Epoch, Region, VmId};

use crate::{Member, Membership};

/// Bytes at the head of a prompt that make its prefix; prompts that share them share cache.
const PREFIX_BYTES: usize = 256;

/// How much a request of another entry counts beside an own one. At 1 all entries run to where
/// the last reports saw little load; at 0 an upstream that others load is not spared.
const OTHER_ENTRIES_WEIGHT: f64 = 0.5;

/// A preferred upstream may be busier than the least busy one by this share of its capacity.
const AFFINITY_LOAD_SLACK: f64 = 0.125;

/// How an upstream is chosen. All but [`Policy::OwnFirst`] are kept as baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum Policy {
    /// This entry's own count first, the others' late load second, prefix affinity third.
    #[default]
    #[display("own-first")]
    OwnFirst,
    /// Baseline: one after the other.
    #[display("round-robin")]
    RoundRobin,
    /// Baseline: the least load by the last reports alone.
    #[display("least-reported")]
    LeastReported,
}

/// What one request asks of the choice.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    /// Hash of the prompt's head, for prefix affinity.
    pub prefix: Option<u64>,
    /// The request may run only on these weights.
    pub pin: Option<Digest>,
    /// The upstream must have an epoch open; false for a plain service.
    pub needs_open: bool,
    /// A request whose wait at a switch is over may go to another data centre.
    pub waited: bool,
    /// Upstreams that refused or failed this request before.
    pub tried: BTreeSet<VmId>,
}

/// What was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this VM.
    Upstream(VmId),
    /// No upstream can take it now.
    Unavailable(Unavailable),
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Unavailable {
    /// None is known and usable.
    #[display("no-upstream")]
    NoUpstream,
    /// All are closed: a switch is under way.
    #[display("closed")]
    Closed,
    /// None serves the pinned weights.
    #[display("weights")]
    Weights,
    /// All are full.
    #[display("full")]
    Full,
    /// All that could run it were tried.
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
    /// Makes a chooser for an entry of `data_centre` in `region`.
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

    /// Chooses an upstream of `membership` for `needs` at `now`.
    ///
    /// Upstreams of the entry's own data centre go first, then those of its region, then others.
    /// While its own data centre is closed for a switch the request waits rather than leave it,
    /// and it leaves for the epoch that its own data centre has open only: a caller that saw one
    /// version is not sent back to the one before.
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

    /// Returns the capacity that requests can use at `now`, and what other entries have there.
    ///
    /// It counts the upstreams that [`Chooser::choose`] would take; while the own data centre is
    /// closed for a switch, those that will open again.
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

    /// Returns 0 for the own data centre, 1 for the own region, 2 for the rest.
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

/// Says whether `member` takes no request now: a plain service's agent says so by a refusal only,
/// an engine's also by having no epoch open.
fn is_closed_for(member: &Member, needs: &Requirements) -> bool {
    member.is_closed() || (needs.needs_open && member.open().is_none())
}

/// Returns the hash of the head of `prompt`, by which prompts with a common head meet.
pub fn prefix_of(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let head = &bytes[..bytes.len().min(PREFIX_BYTES)];
    let digest = Digest::of(head);
    let mut first = [0_u8; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Returns the share of `member`'s capacity in use: the own count is exact and the others' late.
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
        // The bound keeps a popular prefix from piling up on one engine.
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

/// Spreads the bits of `value` (the finaliser of splitmix64).
fn mix_bits(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
