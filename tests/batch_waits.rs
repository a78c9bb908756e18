//! Bounds on the time for which ready work waits behind other work.

mod batch_world;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use batch_world::cell::Cell;
use batch_world::{
    World, checkpointed, draining, first_step, low_priority_queue, ms, one_per_minion, queue, step,
};
use rstest::rstest;
use yuccahold::batch::dispatch::{Advice, AdviceQuestion, StartOrder};
use yuccahold::batch::model::{
    JobId, MinionNumber, MinionReport, PolicyConfig, Queue, Readiness, StepId, StepSpec, TaskId,
};
use yuccahold::ids::MinionId;

/// Interval of simulated time between two decisions of the leader.
const TICK: Duration = ms(20);
/// Bound on the time until the policy service is asked about a ready step that would fit.
const ASKED_WITHIN: Duration = ms(3_000);
/// Bound on the time until a lasting task that lost its run is restarted, however full the cell is;
/// from the platform's contract.
const RESTARTED_WITHIN: Duration = ms(6_000);

/// Shortest time for which a minion serves after it has reported that it drains.
const SHORTEST_DRAIN: Duration = ms(2_000);

/// Simulated policy service: each asker has one question answered at a time, after the question's
/// cost.
struct Policy {
    /// Part of the minions that are allowed for a step.
    allowed_part: f64,
    askers: Vec<VecDeque<AdviceQuestion>>,
    /// Time of the answer to the first question of each asker.
    until: Vec<Duration>,
    /// Time of the first question about each step.
    first_asked: BTreeMap<StepId, Duration>,
}

impl Policy {
    fn new(askers: usize) -> Self {
        Self {
            allowed_part: 1.0,
            askers: vec![VecDeque::new(); askers],
            until: vec![Duration::ZERO; askers],
            first_asked: BTreeMap::new(),
        }
    }

    fn allows(&self, step: StepId, minion: &MinionId) -> bool {
        let mut hasher = DefaultHasher::new();
        (step, minion).hash(&mut hasher);
        (hasher.finish() % 1_000) as f64 <= self.allowed_part * 1_000.0
    }

    /// Accepts new questions and answers those that are due.
    fn serve(&mut self, world: &mut World) {
        for question in world.take_questions() {
            let asked = self.first_asked.entry(question.id.step);
            asked.or_insert(world.now);
            let least = (0..self.askers.len()).min_by_key(|i| self.askers[*i].len());
            let asker = least.expect("there are askers");
            if self.askers[asker].is_empty() {
                self.until[asker] = world.now + question.cost;
            }
            self.askers[asker].push_back(question);
        }
        for asker in 0..self.askers.len() {
            while !self.askers[asker].is_empty() && self.until[asker] <= world.now {
                let question = self.askers[asker].pop_front().expect("it is not empty");
                if let Some(next) = self.askers[asker].front() {
                    self.until[asker] += next.cost;
                }
                let named = question.minions.iter();
                let good = named.filter(|m| self.allows(question.id.step, m));
                let good = good.map(|m| (m.clone(), "ticket".into())).collect();
                let advice = Some(Advice { good });
                world.leader.advice_received(world.now, question.id, advice);
            }
        }
    }
}

fn advised(queue: Queue, base: u64, each: u64) -> Queue {
    Queue {
        advice: Some(PolicyConfig {
            base: ms(base),
            per_minion: ms(each),
            validity: ms(2_500),
        }),
        ..queue
    }
}

fn urgent() -> Queue {
    advised(queue(), 50, 1)
}

fn long_work() -> Queue {
    advised(low_priority_queue(), 500, 7)
}

fn renders() -> Queue {
    Queue {
        priority: 1,
        ..long_work()
    }
}

fn lasting_queue() -> Queue {
    let ledgers = Queue {
        name: "ledgers".into(),
        prefix: "/ledgers/".into(),
        priority: 1,
        ..queue()
    };
    advised(ledgers, 400, 6)
}

/// Load that fills the cell.
#[derive(Clone, Copy)]
enum Load {
    ShortUrgent,
    LongSaving,
}

impl Load {
    fn job(self) -> (Queue, StepSpec) {
        match self {
            Self::ShortUrgent => (urgent(), step(1, 7_000)),
            Self::LongSaving => {
                let long_saving = StepSpec {
                    estimate: ms(20_000),
                    ..checkpointed(12, 7_000)
                };
                (long_work(), long_saving)
            }
        }
    }
}

