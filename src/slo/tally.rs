//! Events as daemons see them, counted per objective until they are handed on.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::ring::Counts;
use crate::document::{Objective, ObjectiveTarget};

/// Values of one dimension that are told apart between two hand-overs; more are counted in the
/// totals only.
const VALUES_KEPT: usize = 64;

/// What a budget's loss is broken down by.
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
    /// The brief's word for it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Host => "minion",
            Self::Team => "team",
            Self::Kind => "kind",
        }
    }
}

/// Where an event arose; an empty text means not known.
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
    fn each(self) -> [(Dimension, CompactString); 4] {
        [
            (Dimension::Zone, self.zone),
            (Dimension::Host, self.host),
            (Dimension::Team, self.team),
            (Dimension::Kind, self.kind),
        ]
    }
}

/// How a request or a start came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered or started after this time; good when within the objective's.
    Took(Duration),
    /// Refused, failed or too late to matter.
    Failed,
    /// It may have run.
    Unknown,
}

/// One request or start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// What the objective speaks of.
    pub target: ObjectiveTarget,
    /// How it came out.
    pub outcome: Outcome,
    /// Where it arose.
    pub dimensions: Dimensions,
}

/// Counts of one objective since the last hand-over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveDelta {
    /// Events by outcome.
    pub counts: Counts,
    /// Events that were not good, by where they arose.
    pub burned_by: BTreeMap<(Dimension, CompactString), u64>,
}

/// Counts of all objectives since the last hand-over, by the objective's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnDelta(pub BTreeMap<CompactString, ObjectiveDelta>);

impl BurnDelta {
    /// Says whether there is nothing to hand on.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds another delta's counts to this one's.
    pub fn merge(&mut self, other: Self) {
        for (name, delta) in other.0 {
            let mine = self.0.entry(name).or_default();
            mine.counts.add(&delta.counts);
            for (place, n) in delta.burned_by {
                *mine.burned_by.entry(place).or_default() += n;
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
    /// Counts against these objectives from now on; what was counted is kept.
    pub fn set_objectives(&mut self, objectives: &[Objective]) {
        self.objectives = objectives.to_vec();
    }

    /// Counts an event. One event may count for several objectives.
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
                note(delta, dimensions.clone());
            }
        }
    }

    /// Hands over what was counted and begins anew.
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

fn note(delta: &mut ObjectiveDelta, dimensions: Dimensions) {
    for (dimension, value) in dimensions.each() {
        if value.is_empty() {
            continue;
        }
        let kept = delta.burned_by.keys().filter(|(d, _)| *d == dimension);
        let place = (dimension, value);
        if delta.burned_by.contains_key(&place) || kept.count() < VALUES_KEPT {
            *delta.burned_by.entry(place).or_default() += 1;
        }
    }
}
