//! Copies of late tasks: what callers get from them, and that failures around them break no rule.

mod batch_world;

use batch_world::hosts::{Cell, Restart};
use batch_world::{JOB, config, first_step, gang, lasting, ms, queue, step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use yuccahold::batch::dispatch::{DispatchConfig, Mechanisms, Order};
use yuccahold::batch::event::Event;
use yuccahold::batch::ledger::Command;
use yuccahold::batch::model::{JobId, JobState, MinionNumber, StepSpec, TaskId};

/// Objective of a job with one step of 1 s in the default queue.
const OBJECTIVE_MS: u128 = 1_750;
/// Job whose lasting tasks use resources, of which copies may use a tenth.
const BASE: JobId = JOB - 1;
const OWNER: &str = "paint";

fn without_copies() -> DispatchConfig {
    DispatchConfig {
        mechanisms: Mechanisms::without("copies").expect("a known name"),
        ..config()
    }
}

fn copyable(count: u32, millicores: u32) -> StepSpec {
    StepSpec {
        copies_allowed: true,
        ..step(count, millicores)
    }
}

/// Ages of the jobs that ended as done, among those selected.
fn ages(cell: &Cell, select: impl Fn(JobId) -> bool) -> Vec<u128> {
    let ages = cell.orders.iter().filter_map(|order| match order {
        Order::Event(event) => match **event {
            Event::JobEnded {
                job, state, age, ..
            } if state == "done" && select(job) => Some(age.as_millis()),
            _ => None,
        },
        _ => None,
    });
    ages.collect()
}

fn copies_over(cell: &Cell) -> (usize, usize) {
    let count = |wanted: bool| {
        let orders = cell.orders.iter().filter(|order| match order {
            Order::Event(event) => matches!(**event, Event::CopyOver { won, .. } if won == wanted),
            _ => false,
        });
        orders.count()
    };
    (count(true), count(false))
}

/// Plays quick jobs on 20 minions of which the two busiest are cut off for 6 s. A third of the jobs
/// allow copies. Returns the ages of the jobs that do and of those that don't.
fn play_cut(cfg: DispatchConfig) -> (Cell, Vec<u128>, Vec<u128>) {
    let mut cell = Cell::with(1..21, cfg);
    let allows = |job: JobId| (job - JOB).is_multiple_of(3);
    let mut cut = Vec::new();
    for i in 0..250 {
        let spec = StepSpec {
            copies_allowed: allows(JOB + i),
            max_per_minion: Some(1),
            ..step(8, 2_000)
        };
        cell.submit(JOB + i, vec![spec]);
        cell.run(ms(40));
        if i == 75 {
            cut = cell.busiest(2);
            cut.iter().for_each(|port| cell.cut(*port));
        }
        if i == 225 {
            cut.iter().for_each(|port| cell.reconnect(*port));
        }
    }
    cell.run(ms(15_000));
    let allowed = ages(&cell, allows);
    let others = ages(&cell, |job| !allows(job));
    (cell, allowed, others)
}

/// Callers whose steps allow copies get their results in time while a tenth of the minions are cut
/// off, and no others lose by it.
#[test]
fn copies_serve_jobs_of_which_tasks_are_on_minions_that_are_cut_off() {
    let (cell, allowed, others) = play_cut(config());
    let (_, allowed_without, others_without) = play_cut(without_copies());
    let later_than = |ages: &[u128], objectives: u128| {
        let late = ages.iter().filter(|age| **age > objectives * OBJECTIVE_MS);
        late.count()
    };
    // Guards against a load that shows nothing.
    assert!(later_than(&allowed_without, 3) >= 5);
    assert_eq!(later_than(&allowed, 3), 0, "no value is left after that");
    assert!(later_than(&allowed, 1) <= later_than(&allowed_without, 1));
    for objectives in [1, 3] {
        let lost = later_than(&others, objectives);
        assert!(lost <= later_than(&others_without, objectives));
    }
    assert!(copies_over(&cell).0 >= 5);
    assert_eq!(cell.violations, [""; 0]);
}

/// A job of one task that allows copies, beside lasting tasks that use ten times as much. The
/// minion of the task is cut off. Returns the cell when the copy is recorded and not yet started.
fn cell_with_copy() -> (Cell, u16) {
    let mut cell = Cell::new(1..9);
    cell.restart = Restart::SameName;
    cell.restart_delay = ms(1_000);
    cell.submit(BASE, vec![lasting(12, 2_000)]);
    cell.set_limits(1, &[(OWNER, 5)]);
    let spec = StepSpec {
        estimate: ms(3_000),
        ..copyable(1, 2_000)
    };
    cell.submit_for(OWNER, JOB, queue(), vec![spec]);
    let task = first_step(JOB).task(0);
    cell.run_until("the first run", |cell| cell.starts.contains_key(&task));
    cell.run(ms(100));
    let port = cell.ports_of(task)[0];
    cell.cut(port);
    cell.run_until("the copy", |cell| copy_of(cell, task).is_some());
    (cell, port)
}

fn copy_of(cell: &Cell, task: TaskId) -> Option<MinionNumber> {
    let copies = cell.orders.iter().filter_map(|order| match order {
        Order::Event(event) => match &**event {
            Event::CopyPlaced {
                task: placed,
                minion,
                ..
            } if *placed == task => cell.world.ledger.minion_number(minion),
            _ => None,
        },
        _ => None,
    });
    copies.last()
}

/// What happens while a task has two runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    NewLeader,
    StartUnanswered,
    FirstMinionRestarts,
    CopysMinionRestarts,
    CopysMinionIsCutOff,
    Reconnected,
}

