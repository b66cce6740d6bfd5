//! Choice of upstream, limits, retries, membership and outcomes at an entry, without I/O.
