//! Counters of connections.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Counters of connections, by listener.
#[derive(Clone, Debug)]
pub struct ConnectionCounters {
    /// Connections that ended, by listener and reason.
    pub(crate) ended: IntCounterVec,
    /// Connections that are open, by listener.
    pub(crate) open: IntGaugeVec,
}

impl ConnectionCounters {
    /// Creates the counters and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the counters is registered already.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let ended = Opts::new("wagtailreel_connections_ended_total", "Connections by end");
        let open = Opts::new("wagtailreel_connections_open", "Connections under way");
        let counters = Self {
            ended: IntCounterVec::new(ended, &["listener", "why"])?,
            open: IntGaugeVec::new(open, &["listener"])?,
        };
        registry.register(Box::new(counters.ended.clone()))?;
        registry.register(Box::new(counters.open.clone()))?;
        Ok(counters)
    }
}
