//! Interface to the user of the replicated log: the state machine trait, a replica's status, and
//! the errors of proposals and reads.

use std::net::SocketAddr;

use crate::error::Result;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// A deterministic state machine to which each replica applies the committed log.
pub trait StateMachine: Send + 'static {
    /// Result of a command, returned to its proposer once the command is applied.
    type Reply: Send + 'static;

    /// Applies one committed command. `at` is the Unix time of the leader that appended it, and
    /// never decreases.
    ///
    /// Must have the same effect on every replica: no clock, no randomness, no I/O.
    fn apply(&mut self, index: LogIndex, at: Timestamp, command: &[u8]) -> Self::Reply;

    /// Called with the new term when this replica becomes leader, before `leadership_changed`. A
    /// term has at most one leader, so it can serve as a fencing token.
    fn term_started(&mut self, _term: Term) {}

    /// Called when this replica becomes leader, once everything up to the first entry of its term is
    /// applied, or steps down. No leased or confirmed read runs in a term before this call. `now` is
    /// its monotonic time.
    fn leadership_changed(&mut self, leading: bool, now: Timestamp);

    /// Returns commands that the state machine itself wants to propose. Called on a leader that
    /// holds the leader lease at `now` (monotonic), after each batch of applied entries, each update
    /// of the state machine, and on every tick.
    fn own_commands(&mut self, now: Timestamp) -> Vec<Vec<u8>>;

    /// Hands back a command of `own_commands` that was rejected because the disk is full or
    /// leadership is being transferred. A state machine that depends on the command should return
    /// it from `own_commands` again.
    fn rejected(&mut self, _command: Vec<u8>) {}

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by that of a snapshot.
    fn restore(&mut self, snapshot: &[u8]) -> Result<()>;
}

/// Raft role of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Role {
    /// Receives the log but does not vote.
    #[default]
    Learner,
    /// Receives the log from a leader and votes.
    Follower,
    /// Asks the voters whether it could win an election; the term does not change yet.
    PreCandidate,
    /// Asks for votes in a new term.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}

/// State of a replica, for operators and callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReplicaStatus {
    /// Id of this replica.
    pub id: ReplicaId,
    /// Role of this replica.
    pub role: Role,
    /// Election term; each has one leader at most.
    pub term: Term,
    /// Current leader, if known; may be this replica.
    pub leader: Option<ReplicaId>,
    /// Address at which the leader serves calls, if known.
    pub leader_addr: Option<SocketAddr>,
    /// Last entry known to be committed.
    pub committed: LogIndex,
    /// Last entry applied to the state machine.
    pub applied: LogIndex,
    /// Ids of the members that vote.
    pub voters: Vec<ReplicaId>,
    /// Ids of the members that receive the log but don't vote.
    pub learners: Vec<ReplicaId>,
    /// Addresses at which voters and learners serve calls.
    pub call_addrs: Vec<SocketAddr>,
    /// Voters that have not replied to this leader within an election timeout; `None` on a replica
    /// that does not lead.
    pub silent_voters: Option<Vec<ReplicaId>>,
    /// The last announcement of another replica that arrived here.
    pub announcement: Option<Announcement>,
}

impl ReplicaStatus {
    /// Whether this replica is a voter or a learner of its group.
    pub fn is_member(&self) -> bool {
        self.voters.contains(&self.id) || self.learners.contains(&self.id)
    }

    /// Number of voters that may still be lost before the group stops; `None` on a replica that does
    /// not lead.
    pub fn spare_voters(&self) -> Option<usize> {
        let silent = self.silent_voters.as_ref()?.len();
        let quorum = self.voters.len() / 2 + 1;
        Some(self.voters.len().saturating_sub(silent + quorum))
    }
}

/// An announcement of a replica that is not a member or hears no leader, and how this replica
/// handled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// The replica that announced itself.
    pub replica: ReplicaId,
    /// Address to which other replicas connect.
    pub addr: SocketAddr,
    /// What became of the announcement.
    pub outcome: AnnouncementOutcome,
}

/// What a replica did with an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AnnouncementOutcome {
    /// The replica was added as a learner, or its addresses were updated.
    Admitted,
    /// It is a member with these addresses already.
    Member,
    /// An earlier membership change is not committed yet.
    ChangePending,
    /// The group has as many learners as it may have.
    TooManyLearners,
    /// Passed on to the leader.
    PassedOn,
    /// Ignored: this replica does not lead, and hears no leader.
    NoLeader,
    /// Ignored: another replica took this one for the leader and has passed the announcement on.
    NotLeading,
}

impl AnnouncementOutcome {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::Member => "already a member",
            Self::ChangePending => "a membership change is pending",
            Self::TooManyLearners => "too many learners",
            Self::PassedOn => "passed on to the leader",
            Self::NoLeader => "ignored, as no leader is heard",
            Self::NotLeading => "ignored, as this replica does not lead",
        }
    }
}

/// When a read runs, and how far the log is applied then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPoint {
    /// Monotonic time.
    pub now: Timestamp,
    /// Term that this replica leads.
    pub term: Term,
    /// Last entry known to be committed.
    pub committed: LogIndex,
    /// Last entry applied to the state that the read gets; below `committed` only by entries of this
    /// term, whose proposers are not answered yet.
    pub applied: LogIndex,
}

/// Why a command was not applied, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Nothing was appended: this replica is not the leader.
    #[error("this replica does not lead")]
    NotLeader {
        /// Address at which the leader serves calls, if known.
        leader: Option<SocketAddr>,
    },
    /// Nothing was appended: too many commands are pending, the command is too long, or the disk is
    /// full.
    #[error("the replica is overloaded: {0}")]
    Overloaded(&'static str),
    /// Nothing was appended: the command waited for longer than its proposer allows.
    #[error("the command waited for too long")]
    Expired,
    /// Leadership was lost after the append; the command may still be applied.
    #[error("leadership was lost; the outcome is unknown")]
    Unknown,
    /// The replica is stopping or has stopped.
    #[error("the replica is stopping")]
    Stopping,
}

/// Why a read was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// This replica is not the leader, or could not confirm its leadership.
    #[error("this replica does not lead")]
    NotLeader {
        /// Address at which the leader serves calls, if known.
        leader: Option<SocketAddr>,
    },
    /// The replica is stopping or has stopped.
    #[error("the replica is stopping")]
    Stopping,
}
