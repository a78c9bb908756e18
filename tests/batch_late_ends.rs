//! Ends that are listed after the leader has given up their run.
//!
//! The users' pages void an end if the lease of its minion lapses between the end and its
//! acknowledgement. So an end may go uncounted only if the lease is certainly over when the run is
//! given up.

mod batch_world;

use std::time::Duration;

use batch_world::{JOB, World, config, draining, listed as running, ms, queue, report, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{
    DispatchConfig, HoldAnswer, ListedEnd, ListedRun, Listing, StartOrder,
};
use yuccahold::batch::ledger::Batch;
use yuccahold::batch::model::{EndKind, JobState, MinionNumber, MinionReport, Queue};

fn two_attempts() -> Queue {
    Queue {
        attempts: 2,
        ..queue()
    }
}

fn end_of(number: u64, start: &StartOrder, kind: EndKind) -> ListedEnd {
    ListedEnd {
        number,
        task: start.task,
        run: start.run,
        kind,
        checkpoint: Default::default(),
    }
}

/// Lets `gone` answer no hold until the leader starts its task elsewhere.
fn wait_for_restart(world: &mut World, gone: MinionNumber) -> (MinionNumber, StartOrder) {
    let silent_since = world.now;
    loop {
        world.advance(ms(20));
        for (minion, _) in world.take_holds() {
            if minion == gone {
                world.silent_hold(gone);
            }
        }
        if let Some(start) = world.start_all().pop() {
            return start;
        }
        assert!(world.now < silent_since + ms(20_000), "no restart");
    }
}

/// Lets a run fail and returns the next start of its task, if there is one. The number of the run
/// serves as the number of the end.
fn fail(
    world: &mut World,
    (minion, start): &(MinionNumber, StartOrder),
) -> Option<(MinionNumber, StartOrder)> {
    world.advance(ms(20));
    let ended = vec![end_of(start.run.into(), start, EndKind::Failed)];
    world.list(*minion, vec![], ended);
    world.advance(ms(20));
    world.start_all().pop()
}

/// Answers the hold in flight without letting the leader decide.
fn answer_hold(
    world: &mut World,
    minion: MinionNumber,
    running: Vec<ListedRun>,
    ended: Vec<ListedEnd>,
) {
    let listing = Listing {
        clock: world.now,
        running,
        ended,
        ..Listing::default()
    };
    let answer = HoldAnswer::Listing(listing);
    let (now, ledger) = (world.now, &world.ledger);
    world.leader.hold_answered(now, minion, now, answer, ledger);
}

/// When the listing with the failed end arrives.
#[derive(Clone, Copy, PartialEq)]
enum Listed {
    AfterTheLapse,
    BeforeTheLapseIsCommitted,
}

/// A run fails while its minion is cut off, the lease ends, and the task runs elsewhere. Then the
/// minion answers and lists the failed run. That end is void: counted as an attempt, it would fail a
/// job that has one left. It is acknowledged, and the next failed run counts as the first.
#[rstest]
fn a_failed_end_listed_after_the_lease_is_no_attempt(
    #[values(Listed::AfterTheLapse, Listed::BeforeTheLapseIsCommitted)] listed: Listed,
    #[values(false, true)] new_leader: bool,
) {
    let mut world = World::new();
    let gone = world.join("i-gone", 1);
    world.submit_to(JOB, two_attempts(), vec![step(1, 1000)]);
    let (_, first) = world.start_all().remove(0);
    world.join("i-other", 2);
    let ended = vec![end_of(1, &first, EndKind::Failed)];
    let second = if listed == Listed::AfterTheLapse {
        wait_for_restart(&mut world, gone)
    } else {
        world.take_holds();
        world.silent_hold(gone);
        world.now += ms(7_000);
        let lapse = world.propose_only().expect("the end of the run");
        assert_eq!(lapse.ends.len(), 1);
        answer_hold(&mut world, gone, vec![], ended.clone());
        world.commit(lapse);
        world.advance(ms(20));
        world.start_all().remove(0)
    };
    if new_leader {
        world.new_leader(2);
        world.list(second.0, vec![running(&second.1)], vec![]);
    }
    if new_leader || listed == Listed::AfterTheLapse {
        world.list(gone, vec![], ended);
    }
    let third = fail(&mut world, &second).expect("an attempt is left");
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Running));
    fail(&mut world, &third);
    assert_eq!(world.ledger.job_state(JOB), Some(JobState::Failed));
}

