//! Deterministic simulation tests of the consensus core: whole groups of replicas in memory, with
//! message loss, reordering, duplication, one-way partitions, pauses, crashes, wiped disks and
//! membership changes. Properties are checked after every event.
//!
//! A seed determines its schedule. To prove that the checks can fail, each safeguard of the core can
//! be disabled by itself.

mod checks;
mod faults;
mod history;
mod host;
mod simulation;

use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use super::core::Safeguards;
use crate::ids::Timestamp;

/// A property that must hold in every schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Check {
    /// A term has at most one leader.
    ElectionSafety,
    /// Logs that hold the same entry are the same up to that entry.
    LogMatching,
    /// A committed entry stays at its index, and every new leader holds it.
    CommittedKept,
    /// Reads and writes of a register are linearizable, and a refused write never takes effect.
    Linearizable,
    /// At most one replica holds the leader lease at any time.
    OneActingLeader,
    /// Timestamps of log entries never decrease.
    TimeForward,
    /// After all faults have ended, a write succeeds and all voters have applied nearly all committed
    /// entries.
    Progress,
    /// Within a bound after all faults have ended, every running replica is a member at its present
    /// address, as many of them vote as the target allows, and no lost replica is kept in the place
    /// of a running one.
    Membership,
    /// The core does not panic.
    NoPanic,
}

/// A safeguard that the explorer can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safeguard {
    /// Replies and votes are sent only after the sync.
    SyncBeforeAnswer,
    /// A replica votes for one candidate per term.
    SingleVote,
    /// No vote for a candidate whose log is behind.
    LogUpToDate,
    /// No vote within an election timeout of a leader's last message.
    LeaderStickiness,
    /// A restarted replica refuses its vote for one election timeout.
    NoVoteAfterRestart,
    /// A leader commits by counting replicas only for entries of its own term.
    CommitOwnTerm,
    /// A commit needs a majority of all voters.
    CommitMajority,
    /// A leader counts its own entries for a commit only once they are synced.
    SyncBeforeCommit,
    /// A follower compares the term of the entry before the ones it appends.
    CheckPrevious,
    /// A leader steps down when a quorum has not replied for too long.
    CheckQuorum,
    /// A read needs a heartbeat round and the leader lease; both are disabled together.
    ConfirmReads,
    /// A membership change waits until the previous one is committed.
    OneMembershipChange,
    /// A replica on a wiped disk gets a new id.
    FreshIdentity,
    /// A leader steps down before it transfers leadership.
    StepDownBeforeTransfer,
    /// A new leader acts only once its state machine has applied the log up to its own first entry.
    ApplyBeforeActing,
    /// Timestamps of log entries never decrease.
    TimeForward,
    /// A follower passes announcements on to its leader.
    PassOnAnnouncements,
    /// A learner with a newer log than a candidate stands for election itself.
    NewestLearnerStands,
    /// A leader whose own addresses have changed puts them into the membership.
    OwnAddresses,
}

impl Safeguard {
    /// All safeguards.
    pub const ALL: [Self; 19] = [
        Self::SyncBeforeAnswer,
        Self::SingleVote,
        Self::LogUpToDate,
        Self::LeaderStickiness,
        Self::NoVoteAfterRestart,
        Self::CommitOwnTerm,
        Self::CommitMajority,
        Self::SyncBeforeCommit,
        Self::CheckPrevious,
        Self::CheckQuorum,
        Self::ConfirmReads,
        Self::OneMembershipChange,
        Self::FreshIdentity,
        Self::StepDownBeforeTransfer,
        Self::ApplyBeforeActing,
        Self::TimeForward,
        Self::PassOnAnnouncements,
        Self::NewestLearnerStands,
        Self::OwnAddresses,
    ];

    fn disabled(self) -> Safeguards {
        let mut s = Safeguards::default();
        match self {
            Self::SyncBeforeAnswer => s.sync_before_answer = false,
            Self::SingleVote => s.single_vote = false,
            Self::LogUpToDate => s.log_up_to_date = false,
            Self::LeaderStickiness => s.leader_stickiness = false,
            Self::NoVoteAfterRestart => s.no_vote_after_restart = false,
            Self::CommitOwnTerm => s.commit_own_term = false,
            Self::CommitMajority => s.commit_majority = false,
            Self::SyncBeforeCommit => s.sync_before_commit = false,
            Self::CheckPrevious => s.check_previous = false,
            Self::CheckQuorum => s.check_quorum = false,
            Self::ConfirmReads => {
                s.check_quorum = false;
                s.read_after_round = false;
            }
            Self::OneMembershipChange => s.one_membership_change = false,
            Self::FreshIdentity => s.fresh_identity = false,
            Self::StepDownBeforeTransfer => s.step_down_before_transfer = false,
            Self::ApplyBeforeActing => s.apply_before_acting = false,
            Self::TimeForward => s.time_forward = false,
            Self::PassOnAnnouncements => s.pass_on_announcements = false,
            Self::NewestLearnerStands => s.newest_learner_stands = false,
            Self::OwnAddresses => s.own_addresses = false,
        }
        s
    }
}

