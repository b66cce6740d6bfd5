//! `wagtailreel-agent`: the process in an upstream VM's slot.

use std::ffi::OsString;
use std::path::Path;

use wagtailreel_agent_core::AgentProcess;
use wagtailreel_settings::AgentSettings;

use super::block_on;
use crate::args::{Options, read_text};
use crate::error::{BadInputSnafu, CommandError, StartSnafu};
use crate::signals::wait_for_end;

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let options = Options::parse(args, &["settings", "check"])?;
    options.no_words()?;
    let path = Path::new(options.require("settings")?);
    let settings = match AgentSettings::from_yaml(&read_text(path)?) {
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

async fn serve(settings: AgentSettings) -> Result<(), CommandError> {
    let process = match AgentProcess::start(settings).await {
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
