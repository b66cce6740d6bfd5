//! What is measured, at which sizes and on which fleet.

use std::time::Duration;

use derive_more::Display;
use wagtailreel_standins::OriginModel;

use crate::fleet::{DataCentreSpec, FleetSpec, UpstreamSpec};

/// Service of the fleet.
pub(super) const SERVICE: &str = "wagtail-scribes";
/// Its model.
pub(super) const MODEL: &str = "epitaph";

/// Period of an agent's reports.
pub(super) const REPORT: Duration = Duration::from_millis(200);

/// Bytes of one chunk.
const CHUNK: usize = 64 * 1024;

/// What grows from one measurement to the next.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Requests of one token; the size is their rate a second.
    #[display("requests")]
    Requests,
    /// Tokens; the size is the tokens of each answer at a fixed rate of requests.
    #[display("tokens")]
    Tokens,
    /// Answers that are open at once.
    #[display("streams")]
    Streams,
    /// VMs in the platform's list that are never reached.
    #[display("known-vms")]
    KnownVms,
    /// Agents that report.
    #[display("agents")]
    Agents,
    /// Entries of one data centre that tell each other their state.
    #[display("entries")]
    Entries,
    /// Accepted documents.
    #[display("records")]
    Records,
    /// Chunks of a bundle.
    #[display("chunks")]
    Chunks,
    /// Order keys that are remembered.
    #[display("order-keys")]
    OrderKeys,
}

impl Measure {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::Requests,
        Self::Tokens,
        Self::Streams,
        Self::KnownVms,
        Self::Agents,
        Self::Entries,
        Self::Records,
        Self::Chunks,
        Self::OrderKeys,
    ];

    /// Reads a measure from its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.to_string() == name)
    }

    /// Returns of what one more is counted.
    pub(super) fn per(self) -> &'static str {
        match self {
            Self::Requests => "request",
            Self::Tokens => "token",
            Self::Streams => "open stream",
            Self::KnownVms => "known VM",
            Self::Agents => "report of an agent; memory: agent",
            Self::Entries => "second with one more entry",
            Self::Records => "config record",
            Self::Chunks => "chunk of 64 KiB",
            Self::OrderKeys => "order key",
        }
    }

    /// Returns the sizes.
    pub(super) fn sizes(self) -> [u32; 4] {
        match self {
            Self::Requests => [50, 100, 200, 400],
            Self::Tokens => [50, 100, 200, 400],
            Self::Streams => [50, 100, 200, 400],
            Self::KnownVms => [0, 700, 1400, 2800],
            Self::Agents => [4, 8, 16, 32],
            Self::Entries => [2, 4, 8, 12],
            Self::Records => [25, 50, 100, 200],
            Self::Chunks => [64, 128, 256, 512],
            Self::OrderKeys => [500, 1000, 2000, 4000],
        }
    }
}

/// How long the measurements take.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Time over which processor time is counted at each size.
    pub span: Duration,
}

/// Makes the fleet: one entry and two engines, but where the number of agents is the size.
pub(super) fn spec(measure: Measure, size: u32) -> FleetSpec {
    let agents = match measure {
        Measure::Agents => size as usize,
        // Without agents all that is said on control connections is among the entries.
        Measure::Entries => 0,
        _ => 2,
    };
    let entries = match measure {
        Measure::Entries => size,
        _ => 1,
    };
    let chunks = match measure {
        Measure::Chunks => size as usize,
        _ => 4,
    };
    let engine = UpstreamSpec::engine(SERVICE)
        .with_capacity(4096)
        .with_engine(|it| {
            it.first_token = Duration::ZERO;
            it.first_token_hit = Some(Duration::ZERO);
            it.between_tokens = match measure {
                Measure::Streams => Duration::from_secs(1),
                _ => Duration::from_millis(5),
            };
        });
    let data_centre = DataCentreSpec::new("quito-hall", "sierra")
        .with_entries(entries)
        .with_upstreams(agents, engine);
    let models = ["1", "2"].map(|it| OriginModel::new(MODEL, it, chunks * CHUNK, CHUNK));
    let mut spec = FleetSpec::new(vec![data_centre]).with_models(models.to_vec());
    spec.log_level = "warn".to_owned();
    spec.report = REPORT;
    spec.counted_control = true;
    spec
}
