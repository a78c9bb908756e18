//! Leases of minions: what a leader believes of one that falls silent.

mod batch_world;

use std::collections::BTreeSet;

use batch_world::{JOB, World, lasting, ms, step};
use yuccahold::batch::dispatch::{Answer, Silence};

/// A minion falls silent and never comes back. The caller sees its lasting task gone; the leader
/// keeps asking the minion. The questions must not grant further leases, or the leader would wait
/// for ever for the end of a lease that it renews itself, and the task would never run again.
#[test]
fn a_silent_minion_is_given_up_once_its_lease_is_over() {
    let mut world = World::new();
    let gone = world.join("i-gone", 1);
    world.submit(JOB, vec![lasting(1, 1000)]);
    assert_eq!(world.start_all()[0].0, gone);
    let other = world.join("i-other", 2);
    let fell_silent = world.now;
    let mut restarted = None;
    while world.now < fell_silent + ms(12_000) && restarted.is_none() {
        world.pass(ms(50));
        for (minion, _) in world.take_holds() {
            if minion == gone {
                world.silent_hold(gone);
            }
        }
        restarted = world.take_starts().first().map(|(minion, start)| {
            let waited = (world.now - fell_silent).as_millis();
            (
                *minion == other,
                start.run,
                waited > 5_500 && waited < 6_500,
            )
        });
    }
    assert_eq!(restarted, Some((true, 2, true)));
}

/// One answer in twenty is lost on some days. Whoever waits for a lost answer to a hold does not
/// learn of any end on that minion meanwhile, and the callers' next steps begin late. So the wait
/// is short while short runs are under way, and the next look follows at once.
#[test]
fn a_lost_answer_to_a_hold_hides_short_runs_only_briefly() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.take_holds();
    world.submit(JOB, vec![step(1, 1000)]);
    world.start_all();
    world.pass(ms(20));
    let waits: Vec<_> = world.take_holds().iter().map(|(_, h)| h.wait).collect();
    world.silent_hold(minion);
    let again: Vec<_> = world.take_holds().iter().map(|(_, h)| h.wait).collect();
    assert_eq!((waits, again), (vec![ms(500)], vec![ms(0)]));
}

/// A minion is cut off and a start to it brings no answer; the hold on the way shows nothing for
/// half a second yet. Tasks that come meanwhile must go elsewhere: each one given to the silent
/// minion would be ordered four times and wait for its lease to end. Once the minion answers
/// again it gets work as before.
#[test]
fn a_minion_with_an_unanswered_start_gets_no_further_work() {
    let mut world = World::new();
    let cut = world.join("i-cut", 1);
    world.submit(JOB, vec![step(1, 1_000)]);
    let (_, lost) = world.take_starts().remove(0);
    world.answer_start(cut, lost.task, lost.run, Answer::Silent(Silence::Lost));
    world.take_starts();
    let other = world.join("i-other", 2);
    world.submit(JOB + 1, vec![step(8, 1_000)]);
    let given: BTreeSet<_> = world.start_all().iter().map(|(m, _)| *m).collect();
    assert_eq!(given, BTreeSet::from([other]));

    let clock = Some(world.now);
    world.answer_start(cut, lost.task, lost.run, Answer::Done { clock });
    world.submit(JOB + 2, vec![step(1, 30_000)]);
    let given: Vec<_> = world.take_starts().iter().map(|(m, _)| *m).collect();
    assert_eq!(given, [cut]);
}