/// Guards against a task that is lost, done twice or never released by its two runs.
#[rstest]
#[case::nothing_else_happens(Fault::Nothing)]
#[case::the_leader_is_lost_before_the_start_is_answered(Fault::NewLeader)]
#[case::the_start_of_the_copy_is_not_answered(Fault::StartUnanswered)]
#[case::the_first_minion_restarts(Fault::FirstMinionRestarts)]
#[case::the_minion_of_the_copy_restarts(Fault::CopysMinionRestarts)]
#[case::the_minion_of_the_copy_is_cut_off_too(Fault::CopysMinionIsCutOff)]
#[case::the_first_minion_answers_again(Fault::Reconnected)]
fn a_task_with_a_copy_is_done_once(#[case] fault: Fault) {
    let (mut cell, first) = cell_with_copy();
    let task = first_step(JOB).task(0);
    let ports: Vec<u16> = (1..9).filter(|port| *port != first).collect();
    match fault {
        Fault::Nothing => {}
        Fault::NewLeader => cell.new_leader(2),
        Fault::StartUnanswered => cell
            .start_delays
            .extend(ports.iter().map(|p| (*p, ms(600)))),
        _ => cell.run(ms(50)),
    }
    let copy = cell.ports_of(task).into_iter().find(|port| *port != first);
    match fault {
        Fault::FirstMinionRestarts => cell.crash(first),
        Fault::CopysMinionRestarts => cell.crash(copy.expect("it has started")),
        Fault::CopysMinionIsCutOff => cell.cut(copy.expect("it has started")),
        Fault::Reconnected => cell.reconnect(first),
        _ => {}
    }
    cell.run(ms(4_000));
    (1..9).for_each(|port| cell.reconnect(port));
    cell.run(ms(12_000));
    cell.start_delays.clear();
    assert_eq!(cell.state(JOB), Some(JobState::Done), "{fault:?}");
    assert_eq!(cell.violations, [""; 0]);
    assert!(cell.starts[&task] <= 3, "{} starts", cell.starts[&task]);
    check_all_released(&mut cell);
}

