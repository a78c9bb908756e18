//! Routing state as operators read it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, MinionId, Revision, ServiceName, Timestamp, ZoneName};
use crate::routing::choice::Choose;
use crate::routing::minion::{Health, Minion};
use crate::routing::router::Router;

/// Everything one entry host knows about its routing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingStatus {
    /// The entry host.
    pub entry: EntryId,
    /// Document revision in force.
    pub revision: Revision,
    /// Milliseconds its lease still runs; 0 when it has lapsed.
    pub lease_ms: u64,
    /// Requests without a verdict.
    pub live: usize,
    /// Services, by name.
    pub services: Vec<ServiceStatus>,
    /// Minions owned here, by name.
    pub minions: Vec<MinionStatus>,
}

/// One service at one entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub service: ServiceName,
    /// Requests that wait here.
    pub waiting: usize,
    /// Slots that take a request now.
    pub free: u32,
    /// Slots usable here.
    pub slots: u32,
    /// Slots and waiting requests of the peers together, as they last reported.
    pub peers: (u32, u32),
}

/// One owned minion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionStatus {
    /// Its name.
    pub minion: MinionId,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Number of the ownership.
    pub epoch: u64,
    /// Slots it has.
    pub slots: u32,
    /// Requests it may have in work now.
    pub limit: u32,
    /// Requests whose answer is awaited.
    pub in_flight: u32,
    /// Slots held for requests that were given up but may still be in work.
    pub held: u32,
    /// One word: `up`, `down`, `ejected`, `trial`, `settling`, `leaving`, `releasing` or `gone`.
    pub state: compact_str::CompactString,
}

impl<C: Choose> Router<C> {
    /// Reads the routing state.
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
        state: state_word(minion).into(),
    }
}

fn state_word(minion: &Minion) -> &'static str {
    match minion.health() {
        _ if minion.gone => "gone",
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
