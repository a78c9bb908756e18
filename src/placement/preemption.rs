//! Making room for a task of a later band, or for a team within its quota.

use std::cmp::Reverse;
use std::time::Duration;

use super::interface::{Decision, StopReason};
use super::records::{Ending, JobIx, Place, RunRef, Worker, WorkerIx};
use super::scheduler::Scheduler;
use super::search::Ask;
use super::teams::TeamIx;
use super::{rules, search};
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::wire::StopKind;
use crate::workload::{Band, JobSpec, WorkClass};

/// Time a preempted run has to save its state before it is stopped. Urgent work has to start
/// within 4.8 s, so this leaves it half.
const SAVE_TIME: Duration = Duration::from_secs(2);
/// Tasks of one job for which room is made at once.
const CLAIMS_AT_ONCE: u32 = 64;
/// Time a team gets nothing before it takes back what others borrowed. Most of it comes back by
/// itself when runs end, and what is stopped earlier is work lost for little.
const RECLAIM_PATIENCE: Duration = Duration::from_secs(5);
/// Use from which on a team counts as near its quota.
const NEAR_QUOTA_PERCENT: u64 = 95;
/// The same for the last part of a quota: teams that use about their quotas would otherwise
/// stop each other's tasks in turn.
const LAST_PART_PATIENCE: Duration = Duration::from_secs(60);
/// Blocked jobs for which room is tried to be made again at each sweep.
const RETRIES: usize = 8;
/// Workers whose runs are looked at one by one for one task.
const WORKERS_WEIGHED: usize = 32;

/// Runs to stop on one worker, and what that costs.
struct Plan {
    worker: WorkerIx,
    victims: Vec<RunRef>,
    /// Gangs broken, latest band stopped, runs that cannot save their state, and runs in all.
    cost: (usize, Band, usize, usize),
}

