//! Simulated callers of a cell whose leader admits jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use yuccahold::batch::dispatch::{DispatchConfig, Mechanisms, Submission, Verdict};
use yuccahold::batch::model::{JobId, JobSpec, JobState, Queue, StepSpec};

use super::cell::Cell;
use super::{World, config, ms, step};

pub const TICK: Duration = ms(10);
/// Simulated callers give up after this time.
pub const PATIENCE: Duration = ms(8_000);
/// Four minions of 32 cores run 20 tasks of 6 cores, of which each takes a second: 20 tasks a
/// second.
pub const TASKS_PER_SECOND: f64 = 20.0;
pub const TASK: u32 = 6_000;

pub fn with_admission(enabled: bool) -> DispatchConfig {
    let off = if enabled { "" } else { "admission" };
    DispatchConfig {
        mechanisms: Mechanisms::without(off).expect("a known name"),
        ..config()
    }
}

pub fn submission(
    owner: Option<&str>,
    job: JobId,
    queue: Queue,
    steps: Vec<StepSpec>,
) -> Submission {
    Submission {
        job,
        queue: Arc::new(queue),
        owner: owner.map(Into::into),
        spec: Arc::new(JobSpec {
            payload: "payload".into(),
            steps,
            timetable: None,
        }),
    }
}

/// A caller with one job that it submits until it is accepted.
#[derive(Clone)]
pub struct Caller {
    pub owner: &'static str,
    pub queue: Queue,
    pub tasks: u32,
    pub estimate: Duration,
    pub begun: Duration,
    pub due: Duration,
    pub refusals: u32,
}

/// What became of the jobs of a workspace in a queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    pub jobs: u32,
    pub accepted: u32,
    pub refusals: u32,
    pub in_time: u32,
    /// Accepted jobs that had value for their callers.
    pub useful: u32,
}

impl Score {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }

    pub fn kept(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.accepted.max(1))
    }
}