/// Urgent steps that don't fit ask again whenever their tickets expire. Guards against these
/// questions using up the limit, so that late jobs that would fit are never asked about.
#[test]
fn late_jobs_that_fit_are_asked_about_beside_many_urgent_ones() {
    const LATE: std::ops::Range<JobId> = 100..110;
    let mut world = World::new();
    let (mut policy, mut cell) = (Policy::new(16), Cell::default());
    world.leader.set_agents(16);
    world.join_all("i", 0..40);
    world.submit(1, vec![one_per_minion(40, 14_000)]);
    for job in 2..82 {
        let queue = if job % 2 == 0 { urgent() } else { renders() };
        world.submit_to(job, queue, vec![step(1, 20_000)]);
    }
    for job in LATE {
        world.submit_to(job, long_work(), vec![step(1, 1_000)]);
    }
    let handed_in = world.now;
    while world.now < handed_in + ms(12_000) {
        policy.serve(&mut world);
        cell.work(&mut world, |start| {
            (start.task.step.job > 1).then_some(ms(1_000))
        });
        world.advance(TICK);
    }
    let waits: Vec<_> = LATE
        .map(|job| policy.first_asked.get(&first_step(job)))
        .map(|asked| asked.map(|at| *at - handed_in))
        .collect();
    let is_in_time = |wait: &Option<Duration>| wait.is_some_and(|wait| wait <= ASKED_WITHIN);
    assert!(waits.iter().all(is_in_time), "{waits:?}");
    let started = |job: JobId| cell.started.iter().any(|(_, t)| t.step.job == job);
    assert!(LATE.clone().all(started));
}

const LASTING: JobId = 1;

/// Lasting tasks that lost their runs restart within the bound, however full the cell is.
#[rstest]
#[case::more_than_half_of_a_minion(18_000, Load::ShortUrgent)]
#[case::nearly_all_of_it(26_000, Load::ShortUrgent)]
#[case::all_of_it(32_000, Load::ShortUrgent)]
#[case::beside_long_work_that_saves_progress(26_000, Load::LongSaving)]
fn lasting_tasks_that_lost_their_runs_restart_in_a_full_cell(
    #[case] cores: u32,
    #[case] load: Load,
) {
    const FIRST: JobId = 100;
    let mut world = World::new();
    let (mut policy, mut cell) = (Policy::new(8), Cell::default());
    policy.allowed_part = 0.5;
    world.leader.set_agents(8);
    let mut ids = BTreeMap::new();
    for i in 0..48 {
        let id = format!("i-{i}");
        ids.insert(world.join(&id, i), id);
    }
    world.submit_to(LASTING, lasting_queue(), vec![one_per_minion(8, cores)]);
    let takes = |start: &StartOrder| {
        let draw = start.task.step.job.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let time = match load {
            Load::ShortUrgent => 500 + draw % 2_500,
            Load::LongSaving => 15_000 + draw % 15_000,
        };
        (start.task.step.job != LASTING).then(|| ms(time))
    };
    let begun = world.now;
    let mut next = FIRST;
    let mut left = None;
    while world.now < begun + ms(30_000) {
        let started: BTreeSet<_> = cell.started.iter().map(|(_, t)| t.step.job).collect();
        let waiting = (FIRST..next).filter(|job| !started.contains(job)).count();
        for _ in waiting..24 {
            let (queue, step) = load.job();
            world.submit_to(next, queue, vec![step]);
            next += 1;
        }
        policy.serve(&mut world);
        cell.work(&mut world, takes);
        if left.is_none() && world.now > begun + ms(10_000) {
            left = Some(world.now);
            let of = |(task, (m, ..)): (&TaskId, &(MinionNumber, StartOrder, Option<Duration>))| {
                (task.step.job == LASTING).then_some(*m)
            };
            let hosts: BTreeSet<_> = cell.runs.iter().filter_map(of).collect();
            assert_eq!(hosts.len(), 8);
            for host in &hosts {
                cell.runs.retain(|_, (m, ..)| m != host);
                cell.gone.insert(*host);
                let now = world.now;
                world.leader.minion_left(now, &ids[host].as_str().into());
            }
        }
        world.advance(TICK);
    }
    let left = left.expect("they left");
    let back = cell
        .started
        .iter()
        .filter(|(at, t)| *at > left && t.step.job == LASTING);
    let waits: Vec<_> = back.map(|(at, _)| *at - left).collect();
    assert_eq!(waits.len(), 8, "{waits:?}");
    assert!(
        waits.iter().all(|wait| *wait <= RESTARTED_WITHIN),
        "{waits:?}"
    );
    // A lasting task needs the resources of four of these tasks at most, and they are freed only
    // once.
    let expected = match load {
        Load::ShortUrgent => 0..=0,
        Load::LongSaving => 1..=32,
    };
    let stopped = cell.stopped.len();
    assert!(expected.contains(&stopped), "{stopped} stopped");
}

