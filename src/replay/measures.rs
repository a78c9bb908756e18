//! What a replay measures: waiting, packing, fairness and the cost of deciding.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::ledger::{SimCluster, TaskOutcome, TaskStatus, Violation};
use super::trace::Header;
use crate::error::{Error, Result, Step};
use crate::ids::{JobName, KindName, TeamName, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{Band, RunEnd, WorkClass};

/// Share of the capacity from which on demand counts as saturating, in percent.
const SATURATED_PERCENT: u64 = 100;
/// Length of the buckets of plots.
const BUCKET: Duration = Duration::from_secs(5);
/// Longest waiting time that is told apart, in milliseconds.
const MAX_WAIT_MS: u64 = 24 * 3600 * 1000;
/// Share of the saturated time for which a team must wait to count in the fairness, in percent.
const WAITING_PERCENT: u64 = 50;

/// Distribution of times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// Number.
    pub count: u64,
    /// Half are at most this.
    pub p50: Duration,
    /// 99 of 100 are at most this.
    pub p99: Duration,
    /// 999 of 1000 are at most this.
    pub p999: Duration,
    /// The longest.
    pub max: Duration,
}

/// One point of the plots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Virtual time.
    pub at: Timestamp,
    /// Share of the scarcest resource that is granted, 0 to 1.
    pub used: f64,
    /// Share that could be granted at most: demand, or all.
    pub bound: f64,
}

/// What one replay gave.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Name of the trace.
    pub trace: String,
    /// What must never happen, and did; the first ones.
    pub violations: Vec<Violation>,
    /// Number of violations in all.
    pub violation_count: u64,
    /// Waiting from arrival to first start, by band.
    pub waiting: BTreeMap<Band, Times>,
    /// The same by kind.
    pub waiting_by_kind: BTreeMap<KindName, Times>,
    /// Longest waiting by kind in each bucket of 5 s of starts.
    pub waiting_points: BTreeMap<KindName, Vec<(f64, f64)>>,
    /// Packing over time.
    pub samples: Vec<Sample>,
    /// Granted share over the bound while demand was above the capacity; none if it never was.
    pub packing: Option<f64>,
    /// Smallest over largest weighted dominant share of the teams that waited; none if fewer
    /// than two did.
    pub fairness: Option<f64>,
    /// Starts.
    pub starts: u64,
    /// Time per start within one call of `decide`, over all starts.
    pub per_start: Times,
    /// Time per call of `decide`.
    pub per_call: Times,
    /// Time spent in the placer in all, events taken in included.
    pub placer_time: Duration,
    /// Longest `decide` call in each bucket, in microseconds.
    pub decide_points: Vec<(f64, f64)>,
    /// Runs told to end for a later band or another team's quota.
    pub preempted: u64,
    /// Jobs said to run never.
    pub never_run: BTreeSet<JobName>,
    /// Jobs given up.
    pub given_up: BTreeSet<JobName>,
    /// Workers quarantined at any time.
    pub quarantined: BTreeSet<WorkerId>,
    /// Workers let back from quarantine at any time.
    pub released: BTreeSet<WorkerId>,
    /// Tasks done.
    pub done: u64,
    /// Tasks whose outcome is not known.
    pub unknown: u64,
    /// Tasks that failed for good.
    pub failed: u64,
    /// Tasks that neither ended nor belong to a job that never runs, and long-running tasks
    /// that do not run.
    pub unfinished: u64,
    /// Tasks that no state accounts for.
    pub lost: u64,
    /// Why the first jobs that did not end were waiting, as the placer explains it.
    pub reasons: Vec<(JobName, String)>,
}

/// Sums while a replay runs.
pub(crate) struct Measures {
    bands: BTreeMap<Band, Histogram<u64>>,
    kinds: BTreeMap<KindName, Histogram<u64>>,
    kind_points: BTreeMap<KindName, BTreeMap<u64, f64>>,
    per_start: Histogram<u64>,
    per_call: Histogram<u64>,
    decide_points: BTreeMap<u64, f64>,
    now: Timestamp,
    placer_time: Duration,
    samples: Vec<Sample>,
    packing_sums: (f64, f64),
    saturated: u64,
    /// Samples at which a team waited, and the sum of its weighted shares in them.
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
            bands,
            kinds,
            kind_points: BTreeMap::new(),
            per_start: histogram(longest_call)?,
            per_call: histogram(longest_call)?,
            decide_points: BTreeMap::new(),
            now: Timestamp::ZERO,
            placer_time: Duration::ZERO,
            samples: Vec::new(),
            packing_sums: (0.0, 0.0),
            saturated: 0,
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
        let point = self.decide_points.entry(bucket(self.now)).or_default();
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
        if let Some(h) = self.bands.get_mut(&band) {
            h.saturating_record(ms);
        }
        if let Some(h) = self.kinds.get_mut(kind) {
            h.saturating_record(ms);
        }
        if !self.kind_points.contains_key(kind) {
            self.kind_points.insert(kind.clone(), BTreeMap::new());
        }
        if let Some(points) = self.kind_points.get_mut(kind) {
            let point = points.entry(bucket(now)).or_default();
            *point = point.max(waited.as_secs_f64());
        }
    }

    /// Takes in the state at a tick.
    pub(crate) fn sample(&mut self, cluster: &SimCluster) {
        self.now = cluster.now;
        let up = cluster.workers.iter().filter(|w| w.registered);
        let total = up.fold([0_u64; 3], |sum, w| add(sum, &w.spec.capacity));
        let used = add([0; 3], &cluster.used);
        let demand = [0, 1, 2].map(|d| used[d] + cluster.waiting[d]);
        let part = |n: u64, all: u64| n as f64 / (all.max(1)) as f64;
        let scarcest = (0..3)
            .filter(|&d| total[d] > 0)
            .max_by(|&a, &b| part(demand[a], total[a]).total_cmp(&part(demand[b], total[b])));
        let Some(d) = scarcest else {
            return;
        };
        let sample = Sample {
            at: cluster.now,
            used: part(used[d], total[d]),
            bound: part(demand[d], total[d]).min(1.0),
        };
        self.samples.push(sample);
        if demand[d] * 100 >= total[d] * SATURATED_PERCENT {
            self.saturated += 1;
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
            .filter(|(n, _)| n * 100 >= self.saturated * WAITING_PERCENT)
            .map(|(n, sum)| sum / *n as f64)
            .collect();
        if averages.len() < 2 {
            return None;
        }
        let least = averages.iter().copied().fold(f64::INFINITY, f64::min);
        let most = averages.iter().copied().fold(0.0, f64::max);
        (most > 0.0).then(|| least / most)
    }

    /// Sums up, and looks where every task ended.
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
        measured.waiting = times_of(&self.bands, Duration::from_millis);
        measured.waiting_by_kind = times_of(&self.kinds, Duration::from_millis);
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

    /// A task that never started has waited until the end.
    fn record_never_started(
        &mut self,
        _header: &Header,
        band: Band,
        now: Timestamp,
        arrived: Timestamp,
    ) {
        let waited = now.saturating_sub(arrived).as_millis() as u64;
        if let Some(h) = self.bands.get_mut(&band) {
            h.saturating_record(waited.max(1));
        }
    }
}

fn bucket(now: Timestamp) -> u64 {
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
