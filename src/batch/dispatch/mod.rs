//! The leader's decisions: which run goes where, what is renewed, stopped and believed.
//!
//! A pure state machine beside the ledger. Answers of minions and the present time go in; a
//! batch for the log and orders come out. Nothing that starts work leaves before its batch is
//! agreed. All of it is built anew by each leader from the ledger and from what minions list.

mod advice;
mod answers;
mod applied;
mod census;
mod claims;
mod crashes;
mod forecast;
mod gangs;
mod holds;
mod listings;
mod mechanisms;
mod minion;
mod objective;
mod order;
mod place;
mod profile;
mod prospects;
mod questions;
mod quota;
mod ready;
mod reports;
mod restarts;
mod run;
mod scarcity;
mod share;
mod speed;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::ledger::{Batch, Ledger, TaskRecord, TaskState};
use super::model::{Configuration, JobId, MinionNumber, MinionReport, StepId, TaskId};
use super::note::Note;
use crate::ids::{MinionId, ServiceName, Term, Timestamp};

use advice::Knowledge;
use crashes::Suspicion;
pub use mechanisms::{Mechanism, Mechanisms};
use minion::{CLOCK_RATE, Minion};
pub use order::{
    Advice, AdviceQuestion, Answer, ConfigOrder, HoldAnswer, HoldOrder, ListedEnd, ListedRun,
    Listing, MinionAnswer, MinionOrder, Order, OrderKind, QuestionId, Silence, StartOrder,
    StartRefusal, Target,
};
use ready::ReadyStep;
use run::{Run, RunState, StopState, charged};

/// Batches on the way to agreement at once. Two keep the log busy while one is synced; more
/// would only make smaller batches.
const MAX_BATCHES: usize = 2;
/// Two replicas' clocks and the log's delay add to the time for which an earlier leader's lease
/// must be assumed.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Time within which an order that brought no answer is carried out, if it ever is.
const STALE_ORDERS: Duration = Duration::from_secs(5);

/// Bounds of the platform that decisions depend on.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Longest lease a minion takes.
    pub lease_max: Duration,
    /// Longest time that a stopped run goes on.
    pub stop_time: Duration,
    /// Time that a run needs to go on from saved progress.
    pub restore_time: Duration,
    /// Mechanisms in use.
    pub mechanisms: Mechanisms,
}

/// The leader's volatile state.
pub struct Dispatcher {
    cfg: DispatchConfig,
    term: Term,
    /// When this leader's term began here.
    began: Timestamp,
    minions: BTreeMap<MinionNumber, Minion>,
    by_id: HashMap<MinionId, MinionNumber>,
    racks: HashMap<String, usize>,
    /// Services of the configuration in force; `None` while there is none.
    services: Option<BTreeSet<ServiceName>>,
    next_minion: MinionNumber,
    runs: BTreeMap<TaskId, Run>,
    ready: BTreeMap<StepId, ReadyStep>,
    /// Steps that wait only for tasks which are all under way.
    coming: BTreeMap<StepId, ReadyStep>,
    dirty_jobs: BTreeSet<JobId>,
    knowledge: BTreeMap<StepId, Knowledge>,
    /// Questions on the way to the policy service.
    questions: questions::Questions,
    /// When steps that were passed over are looked for again.
    passed_over_at: Timestamp,
    /// Processes that can ask.
    agents: usize,
    /// Runs that were told to stop and hold their room still.
    leaving: BTreeSet<TaskId>,
    /// Room of all minions by priority of the work, and when it was reckoned.
    rooms: HashMap<u32, (Timestamp, prospects::Rooms)>,
    /// How full each service is.
    levels: scarcity::Levels,
    /// What minions' runs should give back, and when that was reckoned.
    releases: RefCell<HashMap<MinionNumber, (Timestamp, forecast::Releases)>>,
    /// Limits of workspaces, and what counts against them.
    quotas: quota::Quotas,
    /// Jobs beyond what their workspaces may count on.
    shares: share::Shares,
    /// Room kept for tasks that wait, in the present round.
    claims: claims::Claims,
    /// What the next batch will hold.
    batch: Batch,
    /// Minions that something happened to since they were last tended.
    touched: BTreeSet<MinionNumber>,
    /// When all minions are looked at next.
    tend_at: Timestamp,
    /// Minions with ends that are taken and not acknowledged.
    unacknowledged: BTreeSet<MinionNumber>,
    /// Ends taken from minions, by batch on its way; they are acknowledged once it is agreed.
    batches: VecDeque<Vec<(MinionNumber, u64)>>,
    /// When a line about unreadable rows was last written.
    unreadable_told: Option<Timestamp>,
    /// Something that placement depends on has changed.
    place_wanted: bool,
    /// When placement may be tried again because something changed.
    place_not_before: Timestamp,
    /// When placement should be tried again although nothing changed.
    place_at: Timestamp,
    /// Occurrences that come due, by Unix time.
    timetable: BTreeSet<(Timestamp, JobId, u32)>,
    /// When the state of the cell is told next.
    census_at: Timestamp,
    /// Highest number, which is the least urgent, among the priorities seen so far.
    least_urgent: u32,
    /// Run times over all minions.
    speeds: speed::Common,
    /// Run times of each queue.
    profiles: profile::Profiles,
    /// Run times seen in steps of open jobs.
    observed: BTreeMap<StepId, objective::Observed>,
    /// Room of each service.
    capacities: objective::Capacities,
    out: Vec<Order>,
}

