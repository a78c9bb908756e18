//! Jobs with the reason they wait, which only the leader's placer knows.

use super::machine::Machine;
use crate::ids::{JobName, Timestamp};
use crate::placement::Placer;
use crate::wire::{JobPhase, JobView};

impl<P: Placer + Send + 'static> Machine<P> {
    /// A job as a caller sees it.
    pub fn job_view(&self, now: Timestamp, name: &JobName) -> Option<JobView> {
        let mut view = self.cell.view_job(name)?;
        self.explain(now, &mut view);
        Some(view)
    }

    /// The latest jobs.
    pub fn job_views(&self, now: Timestamp, limit: usize) -> Vec<JobView> {
        let mut views = self.cell.job_views(limit);
        for view in &mut views {
            self.explain(now, view);
        }
        views
    }

    fn explain(&self, now: Timestamp, view: &mut JobView) {
        let open = matches!(view.phase, JobPhase::Waiting | JobPhase::Running);
        if !open || view.waiting == 0 || !view.reason.is_empty() {
            return;
        }
        let time = self.cell_time(now);
        let placer = self.lead.as_ref().map(|lead| &lead.placer);
        let reason = placer.and_then(|placer| placer.explain(time, &view.name));
        view.reason = reason.unwrap_or_default();
    }
}
