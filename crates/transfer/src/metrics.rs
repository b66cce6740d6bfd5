//! Metrics of the transfer of chunks.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use snafu::ResultExt as _;
use wagtailreel_spread::Reason;

use crate::TransferError;
use crate::error::MetricsSnafu;

/// Where bytes come from, as the metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Giver {
    /// The origin of weights.
    Origin,
    /// A VM of the own data centre.
    Same,
    /// A VM of another data centre.
    Other,
}

impl Giver {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Origin => "origin",
            Self::Same => "same-data-centre",
            Self::Other => "other-data-centre",
        }
    }
}

/// Metrics of one transfer.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    bytes_in: IntCounterVec,
    pub(crate) bytes_out: IntCounter,
    corrupt: IntCounterVec,
    fetches: IntCounterVec,
    pub(crate) origin_draws: IntCounter,
    pub(crate) busy: IntCounter,
    pub(crate) kept: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, TransferError> {
        let metrics = Self::make().context(MetricsSnafu)?;
        metrics.register(registry).context(MetricsSnafu)?;
        Ok(metrics)
    }

    /// Counts bytes that came in.
    pub(crate) fn came(&self, from: Giver, bytes: u64) {
        self.bytes_in
            .with_label_values(&[from.name()])
            .inc_by(bytes);
    }

    /// Counts a corrupt chunk.
    pub(crate) fn corrupt(&self, from: Giver) {
        self.corrupt.with_label_values(&[from.name()]).inc();
    }

    /// Counts a chunk that a fetch brought.
    pub(crate) fn fetched(&self, reason: Reason) {
        self.fetches.with_label_values(&[&reason.to_string()]).inc();
    }

    fn make() -> prometheus::Result<Self> {
        Ok(Self {
            bytes_in: IntCounterVec::new(
                opts("bytes_in_total", "Bytes of chunks that came in."),
                &["source"],
            )?,
            bytes_out: IntCounter::with_opts(opts(
                "bytes_out_total",
                "Bytes of chunks given to peers.",
            ))?,
            corrupt: IntCounterVec::new(
                opts(
                    "corrupt_chunks_total",
                    "Chunks that came with a wrong digest.",
                ),
                &["source"],
            )?,
            fetches: IntCounterVec::new(
                opts(
                    "chunks_fetched_total",
                    "Chunks fetched and verified, by reason.",
                ),
                &["reason"],
            )?,
            origin_draws: IntCounter::with_opts(opts(
                "origin_draws_total",
                "Fetches from the origin that were started.",
            ))?,
            busy: IntCounter::with_opts(opts(
                "refused_gives_total",
                "Peers that were told to come back later.",
            ))?,
            kept: IntGauge::with_opts(opts("kept_bytes", "Bytes of verified chunks in memory."))?,
        })
    }

    fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.bytes_in.clone()))?;
        registry.register(Box::new(self.bytes_out.clone()))?;
        registry.register(Box::new(self.corrupt.clone()))?;
        registry.register(Box::new(self.fetches.clone()))?;
        registry.register(Box::new(self.origin_draws.clone()))?;
        registry.register(Box::new(self.busy.clone()))?;
        registry.register(Box::new(self.kept.clone()))
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
        .namespace("wagtailreel")
        .subsystem("transfer")
}
