//! Resources of a workspace's runs stay within its limit.

mod batch_world;

use batch_world::{
    JOB, World, checkpointed, gang, lasting, listed, low_priority_queue, ms, queue, step,
};
use rstest::rstest;
use yuccahold::batch::dispatch::{Answer, CallFailure, ListedEnd, StartOrder};
use yuccahold::batch::model::{EndKind, MinionNumber, StepSpec};

/// A cell of eight minions with 32 cores each, where workspace `a` has a limit of ten cores.
fn world() -> World {
    let mut world = World::new();
    world.join_all("i", 1..9);
    world.set_limits(1, &[("a", 10), ("b", 100)]);
    world
}

/// Lists the first `count` runs of one minion as ended, and the others as running.
fn end_first(world: &mut World, starts: &[(MinionNumber, StartOrder)], count: usize) {
    let (over, on) = starts.split_at(count);
    let minion = starts[0].0;
    assert!(starts.iter().all(|(other, _)| *other == minion));
    let ended = over.iter().zip(1..).map(|((_, start), number)| ListedEnd {
        number,
        task: start.task,
        run: start.run,
        kind: EndKind::Done,
        checkpoint: Default::default(),
    });
    let running = on.iter().map(|(_, start)| listed(start));
    world.list(minion, running.collect(), ended.collect());
}

/// Guards against starts above the limit: within one step, over several steps, or over several
/// jobs.
#[rstest]
#[case::one_step(vec![vec![(20, 1000)]])]
#[case::several_steps(vec![vec![(6, 1000), (6, 1000)]])]
#[case::several_jobs(vec![vec![(6, 1000)], vec![(6, 1000)], vec![(6, 1000)]])]
fn no_more_starts_than_the_limit(#[case] jobs: Vec<Vec<(u32, u32)>>) {
    let mut world = world();
    for (i, steps) in jobs.iter().enumerate() {
        let steps = steps.iter().map(|(count, need)| step(*count, *need));
        world.submit_for("a", JOB + i as u64, queue(), steps.collect());
    }
    assert_eq!(world.take_starts().len(), 10);
    world.submit_for("b", JOB + 90, queue(), vec![step(20, 1000)]);
    assert_eq!(
        world.take_starts().len(),
        20,
        "the other's limit is its own"
    );
    world.submit_to(JOB + 91, queue(), vec![step(20, 1000)]);
    assert_eq!(world.take_starts().len(), 20, "no workspace, no limit");
}

/// Guards against reuse of a run's share of the limit while the run may still be active.
#[test]
fn a_run_that_is_being_stopped_counts() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(10, 1000)]);
    let starts = world.start_all();
    world.apply(&yuccahold::batch::ledger::Command::Cancel { job: JOB });
    world.submit_for("a", JOB + 1, queue(), vec![step(10, 1000)]);
    assert_eq!(world.take_starts().len(), 0, "nothing has stopped yet");
    end_first(&mut world, &starts, 10);
    assert_eq!(world.take_starts().len(), 10);
}

/// An unanswered start order may be carried out late, in addition to runs started in its place.
#[test]
fn a_start_in_doubt_counts() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(1, 10_000)]);
    let (minion, start) = world.take_starts().pop().expect("a start");
    world.submit_for("a", JOB + 1, queue(), vec![step(1, 10_000)]);
    for _ in 0..4 {
        let silent = Answer::Silent(CallFailure::Lost);
        world.answer_start(minion, start.task, start.run, silent);
    }
    let others = world.take_starts();
    assert!(others.iter().all(|(_, other)| other.task == start.task));
}

/// Guards against a new leader that grants the whole limit again, because it has not heard yet what
/// is running.
#[test]
fn the_next_leader_counts_what_runs() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(10, 1000)]);
    let runs = world.start_all();
    world.submit_for("a", JOB + 1, queue(), vec![step(10, 1000)]);
    world.new_leader(2);
    for port in 2..9 {
        world.answer_first_hold_of(&format!("i-{port}"));
    }
    assert_eq!(world.take_starts().len(), 0, "one minion is not heard yet");
    end_first(&mut world, &runs, 4);
    assert_eq!(world.take_starts().len(), 4);
}

/// A limit is lowered while starts are being committed; they must not be sent above the new limit.
#[test]
fn a_lowered_limit_holds_back_starts_that_are_being_agreed() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(4, 1000)]);
    assert_eq!(world.start_all().len(), 4);
    let spec = vec![step(6, 1000)];
    world.accept_for("a", JOB + 1, queue(), spec);
    let batch = world.propose_only().expect("starts");
    world.set_limits(2, &[("a", 5)]);
    world.commit(batch);
    assert!(world.take_starts().len() <= 1);
}

/// An unanswered start order must not be repeated after the limit was lowered below the usage.
#[test]
fn a_lowered_limit_ends_the_retries_of_a_start() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(4, 1000)]);
    let (minion, start) = world.take_starts().pop().expect("a start");
    world.set_limits(2, &[("a", 2)]);
    world.answer_start(
        minion,
        start.task,
        start.run,
        Answer::Silent(CallFailure::Lost),
    );
    assert_eq!(world.take_starts().len(), 0);
    assert_eq!(world.take_stops().len(), 1);
}

/// Guards against a raised limit that triggers no placement.
#[test]
fn a_raised_limit_lets_waiting_work_start() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(15, 1000)]);
    assert_eq!(world.start_all().len(), 10);
    world.set_limits(2, &[("a", 12)]);
    world.advance(ms(20));
    assert_eq!(world.take_starts().len(), 2);
}

