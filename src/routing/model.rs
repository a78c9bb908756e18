//! Input events and output effects of the router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::document::QueuePriority;
use crate::ids::{EntryId, MinionId, ProcessId, ServiceName, TeamName, Timestamp, ZoneName};
use crate::wire::Feed;

/// Identifies a request within one process; not reused.
pub type RequestId = u64;
/// Identifies an attempt of a request within one process; not reused.
pub type AttemptId = u64;

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// An HTTP caller of this entry host.
    Caller,
    /// The entry host that forwarded it; it is answered here or refused, never forwarded again.
    Peer(EntryId),
}

/// The properties of a request that routing depends on. Times are on the process's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Assigned on arrival at this entry host; a forwarded request gets a new one there.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Workspace whose limits the request counts against.
    pub team: TeamName,
    /// Priority in the service's queue.
    pub priority: QueuePriority,
    /// Arrival time at this entry host.
    pub arrived: Timestamp,
    /// When the request fails if it has not been answered.
    pub deadline: Timestamp,
    /// Whether it may run more than once, so that it may be retried and hedged.
    pub idempotent: bool,
    /// Whether it came from a caller or was forwarded by a peer.
    pub origin: Origin,
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived from a caller or a peer.
    Arrived(Request),
    /// The caller or peer disconnected or withdrew the request.
    Cancelled(RequestId),
    /// An attempt ended. Ignored if the attempt was aborted before.
    Ended {
        /// As given in [`Effect::Start`].
        attempt: AttemptId,
        /// Whether a response arrived and whether the request may have run.
        end: AttemptEnd,
    },
    /// The control plane sent a new feed.
    Feed(Arc<Feed>),
    /// The lease on the owned minions was renewed until this time.
    Leased(Timestamp),
    /// A peer reported its load.
    PeerLoad {
        /// The entry host that reported.
        peer: EntryId,
        /// All its services; replaces the previous report.
        services: Vec<ServiceLoad>,
    },
    /// The connection to a peer was lost; its last load report no longer counts.
    PeerLost(EntryId),
    /// A probe of a minion over a new connection ended.
    Probed {
        /// Target of the probe.
        minion: MinionId,
        /// Ownership epoch when the probe was sent; results of another epoch are ignored.
        epoch: u64,
        /// When the probe was sent.
        sent: Timestamp,
        /// Slots in use; none when the minion was unreachable.
        report: Option<SlotReport>,
    },
    /// Planned shutdown of this entry host: every minion is released once drained.
    Leaving,
    /// Timer tick for deadlines, hedged attempts, probes and ejections.
    Tick,
}

/// Response of a minion to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotReport {
    /// Number of requests that the minion is processing.
    InUse(u32),
    /// The minion is reachable but does not report its slots.
    Unknown,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete response was received and is kept until it is delivered or dropped.
    Answered {
        /// Whether the response is a server error (status 5xx).
        failed: bool,
    },
    /// The request certainly did not run.
    NotRun {
        /// The retry-after time sent by the minion or peer, if any.
        retry_after: Option<Duration>,
        /// Whether no connection to the minion or peer could be made.
        unreachable: bool,
    },
    /// No complete response arrived, and the request may have run.
    Broken {
        /// Whether nothing was received in time, so that open connections may be dead.
        timed_out: bool,
    },
}

/// Where the daemon sends an attempt, with the address and the epoch for a minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A minion that this entry host owns.
    Minion {
        /// Name under which the minion announced itself.
        id: MinionId,
        /// Changes when the minion restarts.
        process: ProcessId,
        /// Address that serves requests.
        addr: SocketAddr,
        /// Availability zone, for access logs.
        zone: ZoneName,
        /// Ownership epoch, sent to the minion and checked again before the request is sent.
        epoch: u64,
    },
    /// Another entry host, which runs the request on one of its minions.
    Peer(EntryId),
}

/// An action for the daemon to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to a minion or peer.
    Start {
        /// New identifier, for [`Event::Ended`].
        attempt: AttemptId,
        /// Request to send.
        request: RequestId,
        /// Minion or peer to send it to.
        target: Target,
        /// When to end the attempt if no response has arrived.
        until: Timestamp,
    },
    /// Stop an attempt and drop its response if one arrives.
    Abort(AttemptId),
    /// Cancel the request at the peer of this attempt, so that a queued one is not started there.
    Withdraw(AttemptId),
    /// Send the response of an attempt to the caller; ends the request.
    Deliver {
        /// Request to end.
        request: RequestId,
        /// Attempt whose response is sent.
        attempt: AttemptId,
    },
    /// Send an error to the caller; ends the request.
    Fail {
        /// Request to end.
        request: RequestId,
        /// Reason, and whether the request may have run.
        error: RouteError,
    },
    /// Query the slots in use of a minion over a new connection.
    Probe {
        /// Minion to probe.
        minion: MinionId,
        /// Address that serves requests and probes.
        addr: SocketAddr,
        /// Ownership epoch, returned in [`Event::Probed`].
        epoch: u64,
    },
    /// Close the idle connections to a minion, which may be dead or belong to a previous process.
    Reconnect(MinionId),
    /// A minion is drained that is to be released: report it to the control plane.
    Released(MinionId),
    /// Send the current load to the peers.
    AnnounceLoad,
}

/// Why a request failed without a response from a minion.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The request certainly did not run.
    #[error("{reason}")]
    NotRun {
        /// Message for the caller.
        reason: CompactString,
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Whether the deadline passed; otherwise capacity was lacking.
        late: bool,
        /// Whether the workspace is at its own limit.
        limited: bool,
    },
    /// The request may have run.
    #[error("{reason}")]
    Unknown {
        /// Message for the caller.
        reason: CompactString,
        /// Whether the deadline passed; otherwise the connection failed.
        late: bool,
    },
}

/// Load of one service at one entry host, as reported to the peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service that the numbers are for.
    pub service: ServiceName,
    /// Free slots that are not needed by requests queued at the reporting entry host.
    pub free: u32,
    /// Usable slots, free or not.
    pub slots: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Mean service time in microseconds; 0 before the first successful response.
    pub service_us: u32,
}
