//! How long work that may start can be passed over by other work.

mod batch_world;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use batch_world::cell::Cell;
use batch_world::{World, first_step, ms, one_each, plans, queue, saving, step};
use rstest::rstest;
use yuccahold::batch::dispatch::{Advice, AdviceQuestion, StartOrder};
use yuccahold::batch::model::{AdviceTerms, JobId, MinionNumber, Queue, StepId, StepSpec, TaskId};
use yuccahold::ids::MinionId;

/// Time between two steps of a played load.
const TICK: Duration = ms(20);
/// A step whose turn has come, with room for it, is asked about within this time.
const ASKED_WITHIN: Duration = ms(3_000);
/// A lasting task that lost its run has another one within this time, however full the cell is;
/// from the platform's contract.
const RESTARTED_WITHIN: Duration = ms(6_000);

/// The policy service: one question at a time for each asker, answered after its cost.
struct Policy {
    /// Part of the minions that may run a step.
    let_in: f64,
    askers: Vec<VecDeque<AdviceQuestion>>,
    /// When the first question of each asker will be answered.
    until: Vec<Duration>,
    /// When each step was first asked about.
    first_asked: BTreeMap<StepId, Duration>,
}

impl Policy {
    fn new(askers: usize) -> Self {
        Self {
            let_in: 1.0,
            askers: vec![VecDeque::new(); askers],
            until: vec![Duration::ZERO; askers],
            first_asked: BTreeMap::new(),
        }
    }

    fn lets_in(&self, step: StepId, minion: &MinionId) -> bool {
        let mut hasher = DefaultHasher::new();
        (step, minion).hash(&mut hasher);
        (hasher.finish() % 1_000) as f64 <= self.let_in * 1_000.0
    }

    /// Takes new questions and answers those whose time has come.
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
                let good = named.filter(|m| self.lets_in(question.id.step, m));
                let good = good.map(|m| (m.clone(), "ticket".into())).collect();
                let advice = Some(Advice { good });
                world.leader.advised(world.now, question.id, advice);
            }
        }
    }
}

fn advised(queue: Queue, base: u64, each: u64) -> Queue {
    Queue {
        advice: Some(AdviceTerms {
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

fn long() -> Queue {
    advised(plans(), 500, 7)
}

fn renders() -> Queue {
    Queue {
        priority: 1,
        ..long()
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

/// What fills a cell.
#[derive(Clone, Copy)]
enum Beside {
    ShortUrgent,
    LongSaving,
}

impl Beside {
    fn job(self) -> (Queue, StepSpec) {
        match self {
            Self::ShortUrgent => (urgent(), step(1, 7_000)),
            Self::LongSaving => {
                let long_saving = StepSpec {
                    estimate: ms(20_000),
                    ..saving(12, 7_000)
                };
                (long(), long_saving)
            }
        }
    }
}

/// Urgent work without room does not use up all questions for good.
#[test]
fn late_jobs_with_room_are_asked_about_beside_a_flood_of_urgent_ones() {
    const LATE: std::ops::Range<JobId> = 100..110;
    let mut world = World::new();
    let (mut policy, mut cell) = (Policy::new(16), Cell::default());
    world.leader.set_agents(16);
    world.join_all("i", 0..40);
    world.submit(1, vec![one_each(40, 14_000)]);
    for job in 2..82 {
        let queue = if job % 2 == 0 { urgent() } else { renders() };
        world.submit_to(job, queue, vec![step(1, 20_000)]);
    }
    for job in LATE {
        world.submit_to(job, long(), vec![step(1, 1_000)]);
    }
    let handed_in = world.now;
    while world.now < handed_in + ms(12_000) {
        policy.serve(&mut world);
        cell.work(&mut world, |start| {
            (start.task.step.job > 1).then_some(ms(1_000))
        });
        world.pass(TICK);
    }
    let waits: Vec<_> = LATE
        .map(|job| policy.first_asked.get(&first_step(job)))
        .map(|asked| asked.map(|at| *at - handed_in))
        .collect();
    let in_time = |wait: &Option<Duration>| wait.is_some_and(|wait| wait <= ASKED_WITHIN);
    assert!(waits.iter().all(in_time), "{waits:?}");
    let started = |job: JobId| cell.started.iter().any(|(_, t)| t.step.job == job);
    assert!(LATE.clone().all(started));
}

/// Lasting tasks get room back within the bound, however full the cell is.
#[rstest]
#[case::more_than_half_of_a_minion(18_000, Beside::ShortUrgent)]
#[case::nearly_all_of_it(26_000, Beside::ShortUrgent)]
#[case::all_of_it(32_000, Beside::ShortUrgent)]
#[case::beside_long_work_that_saves_progress(26_000, Beside::LongSaving)]
fn lasting_tasks_that_lost_their_runs_are_back_in_a_full_cell(
    #[case] cores: u32,
    #[case] beside: Beside,
) {
    const LASTING: JobId = 1;
    const FIRST: JobId = 100;
    let mut world = World::new();
    let (mut policy, mut cell) = (Policy::new(8), Cell::default());
    policy.let_in = 0.5;
    world.leader.set_agents(8);
    let mut ids = BTreeMap::new();
    for i in 0..48 {
        let id = format!("i-{i}");
        ids.insert(world.join(&id, i), id);
    }
    world.submit_to(LASTING, lasting_queue(), vec![one_each(8, cores)]);
    let takes = |start: &StartOrder| {
        let draw = start.task.step.job.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let time = match beside {
            Beside::ShortUrgent => 500 + draw % 2_500,
            Beside::LongSaving => 15_000 + draw % 15_000,
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
            let (queue, step) = beside.job();
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
                world.leader.left(now, &ids[host].as_str().into());
            }
        }
        world.pass(TICK);
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
    // A lasting task takes the room of four of these tasks at most, and is not given it twice.
    let expected = match beside {
        Beside::ShortUrgent => 0..=0,
        Beside::LongSaving => 1..=32,
    };
    assert!(expected.contains(&cell.stopped), "{} stopped", cell.stopped);
}
