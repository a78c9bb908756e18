//! Settings of one replica.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::error::Error;
use crate::ids::{ReplicaId, ZoneName};
use crate::replication::core::{CoreConfig, Member, Safeguards};
use crate::wire::CellKeys;

/// How a replica forms or joins its group at a start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Formation {
    /// Asks the other replicas to add it; on a data folder in use, it continues as the replica of
    /// that folder.
    #[default]
    Join,
    /// Forms a group of one that others join. Refused on a data folder that already holds a log.
    FormGroup,
    /// Forms a group of one on an empty data folder; on one in use, it continues as the replica of
    /// that folder.
    FormIfEmpty,
    /// Makes the replica of this data folder the only voter of its group, to recover from a
    /// permanent loss of the quorum. Entries that only the lost replicas held are lost.
    ForceGroupOfOne,
}

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Data folder with all files of the replica.
    pub data: PathBuf,
    /// Keys with which replicas authenticate each other.
    pub keys: CellKeys,
    /// Availability zone of the replica.
    pub zone: ZoneName,
    /// Address to listen on for other replicas.
    pub replica_listen: SocketAddr,
    /// Address to which other replicas connect; the one listened on when absent.
    pub replica_advertise: Option<SocketAddr>,
    /// Address at which the replica serves calls while it leads.
    pub call_addr: SocketAddr,
    /// Addresses at which the other configured replicas listen; `ReplicaHandle::set_peers` replaces
    /// them.
    pub peers: Vec<SocketAddr>,
    /// Shortest time without a leader's message before an election; a random part is added.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Size of the log in bytes above which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Time without a reply after which a member is replaced.
    pub replace_after: Duration,
    /// Number of voters to reach; one more than `peers` when absent. At most `MAX_VOTERS`.
    pub target_voters: Option<usize>,
    /// How the replica forms or joins its group.
    pub form: Formation,
    /// Called when a write or sync has failed; must end the process, as it is unknown what the disk
    /// holds.
    pub on_disk_failure: fn(&Error),
}

impl ReplicaConfig {
    /// Most voters of a group; further replicas are learners that can replace a lost voter.
    pub const MAX_VOTERS: usize = 5;

    /// Prints the error and ends the process, so that nothing is served from a page cache whose
    /// content may not be on disk.
    pub fn end_process(e: &Error) {
        eprintln!("{e}");
        std::process::exit(crate::ExitCode::GeneralError as i32);
    }

    pub(super) fn core_config(&self, id: ReplicaId, addr: SocketAddr) -> CoreConfig {
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
