//! The leader's scheduler: placement of tasks, leases of minions, stops, and ends of runs.
//!
//! A state machine without I/O beside the ledger. Its input is the current time and the answers of
//! minions; its output is a batch for the log and a list of orders. An order that starts work is
//! sent only after its batch is committed. Each new leader rebuilds this state from the ledger and
//! from the listings of the minions.

mod admission;
mod advice;
mod answers;
mod applied;
mod batches;
mod cell_report;
mod copies;
mod copy_runs;
mod crash_sites;
mod crashes;
mod departures;
mod excess;
mod expected_losses;
mod forecast;
mod gang_failures;
mod gangs;
mod health;
mod holds;
mod job_reasons;
mod lasting_waits;
mod late_starts;
mod listings;
mod mechanisms;
mod minion;
mod objective;
mod order;
mod pacing;
mod place;
mod places;
mod profile;
mod proposals;
mod question_candidates;
mod questions;
mod quota;
mod ready;
mod reports;
mod reservations;
mod restarts;
mod room_index;
mod roster;
mod routes;
mod run;
mod service_load;
mod sharing;
mod speed;
mod throughput;
mod timers;
mod utilization;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::drain_times::DrainTimes;
use super::event::Event;
use super::ledger::{Batch, Ledger};
use super::model::{JobId, MinionNumber, RunNumber, StepId, TaskId};
use crate::ids::{MinionId, ServiceName, Term, Timestamp};

pub use admission::{Submission, Verdict};
use advice::StepAdvice;
use crashes::Suspicion;
pub use mechanisms::{Mechanism, Mechanisms};
use minion::{CLOCK_RATE, Minion};
pub use order::{
    Advice, AdviceQuestion, Answer, CallFailure, ConfigOrder, HoldAnswer, HoldOrder, ListedEnd,
    ListedRun, Listing, MinionAnswer, MinionOrder, ORDER_TIMEOUT, Order, OrderKind, QuestionId,
    StartOrder, StartRefusal, Target,
};
use ready::ReadyStep;
use run::{Run, RunState, StopState, demand};

/// Uncommitted batches at a time. Two keep the log busy while one is synced to disk; more would
/// only make the batches smaller.
const MAX_UNCOMMITTED_BATCHES: usize = 2;
/// Added to the longest lease that an earlier leader may have granted, for the difference between
/// two replicas' clocks and the delay of the log.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// An unanswered order is not carried out any more after this time.
const ORDER_EXPIRY: Duration = Duration::from_secs(5);

/// Limits of the platform, and the optional mechanisms in use.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Longest lease that a minion accepts.
    pub lease_max: Duration,
    /// Longest time for which a run continues after its stop order.
    pub stop_time: Duration,
    /// Time from an order that sets the speed of a run until it has its effect.
    pub pace_delay: Duration,
    /// Longest time for which tasks that use idle CPU may keep another over its latency target.
    pub interference_max: Duration,
    /// Time that a run needs to resume from a checkpoint.
    pub restore_time: Duration,
    /// Optional parts of the scheduler that are switched on.
    pub mechanisms: Mechanisms,
}

