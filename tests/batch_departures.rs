//! Minions that end: how soon their tasks run elsewhere, by what is known of the end.

mod batch_world;

use std::time::Duration;

use batch_world::{JOB, World, config, draining, lasting, listed, ms, report};
use yuccahold::batch::dispatch::{
    DispatchConfig, HoldAnswer, HoldOrder, Listing, Silence, StartOrder,
};
use yuccahold::batch::model::MinionNumber;

/// Time that a minion's host takes no connections and refuses none: a call is given up after this.
const CALL_TIMEOUT: Duration = ms(300);
/// Time between two looks at the leader.
const TICK: Duration = ms(10);

/// Time beyond a hold's wait until the process that should have sent it counts as stuck.
const STUCK_AGENT: Duration = ms(1_000);

/// A lasting task may be away for nine seconds in all, six of them before anybody looks.
const LONGEST_ABSENCE: Duration = ms(9_000);

fn long_leases() -> DispatchConfig {
    DispatchConfig {
        lease_max: ms(10_000),
        stop_time: ms(900),
        ..config()
    }
}

/// A minion with one lasting task, and another one with room for it.
fn world_with_a_lasting_task() -> (World, MinionNumber, StartOrder) {
    let mut world = World::with(long_leases());
    let first = world.join("i-1", 1);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    let (minion, start) = world.start_all().remove(0);
    assert_eq!(minion, first);
    world.join("i-2", 2);
    (world, first, start)
}

/// Lets time pass while a minion answers each hold after its wait.
fn works(world: &mut World, minion: MinionNumber, start: &StartOrder, span: Duration) {
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
            world.leader.held(now, minion, sent, answer, ledger);
        }
        world.pass(TICK);
    }
    if let Some((sent, _)) = due {
        lose(world, minion, sent);
    }
}

fn lose(world: &mut World, minion: MinionNumber, sent: Duration) {
    unanswered(world, minion, sent, Silence::Lost);
}

fn unanswered(world: &mut World, minion: MinionNumber, sent: Duration, silence: Silence) {
    let answer = HoldAnswer::Silent(silence);
    let (now, ledger) = (world.now, &world.ledger);
    world.leader.held(now, minion, sent, answer, ledger);
    world.decide();
}

/// Has a minion's host answer nothing any more; gives the time until its task is started elsewhere.
fn away(world: &mut World, minion: MinionNumber) -> Duration {
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
            lose(world, minion, sent);
        }
        world.pass(TICK);
    }
    world.now - ended
}

/// One task of a lasting job has no run for 11.6 s, while room is there and nothing else is wrong.
///
/// Its minion says that it leaves, works on for some seconds, says that it ends, and ends. For the
/// next 50 ms its host refuses connections; then it takes no notice of them. A leader whose call
/// comes within the 50 ms knows at once that the task is over. One whose call comes later waited
/// for the end of the longest lease, as if the minion had fallen silent without a word.
///
/// Seen in the leader's log: `minion left`, `minion silent` 52 ms later with `nothing`, and `minion
/// gone` 11.4 s after the word, with the ten runs that it had.
#[test]
fn a_lasting_task_is_soon_back_when_its_minion_left_and_its_host_is_dark() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    works(&mut world, minion, &start, ms(9_500));
    world.leader.left(world.now, &"i-1".into());
    let away = away(&mut world, minion);
    assert!(away < LONGEST_ABSENCE / 3, "away for {away:?}");
}

/// The same minion says that it ends and then goes on answering for a while. As long as it does, its
/// task may still be at work there: a second run elsewhere would do the work twice.
#[test]
fn a_minion_that_still_answers_after_its_word_keeps_its_tasks() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    works(&mut world, minion, &start, ms(3_000));
    world.leader.left(world.now, &"i-1".into());
    works(&mut world, minion, &start, ms(5_000));
    assert_eq!(world.take_starts(), []);
}

/// Calls that were sent before the word, or while the task may still be coming to its end, say
/// nothing of the time after it.
#[test]
fn an_early_call_that_brings_nothing_is_no_proof_of_an_end() {
    let (mut world, minion, _) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    world.leader.left(world.now, &"i-1".into());
    let just_before_the_end = world.now + ms(899);
    lose(&mut world, minion, just_before_the_end);
    lose(&mut world, minion, just_before_the_end);
    assert_eq!(world.take_starts(), []);
    lose(&mut world, minion, just_before_the_end + ms(1));
    assert_eq!(world.take_starts().len(), 1);
}

/// A minion that has said that it ends works on for a while. One connection to it is reset, and then
/// the process that calls it on the leader's behalf is killed with all its calls open. Neither says
/// that the minion has ended.
#[test]
fn calls_that_were_not_made_are_no_proof_of_an_end() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    world.leader.left(world.now, &"i-1".into());
    works(&mut world, minion, &start, ms(1_200));
    for silence in [Silence::NotCalled, Silence::NotCalled, Silence::NotCalled] {
        let now = world.now;
        unanswered(&mut world, minion, now, silence);
    }
    assert_eq!(world.take_starts(), []);
    world.list(minion, vec![listed(&start)], Vec::new());
    let now = world.now;
    lose(&mut world, minion, now);
    assert_eq!(world.take_starts(), []);
    lose(&mut world, minion, now);
    assert_eq!(world.take_starts().len(), 1);
}

