//! Thousands of schedules of faults over whole groups in memory, and the proof that breaking any
//! safeguard is seen.

use rstest::rstest;
use yuccahold::replication::explore::{Check, Safeguard, explore};

/// Threads of one test; a few tests run at once.
const THREADS: usize = 3;
/// Schedules searched for a broken safeguard at most.
const SEARCHED: u64 = 12_000;

#[test]
fn every_schedule_keeps_every_property() {
    // Loss, reordering, repetition, one-way cuts, pauses, crashes that drop what was not synced,
    // wiped disks, full and slow disks, clocks that jump and membership that changes. After all
    // faults end, the group must work again.
    let coverage = explore(0..2000, None, THREADS).unwrap_or_else(|v| panic!("{v}"));
    assert_eq!(coverage.schedules, 2000);
    let seen = [
        coverage.elections,
        coverage.writes,
        coverage.reads,
        coverage.refused,
        coverage.crashes,
        coverage.pauses,
        coverage.wipes,
        coverage.membership_changes,
        coverage.snapshots_installed,
    ];
    assert!(
        seen.iter().all(|n| *n > 500),
        "the run was idle: {coverage:?}"
    );
    assert!(coverage.quorums_lost <= 5, "{coverage:?}");
}

/// Each row breaks one safeguard; the checks named are those that may see it first.
#[rstest]
#[case(Safeguard::SyncBeforeAnswer, &[Check::ElectionSafety, Check::CommittedKept, Check::Progress])]
#[case(Safeguard::SingleVote, &[Check::ElectionSafety])]
#[case(Safeguard::LogUpToDate, &[Check::CommittedKept])]
#[case(Safeguard::LeaderStickiness, &[Check::OneActingLeader])]
#[case(Safeguard::NoVoteAfterRestart, &[Check::OneActingLeader])]
#[case(Safeguard::CommitMajority, &[Check::CommittedKept])]
#[case(Safeguard::CheckPrevious, &[Check::LogMatching, Check::CommittedKept])]
#[case(Safeguard::CheckQuorum, &[Check::OneActingLeader])]
#[case(Safeguard::ConfirmReads, &[Check::Linearizable])]
#[case(Safeguard::OneMembershipChange, &[Check::ElectionSafety, Check::CommittedKept])]
#[case(Safeguard::FreshIdentity, &[Check::ElectionSafety, Check::CommittedKept, Check::Progress])]
#[case(Safeguard::StepDownBeforeTransfer, &[Check::OneActingLeader])]
#[case(Safeguard::TimeForward, &[Check::TimeForward])]
fn a_broken_safeguard_is_seen(#[case] broken: Safeguard, #[case] seen_by: &[Check]) {
    let violation = explore(0..SEARCHED, Some(broken), THREADS).expect_err("nothing was seen");
    assert!(seen_by.contains(&violation.check), "{violation}");
}

#[test]
fn a_seed_repeats_its_schedule() {
    let broken = Some(Safeguard::SingleVote);
    let first = explore(0..SEARCHED, broken, THREADS).expect_err("nothing was seen");
    let again = explore(first.seed..first.seed + 1, broken, 1);
    assert_eq!(again, Err(first));
}
