//! `wagtailreel status`, `show` and `history`: views of one service.

use std::ffi::OsString;

use http::Method;

use super::block_on;
use crate::admin::AdminClient;
use crate::args::Options;
use crate::error::{CommandError, RefusedSnafu, UnavailableSnafu};

/// Which view of the service is asked for.
#[derive(Clone, Copy, Debug)]
pub(super) enum View {
    /// How far the rollout is, per VM.
    Rollout,
    /// The document in force.
    Document,
    /// Accepted and refused edits.
    History,
}

pub(super) fn run(args: Vec<OsString>, view: View) -> Result<(), CommandError> {
    let options = Options::parse(args, &["admin", "token-file"])?;
    let service = options.word("SERVICE")?;
    let client = AdminClient::new(options.require("admin")?)?.with_token(options.token()?);
    let suffix = match view {
        View::Rollout => "/rollout",
        View::Document => "",
        View::History => "/history",
    };
    let path = format!("/admin/v1/services/{service}{suffix}");
    let answer = block_on(None, client.call(Method::GET, &path, String::new()))??;
    match answer.status {
        200 => {
            println!("{}", pretty(&answer.body));
            Ok(())
        }
        status @ 400..=499 => RefusedSnafu {
            status,
            body: answer.body,
        }
        .fail(),
        status => UnavailableSnafu {
            status,
            body: answer.body,
        }
        .fail(),
    }
}

/// Lays JSON out over lines; anything else is left as it is.
fn pretty(body: &str) -> String {
    serde_json::from_str::<serde_json::Value>(body)
        .and_then(|value| serde_json::to_string_pretty(&value))
        .unwrap_or_else(|_| body.to_owned())
}