/// Guards against waiting jobs of a removed workspace that fill the cell without a limit.
#[test]
fn the_limit_of_a_removed_workspace_stays_while_it_has_jobs() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(20, 1000)]);
    let starts = world.start_all();
    world.set_limits(2, &[("b", 100)]);
    end_first(&mut world, &starts, 10);
    assert_eq!(world.take_starts().len(), 10);
    world.new_leader(2);
    assert_eq!(world.take_starts().len(), 0, "all is in use");
}

/// Guards against a gang that starts in part or exceeds the limit.
#[rstest]
#[case::fits(10, 10)]
#[case::too_wide(11, 0)]
fn a_gang_starts_whole_within_the_limit(#[case] members: u32, #[case] started: usize) {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![gang(members, 1000)]);
    assert_eq!(world.take_starts().len(), started);
}

/// Guards against a gang that never starts, because small tasks take each freed part of the limit.
#[test]
fn a_gang_at_the_limit_is_not_starved() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![step(10, 1000)]);
    let running = world.start_all();
    world.submit_for("a", JOB + 1, queue(), vec![gang(8, 1000)]);
    for i in 0..10 {
        world.submit_for(
            "a",
            JOB + 2 + i,
            low_priority_queue(),
            vec![checkpointed(1, 1000)],
        );
    }
    for count in [3, 8] {
        assert_eq!(world.take_starts().len(), 0);
        end_first(&mut world, &running, count);
    }
    let starts = world.take_starts();
    assert_eq!(starts.len(), 8);
    assert!(
        starts
            .iter()
            .all(|(_, start)| start.task.step.job == JOB + 1)
    );
}

/// Guards against work that can never run under the limit and blocks all other work of its
/// workspace.
#[rstest]
#[case::too_wide(vec![gang(11, 1000)])]
#[case::too_large(vec![step(1, 11_000)])]
fn work_that_cannot_run_reserves_nothing(#[case] steps: Vec<StepSpec>) {
    let mut world = world();
    world.submit_for("a", JOB, queue(), steps);
    world.submit_for(
        "a",
        JOB + 1,
        low_priority_queue(),
        vec![checkpointed(4, 1000)],
    );
    assert_eq!(world.take_starts().len(), 4);
}

/// Lasting tasks use part of the limit for good. Guards against a gang that needs that part and
/// blocks the rest of the workspace.
#[test]
fn work_that_waits_for_lasting_tasks_reserves_nothing() {
    let mut world = world();
    world.submit_for("a", JOB, queue(), vec![lasting(5, 1000)]);
    world.start_all();
    world.submit_for("a", JOB + 1, queue(), vec![gang(6, 1000)]);
    world.submit_for(
        "a",
        JOB + 2,
        low_priority_queue(),
        vec![checkpointed(5, 1000)],
    );
    assert_eq!(world.take_starts().len(), 5);
}

/// Guards against work of a workspace at its limit that reserves resources of minions.
#[test]
fn work_at_its_limit_reserves_nothing_on_minions() {
    let mut world = World::new();
    world.join("i-1", 1);
    world.set_limits(1, &[("a", 10), ("b", 100)]);
    world.submit_for("a", JOB, queue(), vec![step(1, 10_000)]);
    assert_eq!(world.start_all().len(), 1);
    world.submit_for("a", JOB + 1, queue(), vec![step(1, 10_000)]);
    world.submit_for(
        "b",
        JOB + 2,
        low_priority_queue(),
        vec![checkpointed(22, 1000)],
    );
    assert_eq!(world.take_starts().len(), 22);
}

/// Guards against urgent work that waits while the limit is used up by long work of its own
/// workspace that could be preempted without loss.
#[rstest]
#[case::saves_progress(checkpointed(10, 1000), 2)]
#[case::would_lose_its_work(step(10, 1000), 0)]
fn urgent_work_preempts_work_of_its_own_workspace_at_the_limit(
    #[case] long: StepSpec,
    #[case] stopped: usize,
) {
    let mut world = world();
    world.submit_for("a", JOB, low_priority_queue(), vec![long]);
    world.submit_for(
        "b",
        JOB + 1,
        low_priority_queue(),
        vec![checkpointed(10, 1000)],
    );
    let runs = world.start_all();
    world.advance(ms(100));
    world.submit_for("a", JOB + 2, queue(), vec![step(2, 1000)]);
    world.advance(ms(100));
    let mut stops = world.take_stops();
    world.advance(ms(100));
    stops.extend(world.take_stops());
    assert!(stops.iter().all(|(_, task, _)| task.step.job == JOB));
    assert_eq!(stops.len(), stopped.min(1), "one task at a time");
    let (over, on): (Vec<_>, Vec<_>) = runs
        .into_iter()
        .partition(|(_, s)| stops.iter().any(|(_, task, _)| *task == s.task));
    if let Some((minion, _)) = over.first().cloned() {
        let order: Vec<_> = over
            .into_iter()
            .chain(on)
            .filter(|(m, _)| *m == minion)
            .collect();
        world.take_holds();
        end_first(&mut world, &order, 1);
        let starts = world.take_starts();
        assert_eq!(starts.len(), 1);
        assert_eq!(starts[0].1.task.step.job, JOB + 2);
    }
}
