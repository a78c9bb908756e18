//! Entry hosts and minions joining and leaving, and the ownership of minions by entry hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Reply, refuse};
use crate::ids::{EntryId, MinionId, ProcessId, ZoneName};
use crate::state::Cell;
use crate::state::records::{EntryRecord, MinionRecord};
use crate::wire::{EntryHello, MinionAnnouncement, RefusalKind};

impl Cell {
    pub(super) fn entry_up(&mut self, hello: EntryHello) -> Reply {
        let known = self.entries.get(&hello.entry);
        if known.is_some_and(|entry| entry.process == hello.process && !entry.leaving) {
            return Reply::Ok;
        }
        // The leader proposes another process only after the lease of the earlier one expired.
        let earlier = known
            .map(|entry| entry.process)
            .filter(|p| *p != hello.process);
        if let Some(process) = earlier {
            self.lose_entry(&hello.entry, process);
        }
        let record = EntryRecord {
            process: hello.process,
            zone: hello.zone,
            peer_addr: hello.peer_addr,
            leaving: false,
        };
        self.entries.insert(hello.entry, record);
        self.assign_owners();
        self.feed_changed();
        Reply::Ok
    }

    pub(super) fn entry_leaving(&mut self, entry: &EntryId) -> Reply {
        let Some(record) = self.entries.get_mut(entry) else {
            return Reply::Ok;
        };
        if record.leaving {
            return Reply::Ok;
        }
        record.leaving = true;
        let owned = self
            .minions
            .values_mut()
            .filter(|m| m.owner.as_ref() == Some(entry));
        for minion in owned {
            minion.release = true;
        }
        self.feed_changed();
        Reply::Ok
    }

    pub(super) fn entry_down(&mut self, entry: &EntryId, process: ProcessId) -> Reply {
        let current = self
            .entries
            .get(entry)
            .is_some_and(|record| record.process == process);
        if current {
            self.lose_entry(entry, process);
            self.entries.remove(entry);
            self.assign_owners();
            self.feed_changed();
        }
        Reply::Ok
    }

    fn lose_entry(&mut self, entry: &EntryId, process: ProcessId) {
        self.keys.lose_process(entry, process);
        let owned = self
            .minions
            .values_mut()
            .filter(|m| m.owner.as_ref() == Some(entry));
        for minion in owned {
            minion.owner = None;
            minion.release = false;
            minion.lapsed = true;
        }
        self.remove_unowned_expired();
    }

    /// Removes minions whose announcement expired and that have no owner.
    fn remove_unowned_expired(&mut self) {
        self.minions
            .retain(|_, minion| minion.owner.is_some() || !minion.is_expired());
    }

    pub(super) fn announce_minion(&mut self, announced: MinionAnnouncement) -> Reply {
        let id = announced.id.clone();
        match self.minions.get_mut(&id) {
            // The owner stays the same and gets the new process or size with its feed.
            Some(minion) => {
                minion.leaving = minion.leaving && minion.announced.process == announced.process;
                if minion.is_expired() {
                    let owner = minion.owner.as_ref().and_then(|id| self.entries.get(id));
                    minion.release = owner.is_some_and(|entry| entry.leaving);
                }
                minion.announced = announced;
            }
            None => {
                let record = MinionRecord {
                    announced,
                    owner: None,
                    epoch: 0,
                    leaving: false,
                    release: false,
                    lapsed: false,
                };
                self.minions.insert(id, record);
            }
        }
        self.assign_owners();
        self.feed_changed();
        Reply::Ok
    }

    pub(super) fn leave_minion(&mut self, id: &MinionId) -> Reply {
        let Some(minion) = self.minions.get_mut(id) else {
            return refuse(RefusalKind::NotFound, format!("there is no minion {id}"));
        };
        minion.leaving = true;
        self.feed_changed();
        Reply::Ok
    }

    pub(super) fn minion_down(&mut self, id: &MinionId, process: ProcessId) -> Reply {
        let current = self
            .minions
            .get(id)
            .is_some_and(|m| m.announced.process == process);
        if current {
            self.expire_minion(id);
            self.feed_changed();
        }
        Reply::Ok
    }

    /// Asks the owner of a minion whose announcement expired to release it. Were it removed at
    /// once, a minion that returns would get another owner while requests of the old owner may
    /// still be in progress there.
    fn expire_minion(&mut self, id: &MinionId) {
        match self.minions.get_mut(id) {
            Some(minion) if minion.owner.is_some() => {
                minion.announced.ttl = Duration::ZERO;
                minion.release = true;
            }
            _ => drop(self.minions.remove(id)),
        }
    }

    pub(super) fn release_minions(&mut self, entry: &EntryId, minions: &[MinionId]) -> Reply {
        for id in minions {
            let Some(minion) = self.minions.get_mut(id) else {
                continue;
            };
            if minion.owner.as_ref() == Some(entry) && minion.release {
                minion.owner = None;
                minion.release = false;
                minion.lapsed = false;
            }
        }
        self.remove_unowned_expired();
        self.assign_owners();
        self.feed_changed();
        Reply::Ok
    }

    pub(super) fn move_minions(&mut self, minions: &[MinionId]) -> Reply {
        for id in minions {
            if let Some(minion) = self.minions.get_mut(id).filter(|m| m.owner.is_some()) {
                minion.release = true;
            }
        }
        self.feed_changed();
        Reply::Ok
    }

    /// Assigns every minion without an owner to the entry host that owns the fewest minions. An
    /// entry host of another availability zone counts as owning one more, so that the minion's
    /// own zone is preferred at equal numbers.
    fn assign_owners(&mut self) {
        let unowned = self
            .minions
            .iter()
            .filter(|(_, minion)| minion.owner.is_none());
        let unowned: Vec<MinionId> = unowned.map(|(id, _)| id.clone()).collect();
        for id in unowned {
            let Some(zone) = self.minions.get(&id).map(|m| m.announced.zone.clone()) else {
                continue;
            };
            let owner = self.best_owner(&zone, &self.shares()).cloned();
            if let Some(minion) = self.minions.get_mut(&id).filter(|_| owner.is_some()) {
                minion.owner = owner;
                minion.epoch += 1;
            }
        }
    }

    /// The entry host that a minion of this availability zone is assigned to, given the number of
    /// minions that each entry host owns.
    pub(crate) fn best_owner<'a>(
        &self,
        zone: &ZoneName,
        shares: &BTreeMap<&'a EntryId, usize>,
    ) -> Option<&'a EntryId> {
        let load = |id: &EntryId, owned: usize| {
            let in_zone = self.entries.get(id).is_some_and(|e| e.zone == *zone);
            owned + usize::from(!in_zone)
        };
        let best = shares
            .iter()
            .min_by_key(|(id, owned)| (load(id, **owned), **id));
        best.map(|(id, _)| *id)
    }

    /// Number of minions owned by each entry host that may get further ones.
    pub(crate) fn shares(&self) -> BTreeMap<&EntryId, usize> {
        let open = self.entries.iter().filter(|(_, entry)| !entry.leaving);
        open.map(|(id, _)| (id, self.owned_by(id))).collect()
    }

    /// Number of minions that an entry host owns, including those it must release.
    pub fn owned_by(&self, entry: &EntryId) -> usize {
        self.minions
            .values()
            .filter(|m| m.owner.as_ref() == Some(entry))
            .count()
    }
}
