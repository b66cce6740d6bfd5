//! The agent process in an upstream VM's slot.

use std::process::ExitCode;

fn main() -> ExitCode {
    wagtailreel::run_agent(std::env::args_os().skip(1).collect()).into()
}
