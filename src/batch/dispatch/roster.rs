//! The minions that the leader knows, and the indexes over them.

use std::collections::BTreeSet;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;

use super::Dispatcher;
use super::minion::Minion;
use crate::batch::model::{Configuration, MinionNumber, MinionReport};
use crate::ids::ServiceName;

impl Dispatcher {
    /// Adds a new incarnation of a minion, also to the next batch.
    pub(super) fn add_incarnation(&mut self, minion: Minion) {
        let report = minion.report.clone();
        self.batch.joined.push((minion.number, report));
        self.add_minion(minion);
    }

    pub(super) fn add_minion(&mut self, mut minion: Minion) {
        minion.foreign = self.is_foreign(&minion.report.service);
        minion.rack = self.rack_of(&minion.report);
        minion.avoid_until = self.avoided_until(minion.report.addr);
        self.next_minion = self.next_minion.max(minion.number + 1);
        self.by_id.insert(minion.report.id.clone(), minion.number);
        let at_addr = self.by_addr.entry(minion.report.addr).or_default();
        at_addr.push(minion.number);
        self.changed_minions.insert(minion.number);
        self.utilizations.changed();
        let number = minion.number;
        self.minions.insert(number, minion);
        self.index_room(number);
    }

    /// Moves a minion in the index by address after its address changed from `before`.
    pub(super) fn addr_changed(&mut self, number: MinionNumber, before: SocketAddr) {
        self.forget_addr(number, before);
        if let Some(minion) = self.minions.get(&number) {
            let at_addr = self.by_addr.entry(minion.report.addr).or_default();
            at_addr.push(number);
        }
    }

    fn forget_addr(&mut self, number: MinionNumber, addr: SocketAddr) {
        if let Entry::Occupied(mut at_addr) = self.by_addr.entry(addr) {
            at_addr.get_mut().retain(|n| *n != number);
            if at_addr.get().is_empty() {
                at_addr.remove();
            }
        }
    }

    /// Updates the index by free resources after a minion's free resources or its service changed.
    pub(super) fn index_room(&mut self, number: MinionNumber) {
        if let Some(minion) = self.minions.get(&number) {
            self.rooms
                .set(number, &minion.report.service, &minion.free());
        }
    }

    /// Whether the index by free resources agrees with the minions.
    pub(super) fn room_index_is_exact(&self) -> bool {
        let entry = |m: &Minion| self.rooms.is_at(m.number, &m.report.service, &m.free());
        self.rooms.len() == self.minions.len() && self.minions.values().all(entry)
    }

    /// Index of a minion's rack, assigned at its first use.
    pub(super) fn rack_of(&mut self, report: &MinionReport) -> usize {
        let rack = report.labels.iter().find(|l| is_rack(l));
        let rack = rack.map_or_else(String::new, ToString::to_string);
        let next = self.racks.len();
        *self.racks.entry(rack).or_insert(next)
    }

    /// Drops all remaining state of an incarnation that was removed.
    pub(super) fn drop_minion_state(&mut self, minion: &Minion) {
        if self.by_id.get(&minion.report.id) == Some(&minion.number) {
            self.by_id.remove(&minion.report.id);
        }
        self.forget_addr(minion.number, minion.report.addr);
        self.rooms.remove(minion.number);
        self.timers.set(minion.number, None);
        self.first_holds.remove(&minion.number);
        self.silent.remove(&minion.number);
        self.unacknowledged.remove(&minion.number);
        self.forget_releases(minion.number);
        self.stop_charging(&minion.orphaned_runs);
        self.batch.gone.push(minion.number);
    }

    pub(super) fn is_foreign(&self, service: &ServiceName) -> bool {
        let services = self.services.as_ref();
        services.is_some_and(|services| !services.contains(service))
    }

    /// Applies the services of a new configuration.
    pub(super) fn set_services(&mut self, config: &Configuration) {
        let services = services_of(config);
        for minion in self.minions.values_mut() {
            let foreign = !services.contains(&minion.report.service);
            if minion.foreign != foreign {
                minion.foreign = foreign;
                self.changed_minions.insert(minion.number);
            }
        }
        self.services = Some(services);
    }
}

pub(super) fn services_of(config: &Configuration) -> BTreeSet<ServiceName> {
    config.services.iter().map(|s| s.name.clone()).collect()
}

/// Whether a label names a rack, such as `r1-3`; labels for the kind of minion are single letters.
fn is_rack(label: &str) -> bool {
    label.starts_with('r') && label.contains('-')
}
