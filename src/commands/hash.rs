//! `wagtailreel hash-token`: the hash of a token, as the settings keep it.

use std::ffi::OsString;
use std::io::Read as _;
use std::path::PathBuf;

use snafu::ResultExt as _;
use wagtailreel_settings::hash_token;

use crate::args::Options;
use crate::error::{CommandError, ReadFileSnafu, UsageSnafu};

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let options = Options::parse(args, &[])?;
    options.no_words()?;
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .context(ReadFileSnafu {
            path: PathBuf::from("standard input"),
        })?;
    let token = text.trim();
    if token.is_empty() {
        return UsageSnafu {
            what: "standard input holds no token",
        }
        .fail();
    }
    println!("{}", hash_token(token));
    Ok(())
}
