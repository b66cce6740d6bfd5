//! The configuration.

use snafu::ResultExt;
use wagtailreel_core::{ServiceState, StateView};

use crate::WireError;
use crate::control_capnp::{service_state, state_view};
use crate::error::{DocumentSnafu, MalformedSnafu};
use crate::field::{count, read_text};

/// Fills a message from `state`.
///
/// # Errors
///
/// Returns [`WireError::Document`] if the document can't be written as JSON.
pub fn write_service_state(
    state: &ServiceState,
    mut to: service_state::Builder<'_>,
) -> Result<(), WireError> {
    to.set_service(&state.service);
    to.set_team(&state.team);
    to.set_revision(state.revision);
    to.set_epoch(state.epoch);
    if let Some(document) = &state.document {
        let json = serde_json::to_string(document).context(DocumentSnafu {
            service: &state.service,
        })?;
        to.set_document(&json);
    }
    Ok(())
}

/// Reads the state of one service.
///
/// # Errors
///
/// Returns a [`WireError`] if the message or the document in it is malformed.
pub fn read_service_state(from: service_state::Reader<'_>) -> Result<ServiceState, WireError> {
    let service = read_text("service", from.get_service())?;
    let document = from
        .has_document()
        .then(|| read_text("document", from.get_document()))
        .transpose()?;
    let document = document
        .map(|json| serde_json::from_str(&json))
        .transpose()
        .context(DocumentSnafu { service: &service })?;
    Ok(ServiceState {
        service,
        team: read_text("team", from.get_team())?,
        revision: from.get_revision(),
        epoch: from.get_epoch(),
        document,
    })
}

/// Fills a message from `state`.
///
/// # Errors
///
/// Returns [`WireError::Document`] if a document can't be written as JSON.
pub fn write_state_view(
    state: &StateView,
    mut to: state_view::Builder<'_>,
) -> Result<(), WireError> {
    to.set_offset(state.offset);
    let length = count(state.services.len());
    let mut services = to.init_services(length);
    for (index, service) in (0..length).zip(state.services.values()) {
        write_service_state(service, services.reborrow().get(index))?;
    }
    Ok(())
}

/// Reads the configuration.
///
/// # Errors
///
/// Returns a [`WireError`] if the message or a document in it is malformed.
pub fn read_state_view(from: state_view::Reader<'_>) -> Result<StateView, WireError> {
    let mut state = StateView {
        offset: from.get_offset(),
        ..StateView::default()
    };
    for service in from.get_services().context(MalformedSnafu)? {
        let service = read_service_state(service)?;
        state.services.insert(service.service.clone(), service);
    }
    Ok(state)
}
