//! What the control thread is told.

use tokio::sync::oneshot;

use crate::error::Error;
use crate::ids::Timestamp;
use crate::replication::core::Message;
use crate::replication::machine::{ProposeError, ReadError, StateMachine};

/// A command for the log.
pub(super) struct Propose<M: StateMachine> {
    pub(super) command: Vec<u8>,
    pub(super) reply: oneshot::Sender<Result<M::Reply, ProposeError>>,
}

/// Work on the state, run once leadership is confirmed, or told why not.
pub(super) type ReadJob<M> = Box<dyn FnOnce(Result<(&mut M, Timestamp), ReadError>) + Send>;

/// How leadership is confirmed before a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// By a round of messages that begins after the read.
    Round,
    /// By the quorum's latest answers, while they still bind it.
    Lease,
}

/// A read under confirmed leadership.
pub(super) struct Read<M> {
    pub(super) by: Confirmation,
    pub(super) job: ReadJob<M>,
}

/// What to do with the machine above the log, and when.
pub(super) type News<M> = Box<dyn FnOnce(&mut M, Timestamp) + Send>;

/// News for the machine above the log.
pub(super) struct Inform<M>(pub(super) News<M>);

/// A look at this replica's own state.
pub(super) struct Local<M>(pub(super) Box<dyn FnOnce(&M) + Send>);

/// A message of another replica.
pub(super) struct FromPeer(pub(super) Message);

/// Time has passed.
pub(super) struct Tick;

/// Leadership should move to another replica.
pub(super) struct TransferLeadership;

/// The replica should end.
pub(super) struct Stop;

/// News of the disk.
pub(super) enum DiskNews {
    /// Saves up to this number are synced.
    Synced(u64),
    /// There is no room; the saves are tried again.
    Full,
    /// The disk cannot be trusted any more.
    Failed(Error),
}
