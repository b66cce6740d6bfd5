//! `wagtailreel check`: checks a document without sending it.

use std::ffi::OsString;
use std::path::Path;

use wagtailreel_core::Document;

use crate::args::{Options, read_text};
use crate::error::{BadInputSnafu, CommandError};

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let options = Options::parse(args, &[])?;
    let path = Path::new(options.word("FILE")?);
    let text = read_text(path)?;
    let document = checked(path, &text)?;
    println!(
        "{}: no mistakes in the document of {}",
        path.display(),
        document.service
    );
    Ok(())
}

/// Checks the document in `text`, read from `path`; every mistake is in the error.
pub(super) fn checked(path: &Path, text: &str) -> Result<Document, CommandError> {
    match wagtailreel_settings::check_document(text) {
        Ok(document) => Ok(document),
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            BadInputSnafu {
                path,
                problems: lines.join("\n"),
            }
            .fail()
        }
    }
}
