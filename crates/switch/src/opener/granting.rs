//! Directives for agents and state for the other entries. Leases are granted once no agent can
//! admit an older epoch.

use std::time::{Duration, Instant};

use wagtailreel_core::{Directive, Epoch, ServicePeerState, ServiceState};

use super::{Opener, Switch};

impl Opener {
    /// Returns the directive for an agent whose message has just been accepted.
    ///
    /// The field `peers` is empty: the caller fills it in if the agent does not have the list yet.
    pub fn directive(&self, now: Instant, vm: &str) -> Directive {
        let mut directive = self.refusal();
        let Some(row) = self.table.newest(vm) else {
            return directive;
        };
        let service = &row.report.service;
        let known = self.state.services.get(service);
        directive.state = known
            .filter(|state| state.revision > row.report.config)
            .cloned();
        let Some(switch) = self.switches.get(service) else {
            return directive;
        };
        directive.close_below = switch.close_below;
        directive.swap_to = switch
            .swaps
            .as_ref()
            .filter(|(_, vms)| vms.contains(vm))
            .map(|(target, _)| *target);
        if let Some(epoch) = self.granted(now, switch)
            && self.serves(known, epoch, vm)
        {
            directive.open = Some(epoch);
            directive.lease = self.timing.lease();
        }
        directive
    }

    /// Returns the directive for an agent whose message was not accepted. It grants nothing.
    pub fn refusal(&self) -> Directive {
        Directive {
            config: self.state.offset,
            state: None,
            lease: Duration::ZERO,
            close_below: 0,
            open: None,
            swap_to: None,
            peers: Vec::new(),
        }
    }

    /// Returns whether leases for `close_below` may be granted, because no agent of the data centre
    /// can admit an older epoch.
    pub(super) fn may_open(&self, now: Instant, name: &str, switch: &Switch) -> bool {
        let epoch = switch.close_below;
        epoch > 0
            && self.peers.may_grant(now)
            && self.own_agents_closed_below(now, name, epoch) >= epoch
            && self.peers.all_closed(now, name, epoch)
    }

    /// Returns the epoch below which no agent can hold a lease from this entry, at most
    /// `close_below`.
    fn own_agents_closed_below(&self, now: Instant, name: &str, close_below: Epoch) -> Epoch {
        // The previous process on this VM may have granted leases until just before this one
        // started, and to agents that have not reported to this one yet.
        if now < self.started_at + self.timing.max_lease() {
            return 0;
        }
        self.table
            .closed_below(now, self.timing, name)
            .map_or(close_below, |closed| closed.min(close_below))
    }

    pub(super) fn service_peer_state(
        &self,
        now: Instant,
        name: &str,
        switch: &Switch,
    ) -> ServicePeerState {
        ServicePeerState {
            close_below: switch.close_below,
            open: self.granted(now, switch).unwrap_or(0),
            all_closed_below: self.own_agents_closed_below(now, name, switch.close_below),
        }
    }

    pub(super) fn granted(&self, now: Instant, switch: &Switch) -> Option<Epoch> {
        switch.granting.filter(|_| self.peers.may_grant(now))
    }

    /// Returns whether the VM is to serve `epoch`.
    ///
    /// Returns `true` if this entry's configuration is of another epoch, since only its document
    /// names the VMs.
    pub(super) fn serves(&self, known: Option<&ServiceState>, epoch: Epoch, vm: &str) -> bool {
        known.is_none_or(|state| {
            let document = state.document.as_ref();
            state.epoch != epoch
                || document.is_some_and(|document| document.includes_vm(&self.cfg.data_centre, vm))
        })
    }
}