impl Dispatcher {
    /// The state of a leader that has just begun.
    pub fn new(cfg: DispatchConfig, term: Term, ledger: &Ledger, now: Timestamp) -> Self {
        let mut d = Self {
            cfg,
            term,
            began: now,
            minions: BTreeMap::new(),
            by_id: HashMap::new(),
            racks: HashMap::new(),
            services: ledger.config.as_ref().map(|c| services_of(&c.parsed)),
            next_minion: ledger.next_minion,
            runs: BTreeMap::new(),
            ready: BTreeMap::new(),
            coming: BTreeMap::new(),
            dirty_jobs: BTreeSet::new(),
            knowledge: BTreeMap::new(),
            questions: questions::Questions::default(),
            passed_over_at: now,
            agents: 1,
            leaving: BTreeSet::new(),
            rooms: HashMap::new(),
            levels: scarcity::Levels::default(),
            releases: RefCell::new(HashMap::new()),
            quotas: quota::Quotas::default(),
            shares: share::Shares::default(),
            claims: claims::Claims::default(),
            batch: Batch::default(),
            touched: BTreeSet::new(),
            tend_at: now,
            unacknowledged: BTreeSet::new(),
            batches: Default::default(),
            unreadable_told: None,
            place_wanted: true,
            place_not_before: now,
            place_at: now,
            timetable: BTreeSet::new(),
            census_at: now,
            least_urgent: 0,
            speeds: speed::Common::default(),
            profiles: profile::Profiles::default(),
            observed: BTreeMap::new(),
            capacities: objective::Capacities::default(),
            out: Vec::new(),
        };
        let assumed = now + longest_on_our_clock(d.cfg.lease_max);
        for (number, record) in &ledger.minions {
            let mut minion = Minion::new(*number, record.report.clone(), now);
            minion.draining |= record.draining;
            minion.assumed_until = assumed;
            d.add_minion(minion);
        }
        d.renew_limits(ledger);
        d.restore_hand_ins(ledger);
        for job in ledger.jobs.values() {
            d.profiles.declared(job);
        }
        for id in ledger.jobs.keys() {
            d.restore_job(ledger, *id, now);
        }
        d.out.push(Order::Note(Box::new(Note::LeadBegan {
            term,
            runs: d.runs.len(),
            jobs: ledger.jobs.values().filter(|j| !j.state.is_final()).count(),
            config: ledger.config.as_ref().map_or(0, |c| c.version),
        })));
        d
    }

