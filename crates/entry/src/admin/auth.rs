//! Authorization of teams to administer a service.

use axum::Json;
use axum::response::{IntoResponse, Response};
use http::{HeaderMap, StatusCode};
use serde_json::json;
use wagtailreel_core::TeamName;

use crate::events;
use crate::front::bearer;
use crate::shared::Shared;

/// Why a request is refused before it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Forbidden {
    /// The request has no known token.
    Unknown,
    /// The service belongs to another team.
    NotOwner,
}

impl IntoResponse for Forbidden {
    fn into_response(self) -> Response {
        let (status, error) = match self {
            Self::Unknown => (
                StatusCode::UNAUTHORIZED,
                "send `Authorization: Bearer` with a known team token",
            ),
            Self::NotOwner => (
                StatusCode::FORBIDDEN,
                "the service is not among the team's: check its name and the settings",
            ),
        };
        (status, Json(json!({ "error": error }))).into_response()
    }
}

/// Returns the team whose token was sent, if `service` is the team's.
///
/// # Errors
///
/// Returns a [`Forbidden`] if the token is unknown or the service is another team's.
pub(crate) fn authorize(
    cx: &Shared,
    headers: &HeaderMap,
    service: &str,
) -> Result<TeamName, Forbidden> {
    let team = bearer(headers).and_then(|token| cx.teams.find(token));
    let Some(name) = team else {
        events::TEAM_UNKNOWN.emit(&[]);
        return Err(Forbidden::Unknown);
    };
    let teams = &cx.settings.teams;
    let owns = teams
        .iter()
        .any(|team| team.name == name && team.services.iter().any(|owned| owned == service));
    if !owns {
        events::TEAM_FORBIDDEN.emit(&[("team", name)]);
        return Err(Forbidden::NotOwner);
    }
    Ok(name.to_owned())
}
