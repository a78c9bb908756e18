//! Drives a placer through a trace under a virtual clock, with a minimal fake worker.

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
use crate::replay::ledger::{At, Final, Ledger, RunKey};
use crate::replay::measures::{Measured, Measures};
use crate::replay::trace::{Change, JobLine, Trace};
use crate::wire::StopKind;

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
        self.placer.apply(self.ledger.now, event);
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
}
