//! Health of minions on which several members of one gang fail, and gangs on minions that failed.

mod batch_world;

use std::time::Duration;

use batch_world::hosts::{Cell, Restart};
use batch_world::{JOB, World, first_step, gang, lasting, listed, ms, queue, report, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{Answer, ListedEnd, StartOrder, StartRefusal};
use yuccahold::batch::model::{EndKind, JobId, JobState, Lifetime, MinionNumber, Queue, StepSpec};
use yuccahold::resources::Resources;

/// Job of the work beside the gang.
const OTHER: JobId = JOB + 1;
/// Most time between two placement rounds, and the ticks of the simulation.
const ROUND: Duration = ms(200);
/// Run time by which a run proves its minion healthy.
const WORKED_AFTER: Duration = ms(1_000);
const TASKS_PER_MINION: usize = 32;

fn attempts(attempts: u32) -> Queue {
    Queue {
        attempts,
        ..queue()
    }
}

fn gang_of(lifetime: Lifetime, count: u32) -> StepSpec {
    StepSpec {
        lifetime,
        estimate: ms(60_000),
        ..gang(count, 1_000)
    }
}

fn end(number: u64, run: &StartOrder, kind: EndKind) -> ListedEnd {
    ListedEnd {
        number,
        task: run.task,
        run: run.run,
        kind,
        checkpoint: Default::default(),
    }
}

/// Submits three single tasks and returns how many of them start at once.
fn singles_started(world: &mut World) -> usize {
    world.take_starts();
    world.submit(OTHER, vec![step(3, 1_000)]);
    let starts = world.take_starts();
    let other = starts.iter().filter(|(_, s)| s.task.step.job == OTHER);
    other.count()
}

/// A minion that runs a gang of three.
fn world_with_gang(lifetime: Lifetime) -> (World, MinionNumber, Vec<StartOrder>) {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit_to(JOB, attempts(60), vec![gang_of(lifetime, 3)]);
    let runs = world.start_all().into_iter().map(|(_, run)| run).collect();
    (world, minion, runs)
}

/// How the ends of the members reach the leader.
#[derive(Clone, Copy, Debug)]
enum Ends {
    OneListing,
    TwoListings,
    OneMemberStillRuns,
}

/// Members that fail in one run counted as several failures in a row of their minion, which got no
/// new work for a second although it is sound.
#[rstest]
fn members_that_fail_in_one_run_are_one_failure_of_their_minion(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
    #[values(Ends::OneListing, Ends::TwoListings, Ends::OneMemberStillRuns)] ends: Ends,
) {
    let (mut world, minion, runs) = world_with_gang(lifetime);
    world.advance(ms(60));
    let failed = |n: usize| end(n as u64 + 1, &runs[n], EndKind::Failed);
    match ends {
        Ends::OneListing => world.list(minion, vec![], (0..3).map(failed).collect()),
        Ends::TwoListings => {
            world.list(minion, vec![listed(&runs[2])], vec![failed(0), failed(1)]);
            world.advance(ms(50));
            world.list(minion, vec![], vec![failed(2)]);
        }
        Ends::OneMemberStillRuns => {
            let running = vec![listed(&runs[1]), listed(&runs[2])];
            world.list(minion, running, vec![failed(0)]);
            world.advance(ms(50));
            world.list(minion, vec![listed(&runs[2])], vec![failed(1)]);
        }
    }
    assert_eq!(singles_started(&mut world), 3);
}

/// Guards against a count that takes all failures of a gang for one: a second run that fails is a
/// second failure in a row.
#[rstest]
fn members_that_fail_in_the_next_run_are_the_second_failure(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
) {
    let (mut world, minion, mut runs) = world_with_gang(lifetime);
    for first in [1, 4] {
        world.advance(ms(60));
        let ends = (first..).zip(&runs);
        let ends = ends.map(|(number, run)| end(number, run, EndKind::Failed));
        let ends = ends.collect();
        world.list(minion, vec![], ends);
        runs = world.start_all().into_iter().map(|(_, run)| run).collect();
    }
    assert_eq!(runs.len(), 0, "starts of the gang");
    assert_eq!(singles_started(&mut world), 0);
}

/// Refused starts of the members of one run counted as several failures in a row.
#[rstest]
fn refused_starts_of_the_members_of_one_run_are_one_failure(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
) {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit_to(JOB, attempts(60), vec![gang_of(lifetime, 3)]);
    for (_, run) in world.take_starts() {
        let clock = Some(world.now);
        let why = StartRefusal::Unhealthy;
        world.answer_start(minion, run.task, run.run, Answer::Refused { clock, why });
    }
    assert_eq!(singles_started(&mut world), 3);
}

/// Minions at `ports` that are on probation, the work that failed there being over.
fn on_probation(ports: std::ops::Range<u16>, failing: &[u16], failures: u32) -> Cell {
    let mut cell = Cell::new(ports);
    for port in failing {
        let label = format!("only-{port}");
        cell.labels.insert(*port, vec![label.as_str().into()]);
        cell.failing.insert(*port);
    }
    cell.run(ms(600));
    for port in failing {
        let only = StepSpec {
            label: Some(format!("only-{port}").as_str().into()),
            ..step(1, 1_000)
        };
        let job = JOB + 100 + JobId::from(*port);
        cell.submit_to(job, attempts(failures), vec![only]);
    }
    let over = |port: &u16| JOB + 100 + JobId::from(*port);
    cell.run_until("the failures", |cell| {
        let state = |port| cell.state(over(port));
        failing
            .iter()
            .all(|port| state(port) == Some(JobState::Failed))
    });
    cell.failing.clear();
    cell
}

fn members_at_work(cell: &Cell, count: u32) -> usize {
    let members = (0..count).map(|index| first_step(JOB).task(index));
    members
        .filter(|task| !cell.ports_of(*task).is_empty())
        .count()
}

/// A minion on probation had room for one member only, so a gang that fits nowhere else was never
/// started.
#[rstest]
fn a_gang_starts_after_the_pause_of_the_minions_that_suit_it(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
    #[values((2, ms(1_000)), (3, ms(2_000)), (5, ms(8_000)), (6, ms(8_000)))] pause: (
        u32,
        Duration,
    ),
    #[values((1..2, vec![1], 3), (1..3, vec![1], 40), (1..3, vec![1, 2], 40))] place: (
        std::ops::Range<u16>,
        Vec<u16>,
        u32,
    ),
) {
    let (failures, pause) = pause;
    let (ports, failing, count) = place;
    let mut cell = on_probation(ports, &failing, failures);
    cell.submit_to(JOB, attempts(60), vec![gang_of(lifetime, count)]);
    let took = cell.run_until("the gang", |cell| {
        members_at_work(cell, count) == count as usize
    });
    assert!(took <= pause + ROUND, "started after {took:?}");
    assert_eq!(cell.violations, [""; 0]);
}

