//! Multi-window burn-rate alerts: an alert fires when the burn rate is too high over both a long
//! and a short span.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ring::{Counts, History};
use crate::ids::Timestamp;

/// Urgency of an alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// To be handled in working hours.
    Ticket,
    /// To be handled at once, at any hour.
    Page,
}

/// An error budget whose burn rate exceeds a rule's threshold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// Urgency, from the rule.
    pub severity: Severity,
    /// Length of the long span.
    pub long: Duration,
    /// Burn rate over the long span; at 1 the budget lasts exactly for the objective's window.
    pub long_rate: f64,
    /// Length of the short span.
    pub short: Duration,
    /// Burn rate over the short span.
    pub short_rate: f64,
    /// Burn rate that both spans have reached or exceeded.
    pub threshold: f64,
}

/// A condition for an alert.
struct Rule {
    severity: Severity,
    /// Share of the budget that, burned within the long span, raises the alert.
    budget_percent: f64,
    /// The objective's window divided by the long span; likewise for the short span below.
    long_divisor: u32,
    short_divisor: u32,
}

/// Alert rules. For a window of 30 days they are 2% in 1 hour, 5% in 6 hours and 10% in 3 days;
/// each short span is a twelfth of the long one.
const RULES: [Rule; 3] = [
    Rule {
        severity: Severity::Page,
        budget_percent: 2.0,
        long_divisor: 720,
        short_divisor: 8_640,
    },
    Rule {
        severity: Severity::Page,
        budget_percent: 5.0,
        long_divisor: 120,
        short_divisor: 1_440,
    },
    Rule {
        severity: Severity::Ticket,
        budget_percent: 10.0,
        long_divisor: 10,
        short_divisor: 120,
    },
];

/// Minimum number of burned events in the long span for an alert. With little traffic a single
/// late request is a large share of all events and would page the operator needlessly.
const MIN_BURNED_EVENTS: u64 = 3;

/// Spans over which burn rates are reported, as divisors of the window, shortest span first.
pub(crate) const REPORTED_DIVISORS: [u32; 4] = [8_640, 720, 120, 10];

/// Divides the share of burned events by the allowed share; `None` without events or when the
/// objective allows none.
pub(crate) fn burn_rate(counts: &Counts, allowed: f64) -> Option<f64> {
    let total = counts.total();
    if total == 0 || allowed <= 0.0 {
        return None;
    }
    Some(counts.burned() as f64 / total as f64 / allowed)
}

/// Returns the alerts that are active at `now`.
///
/// The long span filters out losses too small to matter; the short span ends the alert soon after
/// its cause is gone.
pub(crate) fn alerts(
    history: &History,
    now: Timestamp,
    window: Duration,
    allowed: f64,
) -> Vec<Alert> {
    let active = |rule: &Rule| {
        let (long, short) = (window / rule.long_divisor, window / rule.short_divisor);
        let counts = history.sum(now, long);
        let long_rate = burn_rate(&counts, allowed)?;
        let short_rate = burn_rate(&history.sum(now, short), allowed)?;
        let threshold = rule.budget_percent / 100.0 * f64::from(rule.long_divisor);
        let burns = long_rate >= threshold && short_rate >= threshold;
        (burns && counts.burned() >= MIN_BURNED_EVENTS).then_some(Alert {
            severity: rule.severity,
            long,
            long_rate,
            short,
            short_rate,
            threshold,
        })
    };
    RULES.iter().filter_map(active).collect()
}
