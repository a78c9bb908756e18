//! Why a job waits now.

use super::cell::Cell;
use super::never::cores;
use super::records::{Job, JobIx};
use super::scheduler::Scheduler;
use super::search::Ask;
use crate::ids::{JobName, Timestamp};
use crate::resources::Resources;
use crate::workload::WorkClass;

/// How many workers have room, by resource.
#[derive(Debug, Default)]
struct Rooms {
    suitable: u32,
    closed: u32,
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
        if let Some(reason) = &job.never {
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
        let waits = now.saturating_sub(job.at).as_secs_f64();
        let start = format!(
            "{} of its tasks have waited {waits:.1} s",
            job.waiting.len()
        );
        let rooms = self.rooms(ix, &need);
        if job.spec.class == WorkClass::Gang && job.running > 0 {
            return format!("{start}: {} others of its gang end first.", job.running);
        }
        if self.is_held_back(ix, &need, 1) {
            return format!(
                "{start}: room for {} quick tasks is kept free and room for {} is left.",
                self.kept_slots(),
                self.cell.quick_slots,
            );
        }
        let ahead = self.ahead(job);
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
            rooms.suitable,
            rooms.cores,
            rooms.memory,
            rooms.accelerators,
            rooms.all,
        );
        let extra = self.extra(now, ix, &rooms);
        format!("{start}: {room}; {ahead} jobs are ahead of it{extra}.")
    }

    fn extra(&self, now: Timestamp, ix: JobIx, rooms: &Rooms) -> String {
        let mut text = String::new();
        if rooms.closed > 0 {
            text += &format!(", {} workers are drained or quarantined", rooms.closed);
        }
        if rooms.held > 0 {
            text += &format!(", {} are held for other jobs", rooms.held);
        }
        match self.reservation {
            Some(r) if r.job == ix => {
                let wait = r.starts.saturating_sub(now).as_secs_f64();
                text += &format!(", and room held for it is expected in {wait:.1} s");
            }
            _ if self.cell.job(ix).claims > 0 => {
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

    fn rooms(&self, ix: JobIx, need: &Resources) -> Rooms {
        let mut rooms = Rooms::default();
        let ask = Ask::new(&self.cell, ix, *need, Timestamp::MAX);
        for (_, worker) in self.cell.iter_workers() {
            let group = worker
                .slot
                .group
                .map(|g| &self.cell.index.groups[g as usize]);
            if !worker.up || !group.is_some_and(|g| ask.suits(g)) {
                continue;
            }
            rooms.suitable += 1;
            if !worker.open() {
                rooms.closed += 1;
                continue;
            }
            if !ask.may_use_held(worker) {
                rooms.held += 1;
                continue;
            }
            let room = worker.room();
            rooms.cores += u32::from(need.millicores <= room.millicores);
            rooms.memory += u32::from(need.memory_mb <= room.memory_mb);
            rooms.accelerators += u32::from(need.accelerators <= room.accelerators);
            rooms.all += u32::from(need.fits_in(&room));
        }
        rooms
    }

    /// Waiting jobs of later bands, and earlier ones of its own queue.
    fn ahead(&self, job: &Job) -> usize {
        let later = self.queues.iter().filter(|(_, q)| q.band > job.spec.band);
        let later: usize = later.map(|(_, q)| q.len()).sum();
        let own = job
            .queue
            .map_or(0, |q| self.queues.get(q).ahead_of(job.order, job.seq));
        later + own
    }
}

/// Why a job waits with a placer that knows no more than its order.
pub(crate) fn plain(cell: &Cell, now: Timestamp, name: &JobName) -> Option<String> {
    let job = cell.job(cell.find_job(name)?);
    if job.waiting.is_empty() || job.closed {
        return None;
    }
    let waits = now.saturating_sub(job.at).as_secs_f64();
    Some(format!(
        "{} of its tasks have waited {waits:.1} s for a worker with room.",
        job.waiting.len()
    ))
}
