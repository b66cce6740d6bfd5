//! The command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use wagtailreel_standins::{EngineStandin, LogStandin, OriginStandin, PlainStandin, VmListStandin};

use crate::burst_cli::BurstArgs;
use crate::demo::run_demo;
use crate::error::{BrokenSnafu, ParseSnafu, PlanSnafu, Result};
use crate::fleet::FleetBinaries;
use crate::flips::{self, FlipPlan, run_flips};
use crate::hop::{self, HopPlan, run_hop};
use crate::load::{Plan, run_load};
use crate::slopes::{Measure, Scale, run_slopes, to_json, to_projection, to_table};

const HELP: &str = "\
Load tool, experiments and demonstration of wagtailreel; not shipped.

Usage: wagtailreel-bench <command> [options]

Commands:
  demo                      show the main job, step by step
  load --plan FILE          put load on entries and check every answer
       [--json FILE]        write the report as JSON too
  burst [--fleets lapida,batbayar,large] [--policies origin,chain,tree,balanced]
        [--faults none,kill-tenth,cut,stall,corrupt,origin-down,version-change]
        [--window-s N] [--length-mib N] [--chunks N] [--out DIR]
                            bring new weights to whole fleets and measure it
  hop [--entries N] [--engines N] [--rates 50,100,200] [--tokens N] [--span-s N] [--json FILE]
                            measure what entry and agent add to an answer
  slopes [--only requests,tokens,streams,known-vms,agents,records,chunks,order-keys]
         [--span-s N] [--json FILE]
                            measure what one more request, VM or chunk costs
  standin KIND --listen ADDR [--config FILE]
                            run one stand-in: log, vms, origin, engine or plain

Options:
  -h, --help                print this help
  -V, --version             print the version

Exit code: 0 if everything held, 1 if something did not, 2 for a wrong command line.
";

/// Exit code for a wrong command line.
const USAGE: u8 = 2;

/// Time in seconds over which slopes are measured at each size.
const SPAN_SECONDS: u64 = 10;

/// What the command line asks for.
#[derive(Debug)]
enum Command {
    Help,
    Version,
    Demo,
    Load {
        plan: PathBuf,
        json: Option<PathBuf>,
    },
    Burst(BurstArgs),
    Hop {
        plan: HopPlan,
        json: Option<PathBuf>,
    },
    Flips {
        plan: FlipPlan,
        json: Option<PathBuf>,
    },
    Slopes {
        measures: Vec<Measure>,
        scale: Scale,
        json: Option<PathBuf>,
    },
    Standin {
        kind: String,
        listen: SocketAddr,
        config: Option<PathBuf>,
    },
}

/// Runs the command that `args`, without the program's name, ask for.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let command = match parse(lexopt::Parser::from_args(args)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("{error}; see --help");
            return ExitCode::from(USAGE);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(execute_until_signal(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let name = match parser.next()? {
        Some(Short('h') | Long("help")) | None => return Ok(Command::Help),
        Some(Short('V') | Long("version")) => return Ok(Command::Version),
        Some(Value(name)) => name.string()?,
        Some(other) => return Err(other.unexpected()),
    };
    match name.as_str() {
        "demo" => match parser.next()? {
            None => Ok(Command::Demo),
            Some(other) => Err(other.unexpected()),
        },
        "load" => parse_load(parser),
        "burst" => Ok(Command::Burst(BurstArgs::parse(parser)?)),
        "hop" => parse_hop(parser),
        "flips" => parse_flips(parser),
        "slopes" => parse_slopes(parser),
        "standin" => parse_standin(parser),
        other => Err(format!("there is no command `{other}`").into()),
    }
}

fn parse_load(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut plan, mut json) = (None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("plan") => plan = Some(parser.value()?.into()),
            Long("json") => json = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    let plan = plan.ok_or("load needs --plan FILE")?;
    Ok(Command::Load { plan, json })
}

fn parse_hop(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut plan = HopPlan {
        entries: 1,
        engines: 2,
        rates: vec![50.0, 100.0, 200.0],
        tokens: 100,
        span: Duration::from_secs(SPAN_SECONDS),
    };
    let mut json = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("entries") => plan.entries = parser.value()?.parse()?,
            Long("engines") => plan.engines = parser.value()?.parse()?,
            Long("rates") => {
                let rates = parser.value()?.string()?;
                let rates = rates.split(',').map(str::parse);
                let rates = rates.collect::<Result<Vec<f64>, _>>();
                plan.rates = rates.map_err(|error| format!("--rates: {error}"))?;
            }
            Long("tokens") => plan.tokens = parser.value()?.parse()?,
            Long("span-s") => plan.span = Duration::from_secs(parser.value()?.parse()?),
            Long("json") => json = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Hop { plan, json })
}

