//! Headroom: capacity kept free for quick tasks, that is batch tasks of the bands High and Urgent.
//!
//! A quick task that has to wait for a run to end waits for seconds or minutes. Tasks of lower
//! bands therefore leave as much room as quick tasks used recently, up to a limit set by the
//! policy's waiting weight, which trades waiting time against packing. Headroom is counted in
//! quick tasks that fit (slots), because free processors on a worker without free memory are
//! useless to them.

use std::time::Duration;

use super::cell::Cell;
use super::records::{JobIx, max_of_each};
use super::scheduler::Scheduler;
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, WorkClass};

/// Upper limit on the headroom at full waiting weight, in percent of the cell's processors.
const MAX_HEADROOM_PERCENT: u64 = 15;
/// Half-life of the remembered peak usage of quick tasks.
const HALF_LIFE: Duration = Duration::from_secs(600);
/// Capacity provided for quick tasks, in percent of their remembered peak usage.
const PEAK_PERCENT: u32 = 125;
/// Weight of a new quick task in the moving average of task sizes.
const NEW_TASK_WEIGHT: f64 = 0.05;
/// Change of the average size, in percent, at which all slots are counted again.
const SIZE_CHANGE_PERCENT: u32 = 25;

/// Current usage of quick tasks, their recent peak usage and average size.
#[derive(Debug, Default)]
pub(crate) struct QuickUsage {
    used: Resources,
    peak: Resources,
    decayed_at: Timestamp,
    /// Moving average of the sizes of quick tasks, in millicores and megabytes.
    mean: Option<(f64, f64)>,
    /// Task size with which slots were last counted.
    task_size: Resources,
}

impl QuickUsage {
    fn is_quick(spec: &JobSpec) -> bool {
        spec.band >= Band::High && spec.class == WorkClass::Batch
    }

    pub(crate) fn task_started(&mut self, spec: &JobSpec, granted: &Resources) {
        if !Self::is_quick(spec) {
            return;
        }
        self.used = self.used.saturating_add(granted);
        self.peak = max_of_each(&self.peak, &self.used);
        let new = (f64::from(granted.millicores), f64::from(granted.memory_mb));
        let (cores, memory) = self.mean.unwrap_or(new);
        let mean = (
            cores + (new.0 - cores) * NEW_TASK_WEIGHT,
            memory + (new.1 - memory) * NEW_TASK_WEIGHT,
        );
        self.mean = Some(mean);
    }

    pub(crate) fn task_ended(&mut self, spec: &JobSpec, granted: &Resources) {
        if Self::is_quick(spec) {
            self.used = self.used.saturating_sub(granted);
        }
    }

    /// Lets the remembered peak decay towards the current usage.
    fn decay_peak(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.decayed_at);
        self.decayed_at = now;
        let left = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let decayed = Resources {
            millicores: (f64::from(self.peak.millicores) * left) as u32,
            memory_mb: (f64::from(self.peak.memory_mb) * left) as u32,
            accelerators: 0,
        };
        self.peak = max_of_each(&decayed, &self.used);
    }

    /// The new task size for counting slots, if it has changed enough.
    fn changed_size(&mut self) -> Option<Resources> {
        let (cores, memory) = self.mean?;
        let task_size = Resources {
            millicores: cores.ceil() as u32,
            memory_mb: memory.ceil() as u32,
            accelerators: 0,
        };
        let changed = |a: u32, b: u32| a.abs_diff(b) * 100 > b * SIZE_CHANGE_PERCENT;
        let changed_enough = changed(task_size.millicores, self.task_size.millicores)
            || changed(task_size.memory_mb, self.task_size.memory_mb);
        if changed_enough {
            self.task_size = task_size;
        }
        changed_enough.then_some(task_size)
    }

    /// Number of slots to keep free now. A limit smaller than one slot keeps none free, so that a
    /// small cell can be used completely.
    pub(crate) fn slots(&self, cell: &Cell, waiting_weight: u32) -> u64 {
        if self.task_size == Resources::ZERO {
            return 0;
        }
        let wide = |n: u32| u64::from(n);
        let percent = MAX_HEADROOM_PERCENT * u64::from(waiting_weight.min(100));
        let per_slot = wide(self.task_size.millicores.max(1));
        let limit = wide(cell.total.millicores) * percent / 10_000 / per_slot;
        let peak = Resources {
            millicores: (wide(self.peak.millicores) * wide(PEAK_PERCENT) / 100) as u32,
            ..self.peak
        };
        let missing = peak.saturating_sub(&self.used);
        let cores = wide(missing.millicores).div_ceil(per_slot);
        cores.min(limit)
    }
}

impl Scheduler {
    /// Updates the remembered peak and the task size with which slots are counted.
    pub(crate) fn update_headroom(&mut self, now: Timestamp) {
        self.quick_usage.decay_peak(now);
        if let Some(task_size) = self.quick_usage.changed_size() {
            self.cell.set_quick_task_size(task_size);
        }
    }

    /// Number of slots to keep free now.
    pub(crate) fn headroom_slots(&self) -> u64 {
        self.quick_usage
            .slots(&self.cell, self.policy.waiting_weight)
    }

    /// Whether `n` tasks of the job would use up room that is reserved for quick tasks.
    ///
    /// Never true for a job that has a hold: it was let through before and would otherwise wait
    /// forever.
    pub(crate) fn lacks_headroom(&self, ix: JobIx, grant: &Resources, n: u32) -> bool {
        let job = self.cell.job(ix);
        if job.spec.band >= Band::High || job.holds > 0 {
            return false;
        }
        let kept = self.headroom_slots();
        if kept == 0 {
            return false;
        }
        // Number of slots that one task takes up, at least one.
        let task_size = &self.quick_usage.task_size;
        let one = Resources {
            accelerators: 0,
            ..*grant
        };
        let slots_used = u64::from(task_size.times_in(&one).max(1)) * u64::from(n);
        self.cell.quick_slots < kept + slots_used
    }

    /// Wakes the queues that were blocked by the headroom only, if there is enough room now.
    pub(crate) fn wake_headroom_blocked(&mut self, now: Timestamp) {
        for queue in std::mem::take(&mut self.headroom_blocked) {
            if !self.queues.exists(queue) {
                continue;
            }
            let Some(head) = self.queues.get(queue).head() else {
                continue;
            };
            let job = self.cell.job(head);
            let spec = job.spec.clone();
            let n = if spec.class == WorkClass::Gang {
                job.waiting.len() as u32
            } else {
                1
            };
            let grant = self.grant_for(now, head);
            if self.lacks_headroom(head, &grant, n) {
                self.headroom_blocked.push(queue);
            } else {
                self.wake(queue);
            }
        }
    }
}
