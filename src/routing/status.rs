//! Routing state for the operators' status page.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, MinionId, Revision, ServiceName, Timestamp, ZoneName};
use crate::routing::choice::Choose;
use crate::routing::minion::{Health, Minion};
use crate::routing::router::Router;

/// Routing state of one entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingStatus {
    /// Name of the entry host.
    pub entry: EntryId,
    /// Revision of the configuration document in use.
    pub revision: Revision,
    /// Remaining lease in milliseconds; 0 when it has expired.
    pub lease_ms: u64,
    /// Requests without a final outcome, queued ones included.
    pub live: usize,
    /// All services of the document, sorted by name.
    pub services: Vec<ServiceStatus>,
    /// Minions owned here, or until their last request here ends, sorted by name.
    pub minions: Vec<MinionStatus>,
}

/// State of one service at one entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name in the document.
    pub service: ServiceName,
    /// Requests queued here.
    pub waiting: usize,
    /// Free slots on minions owned here; 0 without a lease.
    pub free: u32,
    /// Usable slots on minions owned here, free or not; 0 without a lease.
    pub slots: u32,
    /// Total slots and queued requests of the peers, by their last reports.
    pub peers: (u32, u32),
}

/// State of one owned minion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionStatus {
    /// Name under which the minion announced itself.
    pub minion: MinionId,
    /// Service that the minion serves.
    pub service: ServiceName,
    /// Availability zone that the minion runs in.
    pub zone: ZoneName,
    /// Ownership epoch; it increases with every change of owner.
    pub epoch: u64,
    /// Slots, whether usable now or not.
    pub slots: u32,
    /// Requests that may run at once, given health and ownership.
    pub limit: u32,
    /// Requests whose response is awaited.
    pub in_flight: u32,
    /// Slots held for abandoned requests that may still be running.
    pub held: u32,
    /// One of `up`, `down`, `ejected`, `trial`, `settling`, `leaving`, `releasing` and `gone`.
    pub state: compact_str::CompactString,
}

impl<C: Choose> Router<C> {
    /// Returns a snapshot of the routing state.
    pub fn status(&self, now: Timestamp) -> RoutingStatus {
        let lease = self.leased_until.saturating_sub(now);
        RoutingStatus {
            entry: self.cfg.entry.clone(),
            revision: self.revision,
            lease_ms: millis(lease),
            live: self.requests.len(),
            services: self.service_status(now),
            minions: self.minions.values().map(minion_status).collect(),
        }
    }

    fn service_status(&self, now: Timestamp) -> Vec<ServiceStatus> {
        let names = self.document.services.keys();
        let status = names.map(|name| ServiceStatus {
            service: name.clone(),
            waiting: self.services.get(name).map_or(0, |s| s.queue.len()),
            free: self.free_here(now, name),
            slots: self.slots_here(now, name),
            peers: self.peers.total(name),
        });
        status.collect()
    }
}

fn minion_status(minion: &Minion) -> MinionStatus {
    let announced = &minion.owned.minion;
    MinionStatus {
        minion: announced.id.clone(),
        service: announced.service.clone(),
        zone: announced.zone.clone(),
        epoch: minion.owned.epoch,
        slots: minion.slots(),
        limit: minion.limit(),
        in_flight: minion.in_flight,
        held: minion.in_use() - minion.in_flight,
        state: state_name(minion).into(),
    }
}

fn state_name(minion: &Minion) -> &'static str {
    match minion.health() {
        _ if minion.disowned => "gone",
        _ if minion.owned.release => "releasing",
        _ if minion.owned.leaving => "leaving",
        _ if minion.settling => "settling",
        Health::Up { .. } => "up",
        Health::Down { .. } => "down",
        Health::Ejected { .. } => "ejected",
        Health::Trial { .. } => "trial",
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
