//! Addresses to listen on.

use std::net::SocketAddr;

use crate::problem::Problems;
use crate::values::{self, At};

/// An address with the place where it stands.
pub(crate) struct Listener {
    spot: crate::tree::Spot,
    place: String,
    address: SocketAddr,
}

/// Reads an address to listen on and notes it in `listeners`.
pub(crate) fn listener(
    at: &At<'_>,
    problems: &mut Problems,
    listeners: &mut Vec<Listener>,
) -> Option<SocketAddr> {
    let address = values::address(at, problems)?;
    listeners.push(Listener {
        spot: at.spot(),
        place: at.place.clone(),
        address,
    });
    Some(address)
}

/// Notes each address that an earlier one is in the way of.
pub(crate) fn check_listeners(listeners: &[Listener], problems: &mut Problems) {
    for (index, listener) in listeners.iter().enumerate() {
        let mut earlier = listeners[..index].iter();
        let Some(other) = earlier.find(|other| clash(other.address, listener.address)) else {
            continue;
        };
        let what = format!("`{}` listens on the same address", other.place);
        problems.add(listener.spot, &listener.place, what, "take another port");
    }
}

/// Says whether a process can't listen on both. Port 0 stands for any free port.
fn clash(one: SocketAddr, two: SocketAddr) -> bool {
    let anywhere = one.ip().is_unspecified() || two.ip().is_unspecified();
    one.port() == two.port() && one.port() != 0 && (one.ip() == two.ip() || anywhere)
}
