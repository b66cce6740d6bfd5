//! The fold of the platform's log: configuration and order claims, without I/O.
