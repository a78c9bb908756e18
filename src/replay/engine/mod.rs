//! Discrete-event simulation: drives a placer through a trace under a virtual clock, with
//! simulated workers.

mod decisions;
mod failover;
mod losses;
mod runs;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use crate::error::{Error, Result, Step};
use crate::ids::{JobName, Timestamp, WorkerId};
use crate::placement::{Decision, Event, Placer};
use crate::replay::ledger::{RunKey, SimCluster, TaskOutcome, TaskStatus};
use crate::replay::measures::{Measured, Measures};
use crate::replay::trace::{Change, JobLine, Trace};
use crate::wire::StopKind;

/// Time from a start decision until the run begins on its worker.
const START_DELAY: Duration = Duration::from_millis(20);
/// Time a run takes to save its state.
const SAVE_TIME: Duration = Duration::from_millis(1000);
/// Time a run takes to stop without saving.
const STOP_TIME: Duration = Duration::from_millis(200);
/// A failing run ends after at most this time.
const MAX_FAIL_TIME: Duration = Duration::from_millis(500);
/// Interval of the ticks, which sample the measures and let the placer make decisions that
/// depend on time alone.
const TICK: Duration = Duration::from_millis(250);
/// Interval of the usage reports of a run; the first one is sent this long after its start.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which control treats a lease as expired, in percent of the lease. It is over 100
/// so that the worker has stopped its runs first, also when the clocks drift apart.
const CONTROL_LEASE_PERCENT: u32 = 110;
/// Time after a drain's deadline at which the worker is checked to be empty.
const DRAIN_GRACE: Duration = Duration::from_secs(5);
/// Maximum factor by which a run slows down when it is granted less than it uses.
const MAX_SLOWDOWN: u32 = 20;
/// Maximum number of waiting jobs that the placer explains at the end of a replay.
const MAX_REASONS: usize = 5;
/// Maximum number of starts requested from one `decide` call.
const MAX_STARTS_PER_CALL: usize = 4096;

/// A scheduled event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// The line with this index, without the header, is due.
    TraceLine(usize),
    /// The start order arrives at the worker.
    StartDelivered(RunKey),
    /// A run finishes or fails without having been stopped.
    RunFinished {
        key: RunKey,
        failed: bool,
    },
    /// A run ends after a stop order.
    StopFinished {
        key: RunKey,
        saved: bool,
    },
    /// The lease expires by the worker's clock, so the worker stops its runs.
    WorkerLeaseExpired {
        worker: usize,
        epoch: u32,
    },
    /// The lease expires by control's clock, which is later.
    ControlLeaseExpired {
        worker: usize,
        epoch: u32,
    },
    /// The network partition of a worker ends.
    Reconnect(usize),
    /// The usage report of a run is due.
    UsageReport(RunKey),
    /// The worker has to be empty: the drain's deadline and `DRAIN_GRACE` have passed.
    DrainDeadline {
        worker: usize,
        deadline: Timestamp,
    },
    Tick,
}

struct Engine<'a, P, F> {
    trace: &'a Trace,
    make: F,
    placer: P,
    queue: BinaryHeap<Reverse<(Timestamp, u64, SimEvent)>>,
    /// Breaks ties in `queue`: events at the same instant run in the order of their scheduling.
    next_seq: u64,
    cluster: SimCluster,
    measures: Measures,
    lease: Duration,
    /// Number of coming starts to refuse.
    refusals_left: u32,
    out: Vec<Decision>,
    /// Jobs whose runs started or ended since the gang check that follows each decision.
    changed_jobs: BTreeSet<usize>,
    /// Jobs with a start refused in this decision. Their gang check waits for the next decision,
    /// in which the placer can react.
    refused: BTreeSet<usize>,
}

