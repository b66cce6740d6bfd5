//! Load tool, experiments and demonstration.

use std::process::ExitCode;

fn main() -> ExitCode {
    wagtailreel_bench::cli::run(std::env::args_os().skip(1))
}
