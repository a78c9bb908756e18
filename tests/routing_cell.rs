//! Routers of several entry hosts with minions and leases, under failures in seeded orders.
//!
//! Every test ends by checking each minion's highest concurrency, what ran by key, and that
//! each request had one verdict that tells the truth.

#[path = "../benches/routing_model/mod.rs"]
mod routing_model;

use std::time::Duration;

use routing_model::{Caller, MS, Verdict, World};
use rstest::rstest;
use yuccahold::document::{Document, Service};

const SLOTS: u32 = 8;
const SECOND: Duration = Duration::from_secs(1);

fn document() -> Document {
    let service = Service {
        team: "desk-team".into(),
        deadline: SECOND,
        idempotent: true,
        queue: 64,
        slots: SLOTS,
        connections: 64,
        body_limit: 1 << 20,
        retry_percent: 20,
        ..Service::default()
    };
    let mut document = Document::default();
    document.services.insert("desk".into(), service);
    document
}

fn caller() -> Caller {
    Caller {
        key: 0,
        entry: 0,
        service: "desk",
        idempotent: true,
        deadline: SECOND,
    }
}

/// Seven entry hosts and fourteen minions of 10 ms: a capacity of 11,200 requests a second.
fn world(seed: u64) -> World {
    World::new(seed, document(), 7, 14, SLOTS)
}

/// Runs `seconds` of load at a share of the capacity, then lets everything end.
fn drive(world: &mut World, share: f64, seconds: u32) -> usize {
    world.run(SECOND);
    let sent = world.load(1, 11_200.0 * share, SECOND * seconds, &caller()) - 1;
    world.run(SECOND * seconds + 5 * SECOND);
    world.check(SLOTS);
    sent as usize
}

#[rstest]
fn without_failures_all_are_answered(#[values(1, 2)] seed: u64) {
    let mut world = world(seed);
    let sent = drive(&mut world, 0.8, 2);
    assert_eq!(world.done(), sent);
}

#[rstest]
fn an_owner_dies_with_requests_in_flight(#[values(1, 2, 3)] seed: u64) {
    // An entry host dies under load. Callers elsewhere see no failure of idempotent requests;
    // its minions stay idle until its lease is over, and the new owners start from what the
    // minions have in work.
    let mut world = world(seed);
    world.later(1500 * MS, |w| w.kill_entry(3));
    drive(&mut world, 0.6, 4);
    assert!((0..14).all(|m| world.owner(m).is_some_and(|o| o != 3)));
    let failed = |key: &u32| world.verdicts[key] != Verdict::HostDied;
    let lost = world.verdicts.iter().filter(|(key, v)| {
        let bad = matches!(v, Verdict::NotRun | Verdict::Unknown);
        bad && world.idempotent[key] && failed(key)
    });
    assert_eq!(lost.count(), 0);
}

#[rstest]
fn an_owner_is_paused_past_its_lease_and_wakes(#[values(1, 2, 3, 4)] seed: u64) {
    // An entry host freezes with requests in flight, its minions go to others, and it wakes with
    // all that waited in its sockets. It starts nothing on minions that are no longer its own.
    let mut world = world(seed);
    world.later(1500 * MS, |w| w.pause_entry(2, 2500 * MS));
    drive(&mut world, 0.7, 5);
}

#[rstest]
fn two_entry_hosts_believe_they_own_one_minion(#[values(1, 2, 3)] seed: u64) {
    // An entry host is cut off from control. It still believes in its last feed after its
    // minions were given away, and takes an old feed in once more. Its lease stops it.
    let mut world = world(seed);
    world.later(1500 * MS, |w| w.cut_from_control(1));
    world.later(4000 * MS, |w| w.force_owner(0, 1));
    drive(&mut world, 0.8, 5);
}

#[rstest]
fn a_new_owner_waits_for_a_minion_that_reports_nothing(#[values(1, 2)] seed: u64) {
    // The minions have no page that tells what is in work, and their work takes long. After the
    // owner's death the new one holds every slot for the longest request, then goes on.
    let mut world = world(seed);
    for minion in &mut world.minions {
        minion.reports = false;
        minion.service_time = 100 * MS;
    }
    world.later(1500 * MS, |w| w.kill_entry(0));
    drive(&mut world, 0.09, 6);
    assert!(world.done() > 0);
}

