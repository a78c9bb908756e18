//! Measures of a replay: waiting times, packing, fairness and the time spent on decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::ledger::{SimCluster, TaskOutcome, TaskStatus, Violation};
use super::trace::Header;
use crate::error::{Error, Result, Step};
use crate::ids::{JobName, KindName, TeamName, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{Band, RunEnd, WorkClass};

/// Demand in percent of the capacity from which the cell counts as saturated.
const SATURATED_PERCENT: u64 = 100;
/// Width of the time buckets of the plots.
const BUCKET: Duration = Duration::from_secs(5);
/// Upper bound of the waiting-time histograms; longer times are recorded as this.
const MAX_WAIT_MS: u64 = 24 * 3600 * 1000;
/// A team counts for the fairness if it has waiting tasks in this percentage of the saturated
/// samples.
const WAITING_PERCENT: u64 = 50;

/// Summary of a distribution of durations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// Number of recorded durations.
    pub count: u64,
    /// The median.
    pub p50: Duration,
    /// The 99th percentile.
    pub p99: Duration,
    /// The 99.9th percentile.
    pub p999: Duration,
    /// The longest recorded duration.
    pub max: Duration,
}

/// Use of the scarcest resource at one tick, for the packing plot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time since the start of the trace.
    pub at: Timestamp,
    /// Granted share of the capacity, 0 to 1.
    pub used: f64,
    /// Upper bound of `used`: the demand as a share of the capacity, at most 1.
    pub bound: f64,
}

/// Results of one replay.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Name of the trace.
    pub trace: String,
    /// The first violations of invariants.
    pub violations: Vec<Violation>,
    /// Number of all violations, including those not in `violations`.
    pub violation_count: u64,
    /// Waiting times of tasks from arrival to first start, by band. Tasks that never started count
    /// with the time until the end of the trace.
    pub waiting: BTreeMap<Band, Times>,
    /// Waiting times from arrival to first start by kind, of started tasks only.
    pub waiting_by_kind: BTreeMap<KindName, Times>,
    /// Longest waiting time of the tasks started in each bucket of 5 s, by kind; points of
    /// (seconds, seconds).
    pub waiting_points: BTreeMap<KindName, Vec<(f64, f64)>>,
    /// Granted share of the scarcest resource and its bound, one sample a tick.
    pub samples: Vec<Sample>,
    /// Granted share over its bound in the samples in which demand reached the capacity; `None` if
    /// it never did.
    pub packing: Option<f64>,
    /// Smallest over largest weighted dominant share of the teams that waited for at least half of
    /// the saturated time; `None` if fewer than two did.
    pub fairness: Option<f64>,
    /// Number of starts decided by the placer, including refused and invalid ones.
    pub starts: u64,
    /// Time of a `decide` call divided by its starts, counted once for each start.
    pub per_start: Times,
    /// Time of each `decide` call.
    pub per_call: Times,
    /// Total time spent in the placer, in `apply` and `decide`.
    pub placer_time: Duration,
    /// Longest `decide` call in each bucket; points of (seconds, microseconds).
    pub decide_points: Vec<(f64, f64)>,
    /// Number of runs stopped for a higher band or to return another team's quota.
    pub preempted: u64,
    /// Jobs that the placer reported as unschedulable and that were so at the end.
    pub never_run: BTreeSet<JobName>,
    /// Jobs that the placer failed.
    pub given_up: BTreeSet<JobName>,
    /// Workers that were quarantined at least once.
    pub quarantined: BTreeSet<WorkerId>,
    /// Workers whose quarantine was ended at least once.
    pub released: BTreeSet<WorkerId>,
    /// Number of tasks that succeeded.
    pub done: u64,
    /// Number of tasks that may have run and cannot be started again.
    pub unknown: u64,
    /// Number of tasks that failed and are not started again.
    pub failed: u64,
    /// Number of tasks that had not ended, and of long-running tasks that were not running. Tasks
    /// of unschedulable jobs do not count.
    pub unfinished: u64,
    /// Number of tasks that were dropped although their job was not closed; long-running tasks,
    /// which a resize may drop, do not count.
    pub lost: u64,
    /// The placer's explanations for the first jobs with tasks still waiting at the end.
    pub reasons: Vec<(JobName, String)>,
}

/// Accumulates the measures while a replay runs.
pub(crate) struct Measures {
    waits_by_band: BTreeMap<Band, Histogram<u64>>,
    waits_by_kind: BTreeMap<KindName, Histogram<u64>>,
    kind_points: BTreeMap<KindName, BTreeMap<u64, f64>>,
    per_start: Histogram<u64>,
    per_call: Histogram<u64>,
    decide_points: BTreeMap<u64, f64>,
    now: Timestamp,
    placer_time: Duration,
    samples: Vec<Sample>,
    /// Sums of the granted share and of its bound over the saturated samples.
    packing_sums: (f64, f64),
    saturated_samples: u64,
    /// For each team, the number of saturated samples in which it had waiting tasks, and the sum
    /// of its weighted dominant shares in them.
    shares: BTreeMap<TeamName, (u64, f64)>,
    starts: u64,
    ends: u64,
    pub(crate) preempted: u64,
    pub(crate) given_up: BTreeSet<JobName>,
    pub(crate) quarantined: BTreeSet<WorkerId>,
    pub(crate) released: BTreeSet<WorkerId>,
    weights: BTreeMap<TeamName, u32>,
}