/// The same for minions that drain before they leave, and say for how long they stay.
#[rstest]
#[case::more_than_half_of_a_minion(18_000, Load::ShortUrgent)]
#[case::nearly_all_of_it(26_000, Load::ShortUrgent)]
#[case::all_of_it(32_000, Load::ShortUrgent)]
#[case::beside_long_work_that_saves_progress(26_000, Load::LongSaving)]
fn lasting_tasks_of_draining_minions_restart_in_a_full_cell(
    #[case] cores: u32,
    #[case] load: Load,
) {
    const FIRST: JobId = 100;
    let mut world = World::new();
    let (mut policy, mut cell) = (Policy::new(8), Cell::default());
    policy.allowed_part = 0.5;
    world.leader.set_agents(8);
    let mut ids = BTreeMap::new();
    for i in 0..48 {
        let id = format!("i-{i}");
        ids.insert(world.join(&id, i), (id, i));
    }
    world.submit_to(LASTING, lasting_queue(), vec![one_per_minion(8, cores)]);
    let takes = |start: &StartOrder| {
        let draw = start.task.step.job.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let time = match load {
            Load::ShortUrgent => 500 + draw % 2_500,
            Load::LongSaving => 15_000 + draw % 15_000,
        };
        (start.task.step.job != LASTING).then(|| ms(time))
    };
    let begun = world.now;
    let mut next = FIRST;
    let mut leaving: BTreeSet<MinionNumber> = BTreeSet::new();
    let mut left = None;
    while world.now < begun + ms(30_000) {
        let started: BTreeSet<_> = cell.started.iter().map(|(_, t)| t.step.job).collect();
        let waiting = (FIRST..next).filter(|job| !started.contains(job)).count();
        for _ in waiting..24 {
            let (queue, step) = load.job();
            world.submit_to(next, queue, vec![step]);
            next += 1;
        }
        policy.serve(&mut world);
        cell.work(&mut world, takes);
        if leaving.is_empty() && world.now > begun + ms(10_000) {
            leaving = lasting_hosts(&cell);
            assert_eq!(leaving.len(), 8);
            for host in &leaving {
                let (id, port) = &ids[host];
                world.leader.report(world.now, draining_soon(id, *port));
            }
        }
        if !leaving.is_empty() && world.now > begun + ms(10_000) + SHORTEST_DRAIN {
            for host in leaving.iter().filter(|host| cell.gone.insert(**host)) {
                cell.runs.retain(|_, (m, ..)| m != host);
                let (id, _) = &ids[host];
                world.leader.minion_left(world.now, &id.as_str().into());
            }
        }
        if !lasting_hosts(&cell).is_superset(&leaving) {
            left.get_or_insert(world.now);
        }
        world.advance(TICK);
    }
    let left = left.expect("they left");
    let back = cell
        .started
        .iter()
        .filter(|(at, t)| *at > left && t.step.job == LASTING);
    let waits: Vec<_> = back.map(|(at, _)| *at - left).collect();
    assert_eq!(waits.len(), 8, "{waits:?}");
    assert!(
        waits.iter().all(|wait| *wait <= RESTARTED_WITHIN),
        "{waits:?}"
    );
    // A lasting task needs the resources of four of these tasks at most, and they are freed only
    // once.
    let expected = match load {
        Load::ShortUrgent => 0..=0,
        Load::LongSaving => 1..=32,
    };
    let elsewhere = cell.stopped.iter().filter(|m| !leaving.contains(m));
    let stopped = elsewhere.count();
    assert!(expected.contains(&stopped), "{stopped} stopped");
}

/// The minions on which tasks of the lasting job run.
fn lasting_hosts(cell: &Cell) -> BTreeSet<MinionNumber> {
    let runs = cell.runs.iter();
    let lasting = runs.filter(|(task, _)| task.step.job == LASTING);
    lasting.map(|(_, (minion, ..))| *minion).collect()
}

/// The report of a minion that stays for as short a time as it may.
fn draining_soon(id: &str, port: u16) -> MinionReport {
    MinionReport {
        readiness: Readiness::Draining {
            remaining: Some(SHORTEST_DRAIN),
        },
        ..draining(id, port)
    }
}
