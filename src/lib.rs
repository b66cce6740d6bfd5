//! The command lines of `wagtailreel` and `wagtailreel-agent`.
//!
//! Each subcommand has a file under `commands`. The binaries only call [`run_tool`] and
//! [`run_agent`] and exit with the code they return.

mod admin;
mod args;
mod commands;
mod error;
mod signals;

pub use commands::{run_agent, run_tool};
pub use error::ExitCode;
