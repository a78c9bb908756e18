//! Preemption: stopping runs for a task of a higher band or of a team within its quota.

use std::cmp::Reverse;
use std::time::Duration;

use super::interface::{Decision, StopReason};
use super::records::{Ending, JobIx, Phase, RunRef, Worker, WorkerIx};
use super::scheduler::Scheduler;
use super::search::SearchRequest;
use super::teams::TeamIx;
use super::{rules, search};
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::wire::StopKind;
use crate::workload::{Band, JobSpec, WorkClass};

/// Time a preempted run has to checkpoint before it is stopped. Urgent tasks must start within
/// 4.8 s; this leaves more than half of that.
const CHECKPOINT_TIME: Duration = Duration::from_secs(2);
/// Upper bound on the tasks of one job for which runs are preempted in one call.
const MAX_PLANS: u32 = 64;
/// Time a team must get nothing before it reclaims what others borrowed. Most of it becomes free
/// anyway as runs end, and stopping runs earlier loses their work for little gain.
const RECLAIM_DELAY: Duration = Duration::from_secs(5);
/// Usage, in percent of the quota, from which a team counts as near its quota.
const NEAR_QUOTA_PERCENT: u64 = 95;
/// `RECLAIM_DELAY` for teams near their quota. With the short delay, teams that use about their
/// quotas would keep stopping each other's tasks.
const NEAR_QUOTA_RECLAIM_DELAY: Duration = Duration::from_secs(60);
/// Blocked jobs for which preemption is retried at each sweep.
const MAX_RETRIED_JOBS: usize = 8;
/// Possible plans compared for one task.
const MAX_PLANS_COMPARED: usize = 32;

/// Runs to stop on one worker for one task, and the cost of stopping them.
struct Plan {
    worker: WorkerIx,
    victims: Vec<RunRef>,
    /// In order of weight: gang runs stopped, highest band stopped, runs without checkpoints,
    /// number of runs.
    cost: (usize, Band, usize, usize),
}

/// The task for which runs are preempted.
struct Preemptor {
    band: Band,
    team: TeamIx,
    /// Whether the team stays within its quota and has been starved long enough to reclaim what
    /// others borrowed.
    may_reclaim: bool,
    need: Resources,
}

impl Scheduler {
    /// Stops runs so that waiting tasks of a blocked job fit.
    pub(crate) fn make_room(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        need: &Resources,
        out: &mut Vec<Decision>,
    ) {
        let job = self.cell.job(ix);
        let spec = job.spec.clone();
        let missing = self.missing(ix, need);
        let team = self.teams.ix(&spec.team);
        let total_need = need.checked_mul(job.preemption_holds + 1).unwrap_or(*need);
        let rank = self.teams.rank(team, &total_need, &self.cell.total);
        let may_reclaim = !rank.borrowing && self.is_starved(now, team);
        let preemptor = Preemptor {
            band: spec.band,
            team,
            may_reclaim,
            need: *need,
        };
        if preemptor.band == Band::Spare && !preemptor.may_reclaim {
            return;
        }
        let mut plans: Vec<Plan> = Vec::new();
        for _ in 0..missing.min(MAX_PLANS) {
            let Some(plan) = self.cheapest_plan(&spec, &preemptor, &plans) else {
                break;
            };
            plans.push(plan);
        }
        // Room for only part of a gang is useless: the victims' work would be lost for nothing.
        if spec.class == WorkClass::Gang && (plans.len() as u32) < missing {
            return;
        }
        for plan in plans {
            self.execute_plan(now, ix, &preemptor, plan);
        }
        out.append(&mut self.pending);
    }

    /// Whether a team within its quota has got nothing for its reclaim delay. The first call
    /// starts the measurement.
    fn is_starved(&mut self, now: Timestamp, team: TeamIx) -> bool {
        let state = &mut self.teams.all[team as usize];
        let since = *state.starved_since.get_or_insert(now);
        now.saturating_sub(since) >= self.reclaim_delay(team)
    }

