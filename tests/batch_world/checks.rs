//! Checks of what became of jobs.

use yuccahold::batch::model::{JobId, JobState};

use super::hosts::Cell;

impl Cell {
    /// Asserts that a job is done, or failed after two or more crashes under one of its tasks.
    pub fn assert_done_or_given_up(&self, job: JobId, seed: u64) {
        let state = self.state(job);
        let crashes = self.crashes.iter().filter(|(t, _)| t.step.job == job);
        let most = crashes.map(|(_, n)| *n).max().unwrap_or_default();
        let given_up = state == Some(JobState::Failed) && most >= 2;
        let ended = state == Some(JobState::Done) || given_up;
        assert!(ended, "seed {seed}: {job:x} is {state:?}, {most} crashes");
    }
}
