//! Minions that leave or crash: how soon their tasks are restarted on other minions, depending on
//! what the leader learns of the end.

mod batch_world;

use std::time::Duration;

use rstest::rstest;

use batch_world::{JOB, World, config, draining, lasting, listed, ms, report};
use yuccahold::batch::dispatch::{
    CallFailure, DispatchConfig, HoldAnswer, HoldOrder, Listing, Order, StartOrder,
};
use yuccahold::batch::event::Event;
use yuccahold::batch::model::MinionNumber;

/// Timeout of a call to a host that neither accepts nor refuses connections.
const CALL_TIMEOUT: Duration = ms(300);
/// Interval of simulated time between two decisions of the leader.
const TICK: Duration = ms(10);

/// Time after a hold's wait at which the process that should have sent it counts as stuck.
const STUCK_AGENT_TIMEOUT: Duration = ms(1_000);

/// Longest downtime of a lasting task: 9 s in all, of which 6 s may pass before the leader reacts.
const MAX_DOWNTIME: Duration = ms(9_000);

fn long_leases() -> DispatchConfig {
    DispatchConfig {
        lease_max: ms(10_000),
        stop_time: ms(900),
        ..config()
    }
}

/// A minion with one lasting task, and another one with enough free resources for it.
fn world_with_a_lasting_task() -> (World, MinionNumber, StartOrder) {
    let mut world = World::with(long_leases());
    let first = world.join("i-1", 1);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    let (minion, start) = world.start_all().remove(0);
    assert_eq!(minion, first);
    world.join("i-2", 2);
    (world, first, start)
}

/// Advances time while a minion answers each hold after its wait. The last hold gets no answer.
fn answer_holds(world: &mut World, minion: MinionNumber, start: &StartOrder, span: Duration) {
    let until = world.now + span;
    let mut due: Option<(Duration, Duration)> = None;
    while world.now < until {
        for (to, hold) in world.take_holds() {
            if to == minion {
                due = Some((world.now, world.now + hold.wait));
            }
        }
        if let Some((sent, _)) = due.take_if(|(_, at)| *at <= world.now) {
            let listing = Listing {
                clock: world.now,
                running: vec![listed(start)],
                ..Listing::default()
            };
            let answer = HoldAnswer::Listing(listing);
            let (now, ledger) = (world.now, &world.ledger);
            world
                .leader
                .hold_answered(now, minion, sent, answer, ledger);
        }
        world.advance(TICK);
    }
    if let Some((sent, _)) = due {
        lose_hold(world, minion, sent);
    }
}

fn lose_hold(world: &mut World, minion: MinionNumber, sent: Duration) {
    leave_unanswered(world, minion, sent, CallFailure::Lost);
}

fn leave_unanswered(world: &mut World, minion: MinionNumber, sent: Duration, failure: CallFailure) {
    let answer = HoldAnswer::Silent(failure);
    let (now, ledger) = (world.now, &world.ledger);
    world
        .leader
        .hold_answered(now, minion, sent, answer, ledger);
    world.decide();
}

/// Makes a minion's host stop answering, and returns the time until its task is started elsewhere.
fn time_to_restart(world: &mut World, minion: MinionNumber) -> Duration {
    let ended = world.now;
    let mut asked: Option<Duration> = None;
    while world.take_starts().is_empty() {
        let silent_for = world.now - ended;
        assert!(silent_for < ms(30_000), "the task is never started again");
        let holds = world.take_holds();
        if holds.iter().any(|(to, _)| *to == minion) {
            asked = Some(world.now);
        }
        if let Some(sent) = asked.take_if(|sent| world.now >= *sent + CALL_TIMEOUT) {
            lose_hold(world, minion, sent);
        }
        world.advance(TICK);
    }
    world.now - ended
}

