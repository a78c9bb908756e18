//! Error budgets of all objectives: event counts over time and what burned each budget.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::alert::{Alert, REPORTED_DIVISORS, alerts, burn_rate};
use super::report::BurnReport;
use super::ring::{Counts, History};
use super::tally::{BurnDelta, Dimension, ObjectiveDelta};
use crate::document::{Objective, ObjectiveTarget};
use crate::ids::Timestamp;

/// Dimensions by which burned events are broken down, in report order.
pub const BURNER_DIMENSIONS: [Dimension; 4] = [
    Dimension::Zone,
    Dimension::Host,
    Dimension::Team,
    Dimension::Kind,
];

/// Intervals per window for which burners are counted separately, so that old counts expire.
const INTERVALS: u32 = 6;
/// Maximum number of values of one dimension counted in one interval.
const VALUES_PER_INTERVAL: usize = 16;
/// Maximum number of values of one dimension in a report.
const VALUES_REPORTED: usize = 5;

/// Error budgets of all objectives, part of the replicated state. An event burns the budget
/// unless it is good.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Burn {
    objectives: BTreeMap<CompactString, Budget>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Budget {
    objective: Objective,
    history: History,
    /// Oldest first.
    #[serde(rename = "eras")]
    intervals: Vec<BurnerInterval>,
}

/// Burned events by cause in one interval of the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BurnerInterval {
    /// Unix time divided by the length of an interval.
    number: u64,
    burned_by: BTreeMap<(Dimension, CompactString), u64>,
}

/// Burn rate over a span; at 1 the budget lasts exactly for the objective's window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRate {
    /// Length of the span, which ends at the time of the report.
    pub span: Duration,
    /// Burn rate; `None` without events or without an error budget.
    pub rate: Option<f64>,
}

/// A zone, minion or worker, team, service or job kind that burned the budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burner {
    /// What `value` names.
    pub dimension: Dimension,
    /// Name of the zone, minion, worker, team, service or kind.
    pub value: CompactString,
    /// Burned events attributed to it; an upper bound if its interval overflowed.
    pub events: u64,
    /// Its share of all burned events in percent, at most 100.
    pub percent: f64,
}

/// State of one objective at the time of the report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// The objective from the document.
    pub objective: Objective,
    /// Event counts over the window.
    pub counts: Counts,
    /// Share of good events in percent; `None` without events.
    pub good_percent: Option<f64>,
    /// Share of events with unknown outcome in percent; `None` without events.
    pub unknown_percent: Option<f64>,
    /// Remaining error budget in percent; negative when the objective is missed.
    pub budget_left_percent: f64,
    /// Burn rates over several spans, shortest span first.
    pub rates: Vec<BurnRate>,
    /// Active alerts.
    pub alerts: Vec<Alert>,
    /// Largest burners of each dimension, in descending order within it.
    pub burners: Vec<Burner>,
    /// Counts per bucket over the window, oldest first, each with the bucket's start as Unix time.
    pub series: Vec<(Timestamp, Counts)>,
}

impl Burn {
    /// Sets the objectives of a new document. An objective whose target, `within` and window are
    /// unchanged keeps its history, even if the required share of good events has changed.
    pub fn set_objectives(&mut self, objectives: &[Objective]) {
        let mut old = std::mem::take(&mut self.objectives);
        for objective in objectives {
            let kept = old
                .remove(&objective.name)
                .filter(|budget| budget.counts_same_events(objective));
            let mut budget = kept.unwrap_or_else(|| Budget::new(objective));
            budget.objective = objective.clone();
            self.objectives.insert(objective.name.clone(), budget);
        }
    }

    /// Adds counts received at `now` (Unix time). Counts of an objective that is no longer
    /// declared are dropped.
    pub fn add(&mut self, now: Timestamp, delta: &BurnDelta) {
        for (name, delta) in &delta.0 {
            if let Some(budget) = self.objectives.get_mut(name) {
                budget.add(now, delta);
            }
        }
    }

    /// Reports the state of every objective at `now`.
    pub fn report(&self, now: Timestamp) -> BurnReport {
        let objectives = self.objectives.values().map(|budget| budget.report(now));
        BurnReport {
            at: now,
            objectives: objectives.collect(),
        }
    }
}

impl Budget {
    fn new(objective: &Objective) -> Self {
        Self {
            objective: objective.clone(),
            history: History::new(objective.window),
            intervals: Vec::new(),
        }
    }

    fn counts_same_events(&self, other: &Objective) -> bool {
        let mine = &self.objective;
        mine.target == other.target && mine.within == other.within && mine.window == other.window
    }

