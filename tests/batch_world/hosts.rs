//! Minions that act by themselves: they run tasks to their end, crash, and start again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use yuccahold::batch::dispatch::{
    Answer, HoldAnswer, HoldOrder, MinionAnswer, MinionOrder, Order, OrderKind, Silence,
    StartOrder, StartRefusal, Target,
};
use yuccahold::batch::model::{
    EndKind, Grouping, JobId, JobState, Lifetime, MinionNumber, MinionReport, Queue, StepSpec,
    TaskId,
};
use yuccahold::resources::Resources;

use super::life::{Life, Pending};
use super::limits::Limits;
use super::{World, ms, report};

const TICK: Duration = ms(5);
const HEARTBEAT: Duration = ms(500);
/// Time from a start to the crash of its minion.
const CRASHES_AFTER: Duration = ms(10);
/// Time until a call that nobody answers is given up.
const CALL_TIMEOUT: Duration = ms(200);
/// Time from a change of leaders until starts count against what a task may have.
const STEADY_AFTER: Duration = ms(3_000);
/// Time for an answer to come back.
const WAY_BACK: Duration = ms(2);

/// What becomes of the answer to a start that crashes its minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    Delivered,
    Lost,
}

/// Under which name a minion starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    NewName,
    SameName,
}

struct Host {
    port: u16,
    name: String,
    capacity: Resources,
    lives: u32,
    sequence: u64,
    reports_at: Duration,
    life: Option<Life>,
    back_at: Duration,
}

struct Delivery {
    at: Duration,
    minion: MinionNumber,
    kind: OrderKind,
    sent: Duration,
    answer: MinionAnswer,
}

/// An order that is carried out late, by whoever has the name then.
struct LateOrder {
    at: Duration,
    target: Target,
    order: MinionOrder,
}

/// A leader and hosts, each with one minion after the other.
pub struct Cell {
    pub world: World,
    hosts: BTreeMap<u16, Host>,
    deliveries: VecDeque<Delivery>,
    late: Vec<LateOrder>,
    /// Tasks that crash each minion that starts them.
    pub crashers: BTreeSet<TaskId>,
    pub start_answer: StartAnswer,
    pub restart: Restart,
    /// Time from a crash to the next incarnation.
    pub away: Duration,
    /// Further time that lists take on their way.
    pub lists_late_by: Duration,
    /// Time after which starts sent now are carried out, not answered; zero to carry them out.
    pub starts_late_by: Duration,
    /// Time from the start of an incarnation to its first report.
    pub reports_late_by: Duration,
    /// Starts of each task.
    pub starts: BTreeMap<TaskId, u32>,
    /// Starts of each task after three minions had crashed under it, by a leader that had led for a
    /// while.
    pub starts_too_many: BTreeMap<TaskId, u32>,
    led_since: Duration,
    /// Minions that crashed under each task.
    pub crashes: BTreeMap<TaskId, u32>,
    /// Minions that crashed.
    pub crashed: u32,
    /// Promises that were broken.
    pub broken: Vec<String>,
    done: BTreeSet<TaskId>,
    specs: BTreeMap<JobId, Vec<StepSpec>>,
    pub limits: Limits,
}