/// Checks that ended runs hold neither resources of minions nor a part of a limit: a job that needs
/// the whole limit starts, and the leader counts only the lasting tasks.
fn check_all_released(cell: &mut Cell) {
    cell.submit_for(OWNER, JOB + 100, queue(), vec![step(1, 5_000)]);
    cell.run(ms(3_000));
    assert_eq!(cell.state(JOB + 100), Some(JobState::Done));
    let mut cells = cell.orders.iter().rev().filter_map(|order| match order {
        Order::Event(event) => match **event {
            Event::Cell { used, copies, .. } => Some((used.millicores, copies)),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(cells.next(), Some((24_000, 0)));
}

/// Guards against a copy that goes on after its job was cancelled.
#[test]
fn both_runs_are_stopped_when_the_job_is_cancelled() {
    let (mut cell, first) = cell_with_copy();
    let task = first_step(JOB).task(0);
    cell.run(ms(50));
    assert_eq!(cell.ports_of(task).len(), 2);
    cell.world.apply(&Command::Cancel { job: JOB });
    cell.reconnect(first);
    cell.run(ms(500));
    assert_eq!(cell.ports_of(task), [0; 0]);
    assert_eq!(cell.violations, [""; 0]);
    check_all_released(&mut cell);
}

/// A leader that hears of the first end and is lost before it is committed: the next one hears of
/// it again, and stops the other run.
#[test]
fn an_end_that_was_not_committed_is_taken_by_the_next_leader() {
    let (mut cell, first) = cell_with_copy();
    let task = first_step(JOB).task(0);
    cell.run_until("the end of the copy", |cell| {
        cell.starts[&task] == 2 && cell.ports_of(task) == [0; 0]
    });
    cell.new_leader(2);
    cell.reconnect(first);
    cell.run(ms(8_000));
    assert_eq!(cell.state(JOB), Some(JobState::Done));
    assert_eq!(cell.starts[&task], 2);
    assert_eq!(cell.violations, [""; 0]);
    check_all_released(&mut cell);
}

/// A copy counts against the limit of its workspace.
#[test]
fn no_copy_exceeds_the_limit_of_its_workspace() {
    let mut cell = Cell::new(1..9);
    cell.submit(BASE, vec![lasting(12, 2_000)]);
    cell.set_limits(1, &[(OWNER, 3)]);
    cell.submit_for(OWNER, JOB, queue(), vec![copyable(1, 2_000)]);
    let task = first_step(JOB).task(0);
    cell.run(ms(200));
    let port = cell.ports_of(task)[0];
    cell.cut(port);
    cell.run(ms(10_000));
    assert_eq!(copy_of(&cell, task), None);
    assert_eq!(cell.state(JOB), Some(JobState::Done));
    assert_eq!(cell.violations, [""; 0]);
}

/// Plays a random load with faults on 10 minions. Copies are allowed where `allowed` says so.
fn play_random(seed: u64, cfg: DispatchConfig, allowed: impl Fn(JobId) -> bool) -> Cell {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = Cell::with(1..11, cfg);
    cell.restart = Restart::SameName;
    cell.set_limits(1, &[(OWNER, 60)]);
    let mut term = 1;
    for i in 0..60 {
        let job = JOB + i;
        let mut spec = step(rng.random_range(1..12), rng.random_range(500..4_000));
        spec.estimate = ms(rng.random_range(200..2_000));
        spec.copies_allowed = allowed(job);
        if i % 2 == 0 {
            cell.submit_for(OWNER, job, queue(), vec![spec.clone(), spec]);
        } else {
            cell.submit(job, vec![spec]);
        }
        cell.run(ms(rng.random_range(0..250)));
        let port = rng.random_range(1..11);
        match rng.random_range(0..14) {
            0 => cell.crash(port),
            1 | 2 => cell.cut(port),
            3 | 4 => (1..11).for_each(|port| cell.reconnect(port)),
            5 => {
                term += 1;
                cell.new_leader(term);
            }
            6 => drop(
                cell.start_delays
                    .insert(port, ms(rng.random_range(50..400))),
            ),
            7 => cell.start_delays.clear(),
            8 => cell.listing_delay = ms(rng.random_range(0..100)),
            _ => {}
        }
    }
    (1..11).for_each(|port| cell.reconnect(port));
    cell.start_delays.clear();
    cell.run(ms(60_000));
    cell
}

/// Capacity, limits and the number of runs hold through random faults, and every job is done.
#[test]
fn copies_keep_all_rules_under_random_faults() {
    let (mut won, mut lost) = (0, 0);
    // 652: the first run starts late, after the copy is done.
    for seed in (1..=40).chain([652]) {
        let cell = play_random(seed, config(), |job| job % 2 == 0);
        assert_eq!(cell.violations, [""; 0], "seed {seed}");
        for i in 0..60 {
            cell.assert_done_or_given_up(JOB + i, seed);
        }
        let over = copies_over(&cell);
        (won, lost) = (won + over.0, lost + over.1);
    }
    assert!(won > 0 && lost > 0, "{won} copies won, {lost} lost");
}

/// Guards against effects on callers who declare nothing: the same load is decided in the same way
/// with and without the mechanism, and no task has two runs.
#[test]
fn without_the_declaration_all_orders_are_the_same() {
    for seed in 1..=10 {
        let with = play_random(seed, config(), |_| false);
        let without = play_random(seed, without_copies(), |_| false);
        assert_eq!(with.violations, [""; 0], "seed {seed}");
        assert!(with.orders == without.orders, "seed {seed}");
    }
}

/// Copies allowed on a gang or on lasting tasks have no effect.
#[rstest]
#[case::a_gang(gang(4, 2_000))]
#[case::lasting_tasks(lasting(4, 2_000))]
fn steps_that_can_have_no_copies_get_none(#[case] spec: StepSpec) {
    let mut cell = Cell::new(1..9);
    cell.submit(BASE, vec![lasting(40, 2_000)]);
    let allowed = StepSpec {
        copies_allowed: true,
        ..spec
    };
    cell.submit(JOB, vec![allowed]);
    cell.run(ms(300));
    let port = cell.ports_of(first_step(JOB).task(0))[0];
    cell.cut(port);
    cell.run(ms(3_000));
    assert_eq!(cell.orders.iter().filter(|o| is_copy_placed(o)).count(), 0);
}

fn is_copy_placed(order: &Order) -> bool {
    let Order::Event(event) = order else {
        return false;
    };
    matches!(**event, Event::CopyPlaced { .. })
}

/// A step of 1,000 tasks on minions of which a tenth are cut off: copies stay within a tenth of the
/// resources in use, which include their own, and all tasks are done.
#[test]
fn copies_of_a_wide_step_stay_within_their_share() {
    let mut cell = Cell::new(1..41);
    cell.submit(JOB, vec![copyable(1_000, 1_000)]);
    cell.run(ms(300));
    let cut = cell.busiest(4);
    cut.iter().for_each(|port| cell.cut(*port));
    cell.run(ms(900));
    cut.iter().for_each(|port| cell.reconnect(*port));
    let placed = cell.orders.iter().filter(|o| is_copy_placed(o)).count();
    assert!((1..=111).contains(&placed), "{placed} copies");
    cell.run(ms(15_000));
    assert_eq!(cell.state(JOB), Some(JobState::Done));
    assert_eq!(cell.violations, [""; 0]);
}
