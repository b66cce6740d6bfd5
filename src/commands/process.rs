//! Running one of the two long-lived processes: settings, start, signal, graceful end.

use std::ffi::OsString;
use std::path::Path;

use super::block_on;
use crate::args::{Options, read_text};
use crate::error::{BadInputSnafu, CommandError, StartSnafu};
use crate::signals::wait_for_end;

/// A long-lived process of the system.
pub(super) trait Process: Sized {
    /// What the process is started from.
    type Settings;

    /// Reads the settings; the error lists every mistake with its place.
    fn settings(yaml: &str) -> Result<Self::Settings, String>;

    /// Returns the VM's name, which every log line carries.
    fn vm(settings: &Self::Settings) -> &str;

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
    let path = Path::new(options.require("settings")?);
    let settings = match P::settings(&read_text(path)?) {
        Ok(settings) => settings,
        Err(problems) => return BadInputSnafu { path, problems }.fail(),
    };
    if options.get("check").is_some() {
        println!("{}: no mistakes", path.display());
        return Ok(());
    }
    wagtailreel_telemetry::init_logging(P::vm(&settings));
    block_on(serve::<P>(settings))?
}

async fn serve<P>(settings: P::Settings) -> Result<(), CommandError>
where
    P: Process,
{
    let process = match P::start(settings).await {
        Ok(process) => process,
        Err(what) => return StartSnafu { what }.fail(),
    };
    wait_for_end().await;
    process.shutdown().await;
    Ok(())
}