    fn reclaim_delay(&self, team: TeamIx) -> Duration {
        let team = &self.teams.all[team as usize];
        let near = |used: u32, quota: u32| {
            u64::from(used) * 100 >= u64::from(quota) * NEAR_QUOTA_PERCENT && quota > 0
        };
        if near(team.used.millicores, team.quota.millicores)
            || near(team.used.memory_mb, team.quota.memory_mb)
            || near(team.used.accelerators, team.quota.accelerators)
        {
            NEAR_QUOTA_RECLAIM_DELAY
        } else {
            RECLAIM_DELAY
        }
    }

    /// Number of the job's waiting tasks that neither fit now nor have a preemption under way.
    fn missing(&self, ix: JobIx, need: &Resources) -> u32 {
        let job = self.cell.job(ix);
        let waiting = (job.waiting.len() as u32).saturating_sub(job.preemption_holds);
        if job.spec.class != WorkClass::Gang {
            return waiting;
        }
        let req = SearchRequest::new(&self.cell, ix, *need, Timestamp::MAX);
        waiting.saturating_sub(search::count_fits(&self.cell, &req, &self.held))
    }

    /// Retries preemption for blocked jobs, highest band first: runs that could not be stopped
    /// before may be stoppable now.
    pub(crate) fn retry_making_room(&mut self, now: Timestamp, out: &mut Vec<Decision>) {
        let blocked = self.queues.blocked.iter();
        let mut heads: Vec<JobIx> = blocked
            .filter(|q| !self.headroom_blocked.contains(q))
            .filter_map(|&q| self.queues.get(q).head())
            .filter(|&ix| self.cell.job(ix).preemption_holds == 0)
            .collect();
        heads.sort_by_key(|&ix| {
            let job = self.cell.job(ix);
            (Reverse(job.spec.band), job.queue_time, job.seq)
        });
        for ix in heads.into_iter().take(MAX_RETRIED_JOBS) {
            let need = self.grant_for(now, ix);
            self.make_room(now, ix, &need, out);
        }
    }

    fn cheapest_plan(&self, spec: &JobSpec, preemptor: &Preemptor, made: &[Plan]) -> Option<Plan> {
        let possible = self.cell.iter_workers().filter(|(ix, worker)| {
            worker.open()
                && !made.iter().any(|plan| plan.worker == *ix)
                && worker
                    .hold
                    .is_none_or(|h| !h.by_preemption && h.band < preemptor.band)
                && could_fit_after_preemption(worker, preemptor)
                && worker.position.group.is_some_and(|g| {
                    let group = &self.cell.index.groups[g as usize];
                    search::group_suits(spec, &preemptor.need, group)
                })
        });
        possible
            .filter_map(|(ix, worker)| self.plan_on(ix, worker, preemptor))
            .take(MAX_PLANS_COMPARED)
            .min_by_key(|plan| plan.cost)
    }

    fn plan_on(&self, ix: WorkerIx, worker: &Worker, preemptor: &Preemptor) -> Option<Plan> {
        let mut runs: Vec<RunRef> = worker.runs.clone();
        runs.retain(|&r| self.may_preempt(r, preemptor));
        runs.sort_by_key(|&r| {
            let job = self.cell.job(r.job);
            let since = job.tasks[r.index as usize].run().map(|run| run.since);
            let gang = job.spec.class == WorkClass::Gang;
            (gang, job.spec.band, !job.spec.checkpoint, Reverse(since))
        });
        let mut room = worker.room();
        let mut victims = Vec::new();
        let mut cost = (0, Band::Spare, 0, 0);
        for r in runs {
            if preemptor.need.fits_in(&room) {
                break;
            }
            let job = self.cell.job(r.job);
            let run = job.tasks[r.index as usize].run()?;
            room = room.saturating_add(&run.granted);
            cost.0 += usize::from(job.spec.class == WorkClass::Gang);
            cost.1 = cost.1.max(job.spec.band);
            cost.2 += usize::from(!job.spec.checkpoint);
            cost.3 += 1;
            victims.push(r);
        }
        // A task that fits without preemption needs neither victims nor a hold.
        let sufficient = !victims.is_empty() && preemptor.need.fits_in(&room);
        sufficient.then_some(Plan {
            worker: ix,
            victims,
            cost,
        })
    }