/// Scores by workspace and queue.
pub type Scores = BTreeMap<(&'static str, String), Score>;

/// Simulated callers of a cell of four minions.
pub struct Play {
    pub world: World,
    pub cell: Cell,
    pub callers: BTreeMap<JobId, Caller>,
    pub accepted: BTreeMap<JobId, (Caller, Duration)>,
    pub given_up: Vec<Caller>,
    next: JobId,
    /// Whether refused callers return at the time they are given.
    pub returns: bool,
    /// Whether newcomers are faster than the callers that return at the same time.
    pub newcomers_first: bool,
}

impl Play {
    pub fn new(enabled: bool, weights: &[(&str, f64)]) -> Self {
        let mut world = World::with(with_admission(enabled));
        world.join_all("i", 1..5);
        world.set_weights(1, weights);
        Self {
            world,
            cell: Cell::default(),
            callers: BTreeMap::new(),
            accepted: BTreeMap::new(),
            given_up: Vec::new(),
            next: 1_000,
            returns: true,
            newcomers_first: false,
        }
    }

    /// A caller that is due now.
    pub fn caller(
        &self,
        owner: &'static str,
        queue: Queue,
        tasks: u32,
        estimate: Duration,
    ) -> Caller {
        Caller {
            owner,
            queue,
            tasks,
            estimate,
            begun: self.world.now,
            due: self.world.now,
            refusals: 0,
        }
    }

    /// Adds a caller with a new job.
    pub fn call(
        &mut self,
        owner: &'static str,
        queue: Queue,
        tasks: u32,
        estimate: Duration,
    ) -> JobId {
        self.next += 1;
        let caller = self.caller(owner, queue, tasks, estimate);
        self.callers.insert(self.next, caller);
        self.next
    }

    fn steps(caller: &Caller) -> Vec<StepSpec> {
        vec![StepSpec {
            estimate: caller.estimate,
            ..step(caller.tasks, TASK)
        }]
    }

    pub fn verdict(&mut self, job: JobId, caller: &Caller) -> Verdict {
        let steps = Self::steps(caller);
        let new = submission(Some(caller.owner), job, caller.queue.clone(), steps);
        let (now, unix) = (self.world.now, self.world.unix());
        self.world.leader.admit(now, unix, &self.world.ledger, &new)
    }

    /// Submits the job of each caller that is due, in the order of their refusals, and advances the
    /// time.
    pub fn tick(&mut self) {
        let now = self.world.now;
        let mut due: Vec<_> = self.callers.iter().filter(|(_, c)| c.due <= now).collect();
        due.sort_by_key(|(job, caller)| (caller.due, **job));
        if self.newcomers_first {
            due.reverse();
        }
        let due: Vec<_> = due.into_iter().map(|(job, c)| (*job, c.clone())).collect();
        for (job, mut caller) in due {
            match self.verdict(job, &caller) {
                Verdict::Admitted => {
                    self.callers.remove(&job);
                    let steps = Self::steps(&caller);
                    let queue = caller.queue.clone();
                    self.world.accept_for(caller.owner, job, queue, steps);
                    self.accepted.insert(job, (caller, now));
                }
                Verdict::Refused { after, useful } => {
                    caller.refusals += 1;
                    caller.due = now + after;
                    let patient = caller.due <= caller.begun + PATIENCE;
                    if self.returns && useful && patient {
                        self.callers.insert(job, caller);
                    } else {
                        self.callers.remove(&job);
                        self.given_up.push(caller);
                    }
                }
            }
        }
        self.world.decide();
        self.cell.work(&mut self.world, |start| {
            let draw = (start.task.step.job ^ u64::from(start.task.index))
                .wrapping_mul(0x9E37_79B9_7F4A_7C15);
            Some(ms(800 + (draw >> 33) % 400))
        });
        self.world.advance(TICK);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.tick();
        }
    }

    /// Scores by workspace and queue, of the callers that began in this period.
    pub fn scores(&self, from: Duration, until: Duration) -> Scores {
        let mut scores: BTreeMap<_, Score> = BTreeMap::new();
        let waiting = self.callers.values().chain(&self.given_up);
        for caller in waiting.filter(|c| (from..until).contains(&c.begun)) {
            let key = (caller.owner, caller.queue.name.to_string());
            let score = scores.entry(key).or_default();
            score.jobs += 1;
            score.refusals += caller.refusals;
        }
        for (job, (caller, at)) in &self.accepted {
            if !(from..until).contains(&caller.begun) {
                continue;
            }
            let key = (caller.owner, caller.queue.name.to_string());
            let score = scores.entry(key).or_default();
            score.jobs += 1;
            score.accepted += 1;
            score.refusals += caller.refusals;
            let objective = caller.queue.slo + ms(1_000).mul_f64(caller.queue.slo_multiple);
            if let Some(took) = self.ended(*job, *at) {
                score.in_time += u32::from(took <= objective);
                score.useful += u32::from(took <= objective * 3);
            }
        }
        scores
    }

    /// Time from the acceptance of a job to its end.
    fn ended(&self, job: JobId, accepted: Duration) -> Option<Duration> {
        let done = self.world.ledger.job_state(job) == Some(JobState::Done);
        let at = self.cell.done.get(&job).filter(|_| done)?;
        Some(*at - accepted)
    }
}

/// Submits jobs at a rate in tasks per second, for a workspace with its queue and size of a job.
pub struct Stream {
    pub owner: &'static str,
    pub queue: Queue,
    pub tasks: u32,
    /// Declared run time of a task.
    pub declared: Duration,
    rate: f64,
    owed: f64,
}

impl Stream {
    pub fn new(owner: &'static str, queue: Queue, tasks: u32, load: f64) -> Self {
        let rate = load * TASKS_PER_SECOND / f64::from(tasks);
        Self {
            owner,
            queue,
            tasks,
            declared: ms(1_000),
            rate,
            owed: 0.0,
        }
    }

    pub fn submit(&mut self, play: &mut Play) {
        self.owed += self.rate * TICK.as_secs_f64();
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            play.call(self.owner, self.queue.clone(), self.tasks, self.declared);
        }
    }
}