/// A late report of an incarnation that crashed comes from the address of the one that took its
/// place. The one at work is looked at, answers, and must go on getting work: it was once passed
/// over for good, and asked again without a pause.
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

/// A minion crashes without a word. Its tasks may go on until its lease is over, and no longer: the
/// time that its last answer had waited for an end was counted on top of the lease.
#[test]
fn a_lasting_task_is_away_no_longer_than_the_lease_of_a_minion_that_crashed() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    works(&mut world, minion, &start, ms(4_100));
    let away = away(&mut world, minion);
    assert!(away < ms(10_300), "away for {away:?}");
}

/// The same, but the word never arrives: all daemons that the minion tried were restarting.
#[test]
fn a_lasting_task_is_back_in_time_when_its_minion_left_without_a_word() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    works(&mut world, minion, &start, ms(9_500));
    let away = away(&mut world, minion);
    assert!(away < LONGEST_ABSENCE * 2 / 3, "away for {away:?}");
}

/// The same departure, but the word of the end is lost with the leader that had it: the next one has
/// never heard from the minion and cannot know how long its lease is. It took the longest for it,
/// and the task was away for more than ten seconds.
#[test]
fn a_lasting_task_is_back_in_time_when_the_word_of_the_end_is_lost_with_the_leader() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    works(&mut world, minion, &start, ms(9_500));
    world.leader.left(world.now, &"i-1".into());
    world.new_leader(2);
    world.answer_first_hold_of("i-2");
    let away = away(&mut world, minion);
    assert!(away < LONGEST_ABSENCE * 2 / 3, "away for {away:?}");
}

/// A minion's lease of 10 s was given by a leader that has failed. It says to the next one that it
/// leaves, answers twice, gets a short lease, and is cut off. It works on for as long as the first
/// leader let it: its task, started elsewhere once the short lease is over, would run twice.
#[test]
fn a_short_lease_does_not_end_the_longer_one_of_an_earlier_leader() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    works(&mut world, minion, &start, ms(3_000));
    let last_grant = world.now;
    world.new_leader(2);
    world.answer_first_hold_of("i-2");
    world.leader.report(world.now, draining("i-1", 1));
    works(&mut world, minion, &start, ms(200));
    let before = world.now - last_grant;
    let after = away(&mut world, minion);
    assert!(before + after >= ms(9_800), "started after {after:?}");
}

/// One hold to a minion that leaves is lost, and that shows only after 1.5 s, since the process that
/// sent it is stuck. The minion answers the next one: what runs there must not have lapsed meanwhile.
#[test]
fn one_lost_hold_lets_nothing_lapse_on_a_minion_that_leaves() {
    let (mut world, minion, start) = world_with_a_lasting_task();
    world.leader.report(world.now, draining("i-1", 1));
    works(&mut world, minion, &start, ms(12_000));
    world.list(minion, vec![listed(&start)], Vec::new());
    let carried_out = hold_to(&mut world, minion);
    let lease_ends = carried_out.deadline.expect("the minion answers");
    world.pass(carried_out.wait);
    world.list(minion, vec![listed(&start)], Vec::new());
    let lost = hold_to(&mut world, minion);
    world.pass(lost.wait + STUCK_AGENT);
    world.silent_hold(minion);
    world.list(minion, vec![listed(&start)], Vec::new());
    let next = hold_to(&mut world, minion);
    assert!(next.deadline.is_some());
    let left = lease_ends.saturating_sub(world.now);
    assert!(left > ms(1_000), "{left:?} left of the lease");
}

/// The hold that has just left for a minion.
fn hold_to(world: &mut World, minion: MinionNumber) -> HoldOrder {
    let holds = world.take_holds();
    let to_it = holds.into_iter().rfind(|(to, _)| *to == minion);
    to_it.expect("a hold is on the way").1
}

/// The report that the minion leaves is lost as well; its word of the end is all that arrives, and
/// the leader fails right after it has passed that on. The next one hears from the minion once more
/// and must not give it work.
#[test]
fn the_word_of_the_end_is_passed_on_to_the_next_leader() {
    let mut world = World::with(long_leases());
    world.join("i-1", 1);
    world.leader.left(world.now, &"i-1".into());
    world.decide();
    world.new_leader(2);
    world.answer_first_hold_of("i-1");
    world.submit(JOB, vec![lasting(1, 1_000)]);
    assert_eq!(world.take_starts(), []);
}

/// A replica leads, loses the lead, and leads again. Then the answer to a hold of its first term
/// comes. The minion may not have seen the present term: an order of the leader in between could
/// still be carried out there, so the minion must not count as held.
#[test]
fn an_answer_to_a_hold_of_an_earlier_term_does_not_fence_its_minion() {
    let mut world = World::with(long_leases());
    let minion = world.join("i-1", 1);
    let first_term = world.now;
    world.pass(ms(1_000));
    world.new_leader(3);
    let clock = world.now;
    let listing = Listing {
        clock,
        ..Listing::default()
    };
    let (now, ledger) = (world.now, &world.ledger);
    let answer = HoldAnswer::Listing(listing);
    world.leader.held(now, minion, first_term, answer, ledger);
    world.submit(JOB, vec![lasting(1, 1_000)]);
    assert_eq!(world.take_starts(), []);
    world.answer_first_hold_of("i-1");
    assert_eq!(world.take_starts().len(), 1);
}