/// Scheduling state of the current leader, kept in memory only.
pub struct Dispatcher {
    cfg: DispatchConfig,
    term: Term,
    /// Start of this leader's term, by the local clock.
    began: Timestamp,
    minions: BTreeMap<MinionNumber, Minion>,
    by_id: HashMap<MinionId, MinionNumber>,
    by_addr: HashMap<SocketAddr, Vec<MinionNumber>>,
    /// All minions by their free resources.
    rooms: room_index::RoomIndex,
    racks: HashMap<String, usize>,
    /// Services of the configuration in force; `None` while there is none.
    services: Option<BTreeSet<ServiceName>>,
    /// Queues of the configuration in force.
    routes: routes::Routes,
    /// Jobs at the last report whose service is not configured.
    unservable: usize,
    next_minion: MinionNumber,
    runs: BTreeMap<TaskId, Run>,
    ready: BTreeMap<StepId, ReadyStep>,
    /// Steps whose unfinished predecessor tasks are all running.
    upcoming: BTreeMap<StepId, ReadyStep>,
    dirty_jobs: BTreeSet<JobId>,
    step_advice: BTreeMap<StepId, StepAdvice>,
    /// Unanswered questions to the policy service.
    questions: questions::Questions,
    /// Time of the next search for steps that went without a question for too long.
    passed_over_at: Timestamp,
    /// Processes that can send questions to the policy service.
    agents: usize,
    /// Runs that are being stopped and still occupy their resources.
    stopping: BTreeSet<TaskId>,
    /// Runs that use idle CPU and may not have the wanted speed.
    unsettled_speeds: BTreeSet<TaskId>,
    /// Resources of minions that work of some priority could get.
    availabilities: question_candidates::Availabilities,
    /// Utilization of each service.
    utilizations: utilization::Utilizations,
    /// Expected releases of resources on each minion, with the time of their computation.
    releases: RefCell<HashMap<MinionNumber, (Timestamp, forecast::Releases)>>,
    /// Limits and usage of workspaces.
    quotas: quota::Quotas,
    /// Jobs submitted above the weights of their workspaces.
    excess: excess::ExcessJobs,
    /// Load and refused callers, for the admission of jobs.
    admission: admission::AdmissionState,
    /// Lasting tasks that are about to lose their runs.
    expected_losses: expected_losses::ExpectedLosses,
    /// Lasting tasks whose runs lapsed; their ends may not be committed.
    lapsing: BTreeSet<TaskId>,
    /// Lasting tasks without a run, at the last report.
    without_run: lasting_waits::WithoutRun,
    /// Minions that may be silent; all that are.
    silent: BTreeSet<MinionNumber>,
    /// Tasks that wait until an unanswered start order for them has expired.
    late_starts: late_starts::LateStarts,
    /// Runs that may get copies, and copies.
    copies: copies::Copies,
    /// Resources reserved for waiting tasks in the current placement round.
    reservations: reservations::Reservations,
    /// Changes collected for the next batch.
    batch: Batch,
    /// Minions whose state changed since their last maintenance.
    changed_minions: BTreeSet<MinionNumber>,
    /// When minions are due for maintenance without such a change.
    timers: timers::Timers,
    /// Minions whose first hold of this leader is due, those with runs first.
    awaiting_first_hold: BTreeSet<(bool, MinionNumber)>,
    /// Minions whose first hold of this leader is not answered.
    first_holds: BTreeSet<MinionNumber>,
    /// Minions with ends that were received and are not acknowledged.
    unacknowledged: BTreeSet<MinionNumber>,
    /// One entry for each uncommitted batch: the last end received from each minion. These are
    /// acknowledged on commit.
    uncommitted_ends: VecDeque<Vec<(MinionNumber, u64)>>,
    /// When a minion was last found to have crashed by no run that had just started.
    crashed_without_suspects: Option<Timestamp>,
    /// Addresses at which minions have crashed of late.
    crash_sites: crash_sites::CrashSites,
    /// Failed runs of gangs in uncommitted batches.
    uncommitted_gang_failures: BTreeSet<(StepId, RunNumber)>,
    /// Time of the last log line about unreadable rows.
    unreadable_logged_at: Option<Timestamp>,
    /// Set when something that placement depends on has changed.
    placement_requested: bool,
    /// Earliest next placement round after a change.
    place_not_before: Timestamp,
    /// Next placement round without a change.
    place_at: Timestamp,
    /// Next occurrence of each job with a timetable, by Unix time.
    timetable: BTreeSet<(Timestamp, JobId, u32)>,
    /// Number of times that a minion was examined for a decision.
    examined: Cell<u64>,
    /// Time of the next event on the state of the cell.
    next_cell_report: Timestamp,
    /// Highest priority number seen so far; higher numbers are less urgent.
    least_urgent: u32,
    /// Ratio of measured to declared run times over all minions.
    speeds: speed::CommonPace,
    /// Statistics of the run times of each queue.
    profiles: profile::Profiles,
    /// Measured run times in steps of unfinished jobs.
    observed: BTreeMap<StepId, objective::ObservedRunTime>,
    /// Total capacity of each service.
    capacities: objective::Capacities,
    /// Set while a batch is applied to the ledger.
    before: job_reasons::StateBefore,
    out: Vec<Order>,
}