/// Who asks for room.
struct Claimant {
    band: Band,
    team: TeamIx,
    /// Whether the team stays within its quota and has waited, so that it may take back what
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
        let wanted = need.checked_mul(job.claims + 1).unwrap_or(*need);
        let standing = self.teams.standing(team, &wanted, &self.cell.total);
        let may_reclaim = !standing.borrowing && self.is_short(now, team);
        let claimant = Claimant {
            band: spec.band,
            team,
            may_reclaim,
            need: *need,
        };
        if claimant.band == Band::Spare && !claimant.may_reclaim {
            return;
        }
        let mut plans: Vec<Plan> = Vec::new();
        for _ in 0..missing.min(CLAIMS_AT_ONCE) {
            let Some(plan) = self.cheapest_plan(&spec, &claimant, &plans) else {
                break;
            };
            plans.push(plan);
        }
        // Room for a part of a gang is of no use: what was stopped for it would be lost work.
        if spec.class == WorkClass::Gang && (plans.len() as u32) < missing {
            return;
        }
        for plan in plans {
            self.carry_out(now, ix, &claimant, plan);
        }
        out.append(&mut self.pending);
    }

    /// Says whether a team within its quota has got nothing for long enough.
    fn is_short(&mut self, now: Timestamp, team: TeamIx) -> bool {
        let state = &mut self.teams.all[team as usize];
        let since = *state.short_since.get_or_insert(now);
        now.saturating_sub(since) >= self.reclaim_patience(team)
    }

    fn reclaim_patience(&self, team: TeamIx) -> Duration {
        let team = &self.teams.all[team as usize];
        let near = |used: u32, quota: u32| {
            u64::from(used) * 100 >= u64::from(quota) * NEAR_QUOTA_PERCENT && quota > 0
        };
        if near(team.used.millicores, team.quota.millicores)
            || near(team.used.memory_mb, team.quota.memory_mb)
            || near(team.used.accelerators, team.quota.accelerators)
        {
            LAST_PART_PATIENCE
        } else {
            RECLAIM_PATIENCE
        }
    }

    /// Tasks of a job that neither fit now nor have room made for them already.
    fn missing(&self, ix: JobIx, need: &Resources) -> u32 {
        let job = self.cell.job(ix);
        let waiting = (job.waiting.len() as u32).saturating_sub(job.claims);
        if job.spec.class != WorkClass::Gang {
            return waiting;
        }
        let ask = Ask::new(&self.cell, ix, *need, Timestamp::MAX);
        waiting.saturating_sub(search::room_for(&self.cell, &ask, &self.held))
    }

    /// Tries again to make room for the blocked jobs of later bands and of teams within their
    /// quota: what could not be stopped before may be stoppable now.
    pub(crate) fn retry_making_room(&mut self, now: Timestamp, out: &mut Vec<Decision>) {
        let blocked = self.queues.blocked.iter();
        let mut heads: Vec<JobIx> = blocked
            .filter(|q| !self.held_back.contains(q))
            .filter_map(|&q| self.queues.get(q).head())
            .filter(|&ix| self.cell.job(ix).claims == 0)
            .collect();
        heads.sort_by_key(|&ix| {
            let job = self.cell.job(ix);
            (Reverse(job.spec.band), job.order, job.seq)
        });
        for ix in heads.into_iter().take(RETRIES) {
            let need = self.grant_for(now, ix);
            self.make_room(now, ix, &need, out);
        }
    }

    fn cheapest_plan(&self, spec: &JobSpec, claimant: &Claimant, made: &[Plan]) -> Option<Plan> {
        let possible = self.cell.iter_workers().filter(|(ix, worker)| {
            worker.open()
                && !made.iter().any(|plan| plan.worker == *ix)
                && worker
                    .hold
                    .is_none_or(|h| !h.claim && h.band < claimant.band)
                && could_fit(worker, claimant)
                && worker.slot.group.is_some_and(|g| {
                    let group = &self.cell.index.groups[g as usize];
                    search::group_suits(spec, &claimant.need, group)
                })
        });
        possible
            .filter_map(|(ix, worker)| self.plan_on(ix, worker, claimant))
            .take(WORKERS_WEIGHED)
            .min_by_key(|plan| plan.cost)
    }

    fn plan_on(&self, ix: WorkerIx, worker: &Worker, claimant: &Claimant) -> Option<Plan> {
        let mut runs: Vec<RunRef> = worker.runs.clone();
        runs.retain(|&r| self.may_take(r, claimant));
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
            if claimant.need.fits_in(&room) {
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
        // Where the task fits as it is, there is nothing to stop and nothing to claim.
        let helps = !victims.is_empty() && claimant.need.fits_in(&room);
        helps.then_some(Plan {
            worker: ix,
            victims,
            cost,
        })
    }

    /// Says whether a run may be stopped for the claimant.
    fn may_take(&self, r: RunRef, claimant: &Claimant) -> bool {
        let job = self.cell.job(r.job);
        let task = &job.tasks[r.index as usize];
        let Some(run) = task.run() else {
            return false;
        };
        let allowed = run.ending == Ending::No
            && rules::preemptible(&job.spec)
            && (job.spec.class != WorkClass::Gang || claimant.band == Band::Urgent)
            && task.preemptions < self.policy.preemption_limit;
        let earlier = job.spec.band < claimant.band;
        allowed && (earlier || self.may_reclaim(r, run.granted, claimant))
    }

    /// A team within its quota may take back what another team of the same band borrowed.
    fn may_reclaim(&self, r: RunRef, granted: Resources, claimant: &Claimant) -> bool {
        let spec = &self.cell.job(r.job).spec;
        if !claimant.may_reclaim || spec.band != claimant.band {
            return false;
        }
        let Some(owner) = self.teams.find(&spec.team) else {
            return false;
        };
        owner != claimant.team && self.teams.over_quota_by(owner, &granted)
    }

    fn carry_out(&mut self, now: Timestamp, ix: JobIx, claimant: &Claimant, plan: Plan) {
        for r in plan.victims {
            let job = self.cell.job_mut(r.job);
            let reason = if job.spec.band < claimant.band {
                StopReason::Preempted
            } else {
                StopReason::Reclaimed
            };
            job.tasks[r.index as usize].preemptions += 1;
            self.stop_run(r, StopKind::Checkpoint, reason);
            let run = self.cell.task_run(r);
            self.checkpoints.push_back((now + SAVE_TIME, run));
        }
        self.claim(plan.worker, ix);
    }

    /// Asks a run to end, by saving its state where it can. A run that can do neither without
    /// losing the task is left alone, except where it must end.
    pub(crate) fn stop_run(&mut self, r: RunRef, how: StopKind, reason: StopReason) {
        let job = self.cell.job(r.job);
        let Place::Running(run) = job.tasks[r.index as usize].place else {
            return;
        };
        let saves = how == StopKind::Checkpoint && job.spec.checkpoint;
        let ending = if saves {
            Ending::Saving
        } else {
            Ending::Stopping
        };
        let asked = run.ending == Ending::Stopping || run.ending == ending;
        if asked {
            return;
        }
        self.cell.set_ending(r, ending);
        self.pending.push(Decision::Stop {
            run: self.cell.task_run(r),
            worker: self.cell.worker(run.worker).spec.id.clone(),
            how: if saves {
                StopKind::Checkpoint
            } else {
                StopKind::Stop
            },
            reason,
        });
    }

    /// Says whether a run was asked to end.
    pub(crate) fn is_ending(&self, r: RunRef) -> bool {
        let task = &self.cell.job(r.job).tasks[r.index as usize];
        task.run().is_some_and(|run| run.ending != Ending::No)
    }

    /// Stops preempted runs that took too long to save their state and lose nothing by it but
    /// work done.
    pub(crate) fn stop_slow_savers(&mut self, now: Timestamp) {
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

/// A quick check over sums, before the runs are looked at one by one.
fn could_fit(worker: &Worker, claimant: &Claimant) -> bool {
    let bands = claimant.band as usize + usize::from(claimant.may_reclaim);
    let sums = worker.preemptible[..bands].iter();
    let room = sums.fold(worker.room(), |room, sum| room.saturating_add(sum));
    claimant.need.fits_in(&room)
}
