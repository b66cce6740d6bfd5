//! Cutting links and changing the lists of VMs.

use wagtailreel_standins::VmChange;

use super::Fleet;
use super::relay::LinkState;
use super::standins::Site;

impl Fleet {
    /// Returns how many bytes have passed over control connections within data centres, both ways;
    /// needs a fleet with counted control.
    pub fn control_bytes(&self) -> u64 {
        self.links.control_bytes()
    }

    /// Changes every link of a data centre to the platform and to other data centres; needs a
    /// fleet with cuttable links.
    pub fn cut(&self, data_centre: &str, state: LinkState) {
        let site = Site::DataCentre(data_centre.to_owned());
        self.links
            .set(state, |from, to| from == data_centre || *to == site);
    }

    /// Changes just the links of a data centre to the platform.
    pub fn cut_platform(&self, data_centre: &str, state: LinkState) {
        self.links.set(state, |from, to| {
            from == data_centre && *to == Site::Platform
        });
    }

    /// Marks a VM as leaving in every list of VMs.
    pub fn leave(&self, vm: &str) {
        self.standins.change_vms(&VmChange {
            leaving: vec![vm.to_owned()],
            ..VmChange::default()
        });
    }

    /// Removes a VM from every list of VMs.
    pub fn remove(&self, vm: &str) {
        self.standins.change_vms(&VmChange {
            remove: vec![vm.to_owned()],
            ..VmChange::default()
        });
    }
}
