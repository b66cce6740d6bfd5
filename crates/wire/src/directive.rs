//! Directives to agents, and the acknowledgement of what an agent has received.

use std::time::Duration;

use snafu::ResultExt;
use wagtailreel_core::{Directive, Epoch, Offset};

use crate::WireError;
use crate::control_capnp::{directive, seen};
use crate::error::MalformedSnafu;
use crate::field::{count, micros, read_epoch};
use crate::state::{read_service_state, write_service_state};
use crate::vm::{read_vms, write_vms};

/// What an agent last received from the entry that it calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// `Directive::close_below`.
    pub close_below: Epoch,
    /// `Directive::open`.
    pub open: Option<Epoch>,
    /// `Directive::swap_to`.
    pub swap_to: Option<Epoch>,
    /// Revision of the service that the agent has applied.
    pub revision: Offset,
    /// Version of the list of peers, as this entry counts it; 0 for none.
    pub peers_version: u64,
}

/// A directive as it is sent. Its peers are left out if the agent has the present list.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectiveMessage {
    /// The directive; `peers` is empty if `has_peers` is not set.
    pub directive: Directive,
    /// Version of the list of peers, as this entry counts it.
    pub peers_version: u64,
    /// Whether the directive carries the list of peers.
    pub has_peers: bool,
}

/// Fills a message from `seen`.
pub fn write_seen(seen: &Seen, mut to: seen::Builder<'_>) {
    to.set_close_below(seen.close_below);
    to.set_open(seen.open.unwrap_or(0));
    to.set_swap_to(seen.swap_to.unwrap_or(0));
    to.set_revision(seen.revision);
    to.set_peers_version(seen.peers_version);
}

/// Reads what an agent has received.
pub fn read_seen(from: seen::Reader<'_>) -> Seen {
    Seen {
        close_below: from.get_close_below(),
        open: read_epoch(from.get_open()),
        swap_to: read_epoch(from.get_swap_to()),
        revision: from.get_revision(),
        peers_version: from.get_peers_version(),
    }
}

/// Fills a message from `message`.
///
/// # Errors
///
/// Returns [`WireError::Document`] if the document can't be written as JSON.
pub fn write_directive(
    message: &DirectiveMessage,
    mut to: directive::Builder<'_>,
) -> Result<(), WireError> {
    let directive = &message.directive;
    to.set_config(directive.config);
    if let Some(state) = &directive.state {
        write_service_state(state, to.reborrow().init_state())?;
    }
    to.set_lease_micros(micros(directive.lease));
    to.set_close_below(directive.close_below);
    to.set_open(directive.open.unwrap_or(0));
    to.set_swap_to(directive.swap_to.unwrap_or(0));
    to.set_peers_version(message.peers_version);
    if message.has_peers {
        let length = count(directive.peers.len());
        write_vms(&directive.peers, to.init_peers(length));
    }
    Ok(())
}

/// Reads a directive.
///
/// # Errors
///
/// Returns a [`WireError`] if the message or a document in it is malformed.
pub fn read_directive(from: directive::Reader<'_>) -> Result<DirectiveMessage, WireError> {
    let state = if from.has_state() {
        let state = from.get_state().context(MalformedSnafu)?;
        Some(read_service_state(state)?)
    } else {
        None
    };
    let has_peers = from.has_peers();
    let peers = if has_peers {
        read_vms(from.get_peers())?
    } else {
        Vec::new()
    };
    let directive = Directive {
        config: from.get_config(),
        state,
        lease: Duration::from_micros(from.get_lease_micros()),
        close_below: from.get_close_below(),
        open: read_epoch(from.get_open()),
        swap_to: read_epoch(from.get_swap_to()),
        peers,
    };
    Ok(DirectiveMessage {
        directive,
        peers_version: from.get_peers_version(),
        has_peers,
    })
}
