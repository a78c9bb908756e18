//! Alerts when a budget burns too fast over a long and a short span together.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ring::{Counts, History};
use crate::ids::Timestamp;

/// How soon somebody must act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// In working hours.
    Ticket,
    /// Now.
    Page,
}

/// A budget that burns too fast.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// How soon somebody must act.
    pub severity: Severity,
    /// Long span.
    pub long: Duration,
    /// Burn rate over the long span; 1 uses the budget up exactly at the window's end.
    pub long_rate: f64,
    /// Short span.
    pub short: Duration,
    /// Burn rate over the short span.
    pub short_rate: f64,
    /// Rate that both exceeded.
    pub threshold: f64,
}

/// A rule: the share of the budget that may go in the long span, and both spans as fractions of
/// the window.
struct Rule {
    severity: Severity,
    budget_percent: f64,
    long_parts: u32,
    short_parts: u32,
}

/// For a window of 30 days: 2% in an hour, 5% in 6 hours, 10% in 3 days, each with a short span
/// of a twelfth.
const RULES: [Rule; 3] = [
    Rule {
        severity: Severity::Page,
        budget_percent: 2.0,
        long_parts: 720,
        short_parts: 8_640,
    },
    Rule {
        severity: Severity::Page,
        budget_percent: 5.0,
        long_parts: 120,
        short_parts: 1_440,
    },
    Rule {
        severity: Severity::Ticket,
        budget_percent: 10.0,
        long_parts: 10,
        short_parts: 120,
    },
];

/// Events that must have burned in the long span before it alerts. With little traffic a single
/// late request is a large share, and would wake somebody for nothing.
const LEAST_BURNED: u64 = 3;

/// Spans over which burn rates are shown, as fractions of the window.
pub(crate) const SHOWN_PARTS: [u32; 4] = [8_640, 720, 120, 10];

/// Share of burned events over the share allowed; none without events or without a budget.
pub(crate) fn burn_rate(counts: &Counts, allowed: f64) -> Option<f64> {
    let total = counts.total();
    if total == 0 || allowed <= 0.0 {
        return None;
    }
    Some(counts.burned() as f64 / total as f64 / allowed)
}

/// Finds the alerts that hold at `now`.
///
/// The long span shows that the loss matters; the short one ends the alert soon after the cause
/// is gone.
pub(crate) fn alerts(
    history: &History,
    now: Timestamp,
    window: Duration,
    allowed: f64,
) -> Vec<Alert> {
    let holds = |rule: &Rule| {
        let (long, short) = (window / rule.long_parts, window / rule.short_parts);
        let counts = history.sum(now, long);
        let long_rate = burn_rate(&counts, allowed)?;
        let short_rate = burn_rate(&history.sum(now, short), allowed)?;
        let threshold = rule.budget_percent / 100.0 * f64::from(rule.long_parts);
        let burns = long_rate >= threshold && short_rate >= threshold;
        (burns && counts.burned() >= LEAST_BURNED).then_some(Alert {
            severity: rule.severity,
            long,
            long_rate,
            short,
            short_rate,
            threshold,
        })
    };
    RULES.iter().filter_map(holds).collect()
}