/// A task of a lasting job was down for 11.6 s, although another minion had free resources.
///
/// Its minion reports that it is leaving, continues for some seconds, sends its final message, and
/// ends. For the next 50 ms its host refuses connections; then it drops them. A leader whose call
/// is refused within the 50 ms restarts the task at once. A leader that called later waited for the
/// end of the longest lease, as for a minion that fails without a message.
///
/// The leader's log then had `minion left`, 52 ms later `minion silent` with `nothing`, and 11.4 s
/// after the final message `minion gone` with all ten runs of the minion.
#[test]
fn a_lasting_task_restarts_soon_when_its_minion_left_and_its_host_drops_calls() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    answer_holds(&mut world, minion, &start, ms(9_500));
    world.leader.minion_left(world.now, &"i-1".into());
    let downtime = time_to_restart(&mut world, minion);
    assert!(downtime < MAX_DOWNTIME / 3, "down for {downtime:?}");
}

/// A minion sends its final message and still answers for a while. As long as it does, its task may
/// still run there: a second run elsewhere would do the work twice.
#[test]
fn a_minion_that_still_answers_after_its_final_message_keeps_its_tasks() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    answer_holds(&mut world, minion, &start, ms(3_000));
    world.leader.minion_left(world.now, &"i-1".into());
    answer_holds(&mut world, minion, &start, ms(5_000));
    assert_eq!(world.take_starts(), []);
}

/// Fails all holds to a minion in the same way until its task is started elsewhere. Returns the end
/// of its longest lease, and the time of that start.
fn cut_off_until_restart(
    world: &mut World,
    minion: MinionNumber,
    failure: CallFailure,
) -> (Duration, Duration) {
    let cut_off = world.now;
    let mut lease_end = Duration::ZERO;
    loop {
        for (to, hold) in world.take_holds() {
            if to == minion {
                lease_end = lease_end.max(hold.deadline.unwrap_or_default());
                let now = world.now;
                leave_unanswered(world, minion, now, failure);
            }
        }
        if !world.take_starts().is_empty() {
            return (lease_end, world.now);
        }
        assert!(
            world.now - cut_off < ms(30_000),
            "the task is never started again"
        );
        world.advance(TICK);
    }
}

/// Two runs of a task met: a minion announced its end and was cut off before it ended, or a late
/// report of a former incarnation named the address of one that refused connections behind a cut.
#[rstest]
fn a_minion_behind_a_cut_keeps_its_tasks_until_its_lease_ends(
    #[values(Sign::FinalMessage, Sign::LateReport)] sign: Sign,
    #[values(
        CallFailure::Refused,
        CallFailure::Lost,
        CallFailure::Broken,
        CallFailure::NotCalled
    )]
    failure: CallFailure,
) {
    let (mut world, minion, start) = world_with_a_lasting_task();
    if sign == Sign::FinalMessage {
        world.leader.report(world.now, draining("i-1", 1));
    }
    answer_holds(&mut world, minion, &start, ms(12_000));
    world.list(minion, vec![listed(&start)], Vec::new());
    let cut_off = world.now;
    match sign {
        Sign::FinalMessage => world.leader.minion_left(world.now, &"i-1".into()),
        Sign::LateReport => world.leader.report(world.now, report("i-0", 1)),
    }
    world.decide();
    let (lease_end, restarted) = cut_off_until_restart(&mut world, minion, failure);
    assert!(lease_end > cut_off, "a lease was granted");
    assert!(
        restarted >= lease_end,
        "at {restarted:?}, with a lease until {lease_end:?}"
    );
    assert!(
        restarted < lease_end + ms(500),
        "at {restarted:?}, lease until {lease_end:?}"
    );
}

/// What makes the leader doubt that a minion is still up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    FinalMessage,
    LateReport,
}

