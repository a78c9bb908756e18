//! Explains why a job is waiting.

use super::cell::Cell;
use super::feasibility::cores;
use super::records::{Job, JobIx};
use super::scheduler::Scheduler;
use super::search::SearchRequest;
use crate::ids::{JobName, Timestamp};
use crate::resources::Resources;
use crate::workload::WorkClass;

/// Numbers of suitable workers: those that take no tasks, those held for other jobs, and the others
/// by what they have room for.
#[derive(Debug, Default)]
struct RoomCounts {
    suitable: u32,
    not_open: u32,
    cores: u32,
    memory: u32,
    accelerators: u32,
    all: u32,
    held: u32,
}

impl Scheduler {
    pub(crate) fn explain_job(&self, now: Timestamp, name: &JobName) -> Option<String> {
        let ix = self.cell.find_job(name)?;
        let job = self.cell.job(ix);
        if job.closed {
            return None;
        }
        if let Some(reason) = &job.unschedulable {
            return Some(format!("It can never run in this cell as it is: {reason}."));
        }
        if job.waiting.is_empty() {
            return self.explain_backoff(now, ix);
        }
        if self.cell.index.groups.is_empty() {
            return Some("It waits because no worker has joined the cell yet.".to_owned());
        }
        Some(self.explain_waiting(now, ix, job))
    }

    fn explain_backoff(&self, now: Timestamp, ix: JobIx) -> Option<String> {
        let job = self.cell.job(ix);
        if job.backing_off == 0 {
            return None;
        }
        let of_job = self
            .backoff
            .iter()
            .map(|r| r.0)
            .filter(|e| e.1 == ix && e.2 == job.seq);
        let next = of_job.map(|e| e.0).min()?;
        Some(format!(
            "{} of its tasks failed or were refused and wait for {:.1} s before the next try.",
            job.backing_off,
            next.saturating_sub(now).as_secs_f64()
        ))
    }

    fn explain_waiting(&self, now: Timestamp, ix: JobIx, job: &Job) -> String {
        let need = self.grant_for(now, ix);
        let waits = now.saturating_sub(job.accepted_at).as_secs_f64();
        let start = format!(
            "{} of its tasks have waited {waits:.1} s",
            job.waiting.len()
        );
        let counts = self.count_rooms(ix, &need);
        if job.spec.class == WorkClass::Gang && job.running > 0 {
            return format!("{start}: {} others of its gang end first.", job.running);
        }
        if self.lacks_headroom(ix, &need, 1) {
            return format!(
                "{start}: room for {} quick tasks is kept free and room for {} is left.",
                self.headroom_slots(),
                self.cell.quick_slots,
            );
        }
        let jobs_ahead = self.jobs_ahead(job);
        let gang = match job.spec.class {
            WorkClass::Gang => format!(" for {} tasks at once", job.waiting.len()),
            _ => String::new(),
        };
        let room = format!(
            "it needs {} cores, {} MB and {} accelerators a task{gang}; of {} suitable workers \
             {} have the cores, {} the memory, {} the accelerators and {} all of them",
            cores(need.millicores),
            need.memory_mb,
            need.accelerators,
            counts.suitable,
            counts.cores,
            counts.memory,
            counts.accelerators,
            counts.all,
        );
        let other_reasons = self.other_reasons(now, ix, &counts);
        format!("{start}: {room}; {jobs_ahead} jobs are ahead of it{other_reasons}.")
    }

    fn other_reasons(&self, now: Timestamp, ix: JobIx, counts: &RoomCounts) -> String {
        let mut text = String::new();
        if counts.not_open > 0 {
            text += &format!(", {} workers are drained or quarantined", counts.not_open);
        }
        if counts.held > 0 {
            text += &format!(", {} are held for other jobs", counts.held);
        }
        match self.reservation {
            Some(r) if r.job == ix => {
                let wait = r.starts.saturating_sub(now).as_secs_f64();
                text += &format!(", and room held for it is expected in {wait:.1} s");
            }
            _ if self.cell.job(ix).preemption_holds > 0 => {
                text += ", and runs of earlier bands are being stopped for it";
            }
            _ => {}
        }
        let team = self.teams.get(&self.cell.job(ix).spec.team);
        if let Some(team) = team.filter(|t| t.quota != Resources::ZERO) {
            text += &format!(
                ", and team {} uses {} of the {} cores of its quota",
                team.name,
                cores(team.used.millicores),
                cores(team.quota.millicores)
            );
        }
        text
    }

    fn count_rooms(&self, ix: JobIx, need: &Resources) -> RoomCounts {
        let mut counts = RoomCounts::default();
        let req = SearchRequest::new(&self.cell, ix, *need, Timestamp::MAX);
        for (_, worker) in self.cell.iter_workers() {
            let group = worker
                .position
                .group
                .map(|g| &self.cell.index.groups[g as usize]);
            if !worker.up || !group.is_some_and(|g| req.suits(g)) {
                continue;
            }
            counts.suitable += 1;
            if !worker.open() {
                counts.not_open += 1;
                continue;
            }
            if !req.may_use_held(worker) {
                counts.held += 1;
                continue;
            }
            let room = worker.room();
            counts.cores += u32::from(need.millicores <= room.millicores);
            counts.memory += u32::from(need.memory_mb <= room.memory_mb);
            counts.accelerators += u32::from(need.accelerators <= room.accelerators);
            counts.all += u32::from(need.fits_in(&room));
        }
        counts
    }

    /// Number of waiting jobs of higher bands, and of those before it in its own queue.
    fn jobs_ahead(&self, job: &Job) -> usize {
        let higher = self.queues.iter().filter(|(_, q)| q.band > job.spec.band);
        let higher: usize = higher.map(|(_, q)| q.len()).sum();
        let own = job
            .queue
            .map_or(0, |q| self.queues.get(q).ahead_of(job.queue_time, job.seq));
        higher + own
    }
}

/// Explains the wait of a job under a placer that has only an arrival order.
pub(crate) fn explain_without_queues(
    cell: &Cell,
    now: Timestamp,
    name: &JobName,
) -> Option<String> {
    let job = cell.job(cell.find_job(name)?);
    if job.waiting.is_empty() || job.closed {
        return None;
    }
    let waits = now.saturating_sub(job.accepted_at).as_secs_f64();
    Some(format!(
        "{} of its tasks have waited {waits:.1} s for a worker with room.",
        job.waiting.len()
    ))
}
