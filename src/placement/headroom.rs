//! Room kept free for quick work.
//!
//! Quick work that has to wait for a running task to end waits for seconds or minutes. So
//! ordinary work leaves as much room as quick work used lately, up to a limit that the
//! policy's waiting weight sets: this is where waiting is traded against packing. The room is
//! counted in quick tasks that fit, because free processors on a worker without free memory
//! are of no use to them.

use std::time::Duration;

use super::cell::Cell;
use super::records::{JobIx, larger};
use super::scheduler::Scheduler;
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, WorkClass};

/// Most that is held back at full waiting weight, in percent of the cell.
const MOST_PERCENT: u64 = 15;
/// Time in which the remembered peak of quick work loses half.
const HALF_LIFE: Duration = Duration::from_secs(600);
/// Room kept beyond the remembered peak, in percent of it.
const MARGIN_PERCENT: u32 = 125;
/// Share of a new quick task in the ordinary size.
const NEW_PART: f64 = 0.05;
/// Change of the ordinary size, in percent, at which the slots are counted anew.
const SHAPE_CHANGE_PERCENT: u32 = 25;

/// What quick work uses, and used at most lately.
#[derive(Debug, Default)]
pub(crate) struct Quick {
    used: Resources,
    peak: Resources,
    faded: Timestamp,
    /// Mean size of quick tasks, in thousandths of a core and megabytes.
    mean: Option<(f64, f64)>,
    /// The mean size when slots were last counted.
    shape: Resources,
}

impl Quick {
    fn is_quick(spec: &JobSpec) -> bool {
        spec.band >= Band::High && spec.class == WorkClass::Batch
    }

    pub(crate) fn started(&mut self, spec: &JobSpec, granted: &Resources) {
        if !Self::is_quick(spec) {
            return;
        }
        self.used = self.used.saturating_add(granted);
        self.peak = larger(&self.peak, &self.used);
        let new = (f64::from(granted.millicores), f64::from(granted.memory_mb));
        let (cores, memory) = self.mean.unwrap_or(new);
        let mean = (
            cores + (new.0 - cores) * NEW_PART,
            memory + (new.1 - memory) * NEW_PART,
        );
        self.mean = Some(mean);
    }

    pub(crate) fn ended(&mut self, spec: &JobSpec, granted: &Resources) {
        if Self::is_quick(spec) {
            self.used = self.used.saturating_sub(granted);
        }
    }

    /// Lets the remembered peak sink towards what is used.
    fn fade(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.faded);
        self.faded = now;
        let left = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let sunk = Resources {
            millicores: (f64::from(self.peak.millicores) * left) as u32,
            memory_mb: (f64::from(self.peak.memory_mb) * left) as u32,
            accelerators: 0,
        };
        self.peak = larger(&sunk, &self.used);
    }

    /// The new size to count slots by, when it changed enough.
    fn new_shape(&mut self) -> Option<Resources> {
        let (cores, memory) = self.mean?;
        let shape = Resources {
            millicores: cores.ceil() as u32,
            memory_mb: memory.ceil() as u32,
            accelerators: 0,
        };
        let changed = |a: u32, b: u32| a.abs_diff(b) * 100 > b * SHAPE_CHANGE_PERCENT;
        let far = changed(shape.millicores, self.shape.millicores)
            || changed(shape.memory_mb, self.shape.memory_mb);
        if far {
            self.shape = shape;
        }
        far.then_some(shape)
    }

    /// Quick tasks for which room is kept free now. A limit too small for one of them keeps
    /// none, so a small cell is used whole.
    pub(crate) fn slots(&self, cell: &Cell, waiting_weight: u32) -> u64 {
        if self.shape == Resources::ZERO {
            return 0;
        }
        let whole = |n: u32| u64::from(n);
        let percent = MOST_PERCENT * u64::from(waiting_weight.min(100));
        let per_slot = whole(self.shape.millicores.max(1));
        let most = whole(cell.total.millicores) * percent / 10_000 / per_slot;
        let peak = Resources {
            millicores: (whole(self.peak.millicores) * whole(MARGIN_PERCENT) / 100) as u32,
            ..self.peak
        };
        let wanted = peak.saturating_sub(&self.used);
        let cores = whole(wanted.millicores).div_ceil(per_slot);
        cores.min(most)
    }
}

impl Scheduler {
    /// Lets remembered use sink, and follows the size of quick tasks.
    pub(crate) fn review_headroom(&mut self, now: Timestamp) {
        self.quick.fade(now);
        if let Some(shape) = self.quick.new_shape() {
            self.cell.set_quick_shape(shape);
        }
    }

    /// Quick tasks for which room is kept free now.
    pub(crate) fn kept_slots(&self) -> u64 {
        self.quick.slots(&self.cell, self.policy.waiting_weight)
    }

    /// Says whether ordinary work has to leave the room that is left to quick work.
    ///
    /// A job for which room is held was let through before: it would wait for ever otherwise.
    pub(crate) fn is_held_back(&self, ix: JobIx, grant: &Resources, n: u32) -> bool {
        let job = self.cell.job(ix);
        if job.spec.band >= Band::High || job.holds > 0 {
            return false;
        }
        let kept = self.kept_slots();
        if kept == 0 {
            return false;
        }
        // A task takes the place of about so many quick ones.
        let shape = &self.quick.shape;
        let one = Resources {
            accelerators: 0,
            ..*grant
        };
        let takes = u64::from(shape.times_in(&one).max(1)) * u64::from(n);
        self.cell.quick_slots < kept + takes
    }

    /// Lets queues be served that were kept from the last room, once there is more.
    pub(crate) fn wake_held_back(&mut self, now: Timestamp) {
        for queue in std::mem::take(&mut self.held_back) {
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
            if self.is_held_back(head, &grant, n) {
                self.held_back.push(queue);
            } else {
                self.wake(queue);
            }
        }
    }
}
