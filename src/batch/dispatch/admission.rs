//! Admission of new jobs while callers compete for too little capacity.
//!
//! Load: workspaces submit 1.5 to 3 times what their service can run, one of them several times its
//! weight. Jobs that would be served after their useful time, or above a weight after their
//! objective, are refused when they are submitted, with the time at which to return.

use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use super::places::{CallerHash, Place, PlaceNumber, Places, Standing};
use super::proposals::{Proposal, Proposals};
use super::ready::{EXPIRY_FACTOR, LATE_PENALTY, OrderKey};
use super::run::{Run, demand};
use super::service_load::{Backlog, ServiceLoads};
use super::throughput::{Amounts, Throughputs, WINDOW, add, amounts};
use crate::batch::event::Event;
use crate::batch::ledger::{Job, Ledger};
use crate::batch::model::{EndKind, JobId, JobSpec, JobState, Lifetime, Queue, StepId, StepSpec};
use crate::ids::{Timestamp, WorkspaceName};

/// Longest time that a refused caller is given. Estimates beyond it say nothing: the load on the
/// platform changes within a minute.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Least time that a refused caller is given; a shorter one would return before any run has ended.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Refusals logged per second; all are counted in the metrics.
const MAX_LOGGED_PER_SECOND: u32 = 20;

/// A new job that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id that the caller chose.
    pub job: JobId,
    /// Its queue.
    pub queue: Arc<Queue>,
    /// Workspace that submits it; `None` on a public queue.
    pub owner: Option<WorkspaceName>,
    /// The job as declared.
    pub spec: Arc<JobSpec>,
}

/// Decision on a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job may be proposed to the log.
    Admitted,
    /// The job is not accepted.
    Refused {
        /// Time after which capacity is expected for this caller.
        after: Duration,
        /// Whether the job would still be in its useful time then.
        useful: bool,
    },
}

/// Volatile state of the admission of jobs.
#[derive(Debug, Default)]
pub(super) struct AdmissionState {
    throughputs: Throughputs,
    loads: ServiceLoads,
    proposals: Proposals,
    places: Places,
    hasher: RandomState,
    /// Start of the current second of log lines, and the number of lines in it.
    logged: (Timestamp, u32),
}

/// What a decision on a job depends on.
struct Request {
    caller: CallerHash,
    standing: Standing,
    /// Position in the order of service while the job can meet its objective.
    key: OrderKey,
    /// Position once it is late.
    late_key: OrderKey,
    /// Resources of its widest step. Steps that follow each other need theirs one after the other.
    need: Amounts,
    /// Expected run time of its longest chain of steps.
    chain: Duration,
    objective: Duration,
}

impl Request {
    fn useful_time(&self) -> Duration {
        self.objective * EXPIRY_FACTOR
    }

    /// Longest wait with which a job of this standing is admitted, and its position meanwhile.
    fn limits(&self) -> impl Iterator<Item = (&OrderKey, Duration)> {
        let in_time = (&self.key, self.objective.saturating_sub(self.chain));
        let useful = (
            &self.late_key,
            self.useful_time().saturating_sub(self.chain),
        );
        let within = (!self.standing.excess).then_some(useful);
        std::iter::once(in_time).chain(within)
    }

    /// Position from which a refused job's wait is estimated: the last that it might have had.
    fn last_key(&self) -> &OrderKey {
        if self.standing.excess {
            &self.key
        } else {
            &self.late_key
        }
    }
}

impl AdmissionState {
    /// Whether a job would be served within the limits of its standing, behind the refused callers
    /// before place `before`.
    fn is_served_in_time(
        &self,
        now: Timestamp,
        request: &Request,
        backlog: &Backlog,
        before: Option<PlaceNumber>,
    ) -> bool {
        request.limits().any(|(key, limit)| {
            let room = backlog.room(key, &request.standing, &request.need, limit);
            let until = now + limit;
            !self
                .places
                .exceed(now, until, &request.standing, before, &room)
        })
    }