impl Dispatcher {
    /// Builds the state of a new leader from the ledger.
    pub fn new(cfg: DispatchConfig, term: Term, ledger: &Ledger, now: Timestamp) -> Self {
        let mut d = Self {
            cfg,
            term,
            began: now,
            minions: BTreeMap::new(),
            by_id: HashMap::new(),
            by_addr: HashMap::new(),
            rooms: room_index::RoomIndex::default(),
            racks: HashMap::new(),
            services: ledger
                .config
                .as_ref()
                .map(|c| roster::services_of(&c.parsed)),
            routes: ledger
                .config
                .as_ref()
                .map_or_else(Default::default, |c| routes::Routes::new(&c.parsed)),
            unservable: 0,
            next_minion: ledger.next_minion,
            runs: BTreeMap::new(),
            ready: BTreeMap::new(),
            upcoming: BTreeMap::new(),
            dirty_jobs: BTreeSet::new(),
            step_advice: BTreeMap::new(),
            questions: questions::Questions::default(),
            passed_over_at: now,
            agents: 1,
            stopping: BTreeSet::new(),
            unsettled_speeds: BTreeSet::new(),
            availabilities: Default::default(),
            utilizations: utilization::Utilizations::default(),
            releases: RefCell::new(HashMap::new()),
            quotas: quota::Quotas::default(),
            excess: excess::ExcessJobs::default(),
            admission: admission::AdmissionState::default(),
            expected_losses: Default::default(),
            lapsing: BTreeSet::new(),
            without_run: Default::default(),
            silent: BTreeSet::new(),
            late_starts: late_starts::LateStarts::default(),
            copies: copies::Copies::default(),
            reservations: reservations::Reservations::default(),
            batch: Batch::default(),
            changed_minions: BTreeSet::new(),
            timers: timers::Timers::default(),
            awaiting_first_hold: BTreeSet::new(),
            first_holds: BTreeSet::new(),
            unacknowledged: BTreeSet::new(),
            uncommitted_ends: Default::default(),
            crashed_without_suspects: None,
            crash_sites: Default::default(),
            uncommitted_gang_failures: BTreeSet::new(),
            unreadable_logged_at: None,
            placement_requested: true,
            place_not_before: now,
            place_at: now,
            timetable: BTreeSet::new(),
            examined: Cell::new(0),
            next_cell_report: now,
            least_urgent: 0,
            speeds: speed::CommonPace::default(),
            profiles: profile::Profiles::default(),
            observed: BTreeMap::new(),
            capacities: objective::Capacities::default(),
            before: Default::default(),
            out: Vec::new(),
        };
        let assumed = now + max_lease_on_local_clock(d.cfg.lease_max);
        for (number, record) in &ledger.minions {
            let mut minion = Minion::new(*number, record.report.clone(), now);
            minion.draining |= record.draining;
            minion.earlier_leases_until = assumed;
            d.add_minion(minion);
        }
        d.refresh_limits(ledger);
        d.restore_submissions(ledger);
        for job in ledger.jobs.values() {
            d.profiles.declared(job);
        }
        for id in ledger.jobs.keys() {
            d.restore_job(ledger, *id, now);
        }
        d.out.push(Order::Event(Box::new(Event::LeadBegan {
            term,
            runs: d.runs.len(),
            jobs: ledger.jobs.values().filter(|j| !j.state.is_final()).count(),
            config: ledger.config.as_ref().map_or(0, |c| c.version),
        })));
        d
    }

