//! `wagtailreel submit`: submits a document through an entry's administration API.

use std::ffi::OsString;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use http::Method;

use super::{block_on, check};
use crate::admin::{AdminClient, Answer};
use crate::args::{Options, read_text};
use crate::error::{CommandError, RefusedSnafu, UnavailableSnafu, UnknownEffectSnafu, UsageSnafu};

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let options = Options::parse(args, &["admin", "base", "edit", "token-file"])?;
    let path = Path::new(options.word("FILE")?);
    let text = read_text(path)?;
    let document = check::checked(path, &text)?;
    let client = AdminClient::new(options.require("admin")?)?.with_token(options.token()?);
    let base = options.get("base").unwrap_or("0");
    if base.parse::<u64>().is_err() {
        return UsageSnafu {
            what: format!("--base {base} is not a revision number"),
        }
        .fail();
    }
    let edit = options.get("edit").map_or_else(new_edit_id, str::to_owned);
    let path = format!(
        "/admin/v1/services/{}/document?base={base}&edit={edit}",
        document.service
    );
    let answer = block_on(None, client.call(Method::POST, &path, text))??;
    conclude(answer, edit)
}

/// Says what became of the edit; only a read-back `accepted` counts as done.
fn conclude(answer: Answer, edit: String) -> Result<(), CommandError> {
    let Answer {
        status,
        outcome,
        body,
    } = answer;
    match status {
        200 => {
            println!("accepted: {body}");
            Ok(())
        }
        _ if outcome.as_deref() == Some("unknown") => UnknownEffectSnafu { body, edit }.fail(),
        400..=499 => RefusedSnafu { status, body }.fail(),
        _ => UnavailableSnafu { status, body }.fail(),
    }
}

/// Makes an edit id from the time and the process's id; the same edit is sent again with `--edit`.
fn new_edit_id() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("cli-{}-{}", since.as_nanos(), std::process::id())
}
