//! Tests of the whole system with real processes, one file a feature.

mod cli;
