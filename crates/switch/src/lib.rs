//! The switch from one epoch to the next: the agent's gate and the entries' opener, without I/O.
//!
//! An *epoch* is the offset of the accepted edit that last changed a service's weights. Each data
//! centre switches each service on its own, from the epoch that is open to the target. At no instant
//! do two agents of a data centre admit requests of different epochs. There is no coordinator: any
//! entry may take any step, and every step only raises a number, so that races are harmless.
//!
//! # Steps
//!
//! 1. Agents fetch, stage and load the target next to the open epoch.
//! 2. An entry that sees enough agents with the target loaded sets `close_below` to the target. If
//!    possible, the entry does so while no agent or entry appears to be dead, since step 4 has to
//!    wait for the leases of a dead process to lapse.
//! 3. Entries and agents adopt the highest `close_below` that they receive. An agent stops
//!    admitting older epochs before it reports `closed_below`.
//! 4. An entry grants leases for the target once no agent can hold a lease for an older epoch. All
//!    agents that report to the entry must have closed, or have been silent for longer than a lease.
//!    Each other entry must report the same of its own agents, or be gone.
//! 5. Agents that have loaded the target open it with the lease. The other agents open the target
//!    once they have loaded it.
//!
//! A close that has begun is completed even if a newer target has been accepted, because agents keep
//! an epoch that is neither closed nor open until no entry can begin to switch to it
//! ([`Gate::droppable`]). The switch to the newer target follows, or takes place at once if the newer
//! target is ready.
//!
//! # Why no two epochs are admitted
//!
//! *A lease is for one epoch.* It starts, by the agent's clock, when the agent sends its message, and
//! ends after the length of the lease. The [`Gate`] checks it as the last step before a request goes
//! to the engine. So every lease from an entry lapses at most the length of a lease after the entry
//! received the agent's last message, and the [`Opener`] needs no record of its grants.
//!
//! *An entry grants only its own `close_below`*, never a lower epoch. It reports on its own agents
//! with `all_closed_below`, which does not fall while the entry runs. An entry that has just started
//! reports 0 for the length of a lease, because an earlier process on its VM may have granted leases.
//!
//! *An entry that opens an epoch needs the state of every entry that may grant*, or must have failed
//! to reach that entry for the grace time ([`Timing`]), after which the leases from that entry have
//! lapsed. Entries learn of each other from the list of VMs and from each other. An entry that is
//! removed from the list still counts until it is silent.
//!
//! *An entry that was suspended grants nothing* until it is in contact with the other entries again.
//! An entry may grant for half a lease after it started a sync round. After a longer gap, the entry
//! starts over: it needs a new answer from all entries. Unless one of those was in contact all along,
//! the entry also waits for the grace time, in which all earlier leases lapse and every live agent
//! reports what it has open. Then the entry checks step 4 again, even for epochs that it granted
//! before. So neither an entry that counted as gone, nor one that has just started, can reopen an
//! epoch that was closed without it.
//!
//! *An entry in contact goes on alone.* If another entry dies, this one still renews leases for the
//! open epoch: while this entry is live, no other entry opens an epoch without its state.
//!
//! # Assumptions
//!
//! - Within a data centre, a message from one live process reaches another within a quarter of a
//!   lease, retries included. The lease has to be chosen accordingly: at least a second where a lost
//!   packet is sent again after 200 ms.
//! - Clocks run at rates within a few per cent of each other, and go on while a process or a VM is
//!   suspended. A host that suspends a VM *together with its clock* breaks this assumption; the VM's
//!   clock must be one that jumps ahead on resumption.
//! - Two entries of a data centre know each other, or are both in contact with a third one, before
//!   either is settled. They learn of each other from the list of VMs or from the seeds.
//! - A request that has passed the gate reaches the engine at once. A request that is delayed between
//!   the gate and the engine runs on the bundle that it names, or not at all.
//!
//! No assumption is made about the log, about other data centres, about whether an earlier start of
//! an agent has ended, or, beyond the above, about how current the list of VMs is. A data centre that
//! is cut off from the others finishes a switch.
//!
//! # Cost
//!
//! Between closing and opening, requests wait for about three messages. An agent that dies in that
//! time adds up to a lease, and an entry adds up to the grace time. If its silence shows before
//! closing, the wait for it takes place *before* closing. A data centre whose entries all start at
//! once opens after the grace time.

mod gate;
mod opener;
mod peers;
mod ready;
mod table;
mod timing;

pub use gate::{Admission, Gate, GateChange};
pub use opener::{Changes, Opener, OpenerConfig};
pub use timing::Timing;