    fn add(&mut self, now: Timestamp, delta: &ObjectiveDelta) {
        self.history.add(now, &delta.counts);
        if delta.burned_by.is_empty() {
            return;
        }
        let number = self.interval_at(now);
        self.intervals
            .retain(|interval| !interval.is_expired(number));
        if self
            .intervals
            .last()
            .is_none_or(|interval| interval.number < number)
        {
            self.intervals.push(BurnerInterval {
                number,
                burned_by: BTreeMap::new(),
            });
        }
        let Some(interval) = self.intervals.last_mut() else {
            return;
        };
        for ((dimension, value), n) in &delta.burned_by {
            interval.add(*dimension, value, *n);
        }
    }

    fn interval_at(&self, now: Timestamp) -> u64 {
        let width = (self.objective.window / INTERVALS).as_nanos().max(1);
        (now.as_nanos() / width) as u64
    }

    fn report(&self, now: Timestamp) -> ObjectiveReport {
        let window = self.objective.window;
        let allowed = allowed_share(&self.objective);
        let counts = self.history.sum(now, window);
        let rate = |parts: u32| BurnRate {
            span: window / parts,
            rate: burn_rate(&self.history.sum(now, window / parts), allowed),
        };
        ObjectiveReport {
            objective: self.objective.clone(),
            counts,
            good_percent: percent(counts.good, counts.total()),
            unknown_percent: percent(counts.unknown, counts.total()),
            budget_left_percent: budget_left(&counts, allowed),
            rates: REPORTED_DIVISORS.into_iter().map(rate).collect(),
            alerts: alerts(&self.history, now, window, allowed),
            burners: self.burners(now, counts.burned()),
            series: self.history.series(now),
        }
    }

    fn burners(&self, now: Timestamp, burned: u64) -> Vec<Burner> {
        let number = self.interval_at(now);
        let mut sums: BTreeMap<&(Dimension, CompactString), u64> = BTreeMap::new();
        for interval in self
            .intervals
            .iter()
            .filter(|interval| !interval.is_expired(number))
        {
            for (key, n) in &interval.burned_by {
                *sums.entry(key).or_default() += n;
            }
        }
        let mut burners = Vec::new();
        for dimension in BURNER_DIMENSIONS {
            let mut found: Vec<_> = sums.iter().filter(|(p, _)| p.0 == dimension).collect();
            found.sort_by(|a, b| b.1.cmp(a.1).then(a.0.cmp(b.0)));
            found.truncate(VALUES_REPORTED);
            burners.extend(found.into_iter().map(|(key, n)| Burner {
                dimension,
                value: key.1.clone(),
                events: *n,
                percent: percent(*n, burned).unwrap_or_default().min(100.0),
            }));
        }
        burners
    }
}

impl BurnerInterval {
    fn is_expired(&self, newest: u64) -> bool {
        self.number + u64::from(INTERVALS) < newest
    }

    /// Counts a burner. In a full interval a new burner replaces the smallest one of its dimension
    /// and adds its own events to that one's count (the space-saving algorithm), so a burner that
    /// keeps burning is always counted. Counts are upper bounds from then on. Memory stays
    /// bounded even if callers send arbitrarily many names.
    fn add(&mut self, dimension: Dimension, value: &CompactString, n: u64) {
        let key = (dimension, value.clone());
        if let Some(count) = self.burned_by.get_mut(&key) {
            *count += n;
            return;
        }
        let mine = self.burned_by.iter().filter(|(p, _)| p.0 == dimension);
        let full = mine.clone().count() >= VALUES_PER_INTERVAL;
        let least = mine.min_by_key(|(_, n)| **n).map(|(p, n)| (p.clone(), *n));
        let mut count = n;
        if let Some((least, replaced_count)) = least.filter(|_| full) {
            self.burned_by.remove(&least);
            count += replaced_count;
        }
        self.burned_by.insert(key, count);
    }
}

/// Returns the share of events that may fail, 0 to 1.
fn allowed_share(objective: &Objective) -> f64 {
    const WHOLE: f64 = 100_000.0;
    1.0 - f64::from(objective.millipercent.min(100_000)) / WHOLE
}

fn percent(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 * 100.0 / whole as f64)
}

/// Returns the remaining budget in percent. An objective of 100% allows no bad events: its budget
/// is 100% until the first burned event and 0% after it.
fn budget_left(counts: &Counts, allowed: f64) -> f64 {
    if counts.burned() == 0 {
        return 100.0;
    }
    burn_rate(counts, allowed).map_or(0.0, |rate| 100.0 * (1.0 - rate))
}

/// Formats a target for reports.
pub(crate) fn target_name(target: &ObjectiveTarget) -> String {
    match target {
        ObjectiveTarget::Service(name) => format!("service {name}"),
        ObjectiveTarget::Kind(name) => format!("kind {name}"),
    }
}
