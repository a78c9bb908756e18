//! Room kept free for quick work.
//!
//! Quick work that has to wait for a running task to end waits for seconds or minutes. So
//! ordinary work leaves as much room as quick work used lately, up to a limit that the
//! policy's waiting weight sets: this is where waiting is traded against packing.

use std::time::Duration;

use super::cell::{larger, saturating_add, saturating_sub};
use super::scheduler::Scheduler;
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, WorkClass};

/// Most that is held back at full waiting weight, in percent of the cell.
const MOST_PERCENT: u64 = 15;
/// Time in which the remembered peak of quick work loses half.
const HALF_LIFE: Duration = Duration::from_secs(600);

/// What quick work uses, and used at most lately.
#[derive(Debug, Default)]
pub(crate) struct Quick {
    used: Resources,
    peak: Resources,
    /// The largest quick task since the peak was nothing.
    largest: Resources,
    faded: Timestamp,
}

impl Quick {
    fn is_quick(spec: &JobSpec) -> bool {
        spec.band >= Band::High && spec.class == WorkClass::Batch
    }

    pub(crate) fn started(&mut self, spec: &JobSpec, granted: &Resources) {
        if Self::is_quick(spec) {
            self.used = saturating_add(&self.used, granted);
            self.peak = larger(&self.peak, &self.used);
            self.largest = larger(&self.largest, granted);
        }
    }

    pub(crate) fn ended(&mut self, spec: &JobSpec, granted: &Resources) {
        if Self::is_quick(spec) {
            self.used = saturating_sub(&self.used, granted);
        }
    }

    /// Lets the remembered peak sink towards what is used.
    pub(crate) fn fade(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.faded);
        self.faded = now;
        let left = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let sunk = Resources {
            millicores: (f64::from(self.peak.millicores) * left) as u32,
            memory_mb: (f64::from(self.peak.memory_mb) * left) as u32,
            accelerators: 0,
        };
        self.peak = larger(&sunk, &self.used);
        if self.peak == Resources::ZERO {
            self.largest = Resources::ZERO;
        }
    }

    /// Room to leave free now. Room in which no quick task would fit is of no use to them, so
    /// a small cell keeps none.
    pub(crate) fn headroom(&self, total: &Resources, waiting_weight: u32) -> Resources {
        let most = |n: u32| {
            (u64::from(n) * MOST_PERCENT * u64::from(waiting_weight.min(100)) / 10_000) as u32
        };
        let wanted = saturating_sub(&self.peak, &self.used);
        let room = Resources {
            millicores: wanted.millicores.min(most(total.millicores)),
            memory_mb: wanted.memory_mb.min(most(total.memory_mb)),
            accelerators: 0,
        };
        let useful =
            self.largest.millicores <= room.millicores && self.largest.memory_mb <= room.memory_mb;
        if useful { room } else { Resources::ZERO }
    }
}

impl Scheduler {
    /// Says whether ordinary work has to leave the room that is left to quick work.
    pub(crate) fn is_held_back(&self, spec: &JobSpec, grant: &Resources, n: u32) -> bool {
        if spec.band >= Band::High {
            return false;
        }
        let room = self
            .quick
            .headroom(&self.cell.total, self.policy.waiting_weight);
        if room == Resources::ZERO {
            return false;
        }
        let free = saturating_sub(&self.cell.total, &self.cell.used);
        let Some(wanted) = grant.checked_mul(n).and_then(|g| g.checked_add(&room)) else {
            return true;
        };
        wanted.millicores > free.millicores || wanted.memory_mb > free.memory_mb
    }

    /// Lets queues be served that were kept from the last room, once there is more.
    pub(crate) fn wake_held_back(&mut self) {
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
            let grant = self.grant_for(&spec);
            if self.is_held_back(&spec, &grant, n) {
                self.held_back.push(queue);
            } else {
                self.wake(queue);
            }
        }
    }
}
