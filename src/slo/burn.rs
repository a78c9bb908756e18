//! Error budgets of all objectives over time.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::alert::{Alert, SHOWN_PARTS, alerts, burn_rate};
use super::report::BurnReport;
use super::ring::{Counts, History};
use super::tally::{BurnDelta, Dimension, ObjectiveDelta};
use crate::document::{Objective, ObjectiveTarget};
use crate::ids::Timestamp;

/// Dimensions a loss is broken down by, in the order they are shown.
pub const BURNER_DIMENSIONS: [Dimension; 4] = [
    Dimension::Zone,
    Dimension::Host,
    Dimension::Team,
    Dimension::Kind,
];

/// Spans of the window for which burners are kept apart, so that old ones fade.
const ERAS: u32 = 6;
/// Values of one dimension kept in one era.
const VALUES_PER_ERA: usize = 16;
/// Values of one dimension shown.
const VALUES_SHOWN: usize = 5;

/// Budgets of all objectives; part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Burn {
    objectives: BTreeMap<CompactString, Budget>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Budget {
    objective: Objective,
    history: History,
    eras: Vec<Era>,
}

/// What burned the budget in one span of the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Era {
    number: u64,
    burned_by: BTreeMap<(Dimension, CompactString), u64>,
}

/// Burn rate over a span; 1 uses the budget up exactly at the window's end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRate {
    /// The span until now.
    pub span: Duration,
    /// The rate; none without events.
    pub rate: Option<f64>,
}

/// A zone, minion, team or kind that burned the budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burner {
    /// What the value is.
    pub dimension: Dimension,
    /// Its name.
    pub value: CompactString,
    /// Events burned there.
    pub events: u64,
    /// Share of all burned events in percent.
    pub percent: f64,
}

/// State of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// The objective as declared.
    pub objective: Objective,
    /// Events over the window.
    pub counts: Counts,
    /// Share of good events in percent; none without events.
    pub good_percent: Option<f64>,
    /// Share of unknown events in percent; none without events.
    pub unknown_percent: Option<f64>,
    /// Error budget left in percent; below zero when the objective is missed.
    pub budget_left_percent: f64,
    /// Burn rates over several spans, shortest first.
    pub rates: Vec<BurnRate>,
    /// Alerts that hold now.
    pub alerts: Vec<Alert>,
    /// What burned it, most first within each dimension.
    pub burners: Vec<Burner>,
    /// Counts over the window, oldest first, each with its start as Unix time.
    pub series: Vec<(Timestamp, Counts)>,
}

impl Burn {
    /// Takes the objectives of a new document. An objective whose target, time and window are
    /// unchanged keeps its history, also when its goal changed.
    pub fn set_objectives(&mut self, objectives: &[Objective]) {
        let mut old = std::mem::take(&mut self.objectives);
        for objective in objectives {
            let kept = old
                .remove(&objective.name)
                .filter(|budget| budget.counts_the_same(objective));
            let mut budget = kept.unwrap_or_else(|| Budget::new(objective));
            budget.objective = objective.clone();
            self.objectives.insert(objective.name.clone(), budget);
        }
    }

    /// Adds counts that were handed over at `now` (Unix time). Counts of an objective that is
    /// no longer declared are dropped.
    pub fn add(&mut self, now: Timestamp, delta: &BurnDelta) {
        for (name, delta) in &delta.0 {
            if let Some(budget) = self.objectives.get_mut(name) {
                budget.add(now, delta);
            }
        }
    }

    /// Gives the state of every objective at `now`.
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
            eras: Vec::new(),
        }
    }

    fn counts_the_same(&self, other: &Objective) -> bool {
        let mine = &self.objective;
        mine.target == other.target && mine.within == other.within && mine.window == other.window
    }

    fn add(&mut self, now: Timestamp, delta: &ObjectiveDelta) {
        self.history.add(now, &delta.counts);
        if delta.burned_by.is_empty() {
            return;
        }
        let number = self.era_at(now);
        self.eras.retain(|era| !era.is_over(number));
        if self.eras.last().is_none_or(|era| era.number < number) {
            self.eras.push(Era {
                number,
                burned_by: BTreeMap::new(),
            });
        }
        let Some(era) = self.eras.last_mut() else {
            return;
        };
        for ((dimension, value), n) in &delta.burned_by {
            era.add(*dimension, value, *n);
        }
    }

    fn era_at(&self, now: Timestamp) -> u64 {
        let width = (self.objective.window / ERAS).as_nanos().max(1);
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
            rates: SHOWN_PARTS.into_iter().map(rate).collect(),
            alerts: alerts(&self.history, now, window, allowed),
            burners: self.burners(now, counts.burned()),
            series: self.history.series(now),
        }
    }

    fn burners(&self, now: Timestamp, burned: u64) -> Vec<Burner> {
        let number = self.era_at(now);
        let mut sums: BTreeMap<&(Dimension, CompactString), u64> = BTreeMap::new();
        for era in self.eras.iter().filter(|era| !era.is_over(number)) {
            for (place, n) in &era.burned_by {
                *sums.entry(place).or_default() += n;
            }
        }
        let mut burners = Vec::new();
        for dimension in BURNER_DIMENSIONS {
            let mut found: Vec<_> = sums.iter().filter(|(p, _)| p.0 == dimension).collect();
            found.sort_by(|a, b| b.1.cmp(a.1).then(a.0.cmp(b.0)));
            found.truncate(VALUES_SHOWN);
            burners.extend(found.into_iter().map(|(place, n)| Burner {
                dimension,
                value: place.1.clone(),
                events: *n,
                percent: percent(*n, burned).unwrap_or_default().min(100.0),
            }));
        }
        burners
    }
}

impl Era {
    fn is_over(&self, newest: u64) -> bool {
        self.number + u64::from(ERAS) < newest
    }

    /// Counts a burner. A new one in a full era replaces the least of its dimension and takes
    /// over its count, so that one that burns on is never shut out; counts are upper bounds
    /// then. Memory stays fixed however many names callers make up.
    fn add(&mut self, dimension: Dimension, value: &CompactString, n: u64) {
        let place = (dimension, value.clone());
        if let Some(count) = self.burned_by.get_mut(&place) {
            *count += n;
            return;
        }
        let mine = self.burned_by.iter().filter(|(p, _)| p.0 == dimension);
        let full = mine.clone().count() >= VALUES_PER_ERA;
        let least = mine.min_by_key(|(_, n)| **n).map(|(p, n)| (p.clone(), *n));
        let mut count = n;
        if let Some((least, taken_over)) = least.filter(|_| full) {
            self.burned_by.remove(&least);
            count += taken_over;
        }
        self.burned_by.insert(place, count);
    }
}

/// Share of events that may fail.
fn allowed_share(objective: &Objective) -> f64 {
    const WHOLE: f64 = 100_000.0;
    1.0 - f64::from(objective.millipercent.min(100_000)) / WHOLE
}

fn percent(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 * 100.0 / whole as f64)
}

/// An objective of 100% has no budget: it is whole until the first event burns, then gone.
fn budget_left(counts: &Counts, allowed: f64) -> f64 {
    if counts.burned() == 0 {
        return 100.0;
    }
    burn_rate(counts, allowed).map_or(0.0, |rate| 100.0 * (1.0 - rate))
}

/// A target as operators write it.
pub(crate) fn target_name(target: &ObjectiveTarget) -> String {
    match target {
        ObjectiveTarget::Service(name) => format!("service {name}"),
        ObjectiveTarget::Kind(name) => format!("kind {name}"),
    }
}
