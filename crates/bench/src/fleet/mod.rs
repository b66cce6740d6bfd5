//! The whole system as real processes on the loopback address.

mod admin;
mod relay;
mod settings;
mod spec;

pub use admin::{Operator, Submission};
pub use relay::{LinkState, Relay};
pub use spec::{
    CustomerSpec, DataCentreSpec, FleetSpec, ModelSpec, TeamSpec, UpstreamSpec, VmSpec,
};
