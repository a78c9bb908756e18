//! Handling of control-plane feeds, probe results and timer ticks.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{MinionId, ServiceName, Timestamp};
use crate::routing::choice::Choose;
use crate::routing::minion::{Health, Minion};
use crate::routing::model::{Effect, ServiceLoad, SlotReport};
use crate::routing::router::Router;
use crate::wire::{Feed, OwnedMinion};

/// Slots of a minion when neither its announcement nor the document sets a number.
const DEFAULT_SLOTS: u32 = 8;
/// Longest deadline a caller may set, as a multiple of the service's default deadline.
const MAX_DEADLINE_FACTOR: u32 = 2;
/// Default deadline of a service that is not in the document.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Percentage of a service's minions owned here that may be ejected at once.
const EJECT_PERCENT: usize = 50;

impl<C: Choose> Router<C> {
    pub(super) fn feed(&mut self, now: Timestamp, feed: &Feed, out: &mut Vec<Effect>) {
        if let Some(document) = &feed.document {
            self.document = document.clone();
            self.revision = feed.revision;
            let teams = &self.document.teams;
            self.limits.retain(|team| teams.contains_key(team));
        }
        self.entries = u32::try_from(feed.entries.len()).unwrap_or(u32::MAX).max(1);
        let others = feed.entries.iter().filter(|(id, _)| **id != self.cfg.entry);
        self.peers.set(others.map(|(id, peer)| (id, &peer.zone)));
        self.announced = count_announced(feed);
        self.remove_disowned(feed);
        let mine = |m: &&OwnedMinion| m.owner.as_ref() == Some(&self.cfg.entry);
        let mine: Vec<_> = feed.minions.values().filter(mine).cloned().collect();
        for owned in mine {
            self.add_owned(now, owned, out);
        }
        self.dispatch_all_queued(now, out);
    }

    /// Longest deadline of a request to the service: twice the service's default.
    pub fn longest_deadline(&self, service: &ServiceName) -> Duration {
        let own = self
            .service(service)
            .map_or(DEFAULT_DEADLINE, |s| s.deadline);
        own * MAX_DEADLINE_FACTOR
    }

    /// Stops using minions that are no longer assigned to this entry host.
    fn remove_disowned(&mut self, feed: &Feed) {
        let entry = &self.cfg.entry;
        for (id, minion) in &mut self.minions {
            let owner = feed.minions.get(id).and_then(|m| m.owner.as_ref());
            minion.disowned = owner != Some(entry);
        }
        self.minions.retain(|_, m| !m.disowned || m.in_flight > 0);
    }

    /// Releases every minion as soon as its last request here has ended.
    pub(super) fn leave(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.leaving = true;
        let ids: Vec<_> = self.minions.keys().cloned().collect();
        for id in ids {
            if let Some(minion) = self.minions.get_mut(&id) {
                minion.owned.release = true;
            }
            self.after_minion_change(now, &id, out);
        }
    }

    fn add_owned(&mut self, now: Timestamp, mut owned: OwnedMinion, out: &mut Vec<Effect>) {
        owned.release |= self.leaving;
        let id = owned.minion.id.clone();
        let slots = self.slots_of(&owned);
        let known = self.minions.get_mut(&id);
        let same = known.filter(|m| m.owned.minion.process == owned.minion.process);
        match same {
            Some(minion) => {
                // With `lapsed`, the previous owner was lost and may have left requests running.
                // Only a new epoch counts, so that one loss does not set `settling` again.
                let changed = minion.owned.epoch != owned.epoch;
                minion.settling |= changed && owned.lapsed;
                minion.released &= owned.release;
                minion.owned = owned;
                minion.resize(slots);
                if minion.settling {
                    minion.probe_by(now);
                }
            }
            None => {
                let mut minion = Minion::new(owned, slots);
                if minion.settling {
                    minion.probe_by(now);
                }
                self.minions.insert(id.clone(), minion);
                out.push(Effect::Reconnect(id.clone()));
            }
        }
        self.after_minion_change(now, &id, out);
    }

    fn slots_of(&self, owned: &OwnedMinion) -> u32 {
        let service = self.service(&owned.minion.service);
        let declared = service.map_or(0, |s| s.slots);
        let connections = service.map_or(0, |s| s.connections);
        let slots = first_set([owned.minion.slots, declared, DEFAULT_SLOTS]);
        // Each request needs its own connection, so the connection limit also limits the slots.
        let connections = first_set([owned.minion.connections, connections, u32::MAX]);
        slots.min(connections)
    }

