//! What is kept of the calls of one path: histograms, outcomes, and seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest time told apart, in microseconds; longer ones count as this.
const LONGEST_US: u64 = 120_000_000;
/// Percentiles of the curve in the report.
const CURVE: [f64; 13] = [
    0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 100.0,
];

/// Times of many calls, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Calls.
    pub count: u64,
    /// Mean.
    pub mean_us: f64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Greatest.
    pub max_us: u64,
    /// Percentiles with their times.
    pub curve: Vec<(f64, u64)>,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Calls due in this second.
    pub due: u64,
    /// Of these, answered in time.
    pub good: u64,
    /// Slowest of those, in microseconds.
    pub slowest_us: u64,
}

/// Calls of one path.
#[derive(Clone, Debug)]
pub struct Samples {
    /// Times of calls that were done, from when they were due.
    done: Histogram<u64>,
    /// Times of all other answers.
    other: Histogram<u64>,
    /// How late calls were sent.
    lateness: Histogram<u64>,
    /// Calls by outcome.
    pub outcomes: BTreeMap<CompactString, u64>,
    /// Calls by second of the run.
    pub seconds: Vec<Second>,
    /// Calls done within their deadline.
    pub good: u64,
}

impl Default for Samples {
    fn default() -> Self {
        Self {
            done: histogram(),
            other: histogram(),
            lateness: histogram(),
            outcomes: BTreeMap::new(),
            seconds: Vec::new(),
            good: 0,
        }
    }
}

/// Outcome of a call that was carried out and answered.
pub(crate) const DONE: &str = "done";

impl Samples {
    /// Counts a call that was due at `due` after the start and took `took` from then on.
    pub fn record(&mut self, due: Duration, took: Duration, outcome: &str, deadline: Duration) {
        let us = (took.as_micros() as u64).clamp(1, LONGEST_US);
        let done = outcome == DONE;
        let times = if done {
            &mut self.done
        } else {
            &mut self.other
        };
        times.saturating_record(us);
        *self.outcomes.entry(outcome.into()).or_default() += 1;
        let second = self.second(due);
        second.due += 1;
        if done && took <= deadline {
            second.good += 1;
            second.slowest_us = second.slowest_us.max(us);
            self.good += 1;
        }
    }

    /// Counts how late a call was sent.
    pub fn sent(&mut self, late: Duration) {
        self.lateness
            .saturating_record((late.as_micros() as u64).max(1));
    }

    /// Times of calls that were done.
    pub fn done(&self) -> Summary {
        summary(&self.done)
    }

    /// Times of all other answers.
    pub fn other(&self) -> Summary {
        summary(&self.other)
    }

    /// How late calls were sent: what the generator itself adds.
    pub fn lateness(&self) -> Summary {
        summary(&self.lateness)
    }

    fn second(&mut self, due: Duration) -> &mut Second {
        let n = due.as_secs() as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }
}

impl Summary {
    /// Summarizes times.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = histogram();
        for time in times {
            histogram.saturating_record(time.as_micros() as u64);
        }
        summary(&histogram)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("constant bounds that are in order")
}

fn summary(histogram: &Histogram<u64>) -> Summary {
    if histogram.is_empty() {
        return Summary::default();
    }
    let at = |percentile| histogram.value_at_percentile(percentile);
    Summary {
        count: histogram.len(),
        mean_us: histogram.mean(),
        p50_us: at(50.0),
        p90_us: at(90.0),
        p99_us: at(99.0),
        p999_us: at(99.9),
        max_us: histogram.max(),
        curve: CURVE
            .iter()
            .map(|percentile| (*percentile, at(*percentile)))
            .collect(),
    }
}
