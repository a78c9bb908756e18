//! Counts the events seen by a daemon per objective until they are sent to control.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::ring::Counts;
use crate::document::{Objective, ObjectiveTarget};

/// Maximum number of values of one dimension counted separately in one delta. Events of further
/// values count only in the totals.
const MAX_VALUES: usize = 64;

/// A property by which burned events are broken down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dimension {
    /// Availability zone.
    Zone,
    /// Minion, or worker for tasks.
    Host,
    /// Team.
    Team,
    /// Service or job kind.
    Kind,
}

impl Dimension {
    /// Returns the name shown in reports, in which `Host` is a minion.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Host => "minion",
            Self::Team => "team",
            Self::Kind => "kind",
        }
    }
}

/// Origin of an event; an empty field means unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dimensions {
    /// Availability zone.
    pub zone: CompactString,
    /// Minion or worker.
    pub host: CompactString,
    /// Team.
    pub team: CompactString,
    /// Service or job kind.
    pub kind: CompactString,
}

impl Dimensions {
    fn into_pairs(self) -> [(Dimension, CompactString); 4] {
        [
            (Dimension::Zone, self.zone),
            (Dimension::Host, self.host),
            (Dimension::Team, self.team),
            (Dimension::Kind, self.kind),
        ]
    }
}

/// Outcome of a request or of the start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered or started after this time; good if that is within the objective's limit.
    Took(Duration),
    /// Refused, failed or too late to matter.
    Failed,
    /// The request or task may or may not have run.
    Unknown,
}

/// A request to a service or the start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Service or job kind; matched against the targets of the objectives.
    pub target: ObjectiveTarget,
    /// Outcome, classified by each objective's time limit.
    pub outcome: Outcome,
    /// Origin, recorded only if the event is not good.
    pub dimensions: Dimensions,
}

/// Counts of one objective since the last delta.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveDelta {
    /// Numbers of events by outcome.
    pub counts: Counts,
    /// Numbers of events that were not good, by origin.
    pub burned_by: BTreeMap<(Dimension, CompactString), u64>,
}

/// Counts of all objectives since the last delta, by the objective's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnDelta(pub BTreeMap<CompactString, ObjectiveDelta>);

impl BurnDelta {
    /// Returns true if no event was counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the counts of another delta.
    pub fn merge(&mut self, other: Self) {
        for (name, delta) in other.0 {
            let mine = self.0.entry(name).or_default();
            mine.counts.add(&delta.counts);
            for (key, n) in delta.burned_by {
                *mine.burned_by.entry(key).or_default() += n;
            }
        }
    }
}

/// Counts events against the objectives in force.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    objectives: Vec<Objective>,
    delta: BurnDelta,
}

impl Tally {
    /// Replaces the objectives for later events; counts so far are kept.
    pub fn set_objectives(&mut self, objectives: &[Objective]) {
        self.objectives = objectives.to_vec();
    }

    /// Counts an event for every objective with its target.
    pub fn record(&mut self, event: Event) {
        let Event {
            target,
            outcome,
            dimensions,
        } = event;
        for objective in self.objectives.iter().filter(|o| o.target == target) {
            let counts = classify(outcome, objective.within);
            let delta = self.delta.0.entry(objective.name.clone()).or_default();
            delta.counts.add(&counts);
            if counts.good == 0 {
                attribute(delta, dimensions.clone());
            }
        }
    }

    /// Returns the counts and resets them.
    pub fn take(&mut self) -> BurnDelta {
        std::mem::take(&mut self.delta)
    }
}

fn classify(outcome: Outcome, within: Duration) -> Counts {
    match outcome {
        Outcome::Took(time) if time <= within => Counts::GOOD,
        Outcome::Took(_) | Outcome::Failed => Counts::BAD,
        Outcome::Unknown => Counts::UNKNOWN,
    }
}

fn attribute(delta: &mut ObjectiveDelta, dimensions: Dimensions) {
    for (dimension, value) in dimensions.into_pairs() {
        if value.is_empty() {
            continue;
        }
        let kept = delta.burned_by.keys().filter(|(d, _)| *d == dimension);
        let key = (dimension, value);
        if delta.burned_by.contains_key(&key) || kept.count() < MAX_VALUES {
            *delta.burned_by.entry(key).or_default() += 1;
        }
    }
}