    pub(super) fn probed(
        &mut self,
        now: Timestamp,
        id: &MinionId,
        epoch: u64,
        sent: Timestamp,
        report: Option<SlotReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(minion) = self.minions.get_mut(id) else {
            return;
        };
        if minion.owned.epoch != epoch {
            return;
        }
        let service = minion.owned.minion.service.clone();
        let hold = self.longest_deadline(&service);
        if let Some(minion) = self.minions.get_mut(id) {
            minion.probed(now, sent, report, hold);
        }
        self.after_minion_change(now, id, out);
        self.dispatch_queued(now, &service, out);
    }

    /// Sends a due probe, reports a drained minion, and drops a disowned one without requests.
    pub(super) fn after_minion_change(
        &mut self,
        now: Timestamp,
        id: &MinionId,
        out: &mut Vec<Effect>,
    ) {
        let Some(minion) = self.minions.get_mut(id) else {
            return;
        };
        let service = &minion.owned.minion.service;
        if !self.changed_services.contains(service) {
            self.changed_services.push(service.clone());
        }
        if minion.disowned && minion.in_flight == 0 {
            self.minions.remove(id);
            return;
        }
        if minion.take_probe(now) {
            out.push(Effect::Probe {
                minion: id.clone(),
                addr: minion.owned.minion.addr,
                epoch: minion.owned.epoch,
            });
        }
        // A zero TTL marks a minion whose announcement expired. It may never answer the probe that
        // ends `settling`, and it gets no next owner, so it is released without that probe.
        let settled = !minion.settling || minion.owned.minion.ttl.is_zero();
        let drained = minion.owned.release && minion.in_use() == 0 && settled;
        if drained && !minion.released {
            minion.released = true;
            out.push(Effect::Released(id.clone()));
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.deadlines_due(now, out);
        self.hedge_due(now, out);
        let ids: Vec<_> = self.minions.keys().cloned().collect();
        for id in ids {
            if let Some(minion) = self.minions.get_mut(&id) {
                minion.tick(now);
            }
            self.after_minion_change(now, &id, out);
        }
        self.dispatch_all_queued(now, out);
    }

    /// Whether one more minion of the service may be ejected. If most of them fail, the cause is
    /// probably not the minions, and the remaining ones could not handle the load.
    pub(super) fn may_eject(&self, service: &ServiceName) -> bool {
        let of_service = self
            .minions
            .values()
            .filter(|m| m.owned.minion.service == *service);
        let (mut all, mut out) = (0, 0);
        for minion in of_service {
            all += 1;
            out += usize::from(matches!(minion.health, Health::Ejected { .. }));
        }
        (out + 1) * 100 <= all * EJECT_PERCENT
    }

    /// Load of every service here, as reported to the peers.
    pub fn load(&self, now: Timestamp) -> Vec<ServiceLoad> {
        let names = self.document.services.keys();
        let loads = names.map(|name| {
            let state = self.services.get(name);
            let mean = state.and_then(|s| s.latency.mean()).unwrap_or_default();
            let waiting = state.map_or(0, |s| s.queue.len());
            ServiceLoad {
                service: name.clone(),
                // Slots needed by requests queued here are not offered to peers.
                free: self.free_here(now, name).saturating_sub(waiting as u32),
                slots: self.slots_here(now, name),
                waiting: waiting as u32,
                service_us: u32::try_from(mean.as_micros()).unwrap_or(u32::MAX),
            }
        });
        loads.collect()
    }

    /// Whether an attempt may be sent to the minion: the lease holds and the epoch is unchanged.
    pub fn may_use(&self, now: Timestamp, id: &MinionId, epoch: u64) -> bool {
        let minion = self
            .minions
            .get(id)
            .filter(|m| !m.disowned && m.owned.epoch == epoch);
        minion.is_some() && now < self.leased_until
    }

    /// Whether the minion is owned here, or was until its last request here ends.
    pub fn owns(&self, id: &MinionId) -> bool {
        self.minions.contains_key(id)
    }

    /// Number of minions for which [`Router::owns`] is true.
    pub fn owned(&self) -> usize {
        self.minions.len()
    }

    /// Whether the lease on the owned minions has not expired.
    pub fn is_leased(&self, now: Timestamp) -> bool {
        now < self.leased_until
    }

    /// Drained minions that the control plane may assign to another entry host.
    pub fn released(&self) -> Vec<MinionId> {
        let released = self
            .minions
            .iter()
            .filter(|(_, m)| m.released && !m.disowned);
        released.map(|(id, _)| id.clone()).collect()
    }
}

fn count_announced(feed: &Feed) -> BTreeMap<ServiceName, u32> {
    let mut counts = BTreeMap::new();
    for minion in feed.minions.values().filter(|m| !m.leaving) {
        *counts.entry(minion.minion.service.clone()).or_default() += 1;
    }
    counts
}

fn first_set<const N: usize>(values: [u32; N]) -> u32 {
    values.into_iter().find(|v| *v > 0).unwrap_or(0)
}
