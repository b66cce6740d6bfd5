//! `wagtailreel entry`: the process on an entry VM.

use std::ffi::OsString;
use std::path::Path;

use wagtailreel_entry::EntryProcess;
use wagtailreel_settings::EntrySettings;

use super::block_on;
use crate::args::{Options, read_text};
use crate::error::{BadInputSnafu, CommandError, StartSnafu};
use crate::signals::wait_for_end;

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let options = Options::parse(args, &["settings", "check"])?;
    options.no_words()?;
    let path = Path::new(options.require("settings")?);
    let settings = match EntrySettings::from_yaml(&read_text(path)?) {
        Ok(settings) => settings,
        Err(e) => {
            return BadInputSnafu {
                path,
                problems: e.to_string(),
            }
            .fail();
        }
    };
    if options.get("check").is_some() {
        println!("{}: no mistakes", path.display());
        return Ok(());
    }
    wagtailreel_telemetry::init_logging(&settings.vm);
    block_on(serve(settings))?
}

async fn serve(settings: EntrySettings) -> Result<(), CommandError> {
    let process = match EntryProcess::start(settings).await {
        Ok(process) => process,
        Err(e) => {
            return StartSnafu {
                what: e.to_string(),
            }
            .fail();
        }
    };
    wait_for_end().await;
    process.shutdown().await;
    Ok(())
}
