//! Messages between replicas.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::Entry;
use super::membership::{Member, Membership};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// A message with its envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; 0 for an announcement to an address whose replica is not known.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// Mark of a leader's message that its answer repeats, so that the leader knows since when a
/// follower has heard it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Beat {
    /// Number of the heartbeat round.
    pub round: u64,
    /// The leader's monotonic time at which the message was made.
    pub sent_at: Timestamp,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote in the term after this would be granted.
    PreVote {
        /// Last entry of the sender.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Whether it would.
        granted: bool,
    },
    /// Asks for the vote in this term.
    Vote {
        /// Last entry of the sender.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
        /// The old leader asked for this election and has given up leadership.
        handed_over: bool,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether it was granted.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// Entry before the first one sent.
        prev_index: LogIndex,
        /// Its term.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Last entry known to be agreed.
        commit: LogIndex,
        /// Mark to repeat.
        beat: Beat,
    },
    /// The follower agrees up to `matched`, synced.
    Accepted {
        /// Last entry that agrees with the leader's log.
        matched: LogIndex,
        /// Mark of the leader's message.
        beat: Beat,
    },
    /// The follower does not hold the entry before the ones sent.
    Rejected {
        /// That entry.
        prev_index: LogIndex,
        /// Last entry that may agree.
        hint: LogIndex,
        /// Mark of the leader's message.
        beat: Beat,
    },
    /// Part of a snapshot.
    Chunk {
        /// Last entry contained in the snapshot.
        index: LogIndex,
        /// Its term.
        snapshot_term: Term,
        /// Its time.
        at: Timestamp,
        /// Membership after it.
        members: Membership,
        /// Position of `data` in the whole.
        offset: u64,
        /// Size of the whole in bytes.
        total: u64,
        /// The part.
        data: Bytes,
        /// Mark to repeat.
        beat: Beat,
    },
    /// Asks for the next part of a snapshot.
    ChunkWanted {
        /// Snapshot.
        index: LogIndex,
        /// Position of the part wanted.
        offset: u64,
        /// Mark of the leader's message.
        beat: Beat,
    },
    /// The leader has given up leadership and asks the receiver to stand at once.
    TimeoutNow,
    /// Introduces a replica that hears no leader, or whose addresses changed.
    Announce(Member),
}
