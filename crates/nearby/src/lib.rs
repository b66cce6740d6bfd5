//! Reads the registry once per data centre: one entry reads, and its neighbours read copies from it.
//!
//! Each entry keeps a [`Mirror`] of the records that it last read and serves copies to others.
//! [`SharedRegistry`] is a [`Registry`](wagtailreel_fleet::Registry) that reads from the first entry of the
//! data centre, and from the registry if that entry does not answer, is behind, or is this process. The first
//! entry follows from the entries that agents report ([`Neighbours`]). There is no election: two readers at
//! once only cost additional calls. A starting process reads from the nearest of its [`Seeds`] until it knows
//! its neighbours. While the registry does not answer, only the first entries keep calling it
//! ([`RegistryBackoff`]), and the others notice its recovery through them. While it answers slowly, others
//! start to read it too, one after the other ([`FallbackRead`]). A copy always carries the age of its data,
//! so that a bound on the age holds no matter how many processes relayed the data.

mod backoff;
mod calls;
mod config;
mod delays;
mod era;
pub mod events;
mod fallback;
mod heard;
mod mirror;
mod neighbour;
mod neighbours;
pub mod packing;
mod registry;
mod seeds;
mod serve;
mod wire;
mod worst_case;

pub use backoff::RegistryBackoff;
pub use calls::CallCounters;
pub use config::SharedRegistryConfig;
pub use fallback::FallbackRead;
pub use heard::{Delay, HeardLog, HeardRecords};
pub use mirror::Mirror;
pub use neighbours::Neighbours;
pub use registry::SharedRegistry;
pub use seeds::Seeds;
pub use serve::router;
pub use worst_case::WorstCase;
