//! Estimated load of the other entry hosts, from their reports.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{EntryId, ServiceName, ZoneName};
use crate::routing::choice::Candidate;
use crate::routing::model::ServiceLoad;

#[derive(Clone, Debug, Default)]
struct Peer {
    zone: ZoneName,
    /// Last report; none while there is no connection.
    loads: Option<HashMap<ServiceName, ServiceLoad>>,
}

/// The other live entry hosts with their last reported load, adjusted for requests sent since.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<EntryId, Peer>,
}

impl Peers {
    /// Sets the list of live peers and keeps the reports of those that remain.
    pub(super) fn set<'a>(&mut self, alive: impl Iterator<Item = (&'a EntryId, &'a ZoneName)>) {
        let mut old = std::mem::take(&mut self.peers);
        for (id, zone) in alive {
            let mut peer = old.remove(id).unwrap_or_default();
            peer.zone = zone.clone();
            self.peers.insert(id.clone(), peer);
        }
    }

    pub(super) fn report(&mut self, id: &EntryId, loads: Vec<ServiceLoad>) {
        if let Some(peer) = self.peers.get_mut(id) {
            let loads = loads.into_iter().map(|load| (load.service.clone(), load));
            peer.loads = Some(loads.collect());
        }
    }

    /// Forgets the peer's load; it gets no requests until its next report.
    pub(super) fn forget_load(&mut self, id: &EntryId) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.loads = None;
        }
    }

    /// Peers with a free slot; a candidate's index is valid for [`Peers::name`].
    pub(super) fn free(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        avoid: impl Fn(&EntryId) -> bool,
    ) -> Vec<Candidate> {
        let loaded = self.peers.iter().enumerate();
        let candidates = loaded.filter_map(|(index, (id, peer))| {
            let load = peer.loads.as_ref()?.get(service)?;
            (load.free > 0 && !avoid(id)).then(|| Candidate {
                index,
                in_use: load.slots.saturating_sub(load.free),
                limit: load.slots,
                local: peer.zone == *zone,
            })
        });
        candidates.collect()
    }

    pub(super) fn any_free(&self, service: &ServiceName) -> bool {
        self.loads(service).any(|(_, load)| load.free > 0)
    }

    /// The peer with the shortest queue relative to its slots, with its [`relative_queue`].
    pub(super) fn shortest(
        &self,
        service: &ServiceName,
        avoid: impl Fn(&EntryId) -> bool,
    ) -> Option<(EntryId, u64)> {
        let usable = self
            .loads(service)
            .filter(|(id, load)| load.slots > 0 && !avoid(id));
        usable
            .map(|(id, load)| (id.clone(), relative_queue(load.waiting, load.slots)))
            .min_by_key(|(_, queue)| *queue)
    }

    /// Total slots and queued requests of all peers.
    pub(super) fn total(&self, service: &ServiceName) -> (u32, u32) {
        let add = |(slots, waiting), (_, load): (_, &ServiceLoad)| {
            (slots + load.slots, waiting + load.waiting)
        };
        self.loads(service).fold((0, 0), add)
    }

    /// Name of the peer at a candidate's index.
    pub(super) fn name(&self, index: usize) -> Option<EntryId> {
        self.peers.keys().nth(index).cloned()
    }

    /// Adjusts the peer's load for a request sent to it, until its next report.
    pub(super) fn count_sent(&mut self, id: &EntryId, service: &ServiceName) {
        if let Some(load) = self.load_mut(id, service) {
            if load.free > 0 {
                load.free -= 1;
            } else {
                load.waiting += 1;
            }
        }
    }

    /// Sets the peer's free slots to 0 until its next report, because it refused a request.
    pub(super) fn mark_full(&mut self, id: &EntryId, service: &ServiceName) {
        if let Some(load) = self.load_mut(id, service) {
            load.free = 0;
        }
    }

    fn load_mut(&mut self, id: &EntryId, service: &ServiceName) -> Option<&mut ServiceLoad> {
        self.peers.get_mut(id)?.loads.as_mut()?.get_mut(service)
    }

    fn loads<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a EntryId, &'a ServiceLoad)> {
        let peers = self.peers.iter();
        peers.filter_map(|(id, peer)| Some((id, peer.loads.as_ref()?.get(service)?)))
    }
}

/// Queued requests per thousand slots, with the request to be placed counted as queued.
pub(super) fn relative_queue(waiting: u32, slots: u32) -> u64 {
    (u64::from(waiting) + 1) * 1000 / u64::from(slots.max(1))
}
