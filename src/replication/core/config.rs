//! Configuration of one replica, and the safeguards that the explorer can disable.

use std::time::Duration;

use super::Member;
use crate::ids::ReplicaId;

/// Protocol rules that the explorer disables one at a time to prove that its checks can fail. All
/// are enabled everywhere else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Safeguards {
    /// Replies and votes are sent only after the state they acknowledge is synced.
    pub(crate) sync_before_answer: bool,
    /// A replica votes for one candidate per term.
    pub(crate) single_vote: bool,
    /// A replica refuses its vote to a candidate whose log is behind its own.
    pub(crate) log_up_to_date: bool,
    /// A replica refuses its vote within an election timeout of a leader's last message, or of its
    /// own start.
    pub(crate) leader_stickiness: bool,
    /// A restarted replica refuses its vote for one election timeout, as it may have heard a leader
    /// just before.
    pub(crate) no_vote_after_restart: bool,
    /// A leader commits by counting replicas only for entries of its own term.
    pub(crate) commit_own_term: bool,
    /// A commit needs a majority of all voters.
    pub(crate) commit_majority: bool,
    /// A leader counts its own entries for a commit only once they are synced.
    pub(crate) sync_before_commit: bool,
    /// A follower compares the term of the entry before the ones it appends.
    pub(crate) check_previous: bool,
    /// A read waits for a heartbeat round that started after it.
    pub(crate) read_after_round: bool,
    /// A leader steps down when a quorum has not replied for too long, even if its own process was
    /// paused meanwhile.
    pub(crate) check_quorum: bool,
    /// A membership change waits until the previous one is committed.
    pub(crate) one_membership_change: bool,
    /// A replica on a wiped disk gets a new id.
    pub(crate) fresh_identity: bool,
    /// A leader steps down before it asks another replica to start an election.
    pub(crate) step_down_before_transfer: bool,
    /// A new leader acts only once its state machine has applied everything up to the first entry of
    /// its term and knows that it leads.
    pub(crate) apply_before_acting: bool,
    /// Timestamps of log entries never decrease.
    pub(crate) time_forward: bool,
    /// A follower passes announcements on to its leader.
    pub(crate) pass_on_announcements: bool,
    /// A learner with a newer log than a candidate stands for election itself.
    pub(crate) newest_learner_stands: bool,
    /// A leader whose own addresses have changed puts them into the membership.
    pub(crate) own_addresses: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            sync_before_answer: true,
            single_vote: true,
            log_up_to_date: true,
            leader_stickiness: true,
            no_vote_after_restart: true,
            commit_own_term: true,
            commit_majority: true,
            sync_before_commit: true,
            check_previous: true,
            read_after_round: true,
            check_quorum: true,
            one_membership_change: true,
            fresh_identity: true,
            step_down_before_transfer: true,
            apply_before_acting: true,
            time_forward: true,
            pass_on_announcements: true,
            newest_learner_stands: true,
            own_addresses: true,
        }
    }
}

/// Settings of one replica; they don't change while it runs.
#[derive(Clone, Debug)]
pub(crate) struct CoreConfig {
    pub(crate) id: ReplicaId,
    pub(crate) member: Member,
    /// Shortest time without a leader's message before an election; a random part is added.
    pub(crate) election_timeout: Duration,
    pub(crate) heartbeat: Duration,
    /// Size of the log in bytes above which a snapshot is taken.
    pub(crate) snapshot_bytes: u64,
    /// Time without a reply after which a member is replaced.
    pub(crate) replace_after: Duration,
    /// Number of voters that membership changes work towards.
    pub(crate) target_voters: usize,
    /// Most bytes of entries in one message.
    pub(crate) append_bytes: u64,
    /// Most bytes of a snapshot in one message.
    pub(crate) chunk_bytes: usize,
    pub(crate) safeguards: Safeguards,
}
