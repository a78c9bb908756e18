//! Leases of minions, and what a leader concludes when a minion doesn't answer.

mod batch_world;

use std::collections::BTreeSet;
use std::sync::Arc;

use batch_world::{JOB, World, draining, lasting, ms, report, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{Answer, CallFailure, Listing};
use yuccahold::batch::ledger::Command;
use yuccahold::batch::model::{Configuration, MinionReport, Readiness, Service};

/// A minion stops answering for good while the leader keeps sending holds to it. These must not
/// extend the lease, or the leader would wait forever for the end of a lease that it renews itself,
/// and the lasting task of the minion would never run again.
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
        world.advance(ms(50));
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

/// On some days one answer in twenty is lost. While the leader waits for a lost answer to a hold,
/// it learns of no end on that minion, and the next steps of the jobs there start late. So the wait
/// is short while short runs are running, and the next hold follows at once.
#[test]
fn a_lost_answer_to_a_hold_hides_short_runs_only_briefly() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.take_holds();
    world.submit(JOB, vec![step(1, 1000)]);
    world.start_all();
    world.advance(ms(20));
    let waits: Vec<_> = world.take_holds().iter().map(|(_, h)| h.wait).collect();
    world.silent_hold(minion);
    let again: Vec<_> = world.take_holds().iter().map(|(_, h)| h.wait).collect();
    assert_eq!((waits, again), (vec![ms(500)], vec![ms(0)]));
}

/// A minion is disconnected and a start order to it gets no answer; the pending hold will time out
/// only half a second later. Tasks submitted meanwhile must be placed elsewhere: each start on the
/// unreachable minion would be sent four times and then wait for the end of its lease. When the
/// minion answers again, it gets work as before.
#[test]
fn a_minion_with_an_unanswered_start_gets_no_further_work() {
    let mut world = World::new();
    let cut = world.join("i-cut", 1);
    world.submit(JOB, vec![step(1, 1_000)]);
    let (_, lost) = world.take_starts().remove(0);
    world.answer_start(cut, lost.task, lost.run, Answer::Silent(CallFailure::Lost));
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

/// A minion's listing has a row that can't be parsed, and a confirmed run is not among the other
/// rows. The unreadable row may be that run, so its task is not started elsewhere until a complete
/// listing lacks the run.
#[test]
fn a_run_that_an_unreadable_row_may_hide_is_not_started_again() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.start_all().len(), 1);
    world.advance(ms(50));
    for (unreadable, started) in [(1, 0), (0, 1)] {
        world.take_holds();
        let clock = world.now;
        world.listing(
            minion,
            Listing {
                clock,
                unreadable,
                ..Listing::default()
            },
        );
        world.advance(ms(200));
        assert_eq!(
            world.take_starts().len(),
            started,
            "{unreadable} unreadable"
        );
    }
}

/// A configuration with these services.
fn config(version: u64, services: &[&str]) -> Command {
    let services = services.iter().map(|name| Service {
        name: (*name).into(),
        ..Service::default()
    });
    Command::PutConfig {
        version,
        document: Default::default(),
        parsed: Arc::new(Configuration {
            services: services.collect(),
            ..Configuration::default()
        }),
    }
}

/// A report names a service that is not configured. Its sender may not be a minion at all, so it
/// isn't called. When a configuration adds the service, the minion gets a hold.
#[test]
fn a_minion_of_an_unknown_service_gets_no_calls() {
    let mut world = World::new();
    world.apply(&config(1, &["other"]));
    world.leader.report(world.now, report("i-1", 1));
    world.advance(ms(10));
    assert_eq!(world.take_holds().len(), 0);
    world.apply(&config(2, &["other", "desk"]));
    world.advance(ms(10));
    assert_eq!(world.take_holds().len(), 1);
}

/// Another program sends a report of an unknown service under the id or the address of a minion.
/// The minion must keep getting work, and its own reports must still count.
#[rstest]
#[case::its_id("i-1")]
#[case::its_address("stranger")]
fn a_report_of_an_unknown_service_does_not_affect_a_minion(#[case] id: &str) {
    let mut world = World::new();
    world.apply(&config(1, &["desk"]));
    world.join("i-1", 1);
    let stranger = MinionReport {
        service: "other".into(),
        sequence: 1_000_000,
        readiness: Readiness::Draining { remaining: None },
        ..report(id, 1)
    };
    world.leader.report(world.now, stranger);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.start_all().len(), 1);
    world.leader.report(world.now, draining("i-1", 1));
    world.submit(JOB + 1, vec![step(1, 1_000)]);
    assert_eq!(world.start_all().len(), 0);
}
