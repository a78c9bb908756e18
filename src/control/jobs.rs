//! Job views completed with the reason for waiting, which comes from the leader's placer.

use super::machine::Machine;
use crate::ids::{JobName, Timestamp};
use crate::placement::Placer;
use crate::wire::{JobPhase, JobView};

impl<P: Placer + Send + 'static> Machine<P> {
    /// View of a job; `None` if there is no job of that name.
    pub fn job_view(&self, now: Timestamp, name: &JobName) -> Option<JobView> {
        let mut view = self.cell.view_job(name)?;
        self.explain(now, &mut view);
        Some(view)
    }

    /// Views of the `limit` jobs accepted last, newest first.
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
        let placer = self.leader.as_ref().map(|leader| &leader.placer);
        let reason = placer.and_then(|placer| placer.explain(time, &view.name));
        view.reason = reason.unwrap_or_default();
    }
}
