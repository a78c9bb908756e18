//! Watches lasting tasks from outside: how long each has had no run although there was room for it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use yuccahold::batch::dispatch::{Advice, AdviceQuestion, MinionOrder, Order};
use yuccahold::batch::model::{Grouping, JobId, Queue, StepId, StepSpec, TaskId};

use super::hosts::Cell;
use super::{first_step, ms};

/// Time for which a lease of 10 s can last on the leader's clock, with its margin for leases of
/// another leader.
const LONGEST_LEASE: Duration = ms(10_600);
/// Time until the leader knows of a minion that came, or came back.
const NOTICED_AFTER: Duration = ms(1_000);
/// Time for which an order to a minion that keeps its id may be carried out late.
const LATE_ORDER: Duration = ms(5_300);
/// Longest time for which a minion that has failed its runs gets no more, and a run on probation.
const PROBATION: Duration = ms(9_500);

/// Simulated policy service: it allows part of the minions for a step, and answers one question of
/// each asker at a time.
pub struct Policy {
    askers: Vec<(Duration, Vec<AdviceQuestion>)>,
    /// One question in this many is never answered; zero for none.
    pub lost: u64,
    seen: u64,
}

impl Policy {
    pub fn new(askers: usize) -> Self {
        Self {
            askers: vec![(Duration::ZERO, Vec::new()); askers],
            lost: 0,
            seen: 0,
        }
    }

    fn allows(step: StepId, minion: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        (step, minion).hash(&mut hasher);
        hasher.finish().is_multiple_of(2)
    }

    fn serve(&mut self, cell: &mut Cell, questions: Vec<AdviceQuestion>) {
        let now = cell.world.now;
        for question in questions {
            self.seen += 1;
            if self.lost > 0 && self.seen.is_multiple_of(self.lost) {
                continue;
            }
            let least = self
                .askers
                .iter_mut()
                .min_by_key(|(_, waiting)| waiting.len());
            let (until, waiting) = least.expect("there are askers");
            if waiting.is_empty() {
                *until = now + question.cost;
            }
            waiting.push(question);
        }
        for (until, waiting) in &mut self.askers {
            while !waiting.is_empty() && *until <= now {
                let question = waiting.remove(0);
                *until += waiting.first().map_or(Duration::ZERO, |next| next.cost);
                let named = question.minions.iter();
                let good = named.filter(|m| Self::allows(question.id.step, m));
                let good = good.map(|m| (m.clone(), "ticket".into())).collect();
                let advice = Some(Advice { good });
                cell.world.leader.advice_received(now, question.id, advice);
            }
        }
    }
}

/// What is seen of a lasting task.
#[derive(Clone, Copy, Debug)]
struct Sight {
    /// Port to which its last start was sent, and when.
    ordered: Option<(u16, Duration)>,
    /// Since when it has had no run beside room; reset by a run, and while its absence is excused.
    without_since: Duration,
}

/// A lasting job of one step.
struct Job {
    spec: StepSpec,
    queue: Queue,
    owner: Option<&'static str>,
    tasks: BTreeMap<u32, Sight>,
}

/// A host as it is seen.
#[derive(Clone, Copy, Debug)]
struct HostSight {
    is_sound: bool,
    since: Duration,
}

/// Watches lasting jobs while a cell runs.
pub struct Watch {
    jobs: BTreeMap<JobId, Job>,
    hosts: BTreeMap<u16, HostSight>,
    pub policy: Policy,
    orders_seen: usize,
    leader_since: Duration,
    /// Hosts that fail all runs.
    failing: BTreeSet<u16>,
    /// Until when hosts that failed all runs may get none.
    on_probation: BTreeMap<u16, Duration>,
    /// Whether the configuration in force has the service.
    pub is_configured: bool,
    /// Cores of the workspaces' limits.
    pub limits: BTreeMap<&'static str, u32>,
    /// Longest time without a run beside room, with its task.
    pub longest: (Duration, Option<(TaskId, Duration)>),
}