/// A connection that is refused behind a cut was counted as a crash of the minion, and its tasks
/// were blamed for it.
#[test]
fn a_cut_after_a_late_report_is_not_counted_as_a_crash() {
    let (mut world, minion, _) = world_with_a_lasting_task();
    world.leader.report(world.now, report("i-0", 1));
    world.decide();
    cut_off_until_restart(&mut world, minion, CallFailure::Refused);
    world.advance(ms(40_000));
    let is_counted = |order: &Order| match order {
        Order::Event(event) => matches!(**event, Event::CrashCounted { .. }),
        _ => false,
    };
    assert!(!world.orders.iter().any(is_counted));
}

/// A delayed report of a crashed incarnation has the address of its successor. The successor is
/// called, answers, and must still get work: it got none any more, and was called without a pause.
#[test]
fn a_minion_that_answers_is_not_displaced_by_a_late_report() {
    let mut world = World::with(long_leases());
    let minion = world.join("i-2", 1);
    world.leader.report(world.now, report("i-1", 1));
    world.decide();
    for (to, _) in world.take_holds() {
        if to == minion {
            world.list(minion, Vec::new(), Vec::new());
        }
    }
    world.submit(JOB, vec![lasting(1, 1_000)]);
    let given: Vec<_> = world.take_starts().iter().map(|(to, _)| *to).collect();
    assert_eq!(given, [minion]);
}

/// A minion crashes without a message. Its tasks are restarted when its lease is over: the time for
/// which its last answer had waited for an end was added to the lease.
#[test]
fn a_lasting_task_is_down_no_longer_than_the_lease_of_a_crashed_minion() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    answer_holds(&mut world, minion, &start, ms(4_100));
    let downtime = time_to_restart(&mut world, minion);
    assert!(downtime < ms(10_300), "down for {downtime:?}");
}

/// Guards against a lease of 10 s that keeps a lasting task of a crashed minion down beyond the 6 s
/// within which it has to run again.
#[test]
fn a_lasting_task_of_a_crashed_minion_restarts_within_its_bound() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    answer_holds(&mut world, minion, &start, ms(12_000));
    let downtime = time_to_restart(&mut world, minion);
    assert!(downtime < MAX_DOWNTIME * 2 / 3, "down for {downtime:?}");
}

/// Guards against a lease of a minion with lasting tasks that expires with one lost hold, detected
/// late because the process that sent it is stuck.
#[test]
fn one_lost_hold_does_not_expire_the_lease_of_a_minion_with_lasting_tasks() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    answer_holds(&mut world, minion, &start, ms(12_000));
    world.list(minion, vec![listed(&start)], Vec::new());
    let carried_out = hold_to(&mut world, minion);
    let lease_ends = carried_out.deadline.expect("the minion answers");
    world.advance(carried_out.wait);
    world.list(minion, vec![listed(&start)], Vec::new());
    let lost = hold_to(&mut world, minion);
    world.advance(lost.wait + STUCK_AGENT_TIMEOUT);
    world.silent_hold(minion);
    world.list(minion, vec![listed(&start)], Vec::new());
    assert!(hold_to(&mut world, minion).deadline.is_some());
    let left = lease_ends.saturating_sub(world.now);
    assert!(left > ms(500), "{left:?} left of the lease");
}

/// A leaving minion ends and its final message never arrives: all daemons that it tried were
/// restarting.
#[test]
fn a_lasting_task_restarts_in_time_when_its_minion_left_without_a_message() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    answer_holds(&mut world, minion, &start, ms(9_500));
    let downtime = time_to_restart(&mut world, minion);
    assert!(downtime < MAX_DOWNTIME * 2 / 3, "down for {downtime:?}");
}

/// A leaving minion ends and its final message is lost with the leader that received it. The new
/// leader never had an answer of the minion and can't tell how long its lease is. It assumed the
/// longest, and the task was down for more than 10 s.
#[test]
fn a_lasting_task_restarts_in_time_when_the_final_message_is_lost_with_the_leader() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    answer_holds(&mut world, minion, &start, ms(9_500));
    world.leader.minion_left(world.now, &"i-1".into());
    world.new_leader(2);
    world.answer_first_hold_of("i-2");
    let downtime = time_to_restart(&mut world, minion);
    assert!(downtime < MAX_DOWNTIME * 2 / 3, "down for {downtime:?}");
}

