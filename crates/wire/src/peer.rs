//! State that the entries of one data centre send each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use wagtailreel_core::{CustomerId, PeerState, ServiceName, ServicePeerState, VmId};

use crate::WireError;
use crate::control_capnp::{address, entry_demand, peer_state, service_demand, service_peer};
use crate::error::MalformedSnafu;
use crate::field::{count, read_addr, read_text};

/// Fills a message from `state`.
pub fn write_peer_state(state: &PeerState, mut to: peer_state::Builder<'_>) {
    to.set_vm(&state.vm);
    to.set_incarnation(state.incarnation);
    to.set_config(state.config);
    to.set_settled(state.settled);
    let length = count(state.entries.len());
    let mut entries = to.reborrow().init_entries(length);
    for (index, (vm, control)) in (0..length).zip(&state.entries) {
        let mut to = entries.reborrow().get(index);
        to.set_vm(vm);
        to.set_control(control.to_string());
    }
    let length = count(state.services.len());
    let mut services = to.reborrow().init_services(length);
    for (index, (service, peer)) in (0..length).zip(&state.services) {
        write_service(service, peer, services.reborrow().get(index));
    }
    let length = count(state.demand.len());
    let mut demand = to.init_demand(length);
    for (index, (service, customers)) in (0..length).zip(&state.demand) {
        write_demand(service, customers, demand.reborrow().get(index));
    }
}

/// Reads the state of a peer entry.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_peer_state(from: peer_state::Reader<'_>) -> Result<PeerState, WireError> {
    let entries = from.get_entries().context(MalformedSnafu)?;
    let services = from.get_services().context(MalformedSnafu)?;
    let demand = from.get_demand().context(MalformedSnafu)?;
    Ok(PeerState {
        vm: read_text("vm", from.get_vm())?,
        incarnation: from.get_incarnation(),
        config: from.get_config(),
        settled: from.get_settled(),
        entries: entries.iter().map(read_address).collect::<Result<_, _>>()?,
        services: services
            .iter()
            .map(read_service)
            .collect::<Result<_, _>>()?,
        demand: demand.iter().map(read_demand).collect::<Result<_, _>>()?,
    })
}

/// Fills a message from the demand of the entry `vm`, which was received `age` ago.
pub fn write_entry_demand(
    vm: &str,
    demand: &BTreeMap<ServiceName, BTreeMap<CustomerId, f64>>,
    age: Duration,
    mut to: entry_demand::Builder<'_>,
) {
    to.set_vm(vm);
    to.set_age_micros(u64::try_from(age.as_micros()).unwrap_or(u64::MAX));
    let length = count(demand.len());
    let mut list = to.init_demand(length);
    for (index, (service, customers)) in (0..length).zip(demand) {
        write_demand(service, customers, list.reborrow().get(index));
    }
}

/// Demand at one entry, and how long ago it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryDemand {
    /// Name of the entry's VM.
    pub vm: VmId,
    /// Requests per second, by service and customer.
    pub demand: BTreeMap<ServiceName, BTreeMap<CustomerId, f64>>,
    /// Time from the receipt of the demand to the writing of the message.
    pub age: Duration,
}

/// Reads the demand of one entry.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_entry_demand(from: entry_demand::Reader<'_>) -> Result<EntryDemand, WireError> {
    let demand = from.get_demand().context(MalformedSnafu)?;
    Ok(EntryDemand {
        vm: read_text("vm", from.get_vm())?,
        demand: demand.iter().map(read_demand).collect::<Result<_, _>>()?,
        age: Duration::from_micros(from.get_age_micros()),
    })
}

fn write_service(service: &str, peer: &ServicePeerState, mut to: service_peer::Builder<'_>) {
    to.set_service(service);
    to.set_close_below(peer.close_below);
    to.set_open(peer.open);
    to.set_all_closed_below(peer.all_closed_below);
}

fn read_service(
    from: service_peer::Reader<'_>,
) -> Result<(ServiceName, ServicePeerState), WireError> {
    let peer = ServicePeerState {
        close_below: from.get_close_below(),
        open: from.get_open(),
        all_closed_below: from.get_all_closed_below(),
    };
    Ok((read_text("service", from.get_service())?, peer))
}

fn write_demand(
    service: &str,
    customers: &BTreeMap<String, f64>,
    mut to: service_demand::Builder<'_>,
) {
    to.set_service(service);
    let length = count(customers.len());
    let mut list = to.init_customers(length);
    for (index, (customer, per_second)) in (0..length).zip(customers) {
        let mut to = list.reborrow().get(index);
        to.set_customer(customer);
        to.set_per_second(*per_second);
    }
}

fn read_demand(
    from: service_demand::Reader<'_>,
) -> Result<(ServiceName, BTreeMap<String, f64>), WireError> {
    let mut customers = BTreeMap::new();
    for customer in from.get_customers().context(MalformedSnafu)? {
        let name = read_text("customer", customer.get_customer())?;
        customers.insert(name, customer.get_per_second());
    }
    Ok((read_text("service", from.get_service())?, customers))
}

fn read_address(from: address::Reader<'_>) -> Result<(VmId, SocketAddr), WireError> {
    let control = read_addr("control", from.get_control())?;
    Ok((read_text("vm", from.get_vm())?, control))
}
