//! The daemons' settings as typed values, after parsing and validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::ids::{EntryId, ZoneName};

/// Settings of `yuccahold-entry`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this entry host, unique in the cell.
    pub id: EntryId,
    /// Availability zone that this process runs in.
    pub zone: ZoneName,
    /// File with the cell key.
    pub cell_key: PathBuf,
    /// HTTP listening address for callers, minions, workers, health checks and metrics.
    pub listen: SocketAddr,
    /// Listening address for requests that other entry hosts forward.
    pub peer_listen: SocketAddr,
    /// Address to which other entry hosts forward requests; `peer_listen` when absent.
    pub peer_advertise: Option<SocketAddr>,
    /// Addresses on which the control replicas take calls.
    pub control: Vec<SocketAddr>,
    /// Time from reporting not ready to refusing new connections at a planned stop.
    pub stop_delay: Duration,
    /// Longest time that requests in flight get to finish at a planned stop.
    pub stop_grace: Duration,
}

/// Settings of `yuccahold-control`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Availability zone that this process runs in.
    pub zone: ZoneName,
    /// File with the cell key.
    pub cell_key: PathBuf,
    /// Folder that holds all files of this replica.
    pub data: PathBuf,
    /// HTTP listening address for operators, the console, health checks and metrics.
    pub listen: SocketAddr,
    /// Listening address for calls from entry hosts.
    pub call_listen: SocketAddr,
    /// Address to which entry hosts and other replicas send calls; `call_listen` when absent.
    pub call_advertise: Option<SocketAddr>,
    /// Listening address for other replicas.
    pub replica_listen: SocketAddr,
    /// Address to which other replicas connect; `replica_listen` when absent.
    pub replica_advertise: Option<SocketAddr>,
    /// Addresses on which the other replicas listen for replicas.
    pub replicas: Vec<SocketAddr>,
    /// File with operators' token hashes; when absent, sign-in is off and `listen` must be a
    /// loopback address.
    pub operators: Option<PathBuf>,
    /// Shortest time without a message from the leader before an election starts.
    pub election_timeout: Duration,
    /// Interval of the leader's heartbeats.
    pub heartbeat: Duration,
    /// Log size in bytes at which a snapshot is taken and the log truncated.
    pub snapshot_bytes: u64,
    /// Time after which an unreachable voter is replaced by a learner.
    pub replace_after: Duration,
}