    /// When capacity is expected for a refused caller: for a returning one behind those before its
    /// place, for a new one behind all.
    fn return_time(
        &self,
        now: Timestamp,
        request: &Request,
        backlog: &Backlog,
        place: Option<PlaceNumber>,
    ) -> Timestamp {
        let standing = &request.standing;
        let mut need = request.need;
        if let Some(place) = place {
            add(&mut need, &self.places.needs_before(now, standing, place));
        }
        let mut due = now + backlog.wait(request.last_key(), standing, &need);
        if place.is_none()
            && let Some(last) = self.places.last_due(standing)
        {
            due = due.max(last + backlog.time_for(standing, &request.need));
        }
        due.clamp(now + MIN_RETRY_AFTER, now + MAX_RETRY_AFTER)
    }

    /// Whether one more refusal may be logged.
    fn may_log(&mut self, now: Timestamp) -> bool {
        let (since, lines) = &mut self.logged;
        if now >= *since + Duration::from_secs(1) {
            (*since, *lines) = (now, 0);
        }
        *lines += 1;
        *lines <= MAX_LOGGED_PER_SECOND
    }
}

impl Dispatcher {
    /// Decides whether a new job may be proposed to the log. `now` is monotonic time, `unix` the
    /// time of day.
    ///
    /// Jobs without a workspace, with long-running steps or with a timetable are always admitted;
    /// so is a job whose proposal is in progress, as it may already be accepted.
    pub fn admit(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        ledger: &Ledger,
        new: &Submission,
    ) -> Verdict {
        let workspace = new.owner.as_ref();
        let workspace = workspace.and_then(|owner| Some((owner, ledger.workspace(owner)?)));
        let Some((owner, workspace)) = workspace else {
            return Verdict::Admitted;
        };
        let enabled = self.cfg.mechanisms.has(Mechanism::Admission);
        if !enabled || !is_bounded(&new.spec) || self.admission.proposals.is_pending(new.job, now) {
            return Verdict::Admitted;
        }
        self.refresh_loads(now, unix);
        let pending = self.admission.proposals.within_weight(owner);
        let excess = self.would_be_excess(owner, workspace.weight, unix, pending);
        let Some(request) = self.request(new, owner, unix, excess) else {
            self.propose_admitted(now, new.job, owner, None, [0.0; 3], excess);
            return Verdict::Admitted;
        };
        let state = &self.admission;
        let backlog = state.loads.backlog(&new.queue.service, &state.proposals);
        let place = state.places.of(request.caller);
        let (number, first) = (place.map(|p| p.0), place.map_or(now, |p| p.1.refused));
        let is_new_leader = now < self.began + WINDOW;
        if is_new_leader || state.is_served_in_time(now, &request, &backlog, number) {
            self.admission.places.remove(request.caller);
            let standing = Some(request.standing);
            self.propose_admitted(now, new.job, owner, standing, request.need, excess);
            return Verdict::Admitted;
        }
        let wait = backlog.wait(request.last_key(), &request.standing, &request.need);
        let due = state.return_time(now, &request, &backlog, number);
        let useful = due + request.chain <= first + request.useful_time();
        if useful {
            self.admission.places.keep(Place {
                caller: request.caller,
                standing: request.standing,
                need: request.need,
                refused: first,
                due,
            });
        } else {
            // The caller is told that it gains nothing by returning, so nothing is kept for it.
            self.admission.places.remove(request.caller);
        }
        let after = due - now;
        let logged = self.admission.may_log(now);
        self.emit(Event::JobRefused {
            job: new.job,
            queue: new.queue.name.clone(),
            workspace: owner.clone(),
            wait,
            after,
            excess,
            useful,
            places: self.admission.places.len(),
            logged,
        });
        Verdict::Refused { after, useful }
    }

    fn propose_admitted(
        &mut self,
        now: Timestamp,
        job: JobId,
        owner: &WorkspaceName,
        standing: Option<Standing>,
        need: Amounts,
        excess: bool,
    ) {
        let proposal = Proposal {
            at: now,
            owner: owner.clone(),
            standing,
            need,
            excess,
            applied: false,
        };
        self.admission.proposals.add(job, proposal);
    }

