//! What one replica is told when it starts, and the safeguards that tests take away.

use std::time::Duration;

use super::Member;
use crate::ids::ReplicaId;

/// Protections that the explorer breaks one at a time to prove that it can fail. All are on
/// everywhere else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Safeguards {
    /// Answers and votes leave only after the sync of what they promise.
    pub(crate) sync_before_answer: bool,
    /// One vote a term.
    pub(crate) single_vote: bool,
    /// No vote for a candidate whose log is behind.
    pub(crate) log_up_to_date: bool,
    /// No vote within an election timeout after word from a leader, or after a start.
    pub(crate) leader_stickiness: bool,
    /// A restarted replica gives no vote within an election timeout.
    pub(crate) restart_waits: bool,
    /// A leader counts only entries of its own term when it commits.
    pub(crate) commit_own_term: bool,
    /// A commit needs a majority of all voters.
    pub(crate) commit_majority: bool,
    /// A follower checks the entry before the ones it takes.
    pub(crate) check_previous: bool,
    /// A read waits for a heartbeat round that began after it.
    pub(crate) read_after_round: bool,
    /// Leadership ends with the time since the quorum's last answers, also over a pause.
    pub(crate) check_quorum: bool,
    /// A change of membership waits for the one before it.
    pub(crate) one_change: bool,
    /// A wiped disk is a new replica.
    pub(crate) fresh_identity: bool,
    /// A leader steps down before it asks another to stand.
    pub(crate) hand_over_ends: bool,
    /// Time in the entries never goes back.
    pub(crate) time_forward: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            sync_before_answer: true,
            single_vote: true,
            log_up_to_date: true,
            leader_stickiness: true,
            restart_waits: true,
            commit_own_term: true,
            commit_majority: true,
            check_previous: true,
            read_after_round: true,
            check_quorum: true,
            one_change: true,
            fresh_identity: true,
            hand_over_ends: true,
            time_forward: true,
        }
    }
}

/// Fixed values of one replica.
#[derive(Clone, Debug)]
pub(crate) struct CoreConfig {
    pub(crate) id: ReplicaId,
    pub(crate) member: Member,
    /// Shortest silence of a leader before an election; a random share of it is added.
    pub(crate) election_timeout: Duration,
    pub(crate) heartbeat: Duration,
    /// Bytes of log that cause a snapshot.
    pub(crate) snapshot_bytes: u64,
    /// Silence after which a member is replaced.
    pub(crate) replace_after: Duration,
    /// Voters wanted.
    pub(crate) target_voters: usize,
    /// Most bytes of entries in one message.
    pub(crate) append_bytes: u64,
    /// Bytes of a snapshot in one message.
    pub(crate) chunk_bytes: usize,
    pub(crate) safeguards: Safeguards,
}
