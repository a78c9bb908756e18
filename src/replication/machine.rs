//! What the replicated log carries: the trait of the state machine above it, and the answers
//! its handle gives.

use std::net::SocketAddr;

use crate::error::Result;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// A deterministic machine fed by the committed log of every replica.
pub trait StateMachine: Send + 'static {
    /// What a proposer gets back once its command is applied.
    type Reply: Send + 'static;

    /// Applies one committed command. `at` is the leader's Unix time and never goes back.
    ///
    /// Must give the same result on every replica: no clock, no randomness, no I/O.
    fn apply(&mut self, index: LogIndex, at: Timestamp, command: &[u8]) -> Self::Reply;

    /// Tells the term in which this replica is about to lead; each term has one leader at most,
    /// so it can serve as a fencing token. Called before `leadership_changed`.
    fn term_began(&mut self, _term: Term) {}

    /// Tells that this replica began or ceased to lead. `now` is its monotonic time.
    fn leadership_changed(&mut self, leading: bool, now: Timestamp);

    /// Asks a leader that has confirmed its leadership at `now` (monotonic) for commands of its
    /// own. Called after each batch of applied entries and on every tick.
    fn lead(&mut self, now: Timestamp) -> Vec<Vec<u8>>;

    /// Gives back a command of `lead` that was not taken: the disk is full, or leadership is being
    /// handed over. A machine that counts on its commands should give it again.
    fn not_taken(&mut self, _command: Vec<u8>) {}

    /// Writes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by a snapshot's.
    fn restore(&mut self, snapshot: &[u8]) -> Result<()>;
}

/// Part a replica plays in the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Role {
    /// Receives the log but does not vote.
    #[default]
    Learner,
    /// Votes and follows.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Orders the log.
    Leader,
}

/// A replica's state as operators and callers see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReplicaStatus {
    /// This replica.
    pub id: ReplicaId,
    /// Its part.
    pub role: Role,
    /// Its election period.
    pub term: Term,
    /// The leader it follows, if it knows one.
    pub leader: Option<ReplicaId>,
    /// Address at which the leader answers calls, if known.
    pub leader_addr: Option<SocketAddr>,
    /// Last entry known to be agreed.
    pub committed: LogIndex,
    /// Last entry applied.
    pub applied: LogIndex,
    /// Voting members.
    pub voters: Vec<ReplicaId>,
    /// Members that catch up.
    pub learners: Vec<ReplicaId>,
    /// Addresses at which the members answer calls.
    pub call_addrs: Vec<SocketAddr>,
}

/// Why a command was not applied, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Nothing was appended: another replica leads.
    #[error("this replica does not lead")]
    NotLeader {
        /// Where the leader answers calls, if known.
        leader: Option<SocketAddr>,
    },
    /// Nothing was appended: too much waits, or the disk is full.
    #[error("the replica is overloaded: {0}")]
    Overloaded(&'static str),
    /// Leadership was lost after the append; the command may yet be applied.
    #[error("leadership was lost; the outcome is unknown")]
    Unknown,
    /// The replica stops.
    #[error("the replica stops")]
    Stopping,
}

/// Why a read was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// Another replica leads, or leadership could not be confirmed in time.
    #[error("this replica does not lead")]
    NotLeader {
        /// Where the leader answers calls, if known.
        leader: Option<SocketAddr>,
    },
    /// The replica stops.
    #[error("the replica stops")]
    Stopping,
}