    /// Takes from when on minions are known to leave, by this replica's clock.
    ///
    /// An earlier leader that was told so gave them short leases from then on; only what it gave
    /// before can last longer. Without this a new leader takes the longest lease for each silent
    /// minion, and tasks of one whose last word was lost with the leader are away for all of it.
    pub fn assume_leaving(&mut self, now: Timestamp, since: &BTreeMap<MinionNumber, Timestamp>) {
        for (number, told) in since {
            if let Some(minion) = self.minions.get_mut(number) {
                let before = *told + longest_on_our_clock(self.cfg.lease_max);
                let after = now + longest_on_our_clock(holds::LEAVING_LEASE);
                minion.assumed_until = minion.assumed_until.min(before.max(after));
            }
        }
    }

    fn restore_job(&mut self, ledger: &Ledger, id: JobId, now: Timestamp) {
        let job = &ledger.jobs[&id];
        let stop = if job.state.is_final() {
            StopState::Due(now)
        } else {
            StopState::No
        };
        for (occurrence, step, index, task, number) in job.active() {
            let task_id = TaskId {
                step: StepId {
                    job: id,
                    occurrence,
                    step,
                },
                index,
            };
            let spec = &job.spec.steps[usize::from(step)];
            let checkpoint = task.checkpoint.clone();
            let mut run = Run::new(task.run, number, (spec, &job.queue), checkpoint, now);
            run.state = RunState::InDoubt;
            run.stop = stop;
            run.owner = job.owner.clone();
            self.add_run(task_id, run);
        }
        if !job.state.is_final() {
            self.dirty_jobs.insert(id);
            self.schedule_next(ledger, id);
        }
    }

    /// Takes a new incarnation in, and has that agreed.
    fn join(&mut self, minion: Minion) {
        let report = minion.report.clone();
        self.batch.joined.push((minion.number, report));
        self.add_minion(minion);
    }

    fn add_minion(&mut self, mut minion: Minion) {
        minion.foreign = self.is_foreign(&minion.report.service);
        minion.rack = self.rack_of(&minion.report);
        self.next_minion = self.next_minion.max(minion.number + 1);
        self.by_id.insert(minion.report.id.clone(), minion.number);
        self.touched.insert(minion.number);
        self.levels.changed();
        self.minions.insert(minion.number, minion);
    }

    /// Number of the rack that a minion stands in.
    fn rack_of(&mut self, report: &MinionReport) -> usize {
        let rack = report.labels.iter().find(|l| is_rack(l));
        let rack = rack.map_or_else(String::new, ToString::to_string);
        let next = self.racks.len();
        *self.racks.entry(rack).or_insert(next)
    }

    /// Forgets what is known of an incarnation that was taken out.
    fn forget_minion(&mut self, minion: &Minion) {
        if self.by_id.get(&minion.report.id) == Some(&minion.number) {
            self.by_id.remove(&minion.report.id);
        }
        self.unacknowledged.remove(&minion.number);
        self.forget_releases(minion.number);
        self.discharge(&minion.strays);
        self.batch.gone.push(minion.number);
    }

    fn is_foreign(&self, service: &ServiceName) -> bool {
        let services = self.services.as_ref();
        services.is_some_and(|services| !services.contains(service))
    }

    /// Takes the services of a configuration that has come in force.
    fn set_services(&mut self, config: &Configuration) {
        let services = services_of(config);
        for minion in self.minions.values_mut() {
            minion.foreign = !services.contains(&minion.report.service);
        }
        self.services = Some(services);
    }

    fn add_run(&mut self, id: TaskId, run: Run) {
        self.forget_releases(run.minion);
        self.touched.insert(run.minion);
        self.levels.changed();
        if let Some(minion) = self.minions.get_mut(&run.minion) {
            minion.used = minion.used.saturating_add(&run.need);
            minion.filling += run.fills;
            minion.serving += u32::from(run.serves);
            minion.trials += u32::from(run.suspicion == Suspicion::Trial);
            minion.runs.insert(id);
        }
        if let Some(charge) = run.charge(id) {
            self.quotas.add(charge);
        }
        if run.is_leaving() {
            self.leaving.insert(id);
        }
        self.least_urgent = self.least_urgent.max(run.priority);
        self.runs.insert(id, run);
    }

    /// Forgets a run and frees its room.
    fn remove_run(&mut self, id: TaskId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.leaving.remove(&id);
        self.free_room(id, &run);
        self.dirty_jobs.insert(id.step.job);
        Some(run)
    }

