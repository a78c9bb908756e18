//! Rows of the operators' tables, as the HTTP interface gives them in JSON.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{
    AcceleratorName, EntryId, MinionId, RackName, ReplicaId, Revision, ServiceName, TeamName,
    Timestamp, WorkerId, ZoneName,
};
use crate::replication::Role;
use crate::resources::Resources;

/// One accepted document in the history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRow {
    /// Its number.
    pub revision: Revision,
    /// When it was accepted, since the Unix epoch.
    pub at: Timestamp,
    /// Who changed it.
    pub who: CompactString,
}

/// A worker as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Its name.
    pub id: WorkerId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// What it holds in all.
    pub capacity: Resources,
    /// Type of its accelerators.
    pub accelerator: Option<AcceleratorName>,
    /// What control has granted there.
    pub granted: Resources,
    /// Runs it holds.
    pub runs: u32,
    /// `ready`, `draining`, `quarantined` or `gone`.
    pub state: CompactString,
    /// Time since its last poll.
    pub silent: Duration,
}

/// A minion as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRow {
    /// Its name.
    pub id: MinionId,
    /// Service it answers.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests it works on at once.
    pub slots: u32,
    /// Entry host that owns it.
    pub owner: Option<EntryId>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// An entry host as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Its name.
    pub id: EntryId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where peers forward to it.
    pub peer_addr: SocketAddr,
    /// Document revision in force there.
    pub in_force: Revision,
    /// Minions it owns.
    pub minions: u32,
    /// Time since its last renewal.
    pub silent: Duration,
}

/// A control replica as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Its number.
    pub id: ReplicaId,
    /// Availability zone, if known.
    pub zone: ZoneName,
    /// Where other replicas reach it, if known.
    pub addr: Option<SocketAddr>,
    /// Its part.
    pub role: Role,
    /// Last entry it is known to hold.
    pub matched: u64,
}

/// A team's use against its quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Its name.
    pub name: TeamName,
    /// Guaranteed share.
    pub quota: Resources,
    /// What its tasks hold.
    pub used: Resources,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait.
    pub waiting: u32,
}

/// One change in the audit log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// When, since the Unix epoch.
    pub at: Timestamp,
    /// Who.
    pub who: CompactString,
    /// What, in one sentence without secrets.
    pub what: String,
}