    /// What the decision on a job depends on; `None` if its run time can't be estimated: nothing is
    /// declared and nothing is known about its queue.
    fn request(
        &self,
        new: &Submission,
        owner: &WorkspaceName,
        unix: Timestamp,
        excess: bool,
    ) -> Option<Request> {
        let undeclared = new.spec.steps.iter().any(|step| step.estimate.is_zero());
        let spec = if undeclared {
            let mut spec = JobSpec::clone(&new.spec);
            let typical = self.profiles.typical(&new.queue.name)?;
            let steps = spec.steps.iter_mut();
            steps
                .filter(|step| step.estimate.is_zero())
                .for_each(|step| step.estimate = typical);
            Arc::new(spec)
        } else {
            Arc::clone(&new.spec)
        };
        let job = Job {
            spec,
            queue: Arc::clone(&new.queue),
            owner: new.owner.clone(),
            accepted: unix,
            state: JobState::Queued,
            occurrences: Default::default(),
            due_so_far: 0,
        };
        let first = StepId {
            job: new.job,
            occurrence: 0,
            step: 0,
        };
        let expected = self.expected_times(&job, first);
        let objective = new.queue.slo + expected.allowed.mul_f64(new.queue.slo_multiple);
        let needs = new.spec.steps.iter();
        let needs = needs.map(|step| amounts(&demand(step), step.count as usize));
        let need = needs.fold([0.0; 3], |widest: Amounts, need| {
            [0, 1, 2].map(|i| widest[i].max(need[i]))
        });
        let priority = new.queue.priority;
        let lateness = self.cfg.mechanisms.has(Mechanism::Lateness);
        let late = priority + if lateness { LATE_PENALTY } else { 0 };
        let queue = (&new.queue.host, &new.queue.prefix);
        let due = unix + objective;
        Some(Request {
            caller: self.admission.hasher.hash_one((new.job, queue, owner)),
            standing: Standing {
                service: new.queue.service.clone(),
                excess,
                priority,
            },
            key: OrderKey::of_new_job(excess, priority, due),
            late_key: OrderKey::of_new_job(excess, late, due),
            need,
            chain: expected.remaining.into_iter().max().unwrap_or_default(),
            objective,
        })
    }

    /// Recomputes the load of each service, unless the last computation is recent enough.
    fn refresh_loads(&mut self, now: Timestamp, unix: Timestamp) {
        if self.admission.loads.are_fresh(now) {
            return;
        }
        let loads = self.service_loads(now, unix, &self.admission.throughputs);
        self.admission.loads = loads;
        self.admission.places.expire(now);
        let changed = &self.dirty_jobs;
        self.admission.proposals.expire(now, changed);
    }

    /// Records the end of a run, unless its resources will not be used again or it never started.
    pub(super) fn record_release(&mut self, now: Timestamp, run: &Run, kind: EndKind) {
        let minion = self.minions.get(&run.minion);
        let Some(minion) = minion.filter(|m| m.stays()) else {
            return;
        };
        if run.ends && kind != EndKind::NeverStarted {
            let held = now.saturating_sub(run.proposed);
            let service = &minion.report.service;
            self.admission
                .throughputs
                .record_release(now, service, &run.need, held);
        }
    }

    /// Records that the proposal of a job was applied.
    pub(super) fn proposal_applied(&mut self, job: JobId) {
        self.admission.proposals.applied(job);
    }

    /// Records the work of an accepted job that comes before jobs above a weight.
    pub(super) fn record_arrival(&mut self, now: Timestamp, ledger: &Ledger, id: JobId) {
        let job = ledger.jobs.get(&id).filter(|job| is_bounded(&job.spec));
        let Some(job) = job.filter(|_| !self.is_excess(id)) else {
            return;
        };
        let mut work = [0.0; 3];
        for step in &job.spec.steps {
            add(&mut work, &amounts(&demand(step), step.count as usize));
        }
        self.admission
            .throughputs
            .record_arrival(now, &job.queue.service, work);
    }
}

/// Whether a job runs once and ends by itself.
fn is_bounded(spec: &JobSpec) -> bool {
    let finite = |step: &StepSpec| step.lifetime == Lifetime::Finite;
    spec.timetable.is_none() && spec.steps.iter().all(finite)
}
