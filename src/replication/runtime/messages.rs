//! Messages to the control thread.

use tokio::sync::oneshot;

use crate::error::Error;
use crate::ids::Timestamp;
use crate::replication::core::Message;
use crate::replication::machine::{ProposeError, ReadError, ReadPoint, StateMachine};

/// Appends a command to the log.
pub(super) struct Propose<M: StateMachine> {
    pub(super) command: Vec<u8>,
    /// Monotonic time after which it is not appended.
    pub(super) until: Timestamp,
    pub(super) reply: oneshot::Sender<Result<M::Reply, ProposeError>>,
}

/// Work on the state: runs with the state once leadership is confirmed, or else with the error.
pub(super) type ReadJob<M> = Box<dyn FnOnce(Result<(&mut M, ReadPoint), ReadError>) + Send>;

/// How leadership is confirmed before a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// By a heartbeat round that starts after the read.
    Round,
    /// By the leader lease, which the quorum's latest replies extend.
    Lease,
}

/// Runs a read under confirmed leadership.
pub(super) struct Read<M> {
    pub(super) confirmation: Confirmation,
    pub(super) job: ReadJob<M>,
}

/// A change to the state machine outside the log; gets the current monotonic time.
pub(super) type MachineUpdate<M> = Box<dyn FnOnce(&mut M, Timestamp) + Send>;

/// Runs a change to the state machine that does not go through the log.
pub(super) struct UpdateMachine<M>(pub(super) MachineUpdate<M>);

/// Reads this replica's own state without confirmed leadership.
pub(super) struct ReadLocal<M>(pub(super) Box<dyn FnOnce(&M) + Send>);

/// A message from another replica.
pub(super) struct FromPeer(pub(super) Message);

/// Runs the core's timers.
pub(super) struct Tick;

/// Transfers leadership to another voter.
pub(super) struct TransferLeadership;

/// Ends the replica.
pub(super) struct Stop;

/// An event from the disk thread.
pub(super) enum DiskEvent {
    /// Saves up to this number are synced.
    Synced(u64),
    /// The disk is full; the disk thread retries the saves.
    Full,
    /// Writing or syncing failed, so what the disk holds is uncertain.
    Failed(Error),
}