/// Replays a trace against a placer built by `make`, which is called again for each failover.
pub fn run<P: Placer>(trace: &Trace, make: impl Fn() -> P) -> Result<Measured> {
    let policy = trace.header.policy();
    let mut engine = Engine {
        placer: make(),
        make,
        queue: BinaryHeap::new(),
        next_seq: 0,
        cluster: SimCluster::default(),
        measures: Measures::new(&trace.header)?,
        lease: policy.lease,
        refusals_left: 0,
        out: Vec::new(),
        changed_jobs: BTreeSet::new(),
        refused: BTreeSet::new(),
        trace,
    };
    engine.apply_event(Event::Policy(policy));
    engine.apply_event(Event::Teams(trace.header.declared_teams()));
    engine.run()?;
    let reasons = engine.waiting_reasons();
    let Engine {
        cluster, measures, ..
    } = engine;
    let mut measured = measures.finish(&trace.header, cluster);
    measured.reasons = reasons;
    Ok(measured)
}

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    fn run(&mut self) -> Result<()> {
        if !self.trace.lines.is_empty() {
            self.schedule_at(self.trace.lines[0].at(), SimEvent::TraceLine(0));
        }
        self.schedule_at(TICK, SimEvent::Tick);
        let until = Duration::from_millis(self.trace.header.until_ms);
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > until {
                break;
            }
            self.cluster.now = at;
            self.handle(event)?;
            let same_instant = |r: &Reverse<(Timestamp, u64, SimEvent)>| r.0.0 == at;
            if !self.queue.peek().is_some_and(same_instant) {
                self.decide();
            }
        }
        Ok(())
    }

    fn waiting_reasons(&self) -> Vec<(JobName, String)> {
        let waiting = self
            .cluster
            .jobs
            .iter()
            .filter(|j| j.waiting > 0 && !j.unschedulable);
        let explained = waiting.filter_map(|job| {
            let name = &job.spec.name;
            let reason = self.placer.explain(self.cluster.now, name);
            reason.map(|reason| (name.clone(), reason))
        });
        explained.take(MAX_REASONS).collect()
    }

    fn schedule_at(&mut self, at: Timestamp, event: SimEvent) {
        self.next_seq += 1;
        self.queue.push(Reverse((at, self.next_seq, event)));
    }

    fn schedule_in(&mut self, wait: Duration, event: SimEvent) {
        self.schedule_at(self.cluster.now.saturating_add(wait), event);
    }

    /// Passes an event to the placer and adds the time it takes to `placer_time`.
    fn apply_event(&mut self, event: Event) {
        let began = Instant::now();
        self.placer.apply(self.cluster.now, event);
        self.measures.record_event(began.elapsed());
    }

    fn handle(&mut self, event: SimEvent) -> Result<()> {
        match event {
            SimEvent::TraceLine(i) => self.apply_line(i)?,
            SimEvent::StartDelivered(key) => self.begin_run(key),
            SimEvent::RunFinished { key, failed } => self.finish_run(key, failed),
            SimEvent::StopFinished { key, saved } => self.finish_stop(key, saved),
            SimEvent::WorkerLeaseExpired { worker, epoch } => {
                if self.cluster.workers[worker].epoch == epoch {
                    self.cluster.workers[worker].executing.clear();
                }
            }
            SimEvent::ControlLeaseExpired { worker, epoch } => self.expire_lease(worker, epoch),
            SimEvent::Reconnect(worker) => self.reconnect(worker),
            SimEvent::UsageReport(key) => self.report_usage(key),
            SimEvent::DrainDeadline { worker, deadline } => self.check_drain(worker, deadline),
            SimEvent::Tick => {
                self.measures.sample(&self.cluster);
                self.schedule_in(TICK, SimEvent::Tick);
            }
        }
        Ok(())
    }

    fn apply_line(&mut self, i: usize) -> Result<()> {
        let line = &self.trace.lines[i];
        self.cluster.begin_line(i, line);
        if let Some(next) = self.trace.lines.get(i + 1) {
            self.schedule_at(next.at(), SimEvent::TraceLine(i + 1));
        }
        match &line.change {
            Change::Worker(worker) => {
                let spec = worker.spec();
                if let Some(&ix) = self.cluster.worker_ix.get(&spec.id) {
                    self.end_lost_runs(ix);
                }
                let ix = self.cluster.add_worker(spec);
                self.register_worker(ix);
            }
            Change::Lost(id) => {
                let worker = self.worker_index(id)?;
                self.kill_worker(worker);
            }
            Change::LostZone(zone) => {
                for worker in 0..self.cluster.workers.len() {
                    if self.cluster.workers[worker].spec.zone == *zone {
                        self.kill_worker(worker);
                    }
                }
            }
            Change::Cut { worker, back_ms } => {
                let worker = self.worker_index(worker)?;
                self.disconnect(worker);
                self.schedule_at(Duration::from_millis(*back_ms), SimEvent::Reconnect(worker));
            }
            Change::Breaks(id) => {
                let worker = self.worker_index(id)?;
                self.cluster.workers[worker].fails_runs = true;
            }
            Change::Mends(id) => {
                let worker = self.worker_index(id)?;
                self.cluster.workers[worker].fails_runs = false;
            }
            Change::Lies { worker, percent } => {
                let worker = self.worker_index(worker)?;
                self.cluster.workers[worker].report_percent = *percent;
            }
            Change::Job(job) => self.add_job(job)?,
            Change::Cancel(job) => self.cancel(job),
            Change::Resize { job, tasks } => self.resize(job, *tasks),
            Change::Drain { worker, within_ms } => {
                let ix = self.worker_index(worker)?;
                self.drain(ix, Duration::from_millis(*within_ms));
            }
            Change::Undrain(id) => {
                let worker = self.worker_index(id)?;
                self.cluster.workers[worker].drain = None;
                self.apply_event(Event::DrainEnded(id.clone()));
            }
            Change::Weight(weight) => {
                let mut policy = self.trace.header.policy();
                policy.waiting_weight = *weight;
                self.apply_event(Event::Policy(policy));
            }
            Change::Refuse(n) => self.refusals_left += n,
            Change::Failover => self.failover(),
        }
        Ok(())
    }

    fn worker_index(&self, id: &WorkerId) -> Result<usize> {
        self.cluster.worker_ix.get(id).copied().ok_or_else(|| {
            let what = format!("line {}: worker {id} is not known", self.cluster.line);
            Error::new(Step::Replay, what).with_peer(&self.trace.header.trace)
        })
    }

    fn add_job(&mut self, line: &JobLine) -> Result<()> {
        let Some(spec) = self.trace.header.spec(line) else {
            let what = format!(
                "line {}: kind {} is not known",
                self.cluster.line, line.kind
            );
            return Err(Error::new(Step::Replay, what).with_peer(&self.trace.header.trace));
        };
        self.cluster.add_job(spec.clone(), line.clone());
        let at = self.cluster.now;
        self.apply_event(Event::JobArrived { spec, at });
        Ok(())
    }

    /// Stops all runs of a cancelled job without waiting for decisions of the placer.
    fn cancel(&mut self, name: &JobName) {
        let Some(&job) = self.cluster.job_ix.get(name) else {
            return;
        };
        self.cluster.close_job(job, TaskOutcome::Cancelled);
        self.apply_event(Event::JobCancelled(name.clone()));
        for key in self.running_of(job) {
            self.stop(key, StopKind::Stop);
        }
    }

    fn running_of(&self, job: usize) -> Vec<RunKey> {
        let tasks = self.cluster.jobs[job].tasks.iter().enumerate();
        tasks
            .filter(|(_, t)| matches!(t.status, TaskStatus::Running { .. }))
            .map(|(i, t)| RunKey {
                job,
                index: i as u32,
                attempt: t.attempt,
            })
            .collect()
    }

    fn resize(&mut self, name: &JobName, tasks: u32) {
        let Some(&job) = self.cluster.job_ix.get(name) else {
            return;
        };
        self.cluster.resize(job, tasks);
        let job = name.clone();
        self.apply_event(Event::JobResized { job, tasks });
    }

    fn drain(&mut self, ix: usize, within: Duration) {
        let deadline = self.cluster.now + within;
        let worker = self.cluster.workers[ix].spec.id.clone();
        self.cluster.workers[ix].drain = Some(deadline);
        self.apply_event(Event::DrainStarted { worker, deadline });
        let over = SimEvent::DrainDeadline {
            worker: ix,
            deadline,
        };
        self.schedule_at(deadline + DRAIN_GRACE, over);
    }

    /// Records a violation if the worker still has runs. An unreachable worker is exempt: its
    /// runs end when the lease expires.
    fn check_drain(&mut self, worker: usize, deadline: Timestamp) {
        let w = &self.cluster.workers[worker];
        if w.drain == Some(deadline) && w.reachable && !w.runs.is_empty() {
            let what = format!("{} was not empty at its drain's deadline", w.spec.id);
            self.cluster.violation(what);
        }
    }
}