impl Watch {
    pub fn new(cell: &Cell, askers: usize) -> Self {
        let since = cell.world.now;
        let host = |port| {
            (
                port,
                HostSight {
                    is_sound: true,
                    since,
                },
            )
        };
        Self {
            jobs: BTreeMap::new(),
            hosts: cell.ports().into_iter().map(host).collect(),
            policy: Policy::new(askers),
            orders_seen: cell.orders.len(),
            leader_since: since,
            failing: BTreeSet::new(),
            on_probation: BTreeMap::new(),
            is_configured: true,
            limits: BTreeMap::new(),
            longest: (Duration::ZERO, None),
        }
    }

    /// Submits a lasting job of one step and watches it.
    pub fn submit(
        &mut self,
        cell: &mut Cell,
        job: JobId,
        owner: Option<&'static str>,
        queue: Queue,
        spec: StepSpec,
    ) {
        let sight = Sight {
            ordered: None,
            without_since: cell.world.now,
        };
        let tasks = (0..spec.count).map(|index| (index, sight)).collect();
        match owner {
            Some(owner) => cell.submit_for(owner, job, queue.clone(), vec![spec.clone()]),
            None => cell.submit_to(job, queue.clone(), vec![spec.clone()]),
        }
        let job_sight = Job {
            spec,
            queue,
            owner,
            tasks,
        };
        self.jobs.insert(job, job_sight);
    }

    /// Lets the minion at a port fail all its runs.
    pub fn fail(&mut self, cell: &mut Cell, port: u16) {
        if self.failing.len() < 2 {
            cell.failing.insert(port);
            self.failing.insert(port);
        }
    }

    /// Ends all failures of minions.
    pub fn mend_all(&mut self, cell: &mut Cell) {
        cell.failing.clear();
        let until = cell.world.now + PROBATION;
        let mended = std::mem::take(&mut self.failing).into_iter();
        self.on_probation.extend(mended.map(|port| (port, until)));
    }

    /// Records that the leader was replaced.
    pub fn leader_replaced(&mut self, now: Duration) {
        self.leader_since = now;
    }

    /// Advances the time in small parts and looks at all lasting tasks after each.
    pub fn run(&mut self, cell: &mut Cell, span: Duration) {
        let end = cell.world.now + span;
        while cell.world.now < end {
            cell.run(ms(20));
            self.read_orders(cell);
            self.look(cell);
        }
    }

    fn read_orders(&mut self, cell: &mut Cell) {
        let mut questions = Vec::new();
        for order in &cell.orders[self.orders_seen..] {
            match order {
                Order::Advise(question) => questions.push(question.clone()),
                Order::Minion(target, MinionOrder::Start(start)) => {
                    let job = self.jobs.get_mut(&start.task.step.job);
                    if let Some(sight) = job.and_then(|j| j.tasks.get_mut(&start.task.index)) {
                        sight.ordered = Some((target.addr.port(), cell.world.now));
                    }
                }
                _ => {}
            }
        }
        self.orders_seen = cell.orders.len();
        self.policy.serve(cell, questions);
    }

    fn look(&mut self, cell: &Cell) {
        let now = cell.world.now;
        for (port, host) in &mut self.hosts {
            let is_sound = cell.is_sound(*port);
            if is_sound != host.is_sound {
                *host = HostSight {
                    is_sound,
                    since: now,
                };
            }
        }
        let mut jobs = std::mem::take(&mut self.jobs);
        for (id, job) in &mut jobs {
            self.look_at(cell, *id, job);
        }
        self.jobs = jobs;
    }