/// A gang that probes a minion is the one run that starts there, until it has worked for a while.
#[rstest]
fn nothing_starts_beside_a_gang_that_probes_until_it_has_worked(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
) {
    let mut cell = on_probation(1..2, &[1], 2);
    cell.submit_to(JOB, attempts(60), vec![gang_of(lifetime, 3)]);
    for job in OTHER..OTHER + 40 {
        cell.submit(
            job,
            vec![StepSpec {
                estimate: ms(60_000),
                ..step(1, 1_000)
            }],
        );
    }
    cell.run_until("the probe", |cell| cell.runs_on(1) > 0);
    let took = cell.run_until("other work", |cell| cell.runs_on(1) > 3);
    assert_eq!(members_at_work(&cell, 3), 3);
    assert!(took >= WORKED_AFTER, "after {took:?}");
    let rest = cell.run_until("full use", |cell| cell.runs_on(1) == TASKS_PER_MINION);
    assert!(took + rest <= ms(2_000), "after {took:?} and {rest:?}");
    assert_eq!(cell.violations, [""; 0]);
}

/// Guards against a minion that fails everything and gets a gang more often than a single task: its
/// runs are separated by pauses of 1, 2, 4, 8 and 8 s.
#[rstest]
fn a_gang_that_always_fails_probes_its_minion_with_the_usual_pauses(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
) {
    let mut cell = Cell::new(1..2);
    cell.failing.insert(1);
    cell.submit_to(JOB, attempts(600), vec![gang_of(lifetime, 3)]);
    cell.run(ms(22_000));
    assert_eq!(cell.starts[&first_step(JOB).task(0)], 6);
    assert_eq!(cell.failed, 18);
    cell.run(ms(2_500));
    assert_eq!(cell.starts[&first_step(JOB).task(0)], 7);
}