fn parse_flips(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut plan = FlipPlan {
        flips: 20,
        rate: 200.0,
    };
    let mut json = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("flips") => plan.flips = parser.value()?.parse()?,
            Long("rate") => plan.rate = parser.value()?.parse()?,
            Long("json") => json = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Flips { plan, json })
}

fn parse_slopes(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut scale = Scale {
        span: Duration::from_secs(SPAN_SECONDS),
    };
    let mut measures = Measure::ALL.to_vec();
    let mut json = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("only") => measures = list(&parser.value()?.string()?, Measure::from_name)?,
            Long("span-s") => scale.span = Duration::from_secs(parser.value()?.parse()?),
            Long("json") => json = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Slopes {
        measures,
        scale,
        json,
    })
}

fn parse_standin(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut kind, mut listen, mut config) = (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("config") => config = Some(parser.value()?.into()),
            Value(value) if kind.is_none() => kind = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Standin {
        kind: kind.ok_or("standin needs a kind: log, vms, origin, engine or plain")?,
        listen: listen.ok_or("standin needs --listen ADDR")?,
        config,
    })
}

/// Executes a command, but gives it up at a signal: what it holds is dropped, so that no process
/// of a fleet outlives it.
async fn execute_until_signal(command: Command) -> Result<()> {
    tokio::select! {
        // A stand-in ends well at a signal, so that the command is asked first.
        biased;
        result = execute(command) => result,
        () = signalled() => BrokenSnafu { what: "stopped by a signal" }.fail(),
    }
}

