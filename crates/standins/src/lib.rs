//! Stand-ins for the outside systems, with faults that can be switched; not shipped.
//!
//! Each stand-in speaks its system's published protocol on a port of its own. Its faults are
//! switched in code by [`Faults`] or over HTTP by `POST /standin/faults`, whose JSON changes just
//! the fields that it names; `GET /standin/stats` gives counts. Both work even while the
//! stand-in is down, slow or frozen.

mod admin;
mod chance;
mod engine;
mod faults;
mod link;
mod log;
mod origin;
mod plain;
mod rate;
mod registry;
mod server;
mod token;
mod vms;

pub use chance::seeds;
pub use engine::{
    EngineConfig, EngineFaults, EngineStandin, EngineStats, RequestState, RequestStats,
};
pub use faults::{CommonFaults, FaultSet, Faults};
pub use log::{LogConfig, LogFaults, LogStandin, LogStats};
pub use origin::{OriginConfig, OriginFaults, OriginModel, OriginStandin, OriginStats};
pub use plain::{PlainConfig, PlainFaults, PlainStandin, PlainStats};
pub use registry::{RegistryStandin, ready_upstream};
pub use server::StartError;
pub use token::{TokenSource, prefix_hash, prompt_hash, token_text};
pub use vms::{VmChange, VmListConfig, VmListFaults, VmListStandin, VmListStats};