/// Brings a minion on probation by two runs of a single task, and lets the pause pass.
fn probation(world: &mut World, minion: MinionNumber, only: &str) {
    let job = JOB + 200;
    let label = Some(only.into());
    world.submit_to(
        job,
        attempts(2),
        vec![StepSpec {
            label,
            ..step(1, 1_000)
        }],
    );
    for number in 1..=2 {
        let runs = world.start_all();
        world.advance(ms(60));
        world.list(
            minion,
            vec![],
            vec![end(number, &runs[0].1, EndKind::Failed)],
        );
    }
    assert_eq!(world.ledger.job_state(job), Some(JobState::Failed));
    world.advance(ms(1_100));
}

/// Guards against other work on a minion whose probe has failed in part: the next probe waits for
/// the last member.
#[rstest]
fn other_work_waits_for_the_last_member_of_a_gang_that_probes(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
    #[values(0, 1, 2)] last: usize,
) {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    probation(&mut world, minion, "a");
    world.submit_to(JOB, attempts(60), vec![gang_of(lifetime, 3)]);
    let runs = world.start_all();
    assert_eq!(runs.len(), 3);
    world.advance(ms(60));
    let failed = (0..3).filter(|n| *n != last);
    let ends = failed.enumerate();
    let ends = ends.map(|(n, member)| end(n as u64 + 3, &runs[member].1, EndKind::Failed));
    world.list(minion, vec![listed(&runs[last].1)], ends.collect());
    world.submit(OTHER, vec![step(1, 1_000)]);
    for _ in 0..30 {
        world.advance(ms(100));
        world.list(minion, vec![listed(&runs[last].1)], vec![]);
    }
    assert_eq!(
        world.take_starts().len(),
        0,
        "starts beside the last member"
    );
    world.list(
        minion,
        vec![],
        vec![end(5, &runs[last].1, EndKind::GangMemberLost)],
    );
    world.advance(ms(200));
    assert!(!world.take_starts().is_empty());
}

/// Guards against probation that ends by a gang that does not work: members wait for the others, and
/// work only once all are present.
#[rstest]
fn a_gang_that_is_not_complete_does_not_end_the_probation(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
) {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    let mut second = report("i-2", 2);
    second.labels = vec!["b".into()];
    let second = world.join_as(second);
    probation(&mut world, minion, "a");
    let halves = StepSpec {
        max_per_minion: Some(20),
        ..gang_of(lifetime, 40)
    };
    world.submit_to(JOB, attempts(60), vec![halves]);
    let starts = world.take_starts();
    let (here, there): (Vec<_>, Vec<_>) = starts.into_iter().partition(|(m, _)| *m == minion);
    assert_eq!((here.len(), there.len()), (20, 20));
    let clock = Some(world.now);
    for (_, run) in &here {
        world.answer_start(minion, run.task, run.run, Answer::Done { clock });
    }
    let at_work: Vec<_> = here.iter().map(|(_, run)| listed(run)).collect();
    let only = StepSpec {
        label: Some("a".into()),
        ..step(3, 1_000)
    };
    world.submit(OTHER, vec![only]);
    for _ in 0..18 {
        world.advance(ms(100));
        world.list(minion, at_work.clone(), vec![]);
    }
    assert_eq!(world.take_starts().len(), 0, "while members wait");
    for (_, run) in &there {
        world.answer_start(second, run.task, run.run, Answer::Done { clock });
    }
    world.advance(WORKED_AFTER);
    world.list(minion, at_work, vec![]);
    assert_eq!(world.take_starts().len(), 3, "after all have worked");
}

