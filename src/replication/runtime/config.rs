//! Settings of one replica.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::error::Error;
use crate::ids::{ReplicaId, ZoneName};
use crate::replication::core::{CoreConfig, Member, Safeguards};
use crate::wire::CellKeys;

/// What a replica does about the group it belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Formation {
    /// Asks the other replicas to take it in; on a folder in use it goes on as what it was.
    #[default]
    Join,
    /// Forms a group of one that others join. Refused on a folder that holds a log already.
    FormGroup,
    /// Forms a group of one on an empty folder; on a folder in use it goes on as what it was.
    FormOnce,
    /// Makes the replica of this folder the only voter of its group. The last resort when a
    /// quorum is gone for good: what only the lost replicas held is lost.
    ForceGroupOfOne,
}

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Folder of all its files.
    pub data: PathBuf,
    /// Keys that other replicas must hold.
    pub keys: CellKeys,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where other replicas connect.
    pub replica_listen: SocketAddr,
    /// Address others are told to connect to; the one listened on when absent.
    pub replica_advertise: Option<SocketAddr>,
    /// Address at which it answers calls while it leads.
    pub call_addr: SocketAddr,
    /// Where the other replicas listen; with this one they make the voters wanted.
    pub peers: Vec<SocketAddr>,
    /// Shortest silence of a leader before an election.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Bytes of log that cause a snapshot.
    pub snapshot_bytes: u64,
    /// Silence after which a member is replaced.
    pub replace_after: Duration,
    /// Voters wanted; counted from `peers` when absent.
    pub target_voters: Option<usize>,
    /// What it does about its group.
    pub form: Formation,
    /// Called when the disk cannot be trusted any more; must end the process.
    pub on_disk_failure: fn(&Error),
}

impl ReplicaConfig {
    /// Most voters of a group; further replicas stand by as learners.
    pub const MAX_VOTERS: usize = 5;

    /// Ends the process, so that nothing is answered from a page cache that may lie.
    pub fn end_process(e: &Error) {
        eprintln!("{e}");
        std::process::exit(crate::ExitCode::GeneralError as i32);
    }

    pub(super) fn core(&self, id: ReplicaId, addr: SocketAddr) -> CoreConfig {
        CoreConfig {
            id,
            member: Member {
                addr: self.replica_advertise.unwrap_or(addr),
                call_addr: self.call_addr,
                zone: self.zone.clone(),
            },
            election_timeout: self.election_timeout,
            heartbeat: self.heartbeat,
            snapshot_bytes: self.snapshot_bytes,
            replace_after: self.replace_after,
            target_voters: self
                .target_voters
                .unwrap_or(self.peers.len() + 1)
                .min(Self::MAX_VOTERS),
            append_bytes: 1024 * 1024,
            chunk_bytes: 256 * 1024,
            safeguards: Safeguards::default(),
        }
    }
}
