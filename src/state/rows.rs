//! Rows of the operators' tables, as the HTTP API returns them in JSON.

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

/// An accepted document in the table of the history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRow {
    /// Number of the document.
    pub revision: Revision,
    /// Time of acceptance, since the Unix epoch.
    pub at: Timestamp,
    /// Operator who sent it.
    pub who: CompactString,
}

/// A worker in the operators' table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Unique name.
    pub id: WorkerId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack within the availability zone.
    pub rack: RackName,
    /// Total resources.
    pub capacity: Resources,
    /// Type of its accelerators, if it has any.
    pub accelerator: Option<AcceleratorName>,
    /// Resources granted to its runs.
    pub granted: Resources,
    /// Number of runs on it.
    pub runs: u32,
    /// `ready`, `draining`, `quarantined` or `gone`.
    pub state: CompactString,
    /// Time since its last poll, as measured by the leader.
    pub silent: Duration,
}

/// A minion in the operators' table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRow {
    /// Unique name.
    pub id: MinionId,
    /// Service whose requests it answers.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Number of requests that it can process concurrently.
    pub slots: u32,
    /// Entry host that owns it; `None` while it is unassigned.
    pub owner: Option<EntryId>,
    /// Whether it announced that it leaves, or its announcement expired.
    pub leaving: bool,
}

/// An entry host in the operators' table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Unique name.
    pub id: EntryId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address at which other entry hosts forward requests to it.
    pub peer_addr: SocketAddr,
    /// Document revision that it reports to have in force; 0 if it hasn't reported to this leader.
    pub in_force: Revision,
    /// Number of minions it owns.
    pub minions: u32,
    /// Time since its last lease renewal, as measured by the leader.
    pub silent: Duration,
}

/// A control replica in the operators' table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Random number that identifies the replica.
    pub id: ReplicaId,
    /// Availability zone; empty if unknown.
    pub zone: ZoneName,
    /// Address at which other replicas reach it, if known.
    pub addr: Option<SocketAddr>,
    /// Role in the replication group.
    pub role: Role,
    /// Index of the last log entry that it is known to hold.
    pub matched: u64,
}

/// A team's quota and usage in the operators' table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Unique name.
    pub name: TeamName,
    /// Guaranteed resources.
    pub quota: Resources,
    /// Resources granted to its running tasks.
    pub used: Resources,
    /// Number of running tasks.
    pub running: u32,
    /// Number of waiting tasks.
    pub waiting: u32,
}

/// An entry of the audit log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// Time of the change, since the Unix epoch.
    pub at: Timestamp,
    /// Operator or caller who made the change.
    pub who: CompactString,
    /// The change in one sentence, without secrets.
    pub what: String,
}