/// Guards against a gang that waits for work with a reservation although there is room for both: a
/// minion with a reservation had room for one member only.
#[test]
fn a_gang_starts_beside_a_reservation_that_it_does_not_delay() {
    let mut cell = Cell::new(1..2);
    let large = |estimate| StepSpec {
        need: Resources::new(4, 40_000, 0),
        estimate,
        ..step(1, 1_000)
    };
    cell.submit(OTHER, vec![large(ms(50_000))]);
    cell.run(ms(100));
    cell.submit(OTHER + 1, vec![large(ms(50_000))]);
    cell.run(ms(100));
    let late = Queue {
        priority: 2,
        ..attempts(60)
    };
    cell.submit_to(JOB, late, vec![gang(3, 1_000)]);
    let took = cell.run_until("the gang", |cell| members_at_work(cell, 3) == 3);
    assert!(took <= ROUND, "started after {took:?}");
    assert_eq!(cell.violations, [""; 0]);
}

/// Guards against a gang that waits for ever when each of its members is on trial after a crash of
/// the only minion that suits it.
#[rstest]
fn a_gang_on_trial_starts_on_the_only_minion_that_suits_it(
    #[values(Lifetime::Finite, Lifetime::Lasting)] lifetime: Lifetime,
    #[values(Restart::NewName, Restart::SameName)] restart: Restart,
) {
    let mut cell = Cell::new(1..2);
    cell.restart = restart;
    cell.submit_to(JOB, attempts(60), vec![gang_of(lifetime, 3)]);
    cell.run_until("the gang", |cell| members_at_work(cell, 3) == 3);
    cell.run(ms(20));
    cell.crash(1);
    let took = cell.run_until("the next run", |cell| members_at_work(cell, 3) == 3);
    let crashes = (0..3).map(|index| cell.world.ledger.task(first_step(JOB).task(index)));
    assert!(crashes.flatten().all(|task| task.crashes.any()));
    assert!(took <= ms(10_000), "started after {took:?}");
    cell.submit(OTHER, vec![step(1, 1_000)]);
    cell.run_until("other work", |cell| cell.runs_on(1) == 4);
    assert_eq!(cell.violations, [""; 0]);
}

/// A probe whose start got no answer never counted as working, however long it was listed: with one
/// that does not end, its minion was given no other work for ever.
#[rstest]
#[case::a_task(lasting(1, 1_000))]
#[case::a_gang(gang_of(Lifetime::Lasting, 3))]
fn a_probe_that_is_listed_ends_the_probation_though_its_start_got_no_answer(
    #[case] probe: StepSpec,
) {
    let mut cell = on_probation(1..2, &[1], 2);
    cell.start_delay = ms(20);
    let members = probe.count;
    cell.submit_to(JOB, attempts(60), vec![probe]);
    cell.run_until("the probe", |cell| cell.runs_on(1) > 0);
    cell.run(ms(1_500));
    cell.start_delay = Duration::ZERO;
    cell.submit(
        OTHER,
        vec![StepSpec {
            estimate: ms(60_000),
            ..step(8, 1_000)
        }],
    );
    let all = members as usize + 8;
    let took = cell.run_until("other work", |cell| cell.runs_on(1) == all);
    assert!(took <= ms(4_000), "started after {took:?}");
    assert_eq!(cell.violations, [""; 0]);
}

/// Lasting runs that were taken over from an earlier leader counted as failures however long they
/// had run, so two of them kept a sound minion from work.
#[test]
fn lasting_runs_of_an_earlier_leader_that_ran_for_long_are_no_failures_of_their_minion() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit_to(JOB, attempts(60), vec![lasting(2, 1_000)]);
    let runs: Vec<_> = world.start_all().into_iter().map(|(_, run)| run).collect();
    world.new_leader(2);
    for _ in 0..12 {
        world.list(minion, runs.iter().map(listed).collect(), vec![]);
        world.advance(ms(500));
    }
    let ends = [1, 2].into_iter().zip(&runs);
    let ends = ends.map(|(number, run)| end(number, run, EndKind::Failed));
    let ends = ends.collect();
    world.list(minion, vec![], ends);
    assert_eq!(singles_started(&mut world), 3);
}