/// A minion lists its ends in an order of its own. An end that follows a later one was passed over
/// and acknowledged with it, and the run counted as lapsed.
#[test]
fn ends_count_in_whatever_order_they_are_listed() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    let once = Queue {
        attempts: 1,
        ..queue()
    };
    world.submit_to(JOB, once, vec![step(1, 1000)]);
    world.submit(JOB + 1, vec![step(1, 1000)]);
    let starts = world.start_all();
    let failed = end_of(1, &starts[0].1, EndKind::Failed);
    let done = end_of(2, &starts[1].1, EndKind::Done);
    world.advance(ms(20));
    world.list(minion, vec![], vec![done, failed]);
    world.advance(ms(20));
    let states = [JOB, JOB + 1].map(|job| world.ledger.job_state(job));
    assert_eq!(states, [Some(JobState::Failed), Some(JobState::Done)]);
}

/// How the next leader comes to miss that a minion is back in service.
#[derive(Clone, Copy, PartialEq)]
enum Missed {
    NotCommitted,
    CoveredBySnapshot,
}

/// A minion that counted as draining has been ready for long enough to be in service again, and its
/// leader dies. A new leader that doesn't know of its return assumes short leases: where a full one
/// had been granted, it gave up a run that was still under way, so that the task ran twice and a
/// failed end counted as void.
#[rstest]
fn a_lease_is_over_before_its_runs_are_given_up(
    #[values(Missed::NotCommitted, Missed::CoveredBySnapshot)] missed: Missed,
) {
    let mut world = World::with(DispatchConfig {
        lease_max: ms(10_000),
        ..config()
    });
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![step(1, 1000)]);
    let (_, start) = world.start_all().remove(0);
    let works = || vec![running(&start)];
    world.leader.report(world.now, draining("i-1", 1));
    world.advance(ms(20));
    // The leases granted before it drained end meanwhile.
    for _ in 0..120 {
        world.advance(ms(100));
        world.list(minion, works(), vec![]);
    }
    let drain_times = world.drain_times.clone();
    let returned = report_ready_until_back(&mut world, minion, &start);
    if missed == Missed::CoveredBySnapshot {
        world.commit(returned);
        world.drain_times = drain_times;
        world.drain_times.restored(world.now, &world.ledger);
    }
    answer_hold(&mut world, minion, works(), vec![]);
    world.propose_only();
    world.orders.extend(world.leader.take_orders());
    let lease = lease_of(&mut world, minion);
    world.new_leader(2);
    world.join("i-2", 2);
    wait_for_restart(&mut world, minion);
    let now = world.now;
    assert!(now > lease, "at {now:?}, the lease ends at {lease:?}");
}

/// Lets a draining minion with a run report itself ready until the leader proposes its return.
fn report_ready_until_back(world: &mut World, minion: MinionNumber, start: &StartOrder) -> Batch {
    for sequence in 3..50 {
        world.now += ms(100);
        let ready = MinionReport {
            sequence,
            ..report("i-1", 1)
        };
        world.leader.report(world.now, ready);
        if let Some(batch) = world.propose_only() {
            assert_eq!(batch.joined.len(), 1);
            return batch;
        }
        world.list(minion, vec![running(start)], vec![]);
    }
    panic!("it stays out of service");
}

/// Highest deadline of the holds sent to a minion so far. Its clock shows the time of the world.
fn lease_of(world: &mut World, minion: MinionNumber) -> Duration {
    let holds = world.take_holds().into_iter();
    let holds = holds.filter(|(number, _)| *number == minion);
    holds
        .filter_map(|(_, hold)| hold.deadline)
        .max()
        .expect("a lease")
}
