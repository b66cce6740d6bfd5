//! The subcommands, one file each.

mod account;
mod agent;
mod check;
mod direct;
mod entry;
mod events;
mod hash;
mod process;
mod report;
mod service;
mod staging;
mod submit;

use std::ffi::OsString;

use wagtailreel_agent_core::AgentProcess;
use wagtailreel_entry::EntryProcess;
use wagtailreel_settings::DirectEntrySettings;
use wagtailreel_telemetry::LogGuard;

use self::direct::DirectProcess;
use self::staging::StagingProcess;
use crate::ExitCode;
use crate::args::{Options, read_text};
use crate::error::{CommandError, StartSnafu, UsageSnafu};

/// Text that `wagtailreel --help` prints.
const HELP: &str = "\
wagtailreel: brings model weights to a fleet of VMs and switches them whole

usage: wagtailreel COMMAND [OPTIONS]

commands:
  entry [--settings FILE] [--check yes]   run the entry process (or only check its settings);
                                          without FILE the one that WAGTAILREEL_CONFIG names
  check FILE                              check a service document without sending it
  submit FILE --admin URL [--base N] [--edit ID]
                                          submit a document; --base is the revision that was edited
  status SERVICE --admin URL              how far the rollout is, per VM
  show SERVICE --admin URL                the document in force, its revision and epoch
  history SERVICE --admin URL             accepted and refused edits
  report --metrics URL... --document FILE... [--samples N] [--every-ms N] [--short-s N] [--long-s N]
         [--format text|json|html] [--out FILE]
                                          service-level burn from the processes' metrics
  account FILE|FOLDER|-... [--late-ms N] [--format text|json] [--id ID]
                                          what requests were lost to, from log lines of entries and
                                          agents; --id follows one request
  events                                  the catalogue of numbered events
  hash-token                              hash of a token or key read from standard input

options:
  --token-file FILE    team token for the administration API; or set WAGTAILREEL_TOKEN
  --help, --version

exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 refused, 4 unknown whether it took effect
";

/// Text that `wagtailreel-agent --help` prints.
const AGENT_HELP: &str = "\
wagtailreel-agent: the gate in front of one engine or plain service

usage: wagtailreel-agent --settings FILE [--check yes]

options:
  --settings FILE      YAML settings; without it the file that WAGTAILREEL_CONFIG names
  --check yes          check the settings and exit
  --help, --version

exit codes: 0 done, 1 failed, 2 wrong usage or settings
";

/// Runs `wagtailreel` with `args`, the program's name left out.
pub fn run_tool(args: Vec<OsString>) -> ExitCode {
    finish(tool(args))
}

/// Runs `wagtailreel-agent` with `args`, the program's name left out.
pub fn run_agent(args: Vec<OsString>) -> ExitCode {
    if let Some(code) = help_or_version(&args, "wagtailreel-agent", AGENT_HELP) {
        return code;
    }
    if is_direct(&args) {
        return finish(process::run::<StagingProcess>(args));
    }
    finish(process::run::<AgentProcess>(args))
}

fn tool(mut args: Vec<OsString>) -> Result<(), CommandError> {
    if args.is_empty() {
        return UsageSnafu {
            what: "a command is missing",
        }
        .fail();
    }
    if help_or_version(&args, "wagtailreel", HELP).is_some() {
        return Ok(());
    }
    let command = args.remove(0);
    match command.to_str() {
        Some("entry") if is_direct(&args) => process::run::<DirectProcess>(args),
        Some("entry") => process::run::<EntryProcess>(args),
        Some("check") => check::run(args),
        Some("submit") => submit::run(args),
        Some("status") => service::run(args, service::View::Rollout),
        Some("show") => service::run(args, service::View::Document),
        Some("history") => service::run(args, service::View::History),
        Some("report") => report::run(args),
        Some("account") => account::run(args),
        Some("events") => events::run(args),
        Some("hash-token") => hash::run(args),
        _ => UsageSnafu {
            what: format!("`{}` is not a command", command.to_string_lossy()),
        }
        .fail(),
    }
}

/// Says whether the settings are for a fleet whose upstreams name themselves. What can't be read
/// is told of by whoever reads it next.
fn is_direct(args: &[OsString]) -> bool {
    let options = Options::parse(args.to_vec(), &["settings", "check"]);
    let path = options.and_then(|options| process::settings_path(&options));
    let text = path.and_then(|path| read_text(&path));
    text.is_ok_and(|text| DirectEntrySettings::is_meant(&text))
}

/// Prints the help or the version if `args` ask for it.
fn help_or_version(args: &[OsString], name: &str, help: &str) -> Option<ExitCode> {
    if args.iter().any(|arg| arg == "--help" || arg == "-h") {
        print!("{help}");
        return Some(ExitCode::Done);
    }
    if args.iter().any(|arg| arg == "--version" || arg == "-V") {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return Some(ExitCode::Done);
    }
    None
}

fn finish(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::Done,
        Err(e) => {
            eprintln!("error: {e}");
            e.exit_code()
        }
    }
}

/// Runs `future` on a new runtime of `threads`, or of one thread a core.
fn block_on<F>(threads: Option<usize>, future: F) -> Result<F::Output, CommandError>
where
    F: Future,
{
    let mut builder = match threads {
        // One thread needs no others to share work with, nor their stacks.
        Some(1) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if let Some(threads) = threads {
        builder.worker_threads(threads);
    }
    match builder.enable_all().build() {
        Ok(runtime) => Ok(runtime.block_on(future)),
        Err(e) => StartSnafu {
            what: e.to_string(),
        }
        .fail(),
    }
}

/// Starts the log on standard output, or on standard error where no thread can write it.
fn log_to_stdout(vm: &str) -> LogGuard {
    wagtailreel_telemetry::init_stdout_logging(vm).unwrap_or_else(|e| {
        let guard = log_to_stderr(vm);
        log::warn!("the log goes to standard error, since its thread can't be started: {e}");
        guard
    })
}

/// Starts the log on standard error, which takes each line before it returns.
fn log_to_stderr(vm: &str) -> LogGuard {
    wagtailreel_telemetry::init_logging(vm);
    LogGuard::default()
}
