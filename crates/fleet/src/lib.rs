//! State of the fleet as a process knows it: routes, customers, upstreams and namings of weights.
//!
//! The state comes from a [`Registry`], a log of keyed records that the platform stores. The types of this
//! crate define the content of the records. The [`Follower`] turns pages of records into changes, with the
//! time as of which the registry confirms them. Only [`follow`] does I/O, through the trait.

mod clock;
mod directory;
mod directory_parts;
mod evacuations;
pub mod events;
mod follow;
mod follower;
mod position;
mod ranks;
mod regions;
mod registry;
mod removed;
mod status;
mod upstream;
mod versions;
mod weights;

pub use clock::BootTime;
pub use directory::{
    ApiKey, ClientLimits, ConfigVersion, Customer, CustomerRank, Directory, EngineModel,
    OriginSpec, Route, RouteKind, RouteName, ServiceSpec,
};
pub use follow::{FollowConfig, Sink, follow};
pub use follower::{Applied, Follower, Restoration, Step};
pub use position::{Era, Position};
pub use ranks::ServiceRanks;
pub use regions::AllowedRegions;
pub use registry::{Change, Keyed, Page, Registry, RegistryError, Snapshot, Topic};
pub use status::{
    CRASH_REPORTS_PER_DATAGRAM, CrashReport, Datagram, Fingerprint, HeldChunks, LoadStatus,
    NamingReport, Permit, PermitRequest, Query, REQUEST_QUERY_NONCE, Status, StatusError,
    WarmupPermitRequest,
};
pub use upstream::{LoadedModel, Upstream, UpstreamId, UpstreamStart, UpstreamState};
pub use versions::KeptSetting;
pub use weights::{ModelName, NamedWeights, NamingTimes, WeightsVersion};
