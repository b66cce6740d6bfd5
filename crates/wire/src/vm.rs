//! Entries of the list of VMs.

use capnp::struct_list;
use snafu::ResultExt;
use wagtailreel_core::{VmEntry, VmRole, VmState};

use crate::WireError;
use crate::control_capnp::{Role, VmState as WireVmState, vm};
use crate::error::MalformedSnafu;
use crate::field::{count, read_addr, read_enum, read_text};

/// Fills a message from `entry`.
pub fn write_vm(entry: &VmEntry, mut to: vm::Builder<'_>) {
    to.set_vm(&entry.vm);
    to.set_data_centre(&entry.data_centre);
    to.set_region(&entry.region);
    to.set_role(match entry.role {
        VmRole::Entry => Role::Entry,
        VmRole::Upstream => Role::Upstream,
    });
    to.set_state(match entry.state {
        VmState::Live => WireVmState::Live,
        VmState::Leaving => WireVmState::Leaving,
    });
    if let Some(service) = &entry.service {
        to.set_service(service);
    }
    to.set_control(entry.control.to_string());
    to.set_data(entry.data.to_string());
}

/// Reads an entry of the list of VMs.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_vm(from: vm::Reader<'_>) -> Result<VmEntry, WireError> {
    let service = from
        .has_service()
        .then(|| read_text("service", from.get_service()))
        .transpose()?;
    Ok(VmEntry {
        vm: read_text("vm", from.get_vm())?,
        data_centre: read_text("dataCentre", from.get_data_centre())?,
        region: read_text("region", from.get_region())?,
        role: match read_enum("role", from.get_role())? {
            Role::Entry => VmRole::Entry,
            Role::Upstream => VmRole::Upstream,
        },
        state: match read_enum("state", from.get_state())? {
            WireVmState::Live => VmState::Live,
            WireVmState::Leaving => VmState::Leaving,
        },
        service,
        control: read_addr("control", from.get_control())?,
        data: read_addr("data", from.get_data())?,
    })
}

/// Fills a list.
pub(crate) fn write_vms(vms: &[VmEntry], mut to: struct_list::Builder<'_, vm::Owned>) {
    for (index, entry) in (0..count(vms.len())).zip(vms) {
        write_vm(entry, to.reborrow().get(index));
    }
}

/// Reads a list.
pub(crate) fn read_vms(
    from: capnp::Result<struct_list::Reader<'_, vm::Owned>>,
) -> Result<Vec<VmEntry>, WireError> {
    from.context(MalformedSnafu)?.iter().map(read_vm).collect()
}
