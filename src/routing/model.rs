//! Events that go into the router and effects that come out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::document::QueuePriority;
use crate::ids::{EntryId, MinionId, ProcessId, ServiceName, TeamName, Timestamp, ZoneName};
use crate::wire::Feed;

/// Number of a request within one process.
pub type RequestId = u64;
/// Number of one try of a request within one process.
pub type AttemptId = u64;

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller of this entry host.
    Caller,
    /// Another entry host; it is answered here or refused, never forwarded again.
    Peer(EntryId),
}

/// A request as the router sees it. Times are of the process's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Service asked.
    pub service: ServiceName,
    /// Team charged.
    pub team: TeamName,
    /// Order in the queue.
    pub priority: QueuePriority,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When its answer is no longer wanted.
    pub deadline: Timestamp,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Who sent it here.
    pub origin: Origin,
}

/// Something the router must know.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// The one who sent the request no longer waits for it.
    Cancelled(RequestId),
    /// A try ended.
    Ended {
        /// The try.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// Control sent a new state.
    Feed(Arc<Feed>),
    /// The entry host's lease on its minions runs until then.
    Leased(Timestamp),
    /// A peer reported its load; the list is whole.
    PeerLoad {
        /// The peer.
        peer: EntryId,
        /// Its services.
        services: Vec<ServiceLoad>,
    },
    /// No connection to a peer.
    PeerLost(EntryId),
    /// A probe of a minion over a new connection ended.
    Probed {
        /// The minion.
        minion: MinionId,
        /// Ownership during which it was asked.
        epoch: u64,
        /// When the probe was sent.
        sent: Timestamp,
        /// What it said; none when it could not be reached.
        report: Option<SlotReport>,
    },
    /// This entry host stops as planned: every minion is given up once drained.
    Leaving,
    /// Time went on.
    Tick,
}

/// What a minion says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotReport {
    /// Requests in work.
    InUse(u32),
    /// It answers but does not report slots.
    Silent,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer is held.
    Answered {
        /// Whether the answer is a failure of the server's own (status 5xx).
        failed: bool,
    },
    /// It is proved that nothing ran.
    NotRun {
        /// When the other side wants to be asked again, if it said so.
        retry_after: Option<Duration>,
        /// Whether the other side could not be reached at all.
        unreachable: bool,
    },
    /// No whole answer came, and the request may have run.
    Broken {
        /// Whether the other side was silent, so that its open connections may be dead.
        silent: bool,
    },
}

/// Where a try goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A minion that this entry host owns.
    Minion {
        /// Its name.
        id: MinionId,
        /// Its process.
        process: ProcessId,
        /// Its address.
        addr: SocketAddr,
        /// Its availability zone.
        zone: ZoneName,
        /// Ownership under which it is used.
        epoch: u64,
    },
    /// Another entry host.
    Peer(EntryId),
}

/// Something the daemon must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start a try.
    Start {
        /// Its number.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
        /// Where.
        target: Target,
        /// When to stop waiting for its answer.
        until: Timestamp,
    },
    /// Stop a try; its answer is dropped if it comes.
    Abort(AttemptId),
    /// Tell the peer of this try that nobody waits, so that it starts nothing for it.
    Withdraw(AttemptId),
    /// Give the caller the answer of this try. Final.
    Deliver {
        /// The request.
        request: RequestId,
        /// The try whose answer is given.
        attempt: AttemptId,
    },
    /// Tell the caller that no answer will come. Final.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        error: RouteError,
    },
    /// Ask a minion over a new connection what it has in work.
    Probe {
        /// The minion.
        minion: MinionId,
        /// Its address.
        addr: SocketAddr,
        /// Ownership during which it is asked.
        epoch: u64,
    },
    /// Close the idle connections to a minion; they may have gone silent.
    Reconnect(MinionId),
    /// Nothing is in flight at a minion that control wants back: tell control.
    Released(MinionId),
    /// Tell peers how much is free.
    AnnounceLoad,
}

/// Why a request gets no answer from a minion.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// Proved that nothing ran.
    #[error("{reason}")]
    NotRun {
        /// A sentence for the caller.
        reason: CompactString,
        /// When to come back.
        retry_after: Duration,
        /// Whether the deadline passed, rather than capacity lacking.
        late: bool,
        /// Whether the caller's own team is at its limit.
        limited: bool,
    },
    /// It may have run.
    #[error("{reason}")]
    Unknown {
        /// A sentence for the caller.
        reason: CompactString,
        /// Whether the deadline passed, rather than the connection failing.
        late: bool,
    },
}

/// One service's load at one entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Slots that take a request now.
    pub free: u32,
    /// Slots in all.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Mean service time in microseconds; 0 when nothing was measured.
    pub service_us: u32,
}
