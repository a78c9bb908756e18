//! Tests error budgets, burn-rate alerts, the breakdown of burned events, and reports.

use std::time::Duration;

use rstest::rstest;
use yuccahold::document::{Objective, ObjectiveTarget};
use yuccahold::slo::{
    Burn, Dimensions, Event, Outcome, Severity, Tally, render_html, render_json, render_table,
};

const DAY: Duration = Duration::from_secs(86_400);
const MINUTE: Duration = Duration::from_secs(60);
/// An arbitrary Unix time.
const START: Duration = Duration::from_secs(1_800_000_000);

fn quick_checks() -> Objective {
    Objective {
        name: "quick-checks".into(),
        target: ObjectiveTarget::Service("massrechner".into()),
        within: Duration::from_millis(250),
        millipercent: 99_900,
        window: 30 * DAY,
    }
}

fn event(outcome: Outcome, minion: &str) -> Event {
    Event {
        target: quick_checks().target,
        outcome,
        dimensions: Dimensions {
            zone: "bern-a".into(),
            host: minion.into(),
            team: "fitters".into(),
            kind: "massrechner".into(),
        },
    }
}

/// Adds one minute of requests: `good` ones on minion m1 and `late` ones on minion m7.
fn add_minute(burn: &mut Burn, now: Duration, good: u32, late: u32) {
    let mut tally = Tally::default();
    tally.set_objectives(&[quick_checks()]);
    for _ in 0..good {
        tally.record(event(Outcome::Took(Duration::from_millis(250)), "m1"));
    }
    for _ in 0..late {
        tally.record(event(Outcome::Took(Duration::from_millis(251)), "m7"));
    }
    burn.add(now, &tally.take());
}

fn burn_over(minutes: u32, good: u32, late: u32) -> (Burn, Duration) {
    let mut burn = Burn::default();
    burn.set_objectives(&[quick_checks()]);
    for n in 0..minutes {
        add_minute(&mut burn, START + MINUTE * n, good, late);
    }
    (burn, START + MINUTE * minutes)
}

#[rstest]
// 99.9% allows one bad event in a thousand; the fastest page rule fires at 14.4 times that.
#[case::nothing_late(120, 1000, 0, &[])]
#[case::within_budget(120, 999, 1, &[])]
#[case::ten_times(120, 990, 10, &[Severity::Page, Severity::Ticket])]
#[case::twenty_times(120, 980, 20, &[Severity::Page, Severity::Page, Severity::Ticket])]
fn alerts_follow_the_burn_rate(
    #[case] minutes: u32,
    #[case] good: u32,
    #[case] late: u32,
    #[case] expected: &[Severity],
) {
    let (burn, now) = burn_over(minutes, good, late);
    let report = burn.report(now);
    let alerts: Vec<_> = report.objectives[0]
        .alerts
        .iter()
        .map(|a| a.severity)
        .collect();
    assert_eq!(alerts, expected);
}

#[test]
fn one_late_request_in_little_traffic_raises_no_alert() {
    let (mut burn, now) = burn_over(60, 1, 0);
    add_minute(&mut burn, now, 0, 1);
    assert!(burn.report(now).objectives[0].alerts.is_empty());
}

#[test]
fn a_page_ends_soon_after_its_cause() {
    // After an hour of loss the long span still contains it for an hour, but the short span has
    // no loss after a few minutes, so the page must end.
    let (mut burn, now) = burn_over(60, 900, 100);
    assert!(!burn.report(now).objectives[0].alerts.is_empty());
    for n in 0..40 {
        add_minute(&mut burn, now + MINUTE * n, 1000, 0);
    }
    let later = &burn.report(now + MINUTE * 40).objectives[0];
    let pages = later.alerts.iter().filter(|a| a.severity == Severity::Page);
    assert_eq!(pages.count(), 0);
}

#[test]
fn old_loss_leaves_the_budget() {
    let (burn, now) = burn_over(10, 0, 100);
    assert!(burn.report(now).objectives[0].budget_left_percent < 0.0);
    let after = &burn.report(now + 32 * DAY).objectives[0];
    assert_eq!(after.budget_left_percent, 100.0);
    assert_eq!(after.burners, []);
}

#[test]
fn a_goal_can_change_without_losing_its_history() {
    let (mut burn, now) = burn_over(10, 90, 10);
    let looser = Objective {
        millipercent: 80_000,
        ..quick_checks()
    };
    burn.set_objectives(&[looser]);
    let report = burn.report(now);
    assert_eq!(report.objectives[0].counts.total(), 1000);
    assert_eq!(report.objectives[0].budget_left_percent.round(), 50.0);

    let faster = Objective {
        within: Duration::from_millis(100),
        ..quick_checks()
    };
    burn.set_objectives(&[faster]);
    assert_eq!(burn.report(now).objectives[0].counts.total(), 0);
}

#[test]
fn burn_survives_a_restart_and_stays_small() {
    // Callers send arbitrary host names for a month. The state is part of every snapshot, so it
    // must not grow with the number of names, and must survive encoding and decoding unchanged.
    let mut burn = Burn::default();
    burn.set_objectives(&[quick_checks()]);
    let mut tally = Tally::default();
    tally.set_objectives(&[quick_checks()]);
    for n in 0..20_000_u32 {
        tally.record(event(Outcome::Unknown, &format!("made-up-{n}")));
        if n % 100 == 0 {
            burn.add(START + MINUTE * 2 * n, &tally.take());
        }
    }
    let bytes = postcard::to_allocvec(&burn).unwrap();
    assert!(bytes.len() < 16 * 1024, "{} bytes", bytes.len());
    let back: Burn = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(back, burn);
}

#[test]
fn the_table_names_what_burned_the_budget() {
    let (burn, now) = burn_over(120, 985, 15);
    insta::assert_snapshot!(render_table(&burn.report(now)));
}

#[test]
fn json_and_page_carry_every_objective() {
    let (burn, now) = burn_over(120, 985, 15);
    let report = burn.report(now);
    let json: serde_json::Value = serde_json::from_str(&render_json(&report).unwrap()).unwrap();
    assert_eq!(json["objectives"][0]["counts"]["bad"], 1800);
    let page = render_html(&report).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("m7") && page.contains("Alert."));
    let empty = render_html(&Burn::default().report(now)).unwrap();
    assert!(empty.contains("declares no objectives"));
}
