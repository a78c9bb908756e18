//! Minions that end: how soon their tasks run elsewhere, by what is known of the end.

mod batch_world;

use std::time::Duration;

use batch_world::{JOB, World, config, lasting, ms, report};
use yuccahold::batch::dispatch::{
    DispatchConfig, HoldAnswer, ListedRun, Listing, Silence, StartOrder,
};
use yuccahold::batch::model::{MinionNumber, MinionReport, Readiness};

/// Time that a minion's host takes no connections and refuses none: a call is given up after this.
const CALL_TIMEOUT: Duration = ms(300);
/// Time between two looks at the leader.
const TICK: Duration = ms(10);

/// A lasting task may be away for nine seconds in all, six of them before anybody looks.
const LONGEST_ABSENCE: Duration = ms(9_000);

fn long_leases() -> DispatchConfig {
    DispatchConfig {
        lease_max: ms(10_000),
        stop_time: ms(900),
        ..config()
    }
}

fn draining(id: &str, port: u16) -> MinionReport {
    MinionReport {
        readiness: Readiness::Draining { remaining: None },
        sequence: 2,
        ..report(id, port)
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
                running: vec![ListedRun {
                    task: start.task,
                    run: start.run,
                    checkpoint: Default::default(),
                    percent: 100,
                    load: 0,
                }],
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
    let answer = HoldAnswer::Silent(Silence::Lost);
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
    assert_eq!(world.take_starts(), []);
    lose(&mut world, minion, just_before_the_end + ms(1));
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