fn histogram(highest: u64) -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, highest, 3)
        .map_err(|e| Error::caused(Step::Replay, "making a histogram", e))
}

impl Measures {
    pub(crate) fn new(header: &Header) -> Result<Self> {
        let longest_call = Duration::from_secs(60).as_nanos() as u64;
        let mut bands = BTreeMap::new();
        for band in [Band::Spare, Band::Normal, Band::High, Band::Urgent] {
            bands.insert(band, histogram(MAX_WAIT_MS)?);
        }
        let mut kinds = BTreeMap::new();
        for kind in header.kinds.keys() {
            kinds.insert(kind.clone(), histogram(MAX_WAIT_MS)?);
        }
        let weights = header.teams.iter().map(|(n, t)| (n.clone(), t.weight));
        Ok(Self {
            waits_by_band: bands,
            waits_by_kind: kinds,
            kind_points: BTreeMap::new(),
            per_start: histogram(longest_call)?,
            per_call: histogram(longest_call)?,
            decide_points: BTreeMap::new(),
            now: Timestamp::ZERO,
            placer_time: Duration::ZERO,
            samples: Vec::new(),
            packing_sums: (0.0, 0.0),
            saturated_samples: 0,
            shares: BTreeMap::new(),
            starts: 0,
            ends: 0,
            preempted: 0,
            given_up: BTreeSet::new(),
            quarantined: BTreeSet::new(),
            released: BTreeSet::new(),
            weights: weights.collect(),
        })
    }

    pub(crate) const fn record_event(&mut self, took: Duration) {
        self.placer_time = self.placer_time.saturating_add(took);
    }

    pub(crate) const fn record_end(&mut self, _end: RunEnd) {
        self.ends += 1;
    }

    pub(crate) fn record_decide(&mut self, took: Duration, starts: u64) {
        self.placer_time = self.placer_time.saturating_add(took);
        let nanos = took.as_nanos() as u64;
        self.per_call.saturating_record(nanos.max(1));
        if let Some(each) = nanos.checked_div(starts) {
            let each = each.max(1);
            self.per_start.saturating_record_n(each, starts);
            self.starts += starts;
        }
        let point = self
            .decide_points
            .entry(bucket_index(self.now))
            .or_default();
        *point = point.max(took.as_secs_f64() * 1e6);
    }

    pub(crate) fn record_start(
        &mut self,
        now: Timestamp,
        band: Band,
        kind: &KindName,
        waited: Duration,
    ) {
        let ms = (waited.as_millis() as u64).max(1);
        if let Some(h) = self.waits_by_band.get_mut(&band) {
            h.saturating_record(ms);
        }
        if let Some(h) = self.waits_by_kind.get_mut(kind) {
            h.saturating_record(ms);
        }
        if !self.kind_points.contains_key(kind) {
            self.kind_points.insert(kind.clone(), BTreeMap::new());
        }
        if let Some(points) = self.kind_points.get_mut(kind) {
            let point = points.entry(bucket_index(now)).or_default();
            *point = point.max(waited.as_secs_f64());
        }
    }

    /// Samples the state of the cluster at a tick.
    pub(crate) fn sample(&mut self, cluster: &SimCluster) {
        self.now = cluster.now;
        let registered = cluster.workers.iter().filter(|w| w.registered);
        let total = registered.fold([0_u64; 3], |sum, w| add(sum, &w.spec.capacity));
        let used = add([0; 3], &cluster.used);
        let demand = [0, 1, 2].map(|d| used[d] + cluster.waiting[d]);
        let ratio = |n: u64, all: u64| n as f64 / (all.max(1)) as f64;
        let scarcest = (0..3)
            .filter(|&d| total[d] > 0)
            .max_by(|&a, &b| ratio(demand[a], total[a]).total_cmp(&ratio(demand[b], total[b])));
        let Some(d) = scarcest else {
            return;
        };
        let sample = Sample {
            at: cluster.now,
            used: ratio(used[d], total[d]),
            bound: ratio(demand[d], total[d]).min(1.0),
        };
        self.samples.push(sample);
        if demand[d] * 100 >= total[d] * SATURATED_PERCENT {
            self.saturated_samples += 1;
            self.packing_sums.0 += sample.used;
            self.packing_sums.1 += sample.bound;
            self.sample_shares(cluster, total);
        }
    }

    fn sample_shares(&mut self, cluster: &SimCluster, total: [u64; 3]) {
        for team in cluster.teams.iter().filter(|t| t.waiting > 0) {
            let used = add([0; 3], &team.used);
            let shares = (0..3).map(|d| used[d] as f64 / total[d].max(1) as f64);
            let share = shares.fold(0.0, f64::max);
            let weight = self.weights.get(&team.name).copied().unwrap_or(1).max(1);
            if !self.shares.contains_key(&team.name) {
                self.shares.insert(team.name.clone(), (0, 0.0));
            }
            if let Some(sum) = self.shares.get_mut(&team.name) {
                sum.0 += 1;
                sum.1 += share / f64::from(weight);
            }
        }
    }