#[rstest]
fn all_minions_of_a_zone_die(#[values(1, 2, 3)] seed: u64) {
    // A third of the minions goes at once at 50% load. Requests to them fail at connecting,
    // which proves that nothing ran, and go elsewhere under the budget; the rest is not overrun.
    let mut world = world(seed);
    world.later(2000 * MS, |w| {
        (0..14).step_by(3).for_each(|m| w.kill_minion(m))
    });
    let sent = drive(&mut world, 0.5, 4);
    assert!(
        world.done() * 100 >= sent * 98,
        "{} of {sent}",
        world.done()
    );
}

#[rstest]
fn twice_the_capacity_loses_no_goodput(#[values(1, 2)] seed: u64) {
    // Callers ask for twice what the minions can do. What can't be done in time is refused at
    // once as not run; as much is answered as at capacity.
    let mut at_capacity = world(seed);
    drive(&mut at_capacity, 1.0, 3);
    let mut over = world(seed);
    drive(&mut over, 2.0, 3);
    assert_eq!(over.count(|v| *v == Verdict::Unknown), 0);
    let (full, twice) = (at_capacity.done(), over.done());
    assert!(twice * 100 >= full * 95, "{twice} against {full}");
}

#[rstest]
fn a_minion_that_fails_everything_is_ejected(#[values(1, 2)] seed: u64) {
    // One minion answers at once, always with an error, so that it is the least busy one and
    // would draw all requests. It is ejected and tried now and then.
    let mut world = world(seed);
    world.minions[0].fails = true;
    world.minions[0].service_time = MS / 10;
    let sent = drive(&mut world, 0.5, 4) as u32;
    assert!(
        world.minions[0].begun * 100 < sent,
        "{} of {sent}",
        world.minions[0].begun
    );
}

#[rstest]
fn slow_minions_and_lost_answers(#[values(1, 2, 3)] seed: u64) {
    // Two minions slow down twentyfold, two lose a third of their answers. Idempotent requests
    // are tried elsewhere; the others end as unknown, and none runs twice.
    let mut world = world(seed);
    world.later(1500 * MS, |w| {
        (0..2).for_each(|m| w.minions[m].service_time = 200 * MS);
        (2..4).for_each(|m| w.minions[m].loses = 33);
    });
    drive(&mut world, 0.5, 4);
    assert!(world.count(|v| *v == Verdict::Unknown) > 0);
}

#[rstest]
fn failures_do_not_multiply_the_load(#[values(1, 2)] seed: u64) {
    // Every minion answers with an error. Each request would be tried four times, and the minions
    // would get a multiple of what callers send. The budget lets at most a fifth be added, besides
    // one a second and a burst of twenty at each entry host.
    let mut world = world(seed);
    (0..14).for_each(|m| world.minions[m].fails = true);
    let (seconds, hosts) = (3, 7);
    let sent = drive(&mut world, 0.1, seconds) as u32;
    let begun: u32 = world.minions.iter().map(|minion| minion.begun).sum();
    let most = sent + sent / 5 + hosts * (20 + seconds + 5);
    assert!(
        begun <= most,
        "{begun} begun, {most} allowed of {sent} sent"
    );
    assert!(begun > sent, "no try was repeated at all");
}

#[rstest]
fn entry_hosts_restart_one_after_another(#[values(1, 2)] seed: u64) {
    // Each entry host in turn dies and comes back with nothing in memory, under load.
    let mut world = world(seed);
    for n in 0..7 {
        let at = 1500 * MS + SECOND * n;
        world.later(at, move |w| w.kill_entry(n as usize));
        world.later(at + 200 * MS, move |w| w.restart_entry(n as usize));
    }
    drive(&mut world, 0.4, 9);
    assert!((0..14).all(|m| world.owner(m).is_some()));
}
