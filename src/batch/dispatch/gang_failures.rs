//! Failed runs of gangs. Members fail together, each reports an end of its own, and the run is one
//! attempt.

use super::applied::is_gang;
use super::{Dispatcher, StepId};
use crate::batch::ledger::{Batch, End, Ledger};
use crate::batch::model::{EndKind, RunNumber};

impl Dispatcher {
    /// Keeps one failed end of each run of a gang. The others become ends of members that lost
    /// another one, which are not attempts.
    ///
    /// The leader decides this, and not the ledger: replicas of versions that count each failed end
    /// apply the same entries, and must not differ in whether a job has failed.
    pub(super) fn count_gang_runs_once(&mut self, batch: &mut Batch, ledger: &Ledger) {
        let failed = batch
            .ends
            .iter_mut()
            .filter(|end| end.kind == EndKind::Failed);
        for end in failed.filter(|end| is_gang(end.task.step, ledger)) {
            let (step, run) = gang_run(end);
            let is_new = ledger.last_failed_run(step) < run;
            if !is_new || !self.uncommitted_gang_failures.insert((step, run)) {
                end.kind = EndKind::GangMemberLost;
            }
        }
    }

    /// Forgets failed ends of gangs that the ledger now knows.
    pub(super) fn gang_failures_committed(&mut self, batch: &Batch) {
        for end in &batch.ends {
            if end.kind == EndKind::Failed {
                self.uncommitted_gang_failures.remove(&gang_run(end));
            }
        }
    }
}

fn gang_run(end: &End) -> (StepId, RunNumber) {
    (end.task.step, end.run)
}
