//! What callers and minions have seen, and the promises that it must keep.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use super::workspaces::Workspaces;

/// What one task takes of its minion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    pub millicores: u32,
    pub memory_mb: u32,
}

/// Room of every minion.
pub const CAPACITY: Need = Need {
    millicores: 8_000,
    memory_mb: 8_000,
};
/// Failed runs after which a task has failed, as the configuration says.
pub const ATTEMPTS: u32 = 6;

/// Crashes of minions under a task after which it may be given up.
const GIVEN_UP_AFTER: u32 = 2;
/// Crashes under a task after which it may be started twice more.
const MOST_CRASHES: u32 = 3;

#[derive(Default)]
struct Pages {
    /// Runs on minions that are up: task to run and minion.
    running: BTreeMap<String, (u32, String)>,
    used: BTreeMap<String, Need>,
    /// Tasks whose end as done was acknowledged to its minion.
    done: BTreeSet<String>,
    failures: BTreeMap<String, u32>,
    /// Minions that crashed under each task.
    crashes: BTreeMap<String, u32>,
    /// Starts of each task after three minions had crashed under it.
    starts_too_many: BTreeMap<String, u32>,
    starts: u64,
    /// Jobs whose every hand-in was refused as not run.
    refused: BTreeSet<String>,
    accepted: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    /// Workspace of each job that has one.
    owners: BTreeMap<String, usize>,
    broken: Vec<String>,
}

/// Shared record of one soak.
#[derive(Clone, Default)]
pub struct Book {
    pages: Arc<Mutex<Pages>>,
    pub workspaces: Workspaces,
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

impl Book {
    fn lock(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().expect("no holder panics")
    }

    /// A minion with this room has begun a run.
    pub fn started(&self, task: &str, run: u32, minion: &str, need: Need, room: Need) {
        let mut pages = self.lock();
        pages.starts += 1;
        if let Some((other_run, other)) = pages.running.get(task).cloned() {
            pages.broken.push(format!(
                "TWICE {task}: run {run} on {minion} beside run {other_run} on {other}"
            ));
        }
        if pages.done.contains(task) {
            let text = format!("TWICE {task}: run {run} on {minion} after it was done");
            pages.broken.push(text);
        }
        if pages.refused.contains(job_of(task)) {
            let text = format!("REFUSED {task}: run {run} though its job was refused");
            pages.broken.push(text);
        }
        pages
            .running
            .insert(task.to_owned(), (run, minion.to_owned()));
        let used = pages.used.entry(minion.to_owned()).or_default();
        used.millicores += need.millicores;
        used.memory_mb += need.memory_mb;
        let used = *used;
        if let Some(owner) = pages.owners.get(job_of(task)).copied()
            && !self.workspaces.begun(owner, need.millicores)
        {
            let text = format!("QUOTA workspace {owner}: run {run} of {task} on {minion}");
            pages.broken.push(text);
        }
        if used.millicores > room.millicores || used.memory_mb > room.memory_mb {
            let text = format!("LIMIT {minion}: {used:?} with run {run} of {task}");
            pages.broken.push(text);
        }
    }

    /// A run is over on its minion, however it ended.
    pub fn over(&self, task: &str, minion: &str, need: Need, failed: bool) {
        let mut pages = self.lock();
        if pages.running.get(task).is_some_and(|(_, m)| m == minion) {
            pages.running.remove(task);
        }
        if let Some(used) = pages.used.get_mut(minion) {
            used.millicores -= need.millicores;
            used.memory_mb -= need.memory_mb;
        }
        if let Some(owner) = pages.owners.get(job_of(task)) {
            self.workspaces.over(*owner, need.millicores);
        }
        if failed {
            *pages.failures.entry(task.to_owned()).or_default() += 1;
        }
    }

    /// A minion has begun a task that crashes it.
    pub fn started_crasher(&self, task: &str) {
        let mut pages = self.lock();
        if pages.crashes.get(task).is_none_or(|n| *n < MOST_CRASHES) {
            return;
        }
        let starts = pages.starts_too_many.entry(task.to_owned()).or_default();
        *starts += 1;
        if *starts >= 3 {
            let text = format!("BUDGET {task}: {starts} starts after three crashes");
            pages.broken.push(text);
        }
    }

    /// A minion has crashed under a task.
    pub fn crashed(&self, task: &str) {
        *self.lock().crashes.entry(task.to_owned()).or_default() += 1;
    }

    /// An end as done was acknowledged to its minion.
    pub fn noted_done(&self, task: &str) {
        self.lock().done.insert(task.to_owned());
    }

    /// A job is about to be handed in by a workspace.
    pub fn owned(&self, job: &str, workspace: usize) {
        self.lock().owners.insert(job.to_owned(), workspace);
    }

    /// Workspace that a job was handed in by.
    pub fn owner(&self, job: &str) -> Option<usize> {
        self.lock().owners.get(job).copied()
    }

    pub fn accepted(&self, job: &str) {
        self.lock().accepted.insert(job.to_owned());
    }

    pub fn refused(&self, job: &str) {
        let mut pages = self.lock();
        let runs = pages.running.keys().any(|task| job_of(task) == job);
        if runs {
            pages.broken.push(format!("REFUSED {job}: it runs already"));
        }
        pages.refused.insert(job.to_owned());
    }

    pub fn cancelled(&self, job: &str) {
        self.lock().cancelled.insert(job.to_owned());
    }

    pub fn broke(&self, what: String) {
        self.lock().broken.push(what);
    }

    /// Accepted jobs that nobody has cancelled.
    pub fn owed(&self) -> Vec<String> {
        let pages = self.lock();
        pages
            .accepted
            .difference(&pages.cancelled)
            .cloned()
            .collect()
    }

    /// Whether some task of a job has failed as often as is allowed, or two minions have crashed
    /// under one.
    pub fn may_have_failed(&self, job: &str) -> bool {
        let pages = self.lock();
        let reached = |counts: &BTreeMap<String, u32>, most| {
            let mut counts = counts.iter();
            counts.any(|(task, n)| job_of(task) == job && *n >= most)
        };
        reached(&pages.failures, ATTEMPTS) || reached(&pages.crashes, GIVEN_UP_AFTER)
    }

    /// Tasks that run now.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Starts, jobs accepted and jobs cancelled.
    pub fn counts(&self) -> (u64, usize, usize) {
        let pages = self.lock();
        (pages.starts, pages.accepted.len(), pages.cancelled.len())
    }

    /// Promises that were broken so far.
    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }
}
