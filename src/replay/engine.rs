//! Drives a placer through a trace under a virtual clock, with a minimal fake worker.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::ledger::{At, Final, Ledger, RunKey};
use super::measures::{Measured, Measures};
use super::trace::{Change, JobLine, Trace};
use crate::error::{Error, Result, Step};
use crate::ids::{JobName, Timestamp, WorkerId};
use crate::placement::{Decision, Event, Placer, RestoredTask, StopReason, TaskState};
use crate::resources::Resources;
use crate::wire::StopKind;
use crate::workload::{RunEnd, TaskId, WorkClass};

/// Time from a decision to the start on the worker.
const START_DELAY: Duration = Duration::from_millis(20);
/// Time a run takes to save its state.
const SAVE_TIME: Duration = Duration::from_millis(1000);
/// Time a run takes to stop without saving.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Longest time for which a failing run runs.
const FAIL_TIME: Duration = Duration::from_millis(500);
/// Time between ticks, in which decisions that depend on time alone fall.
const TICK: Duration = Duration::from_millis(250);
/// Time between usage reports of a run, which is also their lag.
const REPORT: Duration = Duration::from_secs(10);
/// Control waits this much longer than the worker's lease, for clocks that differ.
const DRIFT_PERCENT: u32 = 110;
/// Time after a drain's deadline by which the worker has to be empty.
const DRAIN_GRACE: Duration = Duration::from_secs(5);
/// Largest factor by which a run is slowed when it is granted less than it uses.
const MOST_SLOWED: u32 = 20;
/// Jobs left at the end of which it is told why they wait.
const REASONS: usize = 5;
/// Starts asked for in one call.
const LIMIT: usize = 4096;

/// What is going to happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// A line of the trace.
    Line(usize),
    /// A start reaches its worker.
    Begin(RunKey),
    /// A run ends by itself.
    Ends {
        key: RunKey,
        failed: bool,
    },
    /// A run that was told to ends.
    Stopped {
        key: RunKey,
        saved: bool,
    },
    /// A worker's own lease lapses: it stops what it runs.
    OwnLapse {
        worker: usize,
        epoch: u32,
    },
    /// Control counts the worker's lease as lapsed.
    Lapse {
        worker: usize,
        epoch: u32,
    },
    /// A worker that was cut off is heard again.
    Back(usize),
    /// A run's usage is reported.
    Report(RunKey),
    /// A drain's deadline has passed.
    DrainOver {
        worker: usize,
        deadline: Timestamp,
    },
    Tick,
}

struct Engine<'a, P, F> {
    trace: &'a Trace,
    make: F,
    placer: P,
    heap: BinaryHeap<Reverse<(Timestamp, u64, Happening)>>,
    next: u64,
    ledger: Ledger,
    measures: Measures,
    lease: Duration,
    refuse: u32,
    out: Vec<Decision>,
    /// Jobs of which runs started or ended since the last decisions were carried out.
    touched: BTreeSet<usize>,
    /// Jobs of which a start was just refused: the placer answers at its next decision.
    refused: BTreeSet<usize>,
}