    /// Shortens the leases assumed for leaving minions. `drains` has the time, by this replica's
    /// clock, from which each is known to leave.
    ///
    /// An earlier leader granted them only short leases from that time on; only a lease granted
    /// before can last longer. Without this a new leader assumes the longest lease for each silent
    /// minion, and the tasks of a minion whose last message was lost with the old leader are down
    /// for all of it.
    pub fn shorten_earlier_leases(&mut self, now: Timestamp, drains: &DrainTimes) {
        for (number, reported) in drains.since() {
            if let Some(minion) = self.minions.get_mut(number) {
                let before = *reported + max_lease_on_local_clock(self.cfg.lease_max);
                let after = now + max_lease_on_local_clock(holds::MAX_DRAINING_LEASE);
                minion.earlier_leases_until = minion.earlier_leases_until.min(before.max(after));
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
        let queue = Arc::clone(self.routes.queue_of(job));
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
            let mut run = Run::new(task.run, number, (spec, &queue), checkpoint, now);
            run.state = RunState::InDoubt;
            run.forget_speed();
            run.stop = stop;
            run.owner = job.owner.clone();
            self.add_run(task_id, run);
        }
        self.restore_copies(ledger, id, now);
        if !job.state.is_final() {
            self.dirty_jobs.insert(id);
            self.schedule_next(ledger, id);
        }
    }

    fn add_run(&mut self, id: TaskId, run: Run) {
        self.forget_releases(run.minion);
        self.changed_minions.insert(run.minion);
        self.utilizations.changed();
        if let Some(minion) = self.minions.get_mut(&run.minion) {
            minion.used = minion.used.saturating_add(&run.need);
            minion.idle_cpu_demand += run.idle_cpu_demand;
            minion.best_effort += u32::from(run.is_best_effort());
            minion.serving += u32::from(run.latency_target.is_some());
            minion.lasting += u32::from(!run.ends);
            minion.trials += u32::from(run.suspicion == Suspicion::Trial);
            minion.runs.insert(id);
            minion.health.placed(id);
        }
        self.index_room(run.minion);
        if let Some(charge) = run.charge(id) {
            self.quotas.add(charge);
        }
        if run.is_stopping() {
            self.stopping.insert(id);
        }
        self.least_urgent = self.least_urgent.max(run.priority);
        self.track_for_copies(id, &run);
        self.runs.insert(id, run);
    }

    /// Removes a run and releases its resources.
    fn remove_run(&mut self, id: TaskId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.stopping.remove(&id);
        self.copies.remove_run(id);
        self.release_resources(id, &run);
        self.dirty_jobs.insert(id.step.job);
        Some(run)
    }

    fn release_resources(&mut self, id: TaskId, run: &Run) {
        self.forget_releases(run.minion);
        if let Some(charge) = run.charge(id) {
            self.quotas.remove(charge);
        }
        if let Some(minion) = self.minions.get_mut(&run.minion)
            && minion.runs.remove(&id)
        {
            minion.health.released(id);
            minion.used = minion.used.saturating_sub(&run.need);
            minion.idle_cpu_demand -= run.idle_cpu_demand;
            minion.best_effort -= u32::from(run.is_best_effort());
            minion.serving -= u32::from(run.latency_target.is_some());
            minion.lasting -= u32::from(!run.ends);
            minion.trials -= u32::from(run.suspicion == Suspicion::Trial);
            self.utilizations.changed();
            self.placement_requested = true;
            self.changed_minions.insert(run.minion);
            self.index_room(run.minion);
        }
    }

    fn emit(&mut self, event: Event) {
        self.out.push(Order::Event(Box::new(event)));
    }

    /// Does all work that is due and returns the batch to propose to the log. `now` is monotonic
    /// time, `unix` the time of day.
    pub fn decide(&mut self, now: Timestamp, unix: Timestamp, ledger: &Ledger) -> Option<Batch> {
        self.begin_due_occurrences(unix);
        self.refresh_capacities(now);
        self.release_held_tasks(now);
        self.refresh_ready(now, ledger);
        self.maintain_minions(now);
        let may_propose = self.uncommitted_ends.len() < MAX_UNCOMMITTED_BATCHES;
        let wanted = self.placement_requested && now >= self.place_not_before;
        if may_propose && (wanted || now >= self.place_at) {
            self.place(now, unix, ledger);
        }
        self.send_paces(now);
        self.send_stops(now);
        self.report_cell_state(now, unix);
        if may_propose {
            self.take_batch(ledger)
        } else {
            None
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
        if job.due_so_far < timetable.occurrences {
            self.timetable
                .insert((timetable.due(job.due_so_far), id, job.due_so_far));
        }
    }

    /// Removes and returns the pending orders, oldest first.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.out)
    }

    /// Number of times that a minion was examined for a decision: a measure of the work that does
    /// not depend on the machine.
    pub fn minions_examined(&self) -> u64 {
        self.examined.get()
    }

    fn count_examined(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Whether orders are pending.
    pub fn has_orders(&self) -> bool {
        !self.out.is_empty()
    }
}

/// Longest time on the local clock that a lease on a minion's clock can last, with the margin for a
/// lease granted by another replica.
fn max_lease_on_local_clock(lease: Duration) -> Duration {
    lease.mul_f64(1.0 / CLOCK_RATE) + LEASE_MARGIN
}