    /// Whether a run may be stopped for the preemptor.
    fn may_preempt(&self, r: RunRef, preemptor: &Preemptor) -> bool {
        let job = self.cell.job(r.job);
        let task = &job.tasks[r.index as usize];
        let Some(run) = task.run() else {
            return false;
        };
        let allowed = run.ending == Ending::NotRequested
            && rules::preemptible(&job.spec)
            && (job.spec.class != WorkClass::Gang || preemptor.band == Band::Urgent)
            && task.preemptions < self.policy.preemption_limit;
        let lower_band = job.spec.band < preemptor.band;
        allowed && (lower_band || self.may_reclaim(r, run.granted, preemptor))
    }

    /// Whether the run uses resources that its team borrowed within the preemptor's band, so that
    /// a team within its quota may take them back.
    fn may_reclaim(&self, r: RunRef, granted: Resources, preemptor: &Preemptor) -> bool {
        let spec = &self.cell.job(r.job).spec;
        if !preemptor.may_reclaim || spec.band != preemptor.band {
            return false;
        }
        let Some(owner) = self.teams.find(&spec.team) else {
            return false;
        };
        owner != preemptor.team && self.teams.over_quota_by(owner, &granted)
    }

    fn execute_plan(&mut self, now: Timestamp, ix: JobIx, preemptor: &Preemptor, plan: Plan) {
        for r in plan.victims {
            let job = self.cell.job_mut(r.job);
            let reason = if job.spec.band < preemptor.band {
                StopReason::Preempted
            } else {
                StopReason::Reclaimed
            };
            job.tasks[r.index as usize].preemptions += 1;
            self.stop_run(r, StopKind::Checkpoint, reason);
            let run = self.cell.task_run(r);
            self.checkpoints.push_back((now + CHECKPOINT_TIME, run));
        }
        self.hold_preempted(plan.worker, ix);
    }

    /// Asks a run to end, with a checkpoint if `how` asks for one and the job supports it. Callers
    /// have to rule out runs that would lose their task. Does nothing if the run is already ending
    /// in this way or is being stopped.
    pub(crate) fn stop_run(&mut self, r: RunRef, how: StopKind, reason: StopReason) {
        let job = self.cell.job(r.job);
        let Phase::Running(run) = job.tasks[r.index as usize].phase else {
            return;
        };
        let by_checkpoint = how == StopKind::Checkpoint && job.spec.checkpoint;
        let ending = if by_checkpoint {
            Ending::Checkpointing
        } else {
            Ending::Stopping
        };
        let already_asked = run.ending == Ending::Stopping || run.ending == ending;
        if already_asked {
            return;
        }
        self.cell.set_ending(r, ending);
        self.pending.push(Decision::Stop {
            run: self.cell.task_run(r),
            worker: self.cell.worker(run.worker).spec.id.clone(),
            how: if by_checkpoint {
                StopKind::Checkpoint
            } else {
                StopKind::Stop
            },
            reason,
        });
    }

    /// Whether a run was asked to end.
    pub(crate) fn is_ending(&self, r: RunRef) -> bool {
        let task = &self.cell.job(r.job).tasks[r.index as usize];
        task.run()
            .is_some_and(|run| run.ending != Ending::NotRequested)
    }

    /// Stops preempted runs that did not checkpoint in time. Only idempotent ones are stopped: they
    /// lose no more than the work done so far.
    pub(crate) fn stop_overdue_checkpoints(&mut self, now: Timestamp) {
        while let Some((at, run)) = self.checkpoints.front() {
            if *at > now {
                return;
            }
            let found = self.cell.find_run(run);
            self.checkpoints.pop_front();
            if let Some((r, _)) = found.filter(|(r, _)| self.cell.job(r.job).spec.idempotent) {
                self.stop_run(r, StopKind::Stop, StopReason::Preempted);
            }
        }
    }
}

/// Cheap pre-check over the worker's sums, before its runs are examined one by one.
fn could_fit_after_preemption(worker: &Worker, preemptor: &Preemptor) -> bool {
    let bands = preemptor.band as usize + usize::from(preemptor.may_reclaim);
    let sums = worker.preemptible[..bands].iter();
    let room = sums.fold(worker.room(), |room, sum| room.saturating_add(sum));
    preemptor.need.fits_in(&room)
}
