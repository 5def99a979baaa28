//! Which instances own the slots of the endpoints of brittle services.

use ploverwick_endpoints::sharers::{self, LeaseHolder};
use ploverwick_endpoints::{Entry, slots};
use ploverwick_names::Moment;
use ploverwick_platform::settings::Settings;

use super::{InstanceListState, State};
use crate::broadcast;

impl State {
    /// Returns the instances to which the slots of endpoints of a failure domain belong: those of the domain, or all if none is
    /// listed there.
    fn slot_owners<'a>(
        &'a self,
        domain: &str,
        settings: &'a Settings,
        now: Moment,
    ) -> Vec<&'a str> {
        let in_domain = self.peers.iter();
        let in_domain = in_domain.filter(|(_, peer)| *peer.domain == *domain);
        let listed = in_domain.map(|(name, peer)| sharers::Peer {
            name,
            silence: now.since(peer.last_seen.unwrap_or_default()),
        });
        let listed: Vec<sharers::Peer<'_>> = listed.collect();
        // Without the list, this instance must not assume that it is the only one.
        let own = (self.instance_list != InstanceListState::Unread).then_some(&*settings.instance);
        if *domain == *settings.domain {
            let interval = broadcast::status_interval(listed.len());
            return sharers::select(own, &listed, interval, self.lease_holder(settings, now));
        }
        if listed.is_empty() {
            return self.peers.keys().map(|name| &**name).chain(own).collect();
        }
        // Instances of other failure domains send their status to few, so that their silence says nothing.
        listed.into_iter().map(|peer| peer.name).collect()
    }

    fn lease_holder(&self, settings: &Settings, now: Moment) -> LeaseHolder {
        if self.placer_lease.is_held(now) || self.placer_of(&settings.domain, now).is_some() {
            LeaseHolder::Reachable
        } else if self.placer_lease.is_denied(now) {
            LeaseHolder::Unreachable
        } else {
            LeaseHolder::Unknown
        }
    }

    /// Handles that a service has become brittle.
    pub(crate) fn handle_brittle(&mut self, service: &str, settings: &Settings, now: Moment) {
        // Late answers of requests that queued at an endpoint say nothing of it once requests no longer queue there.
        self.fleet.forget_failures_of(service);
        self.divide_slots(settings, now);
    }

    /// Divides the slots of the endpoints of brittle services among the instances.
    pub(crate) fn divide_slots(&mut self, settings: &Settings, now: Moment) {
        self.brittleness.sweep(now);
        let Self {
            brittleness,
            fleet,
            slots,
            ..
        } = self;
        slots.retain(|endpoint| {
            let entry = fleet.entry(endpoint);
            entry.is_some_and(|entry| brittleness.is_brittle(&entry.service, now))
        });
        if self.brittleness.is_empty() {
            return;
        }
        let entries = self.fleet.entries();
        let brittle = entries.filter(|entry| self.brittleness.is_brittle(&entry.service, now));
        let mut brittle: Vec<Entry> = brittle.cloned().collect();
        brittle.sort_by(|a, b| a.domain.cmp(&b.domain));
        for entries in brittle.chunk_by(|a, b| a.domain == b.domain) {
            let owners = self.slot_owners(&entries[0].domain, settings, now);
            let owners: Vec<String> = owners.into_iter().map(str::to_owned).collect();
            let owners: Vec<&str> = owners.iter().map(|name| &**name).collect();
            let owners = slots::Owners::new(&settings.instance, &owners);
            for entry in entries {
                let in_progress = self.fleet.own_load(&entry.id).requests;
                self.slots
                    .divide(&entry.id, entry.slots, owners, in_progress, now);
            }
        }
    }

    /// Returns whether an endpoint is brittle and this instance has no slot for a request to it.
    pub(crate) fn lacks_slot(&self, endpoint: &str, now: Moment) -> bool {
        if self.brittleness.is_empty() {
            return false;
        }
        let entry = self.fleet.entry(endpoint);
        entry.is_some_and(|entry| {
            self.brittleness.is_brittle(&entry.service, now)
                && (!self.slots.has_free(endpoint, now) || self.is_filled(entry, now))
        })
    }

    /// Returns whether this instance may lend a slot of an endpoint.
    pub(crate) fn may_lend(&self, endpoint: &str, now: Moment) -> bool {
        let entry = self.fleet.entry(endpoint);
        entry.is_some_and(|entry| self.fleet.is_ready(endpoint) && !self.is_filled(entry, now))
    }

    /// Returns the number of requests of this instance that wait for a slot and may use one of an endpoint.
    pub(crate) fn slot_waits_at(&self, endpoint: &str, now: Moment) -> usize {
        if self.fleet.is_ejected(endpoint, now) {
            return 0;
        }
        let entry = self.fleet.entry(endpoint);
        let waits = entry.and_then(|entry| self.slot_waits.get(&entry.service));
        waits.copied().unwrap_or(0)
    }

    /// Returns whether requests from before the slots were divided may fill an endpoint.
    fn is_filled(&self, entry: &Entry, now: Moment) -> bool {
        self.brittleness.is_settling(&entry.service, now)
            && self.fleet.direct_load(&entry.id, now).requests >= entry.slots
    }
}
