//! Service-level burn computed from the processes' metrics.