    fn fairness(&self) -> Option<f64> {
        let waited = self.shares.values();
        let averages: Vec<f64> = waited
            .filter(|(n, _)| n * 100 >= self.saturated_samples * WAITING_PERCENT)
            .map(|(n, sum)| sum / *n as f64)
            .collect();
        if averages.len() < 2 {
            return None;
        }
        let least = averages.iter().copied().fold(f64::INFINITY, f64::min);
        let most = averages.iter().copied().fold(0.0, f64::max);
        (most > 0.0).then(|| least / most)
    }

    /// Computes the results and counts the tasks by their final status.
    pub(crate) fn finish(mut self, header: &Header, cluster: SimCluster) -> Measured {
        let mut measured = Measured::default();
        for job in &cluster.jobs {
            let long = matches!(job.spec.class, WorkClass::Service | WorkClass::Watcher);
            if job.unschedulable {
                measured.never_run.insert(job.spec.name.clone());
                continue;
            }
            for task in &job.tasks {
                match task.status {
                    TaskStatus::Waiting => {
                        measured.unfinished += 1;
                        if !task.started {
                            self.record_never_started(
                                header,
                                job.spec.band,
                                cluster.now,
                                job.arrived,
                            );
                        }
                    }
                    TaskStatus::Running { .. } => measured.unfinished += u64::from(!long),
                    TaskStatus::Ended(TaskOutcome::Done) => measured.done += 1,
                    TaskStatus::Ended(TaskOutcome::Unknown) => measured.unknown += 1,
                    TaskStatus::Ended(TaskOutcome::Failed) => measured.failed += 1,
                    TaskStatus::Ended(TaskOutcome::Cancelled) => {}
                    TaskStatus::Ended(TaskOutcome::Dropped) => {
                        let expected = job.closed || long;
                        measured.lost += u64::from(!expected);
                    }
                }
            }
        }
        measured.trace = header.trace.to_string();
        measured.fairness = self.fairness();
        measured.packing =
            (self.packing_sums.1 > 0.0).then(|| self.packing_sums.0 / self.packing_sums.1);
        measured.waiting = times_of(&self.waits_by_band, Duration::from_millis);
        measured.waiting_by_kind = times_of(&self.waits_by_kind, Duration::from_millis);
        measured.per_start = times(&self.per_start, Duration::from_nanos);
        measured.per_call = times(&self.per_call, Duration::from_nanos);
        measured.waiting_points = self
            .kind_points
            .iter()
            .map(|(kind, points)| (kind.clone(), plot_points(points)))
            .collect();
        measured.decide_points = plot_points(&self.decide_points);
        measured.samples = self.samples;
        measured.starts = self.starts;
        measured.placer_time = self.placer_time;
        measured.preempted = self.preempted;
        measured.given_up = self.given_up;
        measured.quarantined = self.quarantined;
        measured.released = self.released;
        measured.violations = cluster.violations;
        measured.violation_count = cluster.violation_count;
        measured
    }

    /// Records a task that never started as having waited until the end of the trace. Otherwise
    /// starved tasks would not count in the percentiles.
    fn record_never_started(
        &mut self,
        _header: &Header,
        band: Band,
        now: Timestamp,
        arrived: Timestamp,
    ) {
        let waited = now.saturating_sub(arrived).as_millis() as u64;
        if let Some(h) = self.waits_by_band.get_mut(&band) {
            h.saturating_record(waited.max(1));
        }
    }
}

fn bucket_index(now: Timestamp) -> u64 {
    now.as_secs() / BUCKET.as_secs()
}

fn plot_points(points: &BTreeMap<u64, f64>) -> Vec<(f64, f64)> {
    let seconds = |b: u64| (b * BUCKET.as_secs()) as f64;
    points.iter().map(|(&b, &y)| (seconds(b), y)).collect()
}

fn add(sum: [u64; 3], r: &Resources) -> [u64; 3] {
    [
        sum[0] + u64::from(r.millicores),
        sum[1] + u64::from(r.memory_mb),
        sum[2] + u64::from(r.accelerators),
    ]
}

fn times_of<K: Ord + Clone>(
    from: &BTreeMap<K, Histogram<u64>>,
    unit: fn(u64) -> Duration,
) -> BTreeMap<K, Times> {
    let known = from.iter().filter(|(_, h)| !h.is_empty());
    known.map(|(k, h)| (k.clone(), times(h, unit))).collect()
}

fn times(h: &Histogram<u64>, unit: fn(u64) -> Duration) -> Times {
    Times {
        count: h.len(),
        p50: unit(h.value_at_quantile(0.5)),
        p99: unit(h.value_at_quantile(0.99)),
        p999: unit(h.value_at_quantile(0.999)),
        max: unit(h.max()),
    }
}
