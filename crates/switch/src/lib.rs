//! The switch from one epoch to the next: the agent's gate and the entries' opener, without I/O.
//!
//! An *epoch* is the offset of the accepted edit that last changed a service's weights. Each data
//! centre switches each service on its own, from the epoch that is open to the target, and at no
//! instant do two of its agents admit requests of different epochs. There is no coordinator: any
//! entry may take any step, every step only raises a number, and so races are harmless.
//!
//! # Steps
//!
//! 1. Agents fetch, stage and load the target next to the open epoch.
//! 2. An entry that sees enough agents with the target loaded sets `close_below` to it. It does so
//!    when nobody looks dead, if it can, since whoever is dead has to be waited for below.
//! 3. Entries and agents adopt the highest `close_below` that they hear of. An agent stops
//!    admitting older epochs before it reports `closed_below`.
//! 4. An entry grants leases for the target once no agent can hold a lease for an older epoch:
//!    all agents that report to it have closed or have been silent for longer than a lease, and
//!    each other entry says the same of its own agents or is gone.
//! 5. Agents that have loaded the target open it with the lease; the others follow when loaded.
//!
//! A close that has begun is carried through even if a newer target has come, because agents keep
//! an epoch that is neither closed nor open until no entry can begin to switch to it
//! ([`Gate::droppable`]). The newer target is switched to after that, or at once if it is ready.
//!
//! # Why no two epochs are admitted
//!
//! *A lease is for one epoch* and runs from when the agent sent its message until the lease's
//! length later, by the agent's clock. The [`Gate`] looks at it last of all before a request goes
//! to the engine. So every lease of an entry lapses a lease after the agent's last message came in
//! there, and the [`Opener`] needs no record of its grants.
//!
//! *An entry grants only its own `close_below`*, never anything lower, and answers for its own
//! agents with `all_closed_below`, which does not fall while the entry runs. One that has just
//! started answers 0 for a lease's length, because of what ran on its VM before.
//!
//! *Whoever opens hears from every entry that may grant*, or fails to for the grace time
//! ([`Timing`]), after which that entry's leases have lapsed. Entries learn of each other from the
//! list of VMs and from each other; one that leaves the list still counts until it is silent.
//!
//! *An entry that stood still grants nothing* until it is in touch again. It may grant for half a
//! lease after it started a sync round. A longer gap makes it start over: it has to hear from all
//! entries anew, and unless one of those was in touch all along, to wait the grace time, in which
//! all earlier leases lapse and every live agent reports what it has open. Then it checks step 4
//! again, even for what it granted before. So an entry that was taken for gone can't revive an
//! epoch that was closed without it, and neither can one that has just started.
//!
//! *An entry in touch goes on alone.* If another entry dies, leases for what is open are renewed all
//! the same: while this entry is live, nobody opens anything without having heard from it.
//!
//! # What is assumed
//!
//! - Within a data centre, what one live process sends gets to another within a quarter of a
//!   lease, retries included. A lease has to be chosen accordingly: at least a second where a lost
//!   packet takes 200 ms to be sent again.
//! - Clocks run at rates within a few per cent of each other, and go on while a process or a VM
//!   stands still. A host that stops a VM *together with its clock* breaks this; the VM's clock
//!   must be one that jumps ahead on waking.
//! - Two entries of a data centre know each other, or both are in touch with a third one, before
//!   either is settled: by the list of VMs or by the seeds.
//! - A request that has passed the gate reaches the engine at once. One that is held up between the
//!   gate and the engine runs on the bundle that it names, or not at all.
//!
//! Nothing is assumed about the log, the list's timeliness beyond the above, other data centres, or
//! whether an earlier start of an agent has ended. A data centre that is cut off finishes a switch.
//!
//! # What it costs
//!
//! Between closing and opening, requests wait for about three messages. An agent that dies in that
//! moment adds up to a lease, an entry up to the grace time; either is waited for *before* closing
//! if its silence shows by then. A data centre whose entries all start at once opens after the grace
//! time.

mod gate;
mod opener;
mod peers;
mod ready;
mod table;
mod timing;

pub use gate::{Admission, Gate, GateChange};
pub use opener::{Changes, Opener, OpenerConfig};
pub use timing::Timing;
