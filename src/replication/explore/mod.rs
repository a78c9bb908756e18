//! Seeded explorer: whole groups of replicas in memory under loss, reordering, duplication,
//! one-way cuts, pauses, crashes, wiped disks and membership changes, checked at every step.
//!
//! A schedule is fixed by its seed. To prove that the checks can fail, each safeguard of the core
//! can be broken by itself.

mod checks;
mod faults;
mod history;
mod host;
mod world;

use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use super::core::Safeguards;
use crate::ids::Timestamp;

/// A property that every schedule must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Check {
    /// At most one leader in a term.
    ElectionSafety,
    /// Logs that agree on an entry agree on everything before it.
    LogMatching,
    /// What was committed stays, at the same index, and every new leader holds it.
    CommittedKept,
    /// Reads and writes of a register take effect in one order between call and answer, and a
    /// refused write never takes effect.
    Linearizable,
    /// At any instant at most one replica may act as a confirmed leader.
    OneActingLeader,
    /// Time in the entries never goes back.
    TimeForward,
    /// Once all faults end, a write is confirmed and all voters hold the same log.
    Progress,
    /// The core does not panic.
    NoPanic,
}

/// A safeguard that the explorer can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safeguard {
    /// Answers and votes leave only after the sync.
    SyncBeforeAnswer,
    /// One vote a term.
    SingleVote,
    /// No vote for a log that is behind.
    LogUpToDate,
    /// No vote while a leader is heard.
    LeaderStickiness,
    /// A restarted replica gives no vote for one election timeout.
    NoVoteAfterRestart,
    /// Only entries of the leader's own term are counted.
    CommitOwnTerm,
    /// A commit needs a majority.
    CommitMajority,
    /// The entry before is compared.
    CheckPrevious,
    /// Leadership ends with the quorum's silence.
    CheckQuorum,
    /// Neither a heartbeat round nor the quorum's silence is looked at before a read.
    ConfirmReads,
    /// One membership change at a time.
    OneMembershipChange,
    /// A wiped disk gets a new id.
    FreshIdentity,
    /// Leadership ends before it is handed over.
    StepDownBeforeTransfer,
    /// Time in entries never goes back.
    TimeForward,
}

impl Safeguard {
    /// Every safeguard.
    pub const ALL: [Self; 14] = [
        Self::SyncBeforeAnswer,
        Self::SingleVote,
        Self::LogUpToDate,
        Self::LeaderStickiness,
        Self::NoVoteAfterRestart,
        Self::CommitOwnTerm,
        Self::CommitMajority,
        Self::CheckPrevious,
        Self::CheckQuorum,
        Self::ConfirmReads,
        Self::OneMembershipChange,
        Self::FreshIdentity,
        Self::StepDownBeforeTransfer,
        Self::TimeForward,
    ];

    fn broken(self) -> Safeguards {
        let mut s = Safeguards::default();
        match self {
            Self::SyncBeforeAnswer => s.sync_before_answer = false,
            Self::SingleVote => s.single_vote = false,
            Self::LogUpToDate => s.log_up_to_date = false,
            Self::LeaderStickiness => s.leader_stickiness = false,
            Self::NoVoteAfterRestart => s.no_vote_after_restart = false,
            Self::CommitOwnTerm => s.commit_own_term = false,
            Self::CommitMajority => s.commit_majority = false,
            Self::CheckPrevious => s.check_previous = false,
            Self::CheckQuorum => s.check_quorum = false,
            Self::ConfirmReads => {
                s.check_quorum = false;
                s.read_after_round = false;
            }
            Self::OneMembershipChange => s.one_membership_change = false,
            Self::FreshIdentity => s.fresh_identity = false,
            Self::StepDownBeforeTransfer => s.step_down_before_transfer = false,
            Self::TimeForward => s.time_forward = false,
        }
        s
    }
}

/// A schedule that broke a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Seed that repeats it.
    pub seed: u64,
    /// The property.
    pub check: Check,
    /// Virtual time at which it was seen.
    pub at: Timestamp,
    /// What was seen.
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

/// What the schedules of a run went through; shows that it was not idle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Schedules run.
    pub schedules: u64,
    /// Events handled by replicas.
    pub events: u64,
    /// Elections won.
    pub elections: u64,
    /// Writes confirmed.
    pub writes: u64,
    /// Reads answered.
    pub reads: u64,
    /// Operations refused or of unknown outcome.
    pub refused: u64,
    /// Crashes.
    pub crashes: u64,
    /// Pauses.
    pub pauses: u64,
    /// Wiped disks.
    pub wipes: u64,
    /// Membership changes committed.
    pub membership_changes: u64,
    /// Snapshots taken over from a leader.
    pub snapshots_installed: u64,
    /// Schedules that lost a majority of disks for good, in a moment that no check foresees.
    pub quorums_lost: u64,
}

impl Coverage {
    fn add(&mut self, other: &Self) {
        self.schedules += other.schedules;
        self.events += other.events;
        self.elections += other.elections;
        self.writes += other.writes;
        self.reads += other.reads;
        self.refused += other.refused;
        self.crashes += other.crashes;
        self.pauses += other.pauses;
        self.wipes += other.wipes;
        self.membership_changes += other.membership_changes;
        self.snapshots_installed += other.snapshots_installed;
        self.quorums_lost += other.quorums_lost;
    }
}

/// Runs the schedules of `seeds` on `threads` threads, with a safeguard broken if one is given,
/// and returns at the first property found broken.
pub fn explore(
    seeds: Range<u64>,
    broken: Option<Safeguard>,
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
            let outcome = run_one(seed, broken);
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

fn run_one(seed: u64, broken: Option<Safeguard>) -> Result<Coverage, Violation> {
    let safeguards = broken.map(Safeguard::broken).unwrap_or_default();
    let run = || world::World::new(seed, safeguards).run();
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