impl Cell {
    /// Hosts of 32 cores at these ports, all of them up and held.
    pub fn new(ports: std::ops::Range<u16>) -> Self {
        let mut cell = Self {
            world: World::new(),
            hosts: BTreeMap::new(),
            deliveries: VecDeque::new(),
            late: Vec::new(),
            crashers: BTreeSet::new(),
            start_answer: StartAnswer::Delivered,
            restart: Restart::NewName,
            away: ms(3_000),
            lists_late_by: Duration::ZERO,
            starts_late_by: Duration::ZERO,
            reports_late_by: Duration::ZERO,
            starts: BTreeMap::new(),
            starts_too_many: BTreeMap::new(),
            led_since: Duration::ZERO,
            crashes: BTreeMap::new(),
            crashed: 0,
            broken: Vec::new(),
            done: BTreeSet::new(),
            specs: BTreeMap::new(),
            limits: Limits::default(),
        };
        for port in ports {
            let host = Host {
                port,
                name: format!("i-{port}-0"),
                capacity: report("", port).capacity,
                lives: 0,
                sequence: 0,
                reports_at: cell.world.now,
                life: Some(Life::new(cell.world.now)),
                back_at: Duration::ZERO,
            };
            cell.hosts.insert(port, host);
        }
        cell.run(ms(100));
        cell
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.tick();
        }
    }

    /// Lets time pass until `condition` holds; gives the time it took.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) -> Duration {
        let begun = self.world.now;
        while !condition(self) {
            let waited = self.world.now - begun;
            assert!(waited < ms(120_000), "waited too long for {what}");
            self.tick();
        }
        self.world.now - begun
    }

    /// A job is handed in.
    pub fn submit(&mut self, job: JobId, steps: Vec<StepSpec>) {
        self.specs.insert(job, steps.clone());
        self.world.submit(job, steps);
    }

    /// A job of a workspace is handed in.
    pub fn submit_for(
        &mut self,
        owner: &'static str,
        job: JobId,
        queue: Queue,
        steps: Vec<StepSpec>,
    ) {
        self.specs.insert(job, steps.clone());
        self.limits.owners.insert(job, owner);
        self.world.submit_for(owner, job, queue, steps);
    }

    /// Limits come in force, in cores.
    pub fn limit(&mut self, version: u64, limits: &[(&'static str, u32)]) {
        self.limits.set(self.world.now, limits);
        self.world.limit(version, limits);
    }

    /// Another leader takes over; answers to the earlier one are lost with it.
    pub fn new_leader(&mut self, term: u64) {
        self.deliveries.clear();
        self.led_since = self.world.now;
        for host in self.hosts.values_mut() {
            if let Some(life) = &mut host.life {
                life.pending = None;
            }
        }
        self.world.new_leader(term);
    }

    pub fn state(&self, job: JobId) -> Option<JobState> {
        self.world.ledger.job_state(job)
    }

    /// A job is done, or given up after two minions have crashed under one of its tasks.
    pub fn assert_done_or_given_up(&self, job: JobId, seed: u64) {
        let state = self.state(job);
        let crashes = self.crashes.iter().filter(|(t, _)| t.step.job == job);
        let most = crashes.map(|(_, n)| *n).max().unwrap_or_default();
        let given_up = state == Some(JobState::Failed) && most >= 2;
        let wanted = state == Some(JobState::Done) || given_up;
        assert!(wanted, "seed {seed}: {job:x} is {state:?}, {most} crashes");
    }

    /// Ports of the hosts on which a task runs.
    pub fn ports_of(&self, task: TaskId) -> Vec<u16> {
        let runs = |host: &&Host| host.life.as_ref().is_some_and(|life| life.runs(task));
        self.hosts.values().filter(runs).map(|h| h.port).collect()
    }

    /// What the minion at a port says of itself now; may be delivered later.
    pub fn report_of(&mut self, port: u16) -> Option<MinionReport> {
        let now = self.world.now;
        let host = self.hosts.get_mut(&port)?;
        let life = host.life.as_ref()?;
        host.sequence += 1;
        Some(MinionReport {
            started: Some(life.started()),
            capacity: host.capacity,
            clock: life.clock(now),
            sequence: host.sequence,
            ..report(&host.name, port)
        })
    }

    /// The capacity of the minion at a port changes when it starts again.
    pub fn resize(&mut self, port: u16, capacity: Resources) {
        if let Some(host) = self.hosts.get_mut(&port) {
            host.capacity = capacity;
        }
    }

    /// A minion crashes without any task's doing.
    pub fn crash(&mut self, port: u16) {
        let now = self.world.now;
        let Some(host) = self.hosts.get_mut(&port) else {
            return;
        };
        let Some(life) = host.life.take() else { return };
        host.back_at = now + self.away;
        self.crashed += 1;
        for task in life.tasks() {
            *self.crashes.entry(task).or_default() += 1;
            self.break_gang(task);
        }
        if let Some(hold) = life.pending {
            let answer = MinionAnswer::Hold(HoldAnswer::Silent(Silence::Broken));
            self.answer(now + WAY_BACK, hold.to, OrderKind::Hold, hold.sent, answer);
        }
    }

    /// The other members of a gang end with one that is lost.
    fn break_gang(&mut self, lost: TaskId) {
        let spec = &self.specs[&lost.step.job][usize::from(lost.step.step)];
        if spec.grouping != Grouping::Gang {
            return;
        }
        for life in self.hosts.values_mut().filter_map(|h| h.life.as_mut()) {
            let members: Vec<_> = life.tasks().filter(|t| t.step == lost.step).collect();
            for member in members {
                life.end(member, EndKind::Broken);
            }
        }
    }

    fn tick(&mut self) {
        self.world.now += TICK;
        let now = self.world.now;
        for port in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.act(port, now);
        }
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at <= now);
        self.late = later;
        let due: Vec<LateOrder> = due;
        for late in due {
            self.carry_out(now, &late.target, &late.order);
        }
        self.deliver(now);
        self.world.decide();
        for order in std::mem::take(&mut self.world.orders) {
            if let Order::Minion(target, order) = order {
                self.send(now, target, order);
            }
        }
    }

    /// What a host does by itself.
    fn act(&mut self, port: u16, now: Duration) {
        let crashes = |life: &Life| life.crashes_at.is_some_and(|at| at <= now);
        if self.hosts[&port].life.as_ref().is_some_and(crashes) {
            self.crash(port);
        }
        let (restart, reports_late_by) = (self.restart, self.reports_late_by);
        let Some(host) = self.hosts.get_mut(&port) else {
            return;
        };
        if host.life.is_none() && now >= host.back_at {
            host.life = Some(Life::new(now));
            host.lives += 1;
            if restart == Restart::NewName {
                host.name = format!("i-{port}-{}", host.lives);
            }
            host.sequence = 0;
            host.reports_at = now + reports_late_by;
        }
        if host.life.is_some() && now >= host.reports_at {
            host.reports_at = now + HEARTBEAT;
            let report = self.report_of(port).expect("it is up");
            self.world.leader.report(now, report);
        }
        let life = self.hosts.get_mut(&port).and_then(|h| h.life.as_mut());
        let Some(life) = life else { return };
        life.pass(now);
        let has_ends = life.has_ends();
        if let Some(hold) = life.pending.take_if(|h| has_ends || h.until <= now) {
            self.answer_hold(port, now, &hold);
        }
    }

    fn deliver(&mut self, now: Duration) {
        let due: Vec<_> = self.deliveries.iter().map(|d| d.at <= now).collect();
        for is_due in due {
            let Some(delivery) = self.deliveries.pop_front() else {
                return;
            };
            if !is_due {
                self.deliveries.push_back(delivery);
                continue;
            }
            let (minion, sent) = (delivery.minion, delivery.sent);
            let (kind, answer) = (delivery.kind, delivery.answer);
            let ledger = &self.world.ledger;
            let leader = &mut self.world.leader;
            leader.answered(now, minion, &kind, sent, answer, ledger);
        }
    }

    fn answer(
        &mut self,
        at: Duration,
        minion: MinionNumber,
        kind: OrderKind,
        sent: Duration,
        answer: MinionAnswer,
    ) {
        self.deliveries.push_back(Delivery {
            at,
            minion,
            kind,
            sent,
            answer,
        });
    }

    fn send(&mut self, now: Duration, target: Target, order: MinionOrder) {
        let is_start = matches!(order, MinionOrder::Start(_));
        let up = self.hosts[&target.addr.port()].life.is_some();
        if is_start && up && !self.starts_late_by.is_zero() {
            let lost = MinionAnswer::Order(Answer::Silent(Silence::Lost));
            self.answer(now + CALL_TIMEOUT, target.minion, order.kind(), now, lost);
            let at = now + self.starts_late_by;
            self.late.push(LateOrder { at, target, order });
            return;
        }
        if let Some((after, answer)) = self.carry_out(now, &target, &order) {
            self.answer(now + after, target.minion, order.kind(), now, answer);
        }
    }

    /// Carries an order out; gives the answer and the time it takes, none for a hold that waits.
    fn carry_out(
        &mut self,
        now: Duration,
        target: &Target,
        order: &MinionOrder,
    ) -> Option<(Duration, MinionAnswer)> {
        let port = target.addr.port();
        let host = self.hosts.get_mut(&port)?;
        let Some(life) = &mut host.life else {
            let silence = match order {
                MinionOrder::Hold(_) => MinionAnswer::Hold(HoldAnswer::Silent(Silence::Lost)),
                _ => MinionAnswer::Order(Answer::Silent(Silence::Lost)),
            };
            return Some((CALL_TIMEOUT, silence));
        };
        let other = host.name != target.id.as_str();
        match order {
            MinionOrder::Hold(_) if other => {
                Some((WAY_BACK, MinionAnswer::Hold(HoldAnswer::OtherIncarnation)))
            }
            _ if other => Some((WAY_BACK, MinionAnswer::Order(Answer::OtherIncarnation))),
            MinionOrder::Start(start) => Some(self.begin(now, port, start)),
            MinionOrder::Stop { task, run, token } => {
                let answer = if life.admits(*token) {
                    life.stop(now, *task, *run)
                } else {
                    let clock = Some(life.clock(now));
                    let why = StartRefusal::Fenced;
                    Answer::Refused { clock, why }
                };
                Some((WAY_BACK, MinionAnswer::Order(answer)))
            }
            MinionOrder::Hold(hold) => {
                if !life.admits(hold.token) {
                    return Some((WAY_BACK, MinionAnswer::Hold(HoldAnswer::Refused)));
                }
                self.hold(now, port, target.minion, hold);
                None
            }
        }
    }

    fn begin(&mut self, now: Duration, port: u16, start: &StartOrder) -> (Duration, MinionAnswer) {
        let task = start.task;
        let spec = &self.specs[&task.step.job][usize::from(task.step.step)];
        let crasher = self.crashers.contains(&task);
        let ends = spec.lifetime == Lifetime::Finite && !crasher;
        let ends_at = ends.then_some(now + spec.estimate);
        let elsewhere = self.ports_of(task);
        let host = self.hosts.get_mut(&port).expect("a known host");
        let life = host.life.as_mut().expect("it is up");
        let (begun, answer) = life.begin(now, start, spec.need, ends_at);
        if !begun {
            return (WAY_BACK, MinionAnswer::Order(answer));
        }
        if crasher {
            life.crashes_at = Some(now + CRASHES_AFTER);
        }
        let (used, capacity) = (life.used(), host.capacity);
        *self.starts.entry(task).or_default() += 1;
        let steady = now >= self.led_since + STEADY_AFTER;
        if steady && self.crashes.get(&task).is_some_and(|n| *n >= 3) {
            *self.starts_too_many.entry(task).or_default() += 1;
        }
        let lives = self.hosts.values().filter_map(|host| host.life.as_ref());
        self.broken.extend(self.limits.exceeded(now, task, lives));
        let run = start.run;
        if !elsewhere.is_empty() {
            let text = format!("{task} run {run} on {port} beside one on {elsewhere:?}");
            self.broken.push(text);
        }
        if self.done.contains(&task) {
            self.broken
                .push(format!("{task} run {run} after it was done"));
        }
        if !used.fits_in(&capacity) {
            self.broken
                .push(format!("{task} brings {port} to {used:?} of {capacity:?}"));
        }
        if crasher && self.start_answer == StartAnswer::Lost {
            let lost = MinionAnswer::Order(Answer::Silent(Silence::Lost));
            return (CALL_TIMEOUT, lost);
        }
        (WAY_BACK, MinionAnswer::Order(answer))
    }

    fn hold(&mut self, now: Duration, port: u16, to: MinionNumber, hold: &HoldOrder) {
        let life = self.hosts.get_mut(&port).and_then(|h| h.life.as_mut());
        let life = life.expect("it is up");
        self.done.extend(life.hold(now, hold.acked, hold.deadline));
        let pending = Pending {
            sent: now,
            until: now + hold.wait,
            to,
        };
        if !life.has_ends() && !hold.wait.is_zero() {
            life.pending = Some(pending);
        } else {
            self.answer_hold(port, now, &pending);
        }
    }

    fn answer_hold(&mut self, port: u16, now: Duration, hold: &Pending) {
        let Some(life) = &self.hosts[&port].life else {
            return;
        };
        let answer = MinionAnswer::Hold(HoldAnswer::Listing(life.listing(now)));
        let at = now + WAY_BACK + self.lists_late_by;
        self.answer(at, hold.to, OrderKind::Hold, hold.sent, answer);
    }
}