    fn free_room(&mut self, id: TaskId, run: &Run) {
        self.forget_releases(run.minion);
        if let Some(charge) = run.charge(id) {
            self.quotas.remove(charge);
        }
        if let Some(minion) = self.minions.get_mut(&run.minion)
            && minion.runs.remove(&id)
        {
            minion.used = minion.used.saturating_sub(&run.need);
            minion.filling -= run.fills;
            minion.serving -= u32::from(run.serves);
            minion.trials -= u32::from(run.suspicion == Suspicion::Trial);
            self.levels.changed();
            self.place_wanted = true;
        }
    }

    fn note(&mut self, note: Note) {
        self.out.push(Order::Note(Box::new(note)));
    }

    /// Decides what is due; gives what should be proposed to the log. `unix` is the time of day.
    pub fn decide(&mut self, now: Timestamp, unix: Timestamp, ledger: &Ledger) -> Option<Batch> {
        self.begin_due_occurrences(unix);
        self.renew_capacities(now);
        self.renew_ready(now, ledger);
        self.tend_minions(now);
        let may_propose = self.batches.len() < MAX_BATCHES;
        let wanted = self.place_wanted && now >= self.place_not_before;
        if may_propose && (wanted || now >= self.place_at) {
            self.place(now, unix, ledger);
        }
        self.send_stops(now);
        self.take_census(now, unix);
        if may_propose { self.cut_batch() } else { None }
    }

    fn cut_batch(&mut self) -> Option<Batch> {
        let batch = std::mem::take(&mut self.batch);
        let seen = self
            .unacknowledged
            .iter()
            .filter_map(|number| self.minions.get(number))
            .map(|m| (m.number, m.seen_end))
            .collect();
        if batch.is_empty() {
            if self.batches.is_empty() {
                self.acknowledge(seen);
            }
            return None;
        }
        self.batches.push_back(seen);
        Some(batch)
    }

    /// Ends are acknowledged only once they are agreed: a minion forgets what is acknowledged,
    /// so an end that only this process knew would be lost with it and its task run again.
    fn acknowledge(&mut self, seen: Vec<(MinionNumber, u64)>) {
        for (number, end) in seen {
            if let Some(minion) = self.minions.get_mut(&number) {
                minion.acked_end = minion.acked_end.max(end);
                if minion.acked_end < minion.seen_end {
                    continue;
                }
            }
            self.unacknowledged.remove(&number);
        }
    }

    fn begin_due_occurrences(&mut self, unix: Timestamp) {
        while let Some((due, job, occurrence)) = self.timetable.first().copied()
            && due <= unix
        {
            self.timetable.pop_first();
            self.batch.due.push((job, occurrence));
        }
    }

    fn schedule_next(&mut self, ledger: &Ledger, id: JobId) {
        let Some(job) = ledger.jobs.get(&id) else {
            return;
        };
        let Some(timetable) = job.spec.timetable else {
            return;
        };
        if job.begun < timetable.occurrences {
            self.timetable
                .insert((timetable.due(job.begun), id, job.begun));
        }
    }

    /// Hands out what must be done outside, in order.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.out)
    }

    /// Whether something is waiting to be handed out.
    pub fn has_orders(&self) -> bool {
        !self.out.is_empty()
    }

    /// The record of a task that waits and of which no run is tracked.
    fn startable<'a>(&self, ledger: &'a Ledger, id: TaskId) -> Option<&'a TaskRecord> {
        let task = ledger.task(id)?;
        let waits = task.state == TaskState::Waiting && !self.runs.contains_key(&id);
        waits.then_some(task)
    }
}

/// How long a lease of a minion may last on our clock, which another replica's may differ from.
fn longest_on_our_clock(lease: Duration) -> Duration {
    lease.mul_f64(1.0 / CLOCK_RATE) + LEASE_MARGIN
}

fn services_of(config: &Configuration) -> BTreeSet<ServiceName> {
    config.services.iter().map(|s| s.name.clone()).collect()
}

/// Racks are labels such as `r1-3`; kinds are single letters.
fn is_rack(label: &str) -> bool {
    label.starts_with('r') && label.contains('-')
}
