//! Admission of jobs while callers compete for too little capacity.

mod batch_world;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch_world::cell::Cell;
use batch_world::{World, config, lasting, low_priority_queue, ms, queue, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{DispatchConfig, Mechanisms, Submission, Verdict};
use yuccahold::batch::model::{JobId, JobSpec, JobState, Queue, StepSpec};

const TICK: Duration = ms(10);
/// Simulated callers give up after this time.
const PATIENCE: Duration = ms(8_000);
/// Four minions of 32 cores run 20 tasks of 6 cores, of which each takes a second: 20 tasks a
/// second.
const TASKS_PER_SECOND: f64 = 20.0;
const TASK: u32 = 6_000;

fn with_admission(enabled: bool) -> DispatchConfig {
    let off = if enabled { "" } else { "admission" };
    DispatchConfig {
        mechanisms: Mechanisms::without(off).expect("a known name"),
        ..config()
    }
}

fn submission(owner: Option<&str>, job: JobId, queue: Queue, steps: Vec<StepSpec>) -> Submission {
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
struct Caller {
    owner: &'static str,
    queue: Queue,
    tasks: u32,
    estimate: Duration,
    begun: Duration,
    due: Duration,
    refusals: u32,
}

/// What became of the jobs of a workspace in a queue.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    jobs: u32,
    accepted: u32,
    refusals: u32,
    in_time: u32,
    /// Accepted jobs that had value for their callers.
    useful: u32,
}

impl Score {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }

    fn kept(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.accepted.max(1))
    }
}

/// Simulated callers of a cell of four minions.
struct Play {
    world: World,
    cell: Cell,
    callers: BTreeMap<JobId, Caller>,
    accepted: BTreeMap<JobId, (Caller, Duration)>,
    given_up: Vec<Caller>,
    next: JobId,
    /// Whether refused callers return at the time they are given.
    returns: bool,
}

impl Play {
    fn new(enabled: bool, weights: &[(&str, f64)]) -> Self {
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
        }
    }

    fn call(&mut self, owner: &'static str, queue: Queue, tasks: u32, estimate: Duration) -> JobId {
        self.next += 1;
        let caller = Caller {
            owner,
            queue,
            tasks,
            estimate,
            begun: self.world.now,
            due: self.world.now,
            refusals: 0,
        };
        self.callers.insert(self.next, caller);
        self.next
    }

    fn steps(caller: &Caller) -> Vec<StepSpec> {
        vec![StepSpec {
            estimate: caller.estimate,
            ..step(caller.tasks, TASK)
        }]
    }

    fn verdict(&mut self, job: JobId, caller: &Caller) -> Verdict {
        let steps = Self::steps(caller);
        let new = submission(Some(caller.owner), job, caller.queue.clone(), steps);
        let (now, unix) = (self.world.now, self.world.unix());
        self.world.leader.admit(now, unix, &self.world.ledger, &new)
    }

    /// Submits the job of each caller that is due, in the order of their refusals, and advances the
    /// time.
    fn tick(&mut self) {
        let now = self.world.now;
        let mut due: Vec<_> = self.callers.iter().filter(|(_, c)| c.due <= now).collect();
        due.sort_by_key(|(job, caller)| (caller.due, **job));
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

    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.tick();
        }
    }

    /// Scores by workspace and queue, of the callers that began before `until`.
    fn scores(&self, until: Duration) -> BTreeMap<(&'static str, String), Score> {
        let mut scores: BTreeMap<_, Score> = BTreeMap::new();
        let waiting = self.callers.values().chain(&self.given_up);
        for caller in waiting.filter(|c| c.begun < until) {
            let key = (caller.owner, caller.queue.name.to_string());
            let score = scores.entry(key).or_default();
            score.jobs += 1;
            score.refusals += caller.refusals;
        }
        for (job, (caller, at)) in &self.accepted {
            if caller.begun >= until {
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
struct Stream {
    owner: &'static str,
    queue: Queue,
    tasks: u32,
    rate: f64,
    owed: f64,
}

impl Stream {
    fn new(owner: &'static str, queue: Queue, tasks: u32, load: f64) -> Self {
        let rate = load * TASKS_PER_SECOND / f64::from(tasks);
        Self {
            owner,
            queue,
            tasks,
            rate,
            owed: 0.0,
        }
    }

    fn submit(&mut self, play: &mut Play) {
        self.owed += self.rate * TICK.as_secs_f64();
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            play.call(self.owner, self.queue.clone(), self.tasks, ms(1_000));
        }
    }
}

/// Two calm workspaces that submit four fifths of the capacity within their weights, one of them
/// less urgent work, and one that submits the rest of `load` times the capacity, eight times its
/// weight.
fn competition(enabled: bool, load: f64) -> BTreeMap<(&'static str, String), Score> {
    let flood = load - 0.8;
    let eager = flood * TASKS_PER_SECOND / 2.0 / 8.0;
    let weights = [("calm", 8.0), ("plans", 3.0), ("eager", eager)];
    let mut play = Play::new(enabled, &weights);
    let mut streams = [
        Stream::new("calm", queue(), 2, 0.6),
        Stream::new("plans", low_priority_queue(), 4, 0.2),
        Stream::new("eager", queue(), 2, flood),
    ];
    let end = play.world.now + ms(30_000);
    while play.world.now < end {
        for stream in &mut streams {
            stream.submit(&mut play);
        }
        play.tick();
    }
    let scores = play.scores(end - PATIENCE);
    for (key, score) in &scores {
        println!("load {load} admission {enabled}: {key:?} {score:?}");
    }
    scores
}

/// Guards against jobs accepted in vain, and against a calm workspace that pays for a flood.
#[rstest]
#[case::half_too_much(1.5)]
#[case::three_times(3.0)]
fn accepted_jobs_are_in_time_and_calm_workspaces_are_not_refused(#[case] load: f64) {
    let with = competition(true, load);
    let without = competition(false, load);
    let eager = ("eager", "checks".to_owned());
    assert!(without[&eager].kept() < 0.7, "{:?}", without[&eager]);
    assert!(with[&eager].kept() > 0.9, "{:?}", with[&eager]);
    assert!(
        with[&eager].share_in_time() >= without[&eager].share_in_time() - 0.02,
        "{:?} against {:?}",
        with[&eager],
        without[&eager]
    );
    assert!(without.values().all(|score| score.refusals == 0));
    for calm in [("calm", "checks".to_owned()), ("plans", "plans".to_owned())] {
        assert_eq!(with[&calm].refusals, 0, "{calm:?}");
        assert!(with[&calm].share_in_time() > 0.95, "{:?}", with[&calm]);
        let before = without[&calm].share_in_time();
        assert!(with[&calm].share_in_time() >= before - 0.02, "{calm:?}");
    }
}