/// Waits for SIGINT or SIGTERM; without a handler the process just ends at one.
async fn signalled() {
    let listen = |kind| signal(kind).ok();
    let (Some(mut interrupt), Some(mut terminate)) = (
        listen(SignalKind::interrupt()),
        listen(SignalKind::terminate()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

async fn execute(command: Command) -> Result<()> {
    match command {
        Command::Help => {
            print!("{HELP}");
            Ok(())
        }
        Command::Version => {
            println!("wagtailreel-bench {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Demo => run_demo(FleetBinaries::beside_current()?).await,
        Command::Load { plan, json } => load(&plan, json).await,
        Command::Hop { plan, json } => hop(&plan, json).await,
        Command::Flips { plan, json } => flips(plan, json).await,
        Command::Slopes {
            measures,
            scale,
            json,
        } => slopes(&measures, scale, json).await,
        Command::Burst(args) => args.run(FleetBinaries::beside_current()?).await,
        Command::Standin {
            kind,
            listen,
            config,
        } => standin(&kind, listen, config).await,
    }
}

async fn load(plan: &std::path::Path, json: Option<PathBuf>) -> Result<()> {
    let plan = Plan::read(plan)?;
    let report = run_load(plan, CancellationToken::new()).await?;
    print!("{}", report.to_text());
    write_json(json, &report.to_json())?;
    if report.holds() {
        return Ok(());
    }
    BrokenSnafu {
        what: format!(
            "{} problems, {} not sent",
            report.problem_count, report.skipped
        ),
    }
    .fail()
}

async fn hop(plan: &HopPlan, json: Option<PathBuf>) -> Result<()> {
    let outcomes = run_hop(plan, FleetBinaries::beside_current()?).await?;
    print!("{}", hop::to_table(&outcomes));
    write_json(json, &serde_json::to_value(&outcomes).unwrap_or_default())
}

async fn flips(plan: FlipPlan, json: Option<PathBuf>) -> Result<()> {
    let outcome = run_flips(plan, FleetBinaries::beside_current()?).await?;
    print!("{}", flips::to_text(&outcome));
    write_json(json, &serde_json::to_value(&outcome).unwrap_or_default())
}

async fn slopes(measures: &[Measure], scale: Scale, json: Option<PathBuf>) -> Result<()> {
    let binaries = FleetBinaries::beside_current()?;
    let slopes = run_slopes(measures, scale, &binaries).await?;
    print!("{}\n{}", to_table(&slopes), to_projection(&slopes));
    write_json(json, &to_json(&slopes))
}

/// Runs a stand-in until the process is ended.
async fn standin(kind: &str, listen: SocketAddr, config: Option<PathBuf>) -> Result<()> {
    use crate::fleet::started;
    match kind {
        "log" => {
            let it = started(LogStandin::start(read_config(config)?, listen))?;
            serve(it.addr(), it).await
        }
        "vms" => {
            let it = started(VmListStandin::start(read_config(config)?, listen))?;
            serve(it.addr(), it).await
        }
        "origin" => {
            let it = started(OriginStandin::start(read_config(config)?, listen))?;
            serve(it.addr(), it).await
        }
        "engine" => {
            let it = started(EngineStandin::start(read_config(config)?, listen))?;
            serve(it.addr(), it).await
        }
        "plain" => {
            let it = started(PlainStandin::start(read_config(config)?, listen))?;
            serve(it.addr(), it).await
        }
        other => PlanSnafu {
            at: "standin",
            detail: format!("there is no `{other}`: take log, vms, origin, engine or plain"),
        }
        .fail(),
    }
}

/// Keeps a stand-in until the process is interrupted.
async fn serve<T>(addr: SocketAddr, standin: T) -> Result<()> {
    println!("listening at {addr}");
    signalled().await;
    drop(standin);
    Ok(())
}

fn read_config<T>(path: Option<PathBuf>) -> Result<T>
where
    T: DeserializeOwned + Default,
{
    let Some(path) = path else {
        return Ok(T::default());
    };
    let parse = |detail: String| {
        let what = path.display().to_string();
        ParseSnafu { what, detail }.build()
    };
    let text = std::fs::read_to_string(&path).map_err(|source| parse(source.to_string()))?;
    serde_saphyr::from_str(&text).map_err(|source| parse(source.to_string()))
}

/// Reads names that are separated by commas.
///
/// # Errors
///
/// Returns an error that names the first which `read` does not know.
pub(crate) fn list<T, F>(text: &str, read: F) -> Result<Vec<T>, lexopt::Error>
where
    F: Fn(&str) -> Option<T>,
{
    let names = text.split(',');
    let items = names.map(|name| {
        let unknown = || lexopt::Error::from(format!("there is no `{name}`"));
        read(name.trim()).ok_or_else(unknown)
    });
    items.collect()
}

fn write_json(path: Option<PathBuf>, value: &serde_json::Value) -> Result<()> {
    match path {
        Some(path) => write_file(&path, &format!("{value:#}\n")),
        None => Ok(()),
    }
}

/// Writes a file.
///
/// # Errors
///
/// Returns an error with the file's name.
pub(crate) fn write_file(path: &std::path::Path, text: &str) -> Result<()> {
    use snafu::ResultExt as _;
    std::fs::write(path, text).context(crate::error::IoSnafu {
        what: format!("write {}", path.display()),
    })
}