/// A property that did not hold in a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Seed of the schedule; the same seed reproduces the violation.
    pub seed: u64,
    /// The violated property.
    pub check: Check,
    /// Virtual time of the violation; zero for a panic.
    pub at: Timestamp,
    /// Description of the observed state, or the panic message.
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            seed,
            check,
            at,
            detail,
        } = self;
        write!(f, "seed {seed}: {check:?} broken at {at:?}: {detail}")
    }
}

/// Counts of what happened in the schedules of a run; show that the run exercised the core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Schedules run.
    pub schedules: u64,
    /// Inputs handled by replicas.
    pub events: u64,
    /// Elections won.
    pub elections: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Reads answered.
    pub reads: u64,
    /// Those of them that ran under the leader lease, without a heartbeat round.
    pub leased_reads: u64,
    /// Operations that were refused, or whose outcome is unknown.
    pub refused: u64,
    /// Replicas that crashed.
    pub crashes: u64,
    /// Power losses of all hosts at once.
    pub power_losses: u64,
    /// Replicas that were paused.
    pub pauses: u64,
    /// Disks replaced by empty ones.
    pub wipes: u64,
    /// Hosts that started again at another address, with or without their disk.
    pub moves: u64,
    /// Hosts that ended for good.
    pub retired: u64,
    /// Changes of a host's configured peers.
    pub peer_changes: u64,
    /// Hosts whose configured peers led to no running voter when all faults had ended, so that an
    /// operator had to change them.
    pub peers_corrected: u64,
    /// Membership changes committed.
    pub membership_changes: u64,
    /// Snapshots restored, from a leader or after a restart.
    pub snapshots_installed: u64,
    /// Schedules in which a majority of disks was lost permanently because a disk was wiped while a
    /// membership change was in progress.
    pub quorums_lost: u64,
}

impl Coverage {
    fn add(&mut self, other: &Self) {
        self.schedules += other.schedules;
        self.events += other.events;
        self.elections += other.elections;
        self.writes += other.writes;
        self.reads += other.reads;
        self.leased_reads += other.leased_reads;
        self.refused += other.refused;
        self.crashes += other.crashes;
        self.power_losses += other.power_losses;
        self.pauses += other.pauses;
        self.wipes += other.wipes;
        self.moves += other.moves;
        self.retired += other.retired;
        self.peer_changes += other.peer_changes;
        self.peers_corrected += other.peers_corrected;
        self.membership_changes += other.membership_changes;
        self.snapshots_installed += other.snapshots_installed;
        self.quorums_lost += other.quorums_lost;
    }
}

/// Runs the schedules of `seeds` on `threads` threads, with the safeguard `disabled` off if
/// given, and stops at the first violation.
pub fn explore(
    seeds: Range<u64>,
    disabled: Option<Safeguard>,
    threads: usize,
) -> Result<Coverage, Violation> {
    let next = AtomicU64::new(seeds.start);
    let total = Mutex::new(Ok(Coverage::default()));
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let outcome = run_one(seed, disabled);
            let mut total = total.lock().unwrap_or_else(PoisonError::into_inner);
            match (outcome, &mut *total) {
                (Ok(coverage), Ok(sum)) => sum.add(&coverage),
                (Err(violation), Ok(_)) => {
                    next.store(seeds.end, Ordering::Relaxed);
                    *total = Err(violation);
                }
                (_, Err(_)) => return,
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    total.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn run_one(seed: u64, disabled: Option<Safeguard>) -> Result<Coverage, Violation> {
    let safeguards = disabled.map(Safeguard::disabled).unwrap_or_default();
    let run = || simulation::Simulation::new(seed, safeguards).run();
    let caught = catch_unwind(AssertUnwindSafe(run));
    caught.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned()));
        Err(Violation {
            seed,
            check: Check::NoPanic,
            at: Timestamp::ZERO,
            detail: text.unwrap_or_default(),
        })
    })
}
