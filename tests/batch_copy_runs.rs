//! When a copy of a task is started, and how its two runs end, answer by answer.

mod batch_world;

use batch_world::{JOB, World, lasting, listed, ms, queue, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{
    Advice, Answer, CallFailure, HoldAnswer, ListedEnd, Listing, Order, StartOrder,
};
use yuccahold::batch::event::Event;
use yuccahold::batch::ledger::{Batch, Command};
use yuccahold::batch::model::{
    EndKind, JobId, JobState, MinionNumber, PolicyConfig, Queue, StepSpec,
};

/// Job whose lasting tasks use resources, of which copies may use a tenth.
const BASE: JobId = JOB - 1;

fn copyable(count: u32, millicores: u32) -> StepSpec {
    StepSpec {
        copies_allowed: true,
        ..step(count, millicores)
    }
}

/// A start and the minion that it was sent to.
type Assigned = (MinionNumber, StartOrder);

/// A task with two runs on minions without faults of their own.
struct TwoRuns {
    world: World,
    base: Vec<Assigned>,
    first: Assigned,
    copy: Assigned,
}

impl TwoRuns {
    /// The minion of the first run doesn't answer a hold, so a copy is started, after its commit.
    fn new() -> Self {
        let (mut world, base, first, batch) = Self::proposed();
        world.commit(batch);
        let copy = world.start_all().remove(0);
        assert_eq!((copy.1.task, copy.1.run), (first.1.task, 2));
        assert_ne!(copy.0, first.0);
        Self {
            world,
            base,
            first,
            copy,
        }
    }

    /// The same before the commit: the lasting tasks, the first run, and the batch with the copy.
    fn proposed() -> (World, Vec<Assigned>, Assigned, Batch) {
        let mut world = World::new();
        world.join_all("i", 1..3);
        world.submit(BASE, vec![lasting(12, 2_000)]);
        let base = world.start_all();
        world.submit(JOB, vec![copyable(1, 2_000)]);
        let first = world.start_all().remove(0);
        world.silent_hold(first.0);
        world.now += ms(20);
        let batch = world.propose_only().expect("a copy");
        assert_eq!(batch.copies.len(), 1);
        world.orders.extend(world.leader.take_orders());
        assert_eq!(world.take_starts().len(), 0, "started before the commit");
        (world, base, first, batch)
    }

    /// Both runs, the first one or the copy at the front.
    fn in_order(&self, first: bool) -> (Assigned, Assigned) {
        let (first_run, copy) = (self.first.clone(), self.copy.clone());
        if first {
            (first_run, copy)
        } else {
            (copy, first_run)
        }
    }

    /// Lists the end of a run, beside the lasting tasks of its minion.
    fn end(&mut self, (minion, start): &Assigned, number: u64, kind: EndKind) {
        let running = self.base.iter().filter(|(m, _)| m == minion);
        let running = running.map(|(_, start)| listed(start)).collect();
        let end = ListedEnd {
            number,
            task: start.task,
            run: start.run,
            kind,
            checkpoint: Default::default(),
        };
        self.world.list(*minion, running, vec![end]);
    }
}

/// Reasons of the copies placed so far.
fn reasons(world: &World) -> Vec<&'static str> {
    let reasons = world.orders.iter().filter_map(|order| match order {
        Order::Event(event) => match **event {
            Event::CopyPlaced { why, .. } => Some(why),
            _ => None,
        },
        _ => None,
    });
    reasons.collect()
}

