//! The outcome required of a trace, and its comparison with the results of a replay.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use super::measures::{Measured, Times};
use crate::ids::{JobName, WorkerId};
use crate::schema::{Count, Field, Names, Percent, Problems, Record, Span, Visitor};
use crate::workload::Band;

/// Maximum of the task counts in an outcome.
const MAX_COUNT: u32 = 1_000_000;

/// The outcome required of a replay. Every trace requires in addition that no task runs twice or is
/// lost, no worker is overcommitted, and drained workers are empty at their deadlines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Maximum 99th percentile of the waiting times in the band `urgent`; zero for no bound.
    pub urgent_p99: Duration,
    /// Maximum 99th percentile of the waiting times in the band `high`; zero for no bound.
    pub high_p99: Duration,
    /// Maximum 99th percentile of the waiting times in the band `normal`; zero for no bound.
    pub normal_p99: Duration,
    /// Maximum 99th percentile of the waiting times in the band `spare`; zero for no bound.
    pub spare_p99: Duration,
    /// Minimum of `Measured::packing` in percent; 0 for no bound.
    pub packing_floor: u32,
    /// Minimum of `Measured::fairness` in percent; 0 for no bound.
    pub fairness_floor: u32,
    /// The exact set of jobs reported as unschedulable.
    pub never_run: Vec<JobName>,
    /// The exact set of jobs that the placer fails.
    pub given_up: Vec<JobName>,
    /// The exact set of workers that are quarantined at least once.
    pub quarantined: Vec<WorkerId>,
    /// Maximum number of tasks that have not ended.
    pub unfinished: u32,
    /// Maximum number of tasks that may have run and cannot be started again.
    pub unknown: u32,
    /// Maximum number of tasks that failed and are not started again.
    pub failed: u32,
}

impl Record for Outcome {
    fn visit(&mut self, v: &mut dyn Visitor) {
        let waits = [
            ("urgent_p99", &mut self.urgent_p99),
            ("high_p99", &mut self.high_p99),
            ("normal_p99", &mut self.normal_p99),
            ("spare_p99", &mut self.spare_p99),
        ];
        for (key, slot) in waits {
            let doc = "Longest waiting that 99 of 100 tasks of the band may have.";
            v.scalar(Field::optional(key, doc), &mut Span(slot));
        }
        let packing = Field::optional(
            "packing_floor",
            "Least packing while demand is above the capacity, as a share of the bound.",
        );
        v.scalar(packing, &mut Percent(&mut self.packing_floor));
        let fairness = Field::optional(
            "fairness_floor",
            "Least weighted share of the worst-served team by that of the best-served one.",
        );
        v.scalar(fairness, &mut Percent(&mut self.fairness_floor));
        let lists = [
            ("never_run", "Jobs said to run never.", &mut self.never_run),
            ("given_up", "Jobs given up.", &mut self.given_up),
            (
                "quarantined",
                "Workers quarantined at some time.",
                &mut self.quarantined,
            ),
        ];
        for (key, doc, slot) in lists {
            let mut names = Names::new(slot, |name: CompactString| name, |name| name);
            v.texts(Field::optional(key, doc), &mut names);
        }
        let counts = [
            (
                "unfinished",
                "Most tasks that may not have ended.",
                &mut self.unfinished,
            ),
            (
                "unknown",
                "Most tasks whose outcome may be unknown.",
                &mut self.unknown,
            ),
            (
                "failed",
                "Most tasks that may have failed for good.",
                &mut self.failed,
            ),
        ];
        for (key, doc, slot) in counts {
            v.scalar(
                Field::optional(key, doc),
                &mut Count::new(slot, 0, MAX_COUNT),
            );
        }
    }

    fn initial() -> Self {
        Self::default()
    }

    fn blank(&self) -> Box<dyn Record> {
        Box::new(Self::default())
    }
}

impl Outcome {
    /// An outcome without bounds, which requires only the invariants of every trace.
    pub fn unbounded() -> Self {
        Self {
            unfinished: MAX_COUNT,
            unknown: MAX_COUNT,
            failed: MAX_COUNT,
            ..Self::default()
        }
    }

    /// Reads an outcome from YAML; errors name the source as `name`.
    pub fn read(name: &str, text: &str) -> Result<Self, Problems> {
        crate::schema::read(name, text)
    }

    /// Lists the violated invariants and the unmet requirements, one sentence each.
    pub fn missed(&self, got: &Measured) -> Vec<String> {
        let mut missed: Vec<String> = got
            .violations
            .iter()
            .map(|v| {
                format!(
                    "at line {}, {:.3} s: {}",
                    v.line,
                    v.at.as_secs_f64(),
                    v.what
                )
            })
            .collect();
        let more = got.violation_count - got.violations.len() as u64;
        if more > 0 {
            missed.push(format!("{more} more such events"));
        }
        if got.lost > 0 {
            missed.push(format!("{} tasks are lost", got.lost));
        }
        self.missed_waits(got, &mut missed);
        self.missed_shares(got, &mut missed);
        self.missed_names(got, &mut missed);
        let counts = [
            ("did not end", self.unfinished, got.unfinished),
            ("have an unknown outcome", self.unknown, got.unknown),
            ("failed for good", self.failed, got.failed),
        ];
        for (what, most, n) in counts {
            if n > u64::from(most) {
                missed.push(format!("{n} tasks {what}; at most {most} may"));
            }
        }
        missed
    }

    fn missed_names(&self, got: &Measured, missed: &mut Vec<String>) {
        if *self == Self::unbounded() {
            return;
        }
        check_names(missed, "never run", &self.never_run, &got.never_run);
        check_names(missed, "given up", &self.given_up, &got.given_up);
        check_names(missed, "quarantined", &self.quarantined, &got.quarantined);
    }

    fn missed_waits(&self, got: &Measured, missed: &mut Vec<String>) {
        let bounds = [
            (Band::Urgent, self.urgent_p99),
            (Band::High, self.high_p99),
            (Band::Normal, self.normal_p99),
            (Band::Spare, self.spare_p99),
        ];
        for (band, bound) in bounds {
            let none = Times::default();
            let got = got.waiting.get(&band).unwrap_or(&none);
            if !bound.is_zero() && got.p99 > bound {
                missed.push(format!(
                    "waiting p99 of band {band:?} is {:.3} s; at most {:.3} s was stated",
                    got.p99.as_secs_f64(),
                    bound.as_secs_f64()
                ));
            }
        }
    }

    fn missed_shares(&self, got: &Measured, missed: &mut Vec<String>) {
        let floors = [
            ("packing", self.packing_floor, got.packing),
            ("fairness", self.fairness_floor, got.fairness),
        ];
        for (what, floor, got) in floors {
            if floor == 0 {
                continue;
            }
            match got {
                Some(share) if share * 100.0 >= f64::from(floor) => {}
                Some(share) => missed.push(format!(
                    "{what} is {:.1}%; at least {floor}% was stated",
                    share * 100.0
                )),
                None => missed.push(format!(
                    "{what} was stated but there was nothing to measure"
                )),
            }
        }
    }
}

fn check_names(
    missed: &mut Vec<String>,
    what: &str,
    stated: &[CompactString],
    got: &BTreeSet<CompactString>,
) {
    let stated: BTreeSet<CompactString> = stated.iter().cloned().collect();
    for name in stated.difference(got) {
        missed.push(format!("{name} was to be {what} and was not"));
    }
    for name in got.difference(&stated) {
        missed.push(format!("{name} was {what}, which was not stated"));
    }
}
