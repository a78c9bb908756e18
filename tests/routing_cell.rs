//! Simulated routers of several entry hosts with minions and leases, under injected failures.
//!
//! Every test ends by checking that no minion exceeded its slots, that no non-idempotent request
//! ran twice, and that each request had exactly one outcome, which agrees with its executions.

#[path = "../benches/routing_model/mod.rs"]
mod routing_model;

use std::time::Duration;

use routing_model::{Caller, MS, Outcome, Simulation};
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
fn sim(seed: u64) -> Simulation {
    Simulation::new(seed, document(), 7, 14, SLOTS)
}

/// Runs `seconds` of load at a share of the capacity, then 5 s for the remaining requests to end.
fn run_load(sim: &mut Simulation, share: f64, seconds: u32) -> usize {
    sim.run(SECOND);
    let sent = sim.load(1, 11_200.0 * share, SECOND * seconds, &caller()) - 1;
    sim.run(SECOND * seconds + 5 * SECOND);
    sim.check_invariants(SLOTS);
    sent as usize
}

#[rstest]
fn without_failures_all_are_answered(#[values(1, 2)] seed: u64) {
    let mut sim = sim(seed);
    let sent = run_load(&mut sim, 0.8, 2);
    assert_eq!(sim.done(), sent);
}

#[rstest]
fn an_owner_dies_with_requests_in_flight(#[values(1, 2, 3)] seed: u64) {
    // An entry host dies under load. Callers of other entry hosts see no failure of idempotent
    // requests. Its minions stay idle until its lease expires; the new owners count the requests
    // that the minions are still running.
    let mut sim = sim(seed);
    sim.schedule(1500 * MS, |w| w.kill_entry(3));
    run_load(&mut sim, 0.6, 4);
    assert!((0..14).all(|m| sim.owner(m).is_some_and(|o| o != 3)));
    let failed = |key: &u32| sim.outcomes[key] != Outcome::HostDied;
    let lost = sim.outcomes.iter().filter(|(key, v)| {
        let bad = matches!(v, Outcome::NotRun | Outcome::Unknown);
        bad && sim.idempotent[key] && failed(key)
    });
    assert_eq!(lost.count(), 0);
}

#[rstest]
fn an_owner_is_paused_past_its_lease_and_wakes(#[values(1, 2, 3, 4)] seed: u64) {
    // An entry host is paused with requests in flight, its minions are assigned to others, and it
    // resumes with all events queued in its sockets. It must not start requests on those minions.
    let mut sim = sim(seed);
    sim.schedule(1500 * MS, |w| w.pause_entry(2, 2500 * MS));
    run_load(&mut sim, 0.7, 5);
}

#[rstest]
fn two_entry_hosts_believe_they_own_one_minion(#[values(1, 2, 3)] seed: u64) {
    // An entry host loses its connection to the control plane. After its minions were assigned to
    // others it still uses its last feed, and then gets a stale feed that names it as an owner.
    // The expired lease must keep it from using the minions.
    let mut sim = sim(seed);
    sim.schedule(1500 * MS, |w| w.disconnect_from_control(1));
    sim.schedule(4000 * MS, |w| w.force_owner(0, 1));
    run_load(&mut sim, 0.8, 5);
}

#[rstest]
fn a_new_owner_waits_for_a_minion_that_reports_nothing(#[values(1, 2)] seed: u64) {
    // The minions don't report their slots in use, and requests take long. After the owner dies,
    // the new one holds every slot for the longest deadline, then uses the minions.
    let mut sim = sim(seed);
    for minion in &mut sim.minions {
        minion.reports = false;
        minion.service_time = 100 * MS;
    }
    sim.schedule(1500 * MS, |w| w.kill_entry(0));
    run_load(&mut sim, 0.09, 6);
    assert!(sim.done() > 0);
}

#[rstest]
fn all_minions_of_a_zone_die(#[values(1, 2, 3)] seed: u64) {
    // A third of the minions dies at once at 50% load. Connections to them fail, so the requests
    // did not run and are retried elsewhere within the retry budget; the other minions are not
    // overloaded.
    let mut sim = sim(seed);
    sim.schedule(2000 * MS, |w| {
        (0..14).step_by(3).for_each(|m| w.kill_minion(m))
    });
    let sent = run_load(&mut sim, 0.5, 4);
    assert!(sim.done() * 100 >= sent * 98, "{} of {sent}", sim.done());
}

#[rstest]
fn twice_the_capacity_loses_no_goodput(#[values(1, 2)] seed: u64) {
    // At twice the capacity of the minions, requests that can't be answered in time are refused
    // at once as not run. Goodput must stay within 5% of that at full load.
    let mut at_capacity = sim(seed);
    run_load(&mut at_capacity, 1.0, 3);
    let mut over = sim(seed);
    run_load(&mut over, 2.0, 3);
    assert_eq!(over.count(|v| *v == Outcome::Unknown), 0);
    let (full, twice) = (at_capacity.done(), over.done());
    assert!(twice * 100 >= full * 95, "{twice} against {full}");
}

#[rstest]
fn a_minion_that_fails_everything_is_ejected(#[values(1, 2)] seed: u64) {
    // One minion returns errors immediately, so that it is always the least busy one and would
    // attract all requests. It must be ejected and get only occasional trial requests.
    let mut sim = sim(seed);
    sim.minions[0].fails = true;
    sim.minions[0].service_time = MS / 10;
    let sent = run_load(&mut sim, 0.5, 4) as u32;
    assert!(
        sim.minions[0].started * 100 < sent,
        "{} of {sent}",
        sim.minions[0].started
    );
}

#[rstest]
fn slow_minions_and_lost_answers(#[values(1, 2, 3)] seed: u64) {
    // Two minions slow down twentyfold, two lose a third of their responses. Idempotent requests
    // are retried elsewhere; the others end as unknown, and none of those runs twice.
    let mut sim = sim(seed);
    sim.schedule(1500 * MS, |w| {
        (0..2).for_each(|m| w.minions[m].service_time = 200 * MS);
        (2..4).for_each(|m| w.minions[m].lost_percent = 33);
    });
    run_load(&mut sim, 0.5, 4);
    assert!(sim.count(|v| *v == Outcome::Unknown) > 0);
}

#[rstest]
fn failures_do_not_multiply_the_load(#[values(1, 2)] seed: u64) {
    // Every minion returns errors. Without a retry budget each request would be tried four times,
    // multiplying the load on the minions. The budget allows 20% of the requests as retries, plus
    // one a second and a burst of 20 at each entry host.
    let mut sim = sim(seed);
    (0..14).for_each(|m| sim.minions[m].fails = true);
    let (seconds, hosts) = (3, 7);
    let sent = run_load(&mut sim, 0.1, seconds) as u32;
    let started: u32 = sim.minions.iter().map(|minion| minion.started).sum();
    let most = sent + sent / 5 + hosts * (20 + seconds + 5);
    assert!(
        started <= most,
        "{started} started, {most} allowed of {sent} sent"
    );
    assert!(started > sent, "no request was retried");
}

#[rstest]
fn entry_hosts_restart_one_after_another(#[values(1, 2)] seed: u64) {
    // Each entry host in turn is killed and restarted without its state, under load.
    let mut sim = sim(seed);
    for n in 0..7 {
        let at = 1500 * MS + SECOND * n;
        sim.schedule(at, move |w| w.kill_entry(n as usize));
        sim.schedule(at + 200 * MS, move |w| w.restart_entry(n as usize));
    }
    run_load(&mut sim, 0.4, 9);
    assert!((0..14).all(|m| sim.owner(m).is_some()));
}