/// A task that progresses far too slowly for its job, on a minion that answers, gets a copy if other
/// tasks of its step show what is usual. Guards against copies of work that is merely long.
#[rstest]
#[case::a_tenth_of_the_usual_speed(10, EndKind::Done, &["late"])]
#[case::the_usual_speed(90, EndKind::Done, &[])]
#[case::nothing_is_usual_yet(10, EndKind::Stopped, &[])]
fn a_run_that_is_slow_gets_a_copy(
    #[case] percent: u32,
    #[case] other_ends: EndKind,
    #[case] expected: &[&str],
) {
    let mut world = World::new();
    world.join_all("i", 1..3);
    world.submit(BASE, vec![lasting(12, 2_000)]);
    let base = world.start_all();
    world.submit(JOB, vec![copyable(2, 2_000)]);
    let starts = world.start_all();
    let ((slow, _), (minion, other)) = (&starts[0], &starts[1]);
    assert_eq!(slow, minion, "the tightest fit");
    world.advance(ms(900));
    let here = base.iter().chain(&starts[..1]).filter(|(m, _)| m == minion);
    let mut running: Vec<_> = here.map(|(_, start)| listed(start)).collect();
    running.last_mut().expect("the run").percent = percent;
    let end = ListedEnd {
        number: 1,
        task: other.task,
        run: other.run,
        kind: other_ends,
        checkpoint: Default::default(),
    };
    world.list(*minion, running, vec![end]);
    world.advance(ms(500));
    assert_eq!(reasons(&world), expected);
}

/// A start that was not answered counts as lost although its minion answers other calls.
#[test]
fn a_run_whose_start_was_not_answered_gets_a_copy() {
    let mut world = World::new();
    world.join_all("i", 1..3);
    world.submit(BASE, vec![lasting(12, 2_000)]);
    let base = world.start_all();
    world.submit(JOB, vec![copyable(1, 2_000)]);
    let (minion, start) = world.take_starts().remove(0);
    let lost = Answer::Silent(CallFailure::Lost);
    world.answer_start(minion, start.task, start.run, lost);
    world.advance(ms(5));
    let here = base.iter().filter(|(m, _)| *m == minion);
    let running = here.map(|(_, start)| listed(start)).collect();
    world.list(minion, running, Vec::new());
    assert_eq!(reasons(&world), [""; 0], "the answer to the retry may come");
    world.advance(ms(50));
    assert_eq!(reasons(&world), ["unanswered start"]);
}

/// Where the queue has a policy, a copy needs a ticket; when none is valid any more, the policy
/// service is asked.
#[test]
fn the_policy_service_is_asked_about_a_copy() {
    let mut world = World::new();
    world.join_all("i", 1..3);
    world.submit(BASE, vec![lasting(12, 2_000)]);
    world.start_all();
    let policy = PolicyConfig {
        base: ms(100),
        per_minion: ms(1),
        validity: ms(2_500),
    };
    let advised = Queue {
        advice: Some(policy),
        ..queue()
    };
    let spec = StepSpec {
        estimate: ms(6_000),
        ..copyable(1, 2_000)
    };
    world.submit_to(JOB, advised, vec![spec]);
    allow_all(&mut world);
    let (minion, _) = world.start_all().remove(0);
    world.advance(ms(3_000));
    world.silent_hold(minion);
    world.advance(ms(20));
    assert_eq!(reasons(&world), [""; 0], "no ticket is valid");
    allow_all(&mut world);
    world.advance(ms(50));
    assert_eq!(reasons(&world), ["silent minion"]);
    let (_, copy) = world.take_starts().remove(0);
    assert_eq!(copy.ticket.as_deref(), Some("second"));
}

/// Answers the pending question by allowing all minions that it names.
fn allow_all(world: &mut World) {
    let question = world.take_questions().remove(0);
    let ticket = if question.id.number == 1 {
        "first"
    } else {
        "second"
    };
    let good = question.minions.into_iter().map(|m| (m, ticket.into()));
    let advice = Advice {
        good: good.collect(),
    };
    let now = world.now;
    world.leader.advice_received(now, question.id, Some(advice));
    world.decide();
}

/// Lists these runs on both minions to a new leader, and nothing else.
fn list_to_new_leader(world: &mut World, runs: &[Assigned]) {
    for minion in [0, 1] {
        let here = runs.iter().filter(|(m, _)| *m == minion);
        let running = here.map(|(_, start)| listed(start)).collect();
        world.list(minion, running, Vec::new());
    }
}

