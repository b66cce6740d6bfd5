//! One reader of the registry in each data centre, and copies for its neighbours.
//!
//! Each entry keeps a [`Mirror`] of what it last read and gives it to others. [`SharedRegistry`] is a
//! [`Registry`](wagtailreel_fleet::Registry) that reads from the first entry of the data centre and
//! goes to the registry itself if that entry is silent, behind, or itself. Which entry is first
//! follows from what agents say they are asked by ([`Neighbours`]): there is no election, and two
//! readers at once cost calls, nothing else. A process that starts reads from the nearest of its [`Seeds`]
//! until it is told of its neighbours. While the registry does not answer, only the first ones
//! go on asking it ([`RegistryBackoff`]), and the others hear of its return from them. While it answers slowly,
//! others read beside those one after the other ([`FallbackRead`]). A copy always carries the age of what
//! it says, so that a bound on a belief's age holds however many hands the belief went through.

mod backoff;
mod calls;
mod config;
mod delays;
pub mod events;
mod fallback;
mod mirror;
mod neighbour;
mod neighbours;
pub mod packing;
mod registry;
mod seeds;
mod serve;
mod wire;

pub use backoff::RegistryBackoff;
pub use calls::CallCounters;
pub use config::SharedRegistryConfig;
pub use fallback::FallbackRead;
pub use mirror::Mirror;
pub use neighbours::Neighbours;
pub use registry::SharedRegistry;
pub use seeds::Seeds;
pub use serve::router;
