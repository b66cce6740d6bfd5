//! Evacuated data centres, to whose upstreams nothing more is sent.

use std::collections::BTreeSet;

use wagtailreel_core::DataCentre;

use super::{View, lock};
use crate::events;

impl View {
    /// Returns the evacuated data centres.
    pub(crate) fn evacuated(&self) -> BTreeSet<DataCentre> {
        lock(&self.evacuated).clone()
    }

    /// Applies an evacuation or its withdrawal to all services. Requests that wait for an upstream choose again.
    pub(super) fn apply_evacuation(&self, data_centre: &DataCentre, is_evacuated: bool) {
        // A service that is created from here on starts with the new set; the others get the change below.
        let is_changed = {
            let mut evacuated = lock(&self.evacuated);
            if is_evacuated {
                evacuated.insert(data_centre.clone())
            } else {
                evacuated.remove(data_centre)
            }
        };
        if !is_changed {
            return;
        }
        let mut running = 0;
        for service in self.services() {
            let mut upstreams = service.upstreams();
            upstreams.set_evacuated(data_centre, is_evacuated);
            running += upstreams.in_flight_in(data_centre);
            drop(upstreams);
            service.registry_changed.notify_waiters();
        }
        let event = if is_evacuated {
            events::EVACUATION_IN_FORCE
        } else {
            events::EVACUATION_WITHDRAWN
        };
        event.emit(&[
            ("data_centre", data_centre),
            ("running", &running.to_string()),
        ]);
    }
}