/// A leader is lost after the commit of a copy and before it sends the start. The next one finds
/// that the copy was never started, and lets the first run end.
#[test]
fn a_copy_that_was_recorded_and_not_started_is_over_for_the_next_leader() {
    let (mut world, base, first, batch) = TwoRuns::proposed();
    world.apply(&Command::Batch(batch));
    world.new_leader(2);
    let runs: Vec<_> = base.iter().chain([&first]).cloned().collect();
    list_to_new_leader(&mut world, &runs);
    world.advance(ms(1_000));
    assert_eq!(used_and_copies(&mut world), (26_000, 0));
    assert_eq!(world.take_starts().len(), 0);
    assert_eq!(world.take_stops(), []);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
}

/// A leader is lost after it has heard of the first end and before that is committed. The next one
/// hears of it again, and stops the other run.
#[test]
fn an_end_that_was_heard_and_not_committed_is_taken_by_the_next_leader() {
    let mut runs = TwoRuns::new();
    let (copy, first) = (runs.copy.clone(), runs.first.clone());
    let all: Vec<_> = runs.base.iter().chain([&first, &copy]).cloned().collect();
    let world = &mut runs.world;
    let ended = |start: &StartOrder| ListedEnd {
        number: 1,
        task: start.task,
        run: start.run,
        kind: EndKind::Done,
        checkpoint: Default::default(),
    };
    let listing = Listing {
        clock: world.now,
        ended: vec![ended(&copy.1)],
        ..Listing::default()
    };
    let (now, answer) = (world.now, HoldAnswer::Listing(listing));
    let ledger = &world.ledger;
    world.leader.hold_answered(now, copy.0, now, answer, ledger);
    assert!(!world.propose_only().expect("the end").ends.is_empty());
    world.new_leader(2);
    list_to_new_leader(world, &all);
    assert_eq!(used_and_copies(world), (28_000, 1));
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    runs.end(&copy, 1, EndKind::Done);
    let world = &mut runs.world;
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Done));
    assert_eq!(world.take_stops(), [(first.0, first.1.task, first.1.run)]);
    runs.end(&first, 1, EndKind::Stopped);
    assert_eq!(used_and_copies(&mut runs.world), (24_000, 0));
}

/// Millicores in use and active copies, as the leader reports them.
fn used_and_copies(world: &mut World) -> (u32, usize) {
    world.advance(ms(1_000));
    let mut reports = world.orders.iter().rev().filter_map(|order| match order {
        Order::Event(event) => match **event {
            Event::Cell { used, copies, .. } => Some((used.millicores, copies)),
            _ => None,
        },
        _ => None,
    });
    reports.next().expect("one a second")
}

/// Each failed run counts as an attempt, whichever of the two fails first.
#[rstest]
#[case::the_first_run_first(true)]
#[case::the_copy_first(false)]
fn each_of_two_failed_runs_counts_as_an_attempt(#[case] first_fails: bool) {
    let mut runs = TwoRuns::new();
    let (one, two) = runs.in_order(first_fails);
    let failures = |runs: &TwoRuns| runs.world.ledger.task(one.1.task).map(|t| t.failures);
    runs.end(&one, 1, EndKind::Failed);
    assert_eq!(failures(&runs), Some(1));
    assert_eq!(runs.world.take_starts().len(), 0, "one run is left");
    runs.end(&two, 1, EndKind::Failed);
    assert_eq!(failures(&runs), Some(2));
    runs.world.advance(ms(20));
    let third = runs.world.start_all().remove(0);
    assert_eq!(third.1.run, 3);
    runs.end(&third, 2, EndKind::Failed);
    assert_eq!(runs.world.ledger.job_state(JOB), Some(JobState::Failed));
}

/// The other run is stopped once the end of the first one as done is committed, whichever it is.
#[rstest]
#[case::the_first_run_is_done(true)]
#[case::the_copy_is_done(false)]
fn the_other_run_is_stopped_after_the_first_end(#[case] first_is_done: bool) {
    let mut runs = TwoRuns::new();
    let (done, other) = runs.in_order(first_is_done);
    runs.end(&done, 1, EndKind::Done);
    let world = &mut runs.world;
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Done));
    assert_eq!(world.take_stops(), [(other.0, other.1.task, other.1.run)]);
    runs.end(&other, 1, EndKind::Stopped);
    runs.world.advance(ms(1_000));
    assert_eq!(runs.world.take_starts().len(), 0);
}
