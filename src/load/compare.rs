//! Two runs side by side.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::report::{LoadReport, PathReport, ms};

/// One measure in two runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// What was measured, with its unit.
    pub measure: String,
    /// In the first run.
    pub before: f64,
    /// In the second run.
    pub after: f64,
    /// Change in percent; none when the first is zero.
    pub percent: Option<f64>,
}

/// All measures that both runs have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The measures.
    pub changes: Vec<Change>,
}

/// Compares two runs.
pub fn compare(before: &LoadReport, after: &LoadReport) -> Comparison {
    let mut comparison = Comparison::default();
    for (name, old) in &before.paths {
        if let Some(new) = after.paths.get(name) {
            comparison.add_path(name, old, new);
        }
    }
    if let (Some(old), Some(new)) = (&before.jobs, &after.jobs) {
        let (old, new) = (&old.waited, &new.waited);
        comparison.add("jobs waited p50 ms", ms(old.p50_us), ms(new.p50_us));
        comparison.add("jobs waited p99 ms", ms(old.p99_us), ms(new.p99_us));
    }
    for old in &before.processes {
        let Some(new) = after.processes.iter().find(|new| new.name == old.name) else {
            continue;
        };
        let name = &old.name;
        comparison.add(
            format!("{name} % of a core"),
            old.cpu_percent,
            new.cpu_percent,
        );
        let mb = |bytes: u64| bytes as f64 / 1_000_000.0;
        comparison.add(format!("{name} MB"), mb(old.memory), mb(new.memory));
    }
    comparison
}

impl Comparison {
    fn add(&mut self, measure: impl Into<String>, before: f64, after: f64) {
        self.changes.push(Change {
            measure: measure.into(),
            before,
            after,
            percent: (before != 0.0).then(|| 100.0 * (after - before) / before),
        });
    }

    fn add_path(&mut self, name: &str, old: &PathReport, new: &PathReport) {
        let (offered, good) = (old.offered_per_second, old.goodput_per_second);
        self.add(format!("{name} offered/s"), offered, new.offered_per_second);
        self.add(format!("{name} good/s"), good, new.goodput_per_second);
        for (percentile, old, new) in [
            ("p50", old.done.p50_us, new.done.p50_us),
            ("p99", old.done.p99_us, new.done.p99_us),
            ("p99.9", old.done.p999_us, new.done.p999_us),
        ] {
            self.add(format!("{name} {percentile} ms"), ms(old), ms(new));
        }
        let mut outcomes: Vec<_> = old.outcomes.keys().chain(new.outcomes.keys()).collect();
        outcomes.sort();
        outcomes.dedup();
        for outcome in outcomes {
            let count = |path: &PathReport| path.outcomes.get(outcome).copied().unwrap_or(0) as f64;
            self.add(format!("{name} {outcome}"), count(old), count(new));
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (measure, percent) = ("measure", "change");
        writeln!(
            f,
            "{measure:<32} {:>12} {:>12} {percent:>9}",
            "before", "after"
        )?;
        for change in &self.changes {
            let percent = change
                .percent
                .map_or("-".to_owned(), |p| format!("{p:+.1}%"));
            let Change {
                measure,
                before,
                after,
                ..
            } = change;
            writeln!(f, "{measure:<32} {before:>12.3} {after:>12.3} {percent:>9}")?;
        }
        Ok(())
    }
}
