//! `wagtailreel report`: service-level burn from the processes' metrics.

use std::ffi::OsString;

use crate::args::Options;
use crate::error::CommandError;

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let _options = Options::parse(args, &["metrics", "document", "samples", "every-ms", "format", "out"])?;
    unimplemented!()
}
