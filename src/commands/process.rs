//! Running one of the two long-lived processes: settings, start, signal, graceful end.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use wagtailreel_telemetry::{LogGuard, events};

use super::{block_on, log_to_stderr};
use crate::args::{Options, read_text};
use crate::error::{BadInputSnafu, CommandError, StartSnafu};
use crate::signals::{EndSignals, Hangup};

/// Name of the environment variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "WAGTAILREEL_CONFIG";

/// A long-lived process of the system.
pub(super) trait Process: Sized {
    /// What the process is started from.
    type Settings;

    /// Reads the settings; the error lists every mistake with its place.
    fn settings(yaml: &str) -> Result<Self::Settings, String>;

    /// Returns the VM's name, which every log line carries.
    fn vm(settings: &Self::Settings) -> &str;

    /// Returns the threads that the process runs on; none leaves it to the number of cores.
    fn threads(settings: &Self::Settings) -> Option<usize> {
        let _ = settings;
        None
    }

    /// Starts the log; the guard keeps its last lines.
    fn log(vm: &str) -> LogGuard {
        log_to_stderr(vm)
    }

    /// Starts the process on the current runtime.
    async fn start(settings: Self::Settings) -> Result<Self, String>;

    /// Ends the process without cutting anything off.
    async fn shutdown(self);
}

/// Runs `P` by the options in `args` until a signal ends it.
pub(super) fn run<P>(args: Vec<OsString>) -> Result<(), CommandError>
where
    P: Process,
{
    let options = Options::parse(args, &["settings", "check"])?;
    options.no_words()?;
    let path = settings_path(&options)?;
    let path = path.as_path();
    let text = read_text(path)?;
    let settings = match P::settings(&text) {
        Ok(settings) => settings,
        Err(problems) => return BadInputSnafu { path, problems }.fail(),
    };
    if options.get("check").is_some() {
        println!("{}: no mistakes", path.display());
        return Ok(());
    }
    // Dropped after the runtime, so that what its tasks told last is written as well.
    let _log = P::log(P::vm(&settings));
    let threads = P::threads(&settings);
    block_on(threads, serve::<P>(settings, path, text))?
}

/// Returns the settings file: the option, else what the environment names.
pub(super) fn settings_path(options: &Options) -> Result<PathBuf, CommandError> {
    if let Some(path) = options.get("settings") {
        return Ok(PathBuf::from(path));
    }
    match std::env::var_os(SETTINGS_VARIABLE) {
        Some(path) => Ok(PathBuf::from(path)),
        None => options.require("settings").map(PathBuf::from),
    }
}

async fn serve<P>(settings: P::Settings, path: &Path, text: String) -> Result<(), CommandError>
where
    P: Process,
{
    // A signal that comes while the process starts counts as well.
    let mut ends = EndSignals::new();
    let hangups = Hangup::new();
    let process = match P::start(settings).await {
        Ok(process) => process,
        Err(what) => return StartSnafu { what }.fail(),
    };
    tokio::select! {
        () = ends.wait() => {}
        () = watch_settings::<P>(hangups, path, text) => {}
    }
    process.shutdown().await;
    Ok(())
}

/// Reads the settings again at each SIGHUP and tells whether they fit; never returns.
///
/// Addresses and names are bound at the start, so new ones come into force with the next start. A
/// file that doesn't fit changes nothing.
async fn watch_settings<P>(mut hangups: Hangup, path: &Path, mut text: String)
where
    P: Process,
{
    loop {
        hangups.wait().await;
        let outcome = match read_text(path) {
            Err(e) => format!("refused: {e}"),
            Ok(read) if read == text => "unchanged".to_owned(),
            Ok(read) => match P::settings(&read) {
                Err(problems) => format!("refused: {problems}"),
                Ok(_) => {
                    text = read;
                    "in force with the next start".to_owned()
                }
            },
        };
        events::SETTINGS_RELOADED.emit(&[("outcome", &outcome)]);
    }
}