/// Replays a trace against the placer that `make` gives; it is called again for each failover.
pub fn run<P: Placer>(trace: &Trace, make: impl Fn() -> P) -> Result<Measured> {
    let policy = trace.header.policy();
    let mut engine = Engine {
        placer: make(),
        make,
        heap: BinaryHeap::new(),
        next: 0,
        ledger: Ledger::default(),
        measures: Measures::new(&trace.header)?,
        lease: policy.lease,
        refuse: 0,
        out: Vec::new(),
        touched: BTreeSet::new(),
        refused: BTreeSet::new(),
        trace,
    };
    engine.feed(Event::Policy(policy));
    engine.feed(Event::Teams(trace.header.declared_teams()));
    engine.run()?;
    let reasons = engine.reasons();
    let Engine {
        ledger, measures, ..
    } = engine;
    let mut measured = measures.finish(&trace.header, ledger);
    measured.reasons = reasons;
    Ok(measured)
}

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    fn run(&mut self) -> Result<()> {
        if !self.trace.lines.is_empty() {
            self.plan(self.trace.lines[0].at(), Happening::Line(0));
        }
        self.plan(TICK, Happening::Tick);
        let until = Duration::from_millis(self.trace.header.until_ms);
        while let Some(Reverse((at, _, happening))) = self.heap.pop() {
            if at > until {
                break;
            }
            self.ledger.now = at;
            self.take(happening)?;
            let same_instant = |r: &Reverse<(Timestamp, u64, Happening)>| r.0.0 == at;
            if !self.heap.peek().is_some_and(same_instant) {
                self.decide();
            }
        }
        Ok(())
    }

    fn reasons(&self) -> Vec<(JobName, String)> {
        let waiting = self
            .ledger
            .jobs
            .iter()
            .filter(|j| j.waiting > 0 && !j.never);
        let explained = waiting.filter_map(|job| {
            let name = &job.spec.name;
            let reason = self.placer.explain(self.ledger.now, name);
            reason.map(|reason| (name.clone(), reason))
        });
        explained.take(REASONS).collect()
    }

    fn plan(&mut self, at: Timestamp, happening: Happening) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next, happening)));
    }

    fn after(&mut self, wait: Duration, happening: Happening) {
        self.plan(self.ledger.now.saturating_add(wait), happening);
    }

    /// Hands an event to the placer and times it.
    fn feed(&mut self, event: Event) {
        let began = Instant::now();
        self.placer.handle(self.ledger.now, event);
        self.measures.handled(began.elapsed());
    }

    fn take(&mut self, happening: Happening) -> Result<()> {
        match happening {
            Happening::Line(i) => self.take_line(i)?,
            Happening::Begin(key) => self.begin(key),
            Happening::Ends { key, failed } => self.ends(key, failed),
            Happening::Stopped { key, saved } => self.stopped(key, saved),
            Happening::OwnLapse { worker, epoch } => {
                if self.ledger.workers[worker].epoch == epoch {
                    self.ledger.workers[worker].executing.clear();
                }
            }
            Happening::Lapse { worker, epoch } => self.lapse(worker, epoch),
            Happening::Back(worker) => self.back(worker),
            Happening::Report(key) => self.report(key),
            Happening::DrainOver { worker, deadline } => self.drain_over(worker, deadline),
            Happening::Tick => {
                self.measures.sample(&self.ledger);
                self.after(TICK, Happening::Tick);
            }
        }
        Ok(())
    }

    fn take_line(&mut self, i: usize) -> Result<()> {
        let line = &self.trace.lines[i];
        self.ledger.begin_line(i, line);
        if let Some(next) = self.trace.lines.get(i + 1) {
            self.plan(next.at(), Happening::Line(i + 1));
        }
        match &line.change {
            Change::Worker(worker) => {
                let spec = worker.spec();
                if let Some(&ix) = self.ledger.worker_ix.get(&spec.id) {
                    self.lose_runs(ix);
                }
                let ix = self.ledger.add_worker(spec);
                self.announce(ix);
            }
            Change::Lost(id) => {
                let worker = self.worker(id)?;
                self.lose(worker);
            }
            Change::LostZone(zone) => {
                for worker in 0..self.ledger.workers.len() {
                    if self.ledger.workers[worker].spec.zone == *zone {
                        self.lose(worker);
                    }
                }
            }
            Change::Cut { worker, back_ms } => {
                let worker = self.worker(worker)?;
                self.cut(worker);
                self.plan(Duration::from_millis(*back_ms), Happening::Back(worker));
            }
            Change::Breaks(id) => {
                let worker = self.worker(id)?;
                self.ledger.workers[worker].broken = true;
            }
            Change::Mends(id) => {
                let worker = self.worker(id)?;
                self.ledger.workers[worker].broken = false;
            }
            Change::Lies { worker, percent } => {
                let worker = self.worker(worker)?;
                self.ledger.workers[worker].report_percent = *percent;
            }
            Change::Job(job) => self.arrive(job)?,
            Change::Cancel(job) => self.cancel(job),
            Change::Resize { job, tasks } => self.resize(job, *tasks),
            Change::Drain { worker, within_ms } => {
                let ix = self.worker(worker)?;
                self.drain(ix, Duration::from_millis(*within_ms));
            }
            Change::Undrain(id) => {
                let worker = self.worker(id)?;
                self.ledger.workers[worker].drain = None;
                self.feed(Event::DrainEnded(id.clone()));
            }
            Change::Weight(weight) => {
                let mut policy = self.trace.header.policy();
                policy.waiting_weight = *weight;
                self.feed(Event::Policy(policy));
            }
            Change::Refuse(n) => self.refuse += n,
            Change::Failover => self.failover(),
        }
        Ok(())
    }

    fn worker(&self, id: &WorkerId) -> Result<usize> {
        self.ledger.worker_ix.get(id).copied().ok_or_else(|| {
            let what = format!("line {}: worker {id} is not known", self.ledger.line);
            Error::new(Step::Replay, what).with_peer(&self.trace.header.trace)
        })
    }

    fn arrive(&mut self, line: &JobLine) -> Result<()> {
        let Some(spec) = self.trace.header.spec(line) else {
            let what = format!("line {}: kind {} is not known", self.ledger.line, line.kind);
            return Err(Error::new(Step::Replay, what).with_peer(&self.trace.header.trace));
        };
        self.ledger.add_job(spec.clone(), line.clone());
        let at = self.ledger.now;
        self.feed(Event::JobArrived { spec, at });
        Ok(())
    }

    /// Control itself ends the runs of a cancelled job, whatever the placer decides.
    fn cancel(&mut self, name: &JobName) {
        let Some(&job) = self.ledger.job_ix.get(name) else {
            return;
        };
        self.ledger.close(job, Final::Cancelled);
        self.feed(Event::JobCancelled(name.clone()));
        for key in self.running_of(job) {
            self.stop(key, StopKind::Stop);
        }
    }

    fn running_of(&self, job: usize) -> Vec<RunKey> {
        let tasks = self.ledger.jobs[job].tasks.iter().enumerate();
        tasks
            .filter(|(_, t)| matches!(t.at, At::Running { .. }))
            .map(|(i, t)| RunKey {
                job,
                index: i as u32,
                attempt: t.attempt,
            })
            .collect()
    }

    fn resize(&mut self, name: &JobName, tasks: u32) {
        let Some(&job) = self.ledger.job_ix.get(name) else {
            return;
        };
        self.ledger.resize(job, tasks);
        let job = name.clone();
        self.feed(Event::JobResized { job, tasks });
    }

    fn drain(&mut self, ix: usize, within: Duration) {
        let deadline = self.ledger.now + within;
        let worker = self.ledger.workers[ix].spec.id.clone();
        self.ledger.workers[ix].drain = Some(deadline);
        self.feed(Event::DrainStarted { worker, deadline });
        let over = Happening::DrainOver {
            worker: ix,
            deadline,
        };
        self.plan(deadline + DRAIN_GRACE, over);
    }

    /// A worker that cannot be reached empties when its lease lapses.
    fn drain_over(&mut self, worker: usize, deadline: Timestamp) {
        let w = &self.ledger.workers[worker];
        if w.drain == Some(deadline) && w.reachable && !w.runs.is_empty() {
            let what = format!("{} was not empty at its drain's deadline", w.spec.id);
            self.ledger.violation(what);
        }
    }

    /// The worker dies: nothing executes there from now on, but control learns it only when
    /// the lease lapses.
    fn lose(&mut self, worker: usize) {
        self.cut(worker);
        self.ledger.workers[worker].executing.clear();
    }

    fn cut(&mut self, worker: usize) {
        let w = &mut self.ledger.workers[worker];
        if !w.reachable {
            return;
        }
        w.reachable = false;
        w.epoch += 1;
        let epoch = w.epoch;
        self.after(self.lease, Happening::OwnLapse { worker, epoch });
        let lapse = Happening::Lapse { worker, epoch };
        self.after(self.lease * DRIFT_PERCENT / 100, lapse);
    }

    fn lapse(&mut self, worker: usize, epoch: u32) {
        let w = &mut self.ledger.workers[worker];
        if w.epoch != epoch || !w.known {
            return;
        }
        w.known = false;
        let id = w.spec.id.clone();
        self.feed(Event::WorkerDown(id));
        self.lose_runs(worker);
    }

    fn lose_runs(&mut self, worker: usize) {
        let w = &mut self.ledger.workers[worker];
        let id = w.spec.id.clone();
        let runs: Vec<RunKey> = w.runs.iter().copied().collect();
        w.executing.clear();
        for key in runs {
            self.lost(key, &id);
        }
    }

    /// Control cannot tell whether a run on a lost worker ever began, so a task that is not
    /// idempotent is never started again.
    fn lost(&mut self, key: RunKey, worker: &WorkerId) {
        let job = &self.ledger.jobs[key.job];
        let restart = job.spec.idempotent;
        let next = if job.closed {
            At::Over(Final::Cancelled)
        } else if restart && key.index < job.spec.tasks {
            At::Waiting
        } else {
            At::Over(Final::Unknown)
        };
        let run = self.ledger.run(key);
        self.ledger.settle(key, next);
        self.touched.insert(key.job);
        self.feed(Event::RunLost {
            run,
            worker: worker.clone(),
            restart,
        });
    }

    /// A worker that was cut off is back: within its lease it goes on, after it it is empty.
    fn back(&mut self, worker: usize) {
        let w = &mut self.ledger.workers[worker];
        w.reachable = true;
        w.epoch += 1;
        if w.known {
            return;
        }
        w.known = true;
        w.executing.clear();
        self.announce(worker);
    }

    /// Tells the placer of a worker, and of its drain if it has one.
    fn announce(&mut self, ix: usize) {
        let w = &self.ledger.workers[ix];
        let (spec, drain) = (w.spec.clone(), w.drain);
        let worker = spec.id.clone();
        self.feed(Event::WorkerUp(spec));
        if let Some(deadline) = drain {
            self.feed(Event::DrainStarted { worker, deadline });
        }
    }

    fn begin(&mut self, key: RunKey) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let w = &mut self.ledger.workers[worker];
        if !w.reachable {
            self.after(TICK, Happening::Begin(key));
            return;
        }
        w.executing.insert(key);
        let broken = w.broken;
        let job = &self.ledger.jobs[key.job];
        let failed = broken || job.line.fails;
        let long = matches!(job.spec.class, WorkClass::Service | WorkClass::Watcher);
        let takes = self.time_left(key);
        self.ledger.task_mut(key).ran = true;
        if failed {
            let key_fails = Happening::Ends { key, failed };
            self.after(takes.min(FAIL_TIME).max(STOP_TIME), key_fails);
        } else if !long {
            self.after(takes, Happening::Ends { key, failed });
        }
        let reports = self.ledger.jobs[key.job].line.true_use.is_some()
            || self.ledger.workers[worker].report_percent != 100;
        if reports {
            self.after(REPORT, Happening::Report(key));
        }
    }

    /// Time a run needs for the work left: longer when it is granted less than it uses.
    fn time_left(&self, key: RunKey) -> Duration {
        let At::Running { granted, .. } = self.ledger.task(key).at else {
            return Duration::ZERO;
        };
        let used = self.true_use(key);
        let slowed = |used: u32, granted: u32| {
            let percent = u64::from(used) * 100 / u64::from(granted.max(1));
            percent.clamp(100, u64::from(MOST_SLOWED) * 100) as u32
        };
        let percent = slowed(used.millicores, granted.millicores)
            .max(slowed(used.memory_mb, granted.memory_mb));
        self.ledger.task(key).left * percent / 100
    }

    fn true_use(&self, key: RunKey) -> Resources {
        let job = &self.ledger.jobs[key.job];
        job.line.true_use.unwrap_or(job.spec.need)
    }

    fn ends(&mut self, key: RunKey, failed: bool) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let w = &self.ledger.workers[worker];
        if !w.executing.contains(&key) {
            return;
        }
        if !w.reachable {
            // The end is reported when the worker is heard again, if its lease still runs.
            self.after(TICK, Happening::Ends { key, failed });
            return;
        }
        let end = if failed { RunEnd::Failed } else { RunEnd::Done };
        self.end(key, end);
    }

    fn stopped(&mut self, key: RunKey, saved: bool) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let w = &self.ledger.workers[worker];
        if !w.reachable {
            self.after(TICK, Happening::Stopped { key, saved });
            return;
        }
        let end = if !self.ledger.task(key).ran {
            RunEnd::NeverStarted
        } else if saved {
            RunEnd::Checkpointed
        } else {
            RunEnd::Stopped
        };
        if end == RunEnd::Checkpointed {
            self.save(key);
        }
        self.end(key, end);
    }

    /// The work done until now need not be done again.
    fn save(&mut self, key: RunKey) {
        let At::Running { since, .. } = self.ledger.task(key).at else {
            return;
        };
        let whole = self.time_left(key);
        let ran = self.ledger.now.saturating_sub(since);
        let task = self.ledger.task_mut(key);
        if !whole.is_zero() && whole != Duration::MAX {
            let part = 1.0 - (ran.as_secs_f64() / whole.as_secs_f64()).min(1.0);
            task.left = task.left.mul_f64(part);
        }
        task.ran = false;
    }

    fn end(&mut self, key: RunKey, end: RunEnd) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let next = self.ledger.after(key, end);
        let run = self.ledger.run(key);
        let worker = self.ledger.workers[worker].spec.id.clone();
        self.ledger.settle(key, next);
        self.touched.insert(key.job);
        self.measures.ended(end);
        self.feed(Event::RunEnded { run, worker, end });
    }

    fn report(&mut self, key: RunKey) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let percent = self.ledger.workers[worker].report_percent;
        let seen = |n: u32| (u64::from(n) * u64::from(percent) / 100) as u32;
        let truth = self.true_use(key);
        let used = Resources {
            millicores: seen(truth.millicores),
            memory_mb: seen(truth.memory_mb),
            accelerators: 0,
        };
        let run = self.ledger.run(key);
        self.feed(Event::Usage { run, used });
        self.after(REPORT, Happening::Report(key));
    }

    /// A new leader builds its placer from what is recorded, as the daemon does.
    fn failover(&mut self) {
        self.placer = (self.make)();
        self.feed(Event::Policy(self.trace.header.policy()));
        self.feed(Event::Teams(self.trace.header.declared_teams()));
        for i in 0..self.ledger.workers.len() {
            if self.ledger.workers[i].known {
                self.announce(i);
            }
        }
        for job in 0..self.ledger.jobs.len() {
            self.restore(job);
        }
    }

    fn restore(&mut self, job: usize) {
        let truth = &self.ledger.jobs[job];
        // A closed job still holds room until its last run has ended.
        if truth.tasks.iter().all(|t| matches!(t.at, At::Over(_))) {
            return;
        }
        let closed = truth.closed.then(|| truth.spec.name.clone());
        let tasks = truth
            .tasks
            .iter()
            .enumerate()
            .map(|(i, task)| RestoredTask {
                task: TaskId {
                    job: truth.spec.name.clone(),
                    index: i as u32,
                },
                attempt: task.attempt,
                preemptions: task.preemptions,
                state: match task.at {
                    At::Waiting => TaskState::Waiting,
                    At::Over(_) => TaskState::Ended,
                    At::Running {
                        worker,
                        granted,
                        since,
                        ..
                    } => TaskState::Running {
                        worker: self.ledger.workers[worker].spec.id.clone(),
                        granted,
                        since,
                    },
                },
            });
        let event = Event::JobRestored {
            spec: Arc::clone(&truth.spec),
            at: truth.arrived,
            tasks: tasks.collect(),
        };
        self.feed(event);
        if let Some(job) = closed {
            self.feed(Event::JobCancelled(job));
        }
    }

    fn decide(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        let began = Instant::now();
        self.placer.decide(self.ledger.now, LIMIT, &mut out);
        let took = began.elapsed();
        let starts = out.iter().filter(|d| matches!(d, Decision::Start { .. }));
        self.measures.decided(took, starts.count() as u64);
        for decision in out.drain(..) {
            self.carry_out(decision);
        }
        let refused = std::mem::take(&mut self.refused);
        for job in std::mem::take(&mut self.touched) {
            if !refused.contains(&job) {
                self.ledger.check_gang(job);
            }
        }
        self.touched = refused;
        self.out = out;
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Start {
                run,
                worker,
                granted,
            } => {
                let key = self.ledger.key(&run);
                let worker_ix = self.ledger.worker_ix.get(&worker).copied();
                let (Some(key), Some(ix)) = (key, worker_ix) else {
                    self.ledger
                        .violation(format!("an unknown task was started on {worker}"));
                    return;
                };
                if self.refuse > 0 {
                    self.refuse -= 1;
                    self.refused.insert(key.job);
                    self.feed(Event::StartRefused { run, worker });
                    return;
                }
                self.start(key, ix, granted);
            }
            Decision::Stop {
                run, how, reason, ..
            } => {
                let Some(key) = self.ledger.key(&run) else {
                    return;
                };
                if matches!(reason, StopReason::Preempted | StopReason::Reclaimed) {
                    self.measures.preempted += 1;
                    self.ledger.task_mut(key).preemptions += 1;
                }
                self.stop(key, how);
            }
            Decision::NeverRuns { job, .. } => {
                if let Some(&ix) = self.ledger.job_ix.get(&job) {
                    self.ledger.set_never(ix, true);
                }
            }
            Decision::GiveUp { job, .. } => {
                if let Some(&ix) = self.ledger.job_ix.get(&job) {
                    self.ledger.close(ix, Final::Dropped);
                    self.measures.given_up.insert(job);
                }
            }
            Decision::Quarantine(worker) => {
                self.measures.quarantined.insert(worker);
            }
            Decision::Release(worker) => {
                self.measures.released.insert(worker);
            }
        }
    }

    fn start(&mut self, key: RunKey, worker: usize, granted: Resources) {
        if !self.ledger.start(key, worker, granted) {
            return;
        }
        self.ledger.check_worker(worker);
        let job = &self.ledger.jobs[key.job];
        self.touched.insert(key.job);
        let waited = self.ledger.now.saturating_sub(job.arrived);
        let (band, kind) = (job.spec.band, job.spec.kind.clone());
        let task = self.ledger.task_mut(key);
        if !std::mem::replace(&mut task.started, true) {
            self.measures.started(self.ledger.now, band, &kind, waited);
        }
        self.after(START_DELAY, Happening::Begin(key));
    }

    fn stop(&mut self, key: RunKey, how: StopKind) {
        if how == StopKind::Throttle || self.ledger.worker_of(key).is_none() {
            return;
        }
        if let At::Running { ending, .. } = &mut self.ledger.task_mut(key).at {
            *ending = true;
        }
        let saved = how == StopKind::Checkpoint && self.ledger.jobs[key.job].spec.checkpoint;
        let takes = if saved { SAVE_TIME } else { STOP_TIME };
        self.after(takes, Happening::Stopped { key, saved });
    }
}
