//! The outcome stated beside a trace, and what a replay missed of it.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use super::measures::{Measured, Times};
use crate::ids::{JobName, WorkerId};
use crate::schema::{Count, Field, Names, Percent, Problems, Record, Span, Visitor};
use crate::workload::Band;

/// Largest number of tasks that may be stated.
const MAX_COUNT: u32 = 1_000_000;

/// What must come of a replay. Nothing doubled, nothing lost, no overfill and workers empty at
/// their drains' deadlines are required of every trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Longest waiting that 99 of 100 tasks of the band may have; zero for no bound.
    pub urgent_p99: Duration,
    /// The same for the band `high`.
    pub high_p99: Duration,
    /// The same for the band `normal`.
    pub normal_p99: Duration,
    /// The same for the band `spare`.
    pub spare_p99: Duration,
    /// Least packing while demand is above the capacity, in percent of the bound; 0 for none.
    pub packing_floor: u32,
    /// Least share of the worst-served team by the best-served one, in percent; 0 for none.
    pub fairness_floor: u32,
    /// Jobs that are said to run never, and no others.
    pub never_run: Vec<JobName>,
    /// Jobs that are given up, and no others.
    pub given_up: Vec<JobName>,
    /// Workers that are quarantined at some time, and no others.
    pub quarantined: Vec<WorkerId>,
    /// Most tasks that may not have ended.
    pub unfinished: u32,
    /// Most tasks whose outcome may be unknown.
    pub unknown: u32,
    /// Most tasks that may have failed for good.
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
    /// An outcome that states no bounds: only what must always hold is required.
    pub fn unbounded() -> Self {
        Self {
            unfinished: MAX_COUNT,
            unknown: MAX_COUNT,
            failed: MAX_COUNT,
            ..Self::default()
        }
    }

    /// Reads an outcome from YAML; `name` is told in errors.
    pub fn read(name: &str, text: &str) -> Result<Self, Problems> {
        crate::schema::read(name, text)
    }

    /// Names everything that was stated and not met, one sentence each.
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