    fn look_at(&mut self, cell: &Cell, id: JobId, job: &mut Job) {
        let now = cell.world.now;
        let step = first_step(id);
        let missing: Vec<u32> = job
            .tasks
            .keys()
            .copied()
            .filter(|index| cell.ports_of(step.task(*index)).is_empty())
            .collect();
        let has_room = !missing.is_empty()
            && self.slots(cell, step, job) >= 2 * needed(&job.spec)
            && self.within(cell, job);
        let gang_excused = job.spec.grouping == Grouping::Gang
            && job.tasks.values().any(|sight| self.is_excused(cell, sight));
        for (index, sight) in &mut job.tasks {
            let runs = !missing.contains(index);
            if runs || !has_room || gang_excused || self.is_excused(cell, sight) {
                sight.without_since = now;
                continue;
            }
            let without = now - sight.without_since;
            if without > self.longest.0 {
                self.longest = (without, Some((step.task(*index), now)));
            }
        }
    }

    /// Whether a run of a task may still be under way for all that the leader can know.
    fn is_excused(&self, cell: &Cell, sight: &Sight) -> bool {
        let now = cell.world.now;
        if now < self.leader_since + NOTICED_AFTER {
            return true;
        }
        let Some((port, at)) = sight.ordered else {
            return false;
        };
        let host = self.hosts[&port];
        let lost_since = host.since.max(self.leader_since).max(at);
        let may_run = !host.is_sound && now < lost_since + LONGEST_LEASE;
        let is_back = host.is_sound && now < host.since + NOTICED_AFTER;
        let may_start = now < at + LATE_ORDER;
        may_run || is_back || may_start
    }

    /// Number of tasks of a step that fit on sound hosts that suit it.
    fn slots(&self, cell: &Cell, step: StepId, job: &Job) -> usize {
        let now = cell.world.now;
        if !self.is_configured {
            return 0;
        }
        let per_host = |port: &u16| {
            let host = self.hosts[port];
            let settled = host.is_sound && now >= host.since + NOTICED_AFTER;
            let allowed = job.queue.advice.is_none() || Policy::allows(step, cell.name_of(*port));
            let probation = self.on_probation.get(port);
            let on_probation = probation.is_some_and(|until| now < *until);
            let labels = cell.labels.get(port);
            let label = job.spec.label.as_ref();
            let labelled =
                label.is_none_or(|label| labels.is_some_and(|labels| labels.contains(label)));
            if !settled || !allowed || !labelled || self.failing.contains(port) || on_probation {
                return 0;
            }
            let fits = cell
                .free_on(*port)
                .map_or(0, |free| job.spec.need.times_in(&free));
            let own = (0..job.spec.count).filter(|i| cell.ports_of(step.task(*i)).contains(port));
            let most = job.spec.max_per_minion.unwrap_or(u32::MAX);
            fits.min(most.saturating_sub(own.count() as u32)).min(1_000) as usize
        };
        self.hosts.keys().map(per_host).sum()
    }

    /// Whether the limit of its workspace leaves room for a job twice over.
    fn within(&self, cell: &Cell, job: &Job) -> bool {
        let Some(limit) = job.owner.and_then(|owner| self.limits.get(owner)) else {
            return true;
        };
        let used = cell.millicores_of_owner(job.owner.expect("it has a limit"));
        let tasks = needed(&job.spec) as u32;
        used + 2 * tasks * job.spec.need.millicores <= limit * 1_000
    }

    /// Lasting tasks that have no run although hosts that suit them have room for one or, for a gang,
    /// for all of it.
    pub fn without_runs(&self, cell: &Cell) -> Vec<TaskId> {
        let tasks = self.jobs.iter().flat_map(|(id, job)| {
            let step = first_step(*id);
            let has_room = self.slots(cell, step, job) >= needed(&job.spec);
            let indices = job.tasks.keys().filter(move |_| has_room);
            indices.map(move |index| step.task(*index))
        });
        tasks
            .filter(|task| cell.ports_of(*task).is_empty())
            .collect()
    }
}

/// Number of tasks of a step that have to start together.
fn needed(spec: &StepSpec) -> usize {
    match spec.grouping {
        Grouping::Single => 1,
        Grouping::Gang => spec.count as usize,
    }
}
