//! Gangs of simulated minions: their members wait for each other, end as done together, and fail
//! each by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::payload::{Payload, hash};

/// Time for which members wait for the others.
const GANG_WAIT: Duration = Duration::from_secs(2);
/// Times within which the ends of the members of one run lie, in ms.
const SPREADS: [u64; 4] = [1, 20, 300, 2_500];
/// Percentage of the members that fail by themselves in a run that fails.
const FAIL_TOGETHER: u64 = 60;
/// Percentage of the other members that end as failed too, instead of as broken.
const OTHERS_FAIL: u64 = 25;

struct GangRun {
    since: Instant,
    seen: BTreeSet<String>,
    present: BTreeSet<String>,
    complete_at: Option<Instant>,
    lost_at: Option<Instant>,
    is_done: bool,
}

/// The runs of all gangs, shared by the minions of a cell.
#[derive(Clone, Default)]
pub struct Gangs(Arc<Mutex<BTreeMap<(String, u32), GangRun>>>);

/// Name of the step of a task.
pub fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Number below 100 that is always the same for the same text, run and purpose.
fn draw(text: &str, run: u32, purpose: u32) -> u64 {
    hash(text, run + 1_000 * purpose) % 100
}

fn spread(task: &str, run: u32) -> Duration {
    let widest = SPREADS[draw(step_of(task), run, 1) as usize % SPREADS.len()];
    Duration::from_millis(widest * draw(task, run, 2) / 100)
}

/// Time from the moment when all are present to the failure of this member, if it fails by itself.
fn own_failure(order: &Payload, task: &str, run: u32) -> Option<Duration> {
    let step = step_of(task);
    let fails = draw(step, run, 3) < order.fail_percent;
    // The first member fails in each run that fails.
    let is_one = task.ends_with(".0") || draw(task, run, 4) < FAIL_TOGETHER;
    let first = Duration::from_millis(order.duration_ms * draw(step, run, 5) / 100);
    (fails && is_one).then(|| first + spread(task, run))
}

impl Gangs {
    fn with<T>(&self, task: &str, run: u32, action: impl FnOnce(&mut GangRun) -> T) -> T {
        let mut runs = self.0.lock().expect("no holder panics");
        let key = (step_of(task).to_owned(), run);
        action(runs.entry(key).or_insert_with(|| GangRun {
            since: Instant::now(),
            seen: BTreeSet::new(),
            present: BTreeSet::new(),
            complete_at: None,
            lost_at: None,
            is_done: false,
        }))
    }

    /// A member has begun.
    pub fn join(&self, order: &Payload, task: &str, run: u32) {
        self.with(task, run, |gang| {
            gang.seen.insert(task.to_owned());
            gang.present.insert(task.to_owned());
            if gang.present.len() >= order.members as usize {
                gang.complete_at.get_or_insert_with(Instant::now);
            }
        });
    }

    /// A member has ended, for any reason.
    pub fn leave(&self, task: &str, run: u32) {
        self.with(task, run, |gang| {
            gang.present.remove(task);
            if !gang.is_done {
                gang.lost_at.get_or_insert_with(Instant::now);
            }
        });
    }

    /// How a member that is at work ends now, if it does.
    pub fn due(&self, order: &Payload, task: &str, run: u32) -> Option<&'static str> {
        self.with(task, run, |gang| {
            let failure = own_failure(order, task, run);
            let failure = gang.complete_at.and_then(|at| Some(at + failure?));
            if let Some(at) = failure {
                return (at.elapsed() > Duration::ZERO).then_some("failed");
            }
            if let Some(lost_at) = gang.lost_at {
                let ended = lost_at.elapsed() >= spread(task, run);
                let fails = draw(task, run, 6) < OTHERS_FAIL;
                return ended.then_some(if fails { "failed" } else { "broken" });
            }
            let Some(at) = gang.complete_at else {
                return (gang.since.elapsed() > GANG_WAIT).then_some("alone");
            };
            gang.is_done |= at.elapsed() >= Duration::from_millis(order.duration_ms);
            gang.is_done.then_some("done")
        })
    }
}
