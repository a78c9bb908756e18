//! Messages between replicas.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::Entry;
use super::membership::{Member, Membership};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Id of the sender.
    pub from: ReplicaId,
    /// Id of the receiver; 0 for an announcement to an address whose replica id is unknown.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// The request or reply itself.
    pub body: Body,
}

/// Round and send time of a leader's message. The reply echoes it, which tells the leader until
/// when the follower is bound by the leader lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeartbeatMark {
    /// Number of the heartbeat round, counted from 1 in each leadership; 0 before any.
    pub round: u64,
    /// The leader's monotonic time at which the message was created.
    pub sent_at: Timestamp,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote in the next term would be granted, without changing any term.
    PreVote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// The previous leader has stepped down and asked for this election, so the leader lease
        /// does not prevent a vote.
        transfer: bool,
    },
    /// Reply to `Vote`.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries to append; a heartbeat has none.
    Append {
        /// Index of the entry before the first one sent.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Consecutive entries, in order.
        entries: Vec<Entry>,
        /// Index of the last committed entry.
        commit: LogIndex,
        /// Mark that the reply must echo.
        mark: HeartbeatMark,
    },
    /// The follower's log matches the leader's up to `matched` and is synced up to there.
    Accepted {
        /// Index of the last matching entry.
        matched: LogIndex,
        /// Mark of the leader's message, echoed.
        mark: HeartbeatMark,
    },
    /// The follower lacks the entry before the ones sent, or holds one of another term there.
    Rejected {
        /// Index of that entry.
        prev_index: LogIndex,
        /// Index of the last entry that may match.
        hint: LogIndex,
        /// Mark of the leader's message, echoed.
        mark: HeartbeatMark,
    },
    /// One part of a snapshot.
    Chunk {
        /// Index of the last entry in the snapshot.
        index: LogIndex,
        /// Term of that entry.
        snapshot_term: Term,
        /// Unix time of that entry.
        at: Timestamp,
        /// Membership after that entry.
        members: Membership,
        /// Position of `data` in the snapshot, in bytes.
        offset: u64,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Bytes of this part.
        data: Bytes,
        /// Mark that the reply must echo.
        mark: HeartbeatMark,
    },
    /// Asks for the next part of a snapshot.
    ChunkWanted {
        /// Index of the last entry in the snapshot.
        index: LogIndex,
        /// Number of bytes received so far.
        offset: u64,
        /// Mark of the leader's message, echoed.
        mark: HeartbeatMark,
    },
    /// The leader has stepped down and asks the receiver to start an election at once.
    TimeoutNow,
    /// Introduces a replica that receives nothing from a leader, or whose addresses changed. Addressed
    /// to the leader by its id when a follower passes it on.
    Announce(Member),
}