/// A minion has a lease of 10 s from a leader that has failed. It reports to the new one that it is
/// leaving, answers twice, gets a short lease, and is disconnected. It continues until the end of
/// the first lease: its task would run twice if it were started elsewhere at the end of the short
/// one.
#[test]
fn a_short_lease_does_not_end_the_longer_one_of_an_earlier_leader() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    answer_holds(&mut world, minion, &start, ms(3_000));
    let last_grant = world.now;
    world.new_leader(2);
    world.answer_first_hold_of("i-2");
    world.leader.report(world.now, draining("i-1", 1));
    answer_holds(&mut world, minion, &start, ms(200));
    let before = world.now - last_grant;
    let after = time_to_restart(&mut world, minion);
    assert!(before + after >= ms(9_800), "started after {after:?}");
}

/// A hold to a leaving minion is lost, which is detected only after 1.5 s, because the process that
/// sent it is stuck. The minion answers the next one: its lease must not have expired meanwhile.
#[test]
fn one_lost_hold_does_not_expire_the_lease_of_a_leaving_minion() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    answer_holds(&mut world, minion, &start, ms(12_000));
    world.list(minion, vec![listed(&start)], Vec::new());
    let carried_out = hold_to(&mut world, minion);
    let lease_ends = carried_out.deadline.expect("the minion answers");
    world.advance(carried_out.wait);
    world.list(minion, vec![listed(&start)], Vec::new());
    let lost = hold_to(&mut world, minion);
    world.advance(lost.wait + STUCK_AGENT_TIMEOUT);
    world.silent_hold(minion);
    world.list(minion, vec![listed(&start)], Vec::new());
    let next = hold_to(&mut world, minion);
    assert!(next.deadline.is_some());
    let left = lease_ends.saturating_sub(world.now);
    assert!(left > ms(1_000), "{left:?} left of the lease");
}

/// The hold that was just sent to a minion.
fn hold_to(world: &mut World, minion: MinionNumber) -> HoldOrder {
    let holds = world.take_holds();
    let to_it = holds.into_iter().rfind(|(to, _)| *to == minion);
    to_it.expect("a hold is on the way").1
}

/// The report that a minion is leaving is lost; only its final message arrives, and the leader
/// fails right after it has replicated that. The new leader gets one more answer of the minion and
/// must not place work there.
#[test]
fn the_final_message_is_replicated_to_the_next_leader() {
    let mut world = World::with(long_leases());
    world.join("i-1", 1);
    world.leader.minion_left(world.now, &"i-1".into());
    world.decide();
    world.new_leader(2);
    world.answer_first_hold_of("i-1");
    world.submit(JOB, vec![lasting(1, 1_000)]);
    assert_eq!(world.take_starts(), []);
}

/// A replica leads, loses leadership, and leads again. Then the answer to a hold of its first term
/// arrives. The minion may not have seen the current term: an order of the leader in between could
/// still be carried out there, so the minion must not count as fenced.
#[test]
fn an_answer_to_a_hold_of_an_earlier_term_does_not_fence_its_minion() {
    let mut world = World::with(long_leases());
    let minion = world.join("i-1", 1);
    let first_term = world.now;
    world.advance(ms(1_000));
    world.new_leader(3);
    let clock = world.now;
    let listing = Listing {
        clock,
        ..Listing::default()
    };
    let (now, ledger) = (world.now, &world.ledger);
    let answer = HoldAnswer::Listing(listing);
    world
        .leader
        .hold_answered(now, minion, first_term, answer, ledger);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    assert_eq!(world.take_starts(), []);
    world.answer_first_hold_of("i-1");
    assert_eq!(world.take_starts().len(), 1);
}
