//! Leases of minions: what a leader believes of one that falls silent.

mod batch_world;

use batch_world::{JOB, World, lasting, ms};

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
