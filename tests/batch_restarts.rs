//! Minions that restart under the same id.

mod batch_world;

use std::time::Duration;

use batch_world::hosts::{Cell, Restart, StartAnswer};
use batch_world::{JOB, checkpointed, first_step, lasting, ms, step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use yuccahold::batch::model::{JobId, JobState, MinionReport, Readiness, StepSpec};
use yuccahold::resources::Resources;

/// A cell whose minions keep their ids and restart 100 ms after a crash.
fn cell(ports: std::ops::Range<u16>) -> Cell {
    let mut cell = Cell::new(ports);
    cell.restart = Restart::SameName;
    cell.restart_delay = ms(100);
    cell
}

/// Submits `jobs` jobs at intervals of 150 ms and gives them 3 s to complete.
fn run_jobs(cell: &mut Cell, first: JobId, jobs: u64) {
    for job in first..first + jobs {
        cell.submit(job, vec![step(4, 2_000)]);
        cell.run(ms(150));
    }
    cell.run(ms(3_000));
}

fn states(cell: &Cell, first: JobId, jobs: u64) -> Vec<Option<JobState>> {
    (first..first + jobs).map(|job| cell.state(job)).collect()
}

/// End numbers restart at 1 in each incarnation. Guards against ends of the new incarnation that
/// are ignored because their numbers were seen before.
#[rstest]
#[case::lists_come_at_once(ms(0))]
#[case::lists_come_late(ms(300))]
fn ends_after_a_restart_are_taken(#[case] late: Duration) {
    let mut cell = cell(1..3);
    cell.listing_delay = late;
    run_jobs(&mut cell, JOB, 10);
    cell.crash(1);
    cell.crash(2);
    cell.run(ms(400));
    let second = JOB + 100;
    run_jobs(&mut cell, second, 4);
    assert_eq!(states(&cell, second, 4), [Some(JobState::Done); 4]);
    let starts = cell.starts.iter().filter(|(t, _)| t.step.job >= second);
    let starts: Vec<_> = starts.map(|(_, n)| *n).collect();
    assert_eq!(starts, [1; 16]);
    assert_eq!(cell.violations, [""; 0]);
}

/// Tasks that ran on the old incarnation are restarted at once, and not twice.
#[rstest]
#[case::nobody_reports_meanwhile(ms(100))]
#[case::the_lease_would_last(ms(2_000))]
fn tasks_of_a_restarted_minion_run_again_soon(#[case] away: Duration) {
    let mut cell = cell(1..4);
    cell.restart_delay = away;
    cell.submit(JOB, vec![lasting(6, 4_000)]);
    cell.submit(JOB + 1, vec![checkpointed(6, 4_000)]);
    cell.run(ms(2_000));
    cell.crash(1);
    let task = |i| first_step(JOB).task(i);
    let back = cell.run_until("all tasks to be running", |cell| {
        (0..6).all(|i| cell.ports_of(task(i)).len() == 1)
    });
    assert!(back < away + ms(800), "{back:?}");
    cell.run(ms(12_000));
    assert_eq!(cell.state(JOB + 1), Some(JobState::Done));
    assert_eq!(cell.violations, [""; 0]);
}

/// A start order that the old incarnation left unanswered may be carried out by the new one.
#[rstest]
#[case::before_it_is_known(ms(150))]
#[case::soon_after(ms(300))]
#[case::much_later(ms(2_000))]
fn an_order_to_the_old_incarnation_runs_nothing_twice_on_the_new_one(#[case] late: Duration) {
    let mut cell = cell(1..4);
    cell.run(ms(1_000));
    cell.start_delay = late;
    cell.submit(JOB, vec![checkpointed(6, 4_000)]);
    cell.run(ms(20));
    cell.start_delay = Duration::ZERO;
    for port in 1..4 {
        cell.crash(port);
    }
    cell.run(ms(25_000));
    assert_eq!(cell.state(JOB), Some(JobState::Done));
    assert_eq!(cell.violations, [""; 0]);
}

/// Minions restart shortly before, during or after a change of leader.
#[rstest]
#[case::the_crash_is_before_the_change(ms(50), ms(0))]
#[case::the_crash_is_after_the_change(ms(0), ms(50))]
#[case::both_at_once(ms(0), ms(0))]
fn a_new_leader_distinguishes_the_incarnations_of_a_minion(
    #[case] before: Duration,
    #[case] after: Duration,
) {
    let mut cell = cell(1..4);
    run_jobs(&mut cell, JOB, 10);
    cell.submit(JOB + 20, vec![checkpointed(8, 4_000)]);
    cell.run(ms(500));
    if !before.is_zero() {
        cell.crash(1);
        cell.run(before);
    }
    cell.new_leader(2);
    cell.run(after);
    if before.is_zero() {
        cell.crash(1);
    }
    cell.run(ms(500));
    run_jobs(&mut cell, JOB + 30, 6);
    cell.run(ms(20_000));
    assert_eq!(states(&cell, JOB + 30, 6), [Some(JobState::Done); 6]);
    assert_eq!(cell.state(JOB + 20), Some(JobState::Done));
    assert_eq!(cell.violations, [""; 0]);
}

/// A delayed report of the old incarnation has no effect.
#[test]
fn a_late_report_of_the_old_incarnation_is_ignored() {
    let mut cell = cell(1..2);
    cell.run(ms(3_000));
    let late = cell.report_of(1).expect("it is up");
    let late = MinionReport {
        readiness: Readiness::Draining { remaining: None },
        sequence: 1_000,
        ..late
    };
    let small = Resources::new(8, 64_000, 0);
    cell.crash(1);
    cell.resize(1, small);
    cell.run(ms(700));
    let now = cell.world.now;
    cell.world.leader.report(now, late);
    cell.submit(JOB, vec![step(4, 4_000)]);
    cell.run(ms(900));
    assert_eq!(cell.starts.len(), 2);
    cell.run(ms(5_000));
    assert_eq!(cell.state(JOB), Some(JobState::Done));
    assert_eq!(cell.violations, [""; 0]);
}

/// Guards against a late announcement of the old incarnation that takes the new one out of service
/// for good.
#[rstest]
#[case::one_leader(&[])]
#[case::a_new_leader(&[2])]
#[case::two_new_leaders(&[2, 3])]
fn a_late_announcement_of_the_old_incarnation_does_not_last(#[case] terms: &[u64]) {
    let mut cell = cell(1..2);
    cell.run(ms(3_000));
    cell.crash(1);
    cell.run(ms(3_000));
    let id = cell.report_of(1).expect("it is up").id;
    let now = cell.world.now;
    cell.world.leader.minion_left(now, &id);
    for term in terms {
        cell.run(ms(500));
        cell.new_leader(*term);
    }
    cell.submit(JOB, vec![step(4, 4_000)]);
    cell.run(ms(2_000));
    assert_eq!(cell.starts.len(), 0, "its report may have been on its way");
    cell.run(ms(6_000));
    assert_eq!(cell.state(JOB), Some(JobState::Done));
    assert_eq!(cell.violations, [""; 0]);
}

/// Reports of a new incarnation are accepted although their sequence numbers restart.
#[test]
fn a_report_of_the_new_incarnation_is_accepted() {
    let mut cell = cell(1..2);
    cell.run(ms(10_000));
    cell.crash(1);
    cell.resize(1, Resources::new(8, 64_000, 0));
    cell.run(ms(700));
    cell.submit(JOB, vec![step(4, 4_000)]);
    cell.run(ms(900));
    assert_eq!(cell.starts.len(), 2);
    assert_eq!(cell.violations, [""; 0]);
}

/// A restarted minion gets no work before its first report, because its capacity may have changed,
/// and gets work afterwards.
#[rstest]
#[case::it_stayed(Readiness::Ready)]
#[case::it_was_leaving(Readiness::Draining { remaining: None })]
fn a_restarted_minion_gets_work_after_its_first_report(#[case] readiness: Readiness) {
    let mut cell = cell(1..2);
    cell.submit(JOB, vec![lasting(1, 1_000)]);
    cell.run(ms(1_000));
    let report = cell.report_of(1).expect("it is up");
    let now = cell.world.now;
    cell.world.leader.report(
        now,
        MinionReport {
            readiness,
            ..report
        },
    );
    cell.first_report_delay = ms(1_500);
    cell.crash(1);
    cell.run(ms(1_000));
    let before = cell.ports_of(first_step(JOB).task(0)).len();
    cell.run(ms(1_000));
    let after = cell.ports_of(first_step(JOB).task(0)).len();
    assert_eq!((before, after), (0, 1));
}

/// A restart of a minion, and leaders that are lost around it.
struct LostLeaders {
    /// Time from the crash to the loss of each leader.
    at: &'static [u64],
    /// Time from the crash to a second one.
    crash_again: Option<u64>,
    /// Capacity after the restart.
    capacity: Resources,
    /// Time from the start of an incarnation to its first report.
    report_after: u64,
}

const SMALLER: Resources = Resources::new(8, 64_000, 0);
const LESS_MEMORY: Resources = Resources::new(32, 300, 0);
const LARGER: Resources = Resources::new(48, 64_000, 0);

/// Guards against a new leader that fills a restarted minion by the capacity of its former
/// incarnation, because only the leader before knew that it had not reported.
#[rstest]
#[case::before_the_restart(LostLeaders { at: &[50], crash_again: None, capacity: SMALLER, report_after: 1_500 })]
#[case::during_it(LostLeaders { at: &[105], crash_again: None, capacity: SMALLER, report_after: 1_500 })]
#[case::before_the_report(LostLeaders { at: &[700], crash_again: None, capacity: SMALLER, report_after: 1_500 })]
#[case::less_memory(LostLeaders { at: &[700], crash_again: None, capacity: LESS_MEMORY, report_after: 1_500 })]
#[case::larger(LostLeaders { at: &[700], crash_again: None, capacity: LARGER, report_after: 1_500 })]
#[case::two_leaders(LostLeaders { at: &[700, 1_000], crash_again: None, capacity: SMALLER, report_after: 1_500 })]
#[case::two_restarts(LostLeaders { at: &[400, 900], crash_again: Some(600), capacity: SMALLER, report_after: 1_500 })]
#[case::after_the_report(LostLeaders { at: &[700], crash_again: None, capacity: SMALLER, report_after: 300 })]
fn a_new_leader_does_not_overfill_a_restarted_minion(#[case] lost: LostLeaders) {
    let mut cell = cell(1..3);
    for job in 0..20 {
        cell.submit(JOB + job, vec![step(8, 4_000)]);
    }
    cell.run(ms(500));
    cell.first_report_delay = ms(lost.report_after);
    cell.crash(1);
    cell.resize(1, lost.capacity);
    let mut events: Vec<_> = lost.at.iter().map(|at| (*at, true)).collect();
    events.extend(lost.crash_again.map(|at| (at, false)));
    events.sort_unstable();
    let (mut now, mut term) = (0, 1);
    for (at, leader) in events {
        cell.run(ms(at - now));
        now = at;
        if leader {
            term += 1;
            cell.new_leader(term);
        } else {
            cell.crash(1);
        }
    }
    cell.run(ms(30_000));
    assert_eq!(states(&cell, JOB, 20), [Some(JobState::Done); 20]);
    assert_eq!(cell.violations, [""; 0]);
}

/// Guards against a new leader that never learns the labels of a restarted minion, or doesn't pass
/// them on to the next.
#[test]
fn leaders_after_a_restart_learn_the_labels_of_the_minion() {
    let mut cell = cell(1..2);
    cell.run(ms(3_000));
    cell.first_report_delay = ms(1_500);
    cell.crash(1);
    cell.labels.insert(1, vec!["b".into(), "r2-1".into()]);
    cell.run(ms(700));
    cell.new_leader(2);
    cell.run(ms(2_000));
    cell.new_leader(3);
    let labelled = StepSpec {
        label: Some("b".into()),
        ..step(1, 1_000)
    };
    cell.submit(JOB, vec![labelled]);
    cell.run(ms(500));
    assert_eq!(cell.starts.len(), 1, "before its next report");
}

/// Tasks of a minion that restarted and then stopped answering run elsewhere once its lease is
/// over.
#[test]
fn a_minion_lost_after_a_restart_keeps_its_tasks_no_longer_than_a_lease() {
    let mut cell = cell(1..3);
    cell.submit(JOB, vec![lasting(1, 1_000)]);
    cell.run(ms(2_500));
    let task = first_step(JOB).task(0);
    let port = cell.ports_of(task)[0];
    let host = cell.report_of(port).expect("it is up");
    cell.restart_delay = ms(60_000);
    cell.crash(port);
    let again = MinionReport {
        started: host.started.map(|at| at + ms(5_000)),
        sequence: 1,
        ..host
    };
    let now = cell.world.now;
    cell.world.leader.report(now, again);
    let back = cell.run_until("the task to be back", |cell| cell.ports_of(task).len() == 1);
    assert!(back < ms(7_000), "{back:?}");
}

/// A task that crashes its minions is given up also if they keep their ids.
#[rstest]
#[case::its_start_is_answered(StartAnswer::Delivered, ms(3_000))]
#[case::the_answer_is_lost(StartAnswer::Lost, ms(3_000))]
#[case::the_minion_is_back_soon(StartAnswer::Delivered, ms(500))]
#[case::back_soon_and_the_answer_is_lost(StartAnswer::Lost, ms(500))]
fn a_task_that_crashes_minions_with_the_same_id_is_given_up(
    #[case] answer: StartAnswer,
    #[case] away: Duration,
) {
    let mut cell = cell(1..9);
    cell.restart_delay = away;
    cell.start_answer = answer;
    let crasher = first_step(JOB).task(0);
    cell.crashers.insert(crasher);
    cell.submit(JOB, vec![step(3, 1_000)]);
    cell.run(ms(60_000));
    assert_eq!(cell.state(JOB), Some(JobState::Failed));
    let too_many = cell.excess_starts.get(&crasher);
    assert!(too_many <= Some(&2), "{too_many:?}");
    assert_eq!(cell.violations, [""; 0]);
}

/// With restarts and other faults at random times, no task runs twice and every job ends.
#[test]
fn restarts_at_random_lose_nothing_and_run_nothing_twice() {
    for seed in 1..=40 {
        run_random_restarts(seed);
    }
}

/// Starts that are carried out late, on minions that crash meanwhile, don't make their job fail.
#[rstest]
#[case::done_before_the_crash(124)]
#[case::ordered_on_four_minions_that_were_lost(311)]
#[case::ordered_before_a_change_of_leaders(367)]
fn a_job_is_not_given_up_for_starts_that_did_not_crash_their_minions(#[case] seed: u64) {
    run_random_restarts(seed);
}

fn run_random_restarts(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = cell(1..9);
    let mut term = 1;
    let jobs: Vec<JobId> = (0..40).map(|i| JOB + i).collect();
    for job in &jobs {
        let first = step(rng.random_range(1..6), rng.random_range(500..6_000));
        let second = StepSpec {
            after: vec![0],
            ..checkpointed(rng.random_range(1..4), rng.random_range(500..6_000))
        };
        cell.submit(*job, vec![first, second]);
        cell.run(ms(rng.random_range(0..500)));
        cell.start_delay = Duration::ZERO;
        match rng.random_range(0..10) {
            0..=2 => cell.crash(rng.random_range(1..9)),
            3 => (1..9).for_each(|port| cell.crash(port)),
            4 => {
                term += 1;
                cell.new_leader(term);
            }
            5 => cell.listing_delay = ms(rng.random_range(0..300)),
            6 => cell.start_delay = ms(rng.random_range(50..2_000)),
            7 => cell.restart_delay = ms(rng.random_range(50..4_000)),
            _ => {}
        }
    }
    cell.start_delay = Duration::ZERO;
    cell.run(ms(120_000));
    assert_eq!(cell.violations, [""; 0], "seed {seed}");
    for job in &jobs {
        cell.assert_done_or_given_up(*job, seed);
    }
}
