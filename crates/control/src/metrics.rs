//! Metrics of the control protocol.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use snafu::ResultExt;

use crate::ControlError;
use crate::error::MetricsSnafu;

/// Bytes of one word of a message.
const WORD_BYTES: u64 = 8;

/// Kinds of messages, the values of the metrics' `kind` label.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    Report,
    Directive,
    Watch,
    PeerState,
    State,
    Agents,
}

impl Kind {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Directive => "directive",
            Self::Watch => "watch",
            Self::PeerState => "peer-state",
            Self::State => "state",
            Self::Agents => "agents",
        }
    }
}

/// Metrics of the entry's and the agent's side. Each process registers them once.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    sent: IntCounterVec,
    received: IntCounterVec,
    sent_payload: IntCounterVec,
    received_payload: IntCounterVec,
    pub(crate) socket_in: IntCounter,
    pub(crate) socket_out: IntCounter,
    pub(crate) lease_grants: IntCounter,
    pub(crate) sync_rounds: IntCounter,
    pub(crate) sync_failures: IntCounter,
    pub(crate) agents: IntGauge,
    pub(crate) peers: IntGauge,
    pub(crate) settled: IntGauge,
    pub(crate) directives_dropped: IntCounter,
}

impl Metrics {
    /// Registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, ControlError> {
        let metrics = Self::make().context(MetricsSnafu)?;
        metrics.register(registry).context(MetricsSnafu)?;
        Ok(metrics)
    }

    /// Creates metrics that are not exported, for a single call.
    pub(crate) fn unregistered() -> Result<Self, ControlError> {
        Self::make().context(MetricsSnafu)
    }

    /// Counts a sent message of `words` words without its envelope.
    pub(crate) fn sent(&self, kind: Kind, words: u64) {
        self.sent.with_label_values(&[kind.name()]).inc();
        self.sent_payload
            .with_label_values(&[kind.name()])
            .inc_by(words * WORD_BYTES);
    }

    /// Counts a received message of `words` words without its envelope.
    pub(crate) fn received(&self, kind: Kind, words: u64) {
        self.received.with_label_values(&[kind.name()]).inc();
        self.received_payload
            .with_label_values(&[kind.name()])
            .inc_by(words * WORD_BYTES);
    }

    fn make() -> prometheus::Result<Self> {
        Ok(Self {
            sent: by_kind("messages_sent_total", "Messages sent.")?,
            received: by_kind("messages_received_total", "Messages received.")?,
            sent_payload: by_kind(
                "sent_payload_bytes_total",
                "Bytes of messages sent, without envelopes.",
            )?,
            received_payload: by_kind(
                "received_payload_bytes_total",
                "Bytes of messages received, without envelopes.",
            )?,
            socket_in: counter("socket_in_bytes_total", "Bytes read from sockets.")?,
            socket_out: counter("socket_out_bytes_total", "Bytes written to sockets.")?,
            lease_grants: counter("lease_grants_total", "Leases granted to agents.")?,
            sync_rounds: counter("sync_rounds_total", "Sync rounds started.")?,
            sync_failures: counter("sync_failures_total", "Calls to peer entries that failed.")?,
            agents: gauge(
                "agents",
                "Agents known, those of other data centres included.",
            )?,
            peers: gauge("peers", "Other entries of the data centre known.")?,
            settled: gauge("settled", "1 if the entry may grant leases.")?,
            directives_dropped: counter(
                "directives_dropped_total",
                "Directives that the agent was too slow to take.",
            )?,
        })
    }

    fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.sent.clone()))?;
        registry.register(Box::new(self.received.clone()))?;
        registry.register(Box::new(self.sent_payload.clone()))?;
        registry.register(Box::new(self.received_payload.clone()))?;
        registry.register(Box::new(self.socket_in.clone()))?;
        registry.register(Box::new(self.socket_out.clone()))?;
        registry.register(Box::new(self.lease_grants.clone()))?;
        registry.register(Box::new(self.sync_rounds.clone()))?;
        registry.register(Box::new(self.sync_failures.clone()))?;
        registry.register(Box::new(self.agents.clone()))?;
        registry.register(Box::new(self.peers.clone()))?;
        registry.register(Box::new(self.settled.clone()))?;
        registry.register(Box::new(self.directives_dropped.clone()))
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
        .namespace("wagtailreel")
        .subsystem("control")
}

fn by_kind(name: &str, help: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(opts(name, help), &["kind"])
}

fn counter(name: &str, help: &str) -> prometheus::Result<IntCounter> {
    IntCounter::with_opts(opts(name, help))
}

fn gauge(name: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::with_opts(opts(name, help))
}
