//! Settings as typed values, after parsing and validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::ids::{EntryId, ZoneName};

/// Settings of `yuccahold-entry`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this entry host.
    pub id: EntryId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// File that holds the cell key.
    pub cell_key: PathBuf,
    /// Where callers, minions, workers, health checks and metrics are answered over HTTP.
    pub listen: SocketAddr,
    /// Where other entry hosts forward requests.
    pub peer_listen: SocketAddr,
    /// Address other entry hosts are told to forward to; `peer_listen` when absent.
    pub peer_advertise: Option<SocketAddr>,
    /// Where the control replicas take calls.
    pub control: Vec<SocketAddr>,
    /// Time between turning not ready and refusing new connections at a planned stop.
    pub stop_delay: Duration,
    /// Longest time for requests in flight to end at a planned stop.
    pub stop_grace: Duration,
}

/// Settings of `yuccahold-control`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Availability zone of this replica.
    pub zone: ZoneName,
    /// File that holds the cell key.
    pub cell_key: PathBuf,
    /// The one folder under which all files live.
    pub data: PathBuf,
    /// Where operators, the console, health checks and metrics are answered over HTTP.
    pub listen: SocketAddr,
    /// Where entry hosts send calls.
    pub call_listen: SocketAddr,
    /// Address entry hosts and other replicas are told to call; `call_listen` when absent.
    pub call_advertise: Option<SocketAddr>,
    /// Where other replicas connect.
    pub replica_listen: SocketAddr,
    /// Address other replicas are told to connect to; `replica_listen` when absent.
    pub replica_advertise: Option<SocketAddr>,
    /// Where the other replicas listen for replicas.
    pub replicas: Vec<SocketAddr>,
    /// File with operators' token hashes; sign-in is off and only loopback is served when absent.
    pub operators: Option<PathBuf>,
    /// Shortest time without word from a leader before an election.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Bytes of log kept before a snapshot cuts it.
    pub snapshot_bytes: u64,
    /// Time after which a voter that is gone is replaced by a learner.
    pub replace_after: Duration,
}
