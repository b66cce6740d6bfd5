//! What a process knows of its fleet: routes, customers, upstreams and the weights that are named.
//!
//! All of it comes from a [`Registry`], a log of keyed records that the platform keeps. The types
//! here say what those records mean; the [`Follower`] turns pages of them into beliefs, each with
//! the time at which the registry last confirmed it. Nothing here opens a socket but
//! [`follow`], and that only through the trait.

mod clock;
mod directory;
pub mod events;
mod follow;
mod follower;
mod registry;
mod status;
mod upstream;
mod weights;

pub use clock::BootTime;
pub use directory::{
    ApiKey, ClientLimits, ConfigVersion, Customer, CustomerRank, Directory, EngineModel,
    OriginSpec, Route, RouteKind, RouteName, ServiceSpec,
};
pub use follow::{FollowConfig, Sink, follow};
pub use follower::{Applied, Follower, Step};
pub use registry::{Change, Keyed, Page, Registry, RegistryError, Snapshot, Topic};
pub use status::{
    CRASH_REPORTS_PER_DATAGRAM, CrashReport, Datagram, Fingerprint, HeldChunks, LoadStatus,
    NamingReport, Permit, PermitRequest, Query, Status, StatusError,
};
pub use upstream::{LoadedModel, Upstream, UpstreamId, UpstreamStart, UpstreamState};
pub use weights::{ModelName, NamedWeights, NamingTimes, WeightsVersion};
