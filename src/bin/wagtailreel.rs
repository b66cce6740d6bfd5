//! The operators' and authors' tool, and the entry process.

use std::process::ExitCode;

fn main() -> ExitCode {
    wagtailreel::run_tool(std::env::args_os().skip(1).collect()).into()
}
