//! How long the tasks of each queue really take, learnt from the runs that ended well.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::ledger::Job;
use crate::batch::model::Lifetime;

/// Weight of a new run in a queue's means.
const WEIGHT: f64 = 0.02;
/// Runs before a queue's means are believed.
const ENOUGH: u32 = 20;
/// Mean error of declared times, as the size of the logarithm of seen by declared, above which they
/// are not believed alone. Short work of the users is off by a fifth, long work by up to nine
/// tenths either way.
const ROUGH: f64 = 0.45;

#[derive(Clone, Copy, Debug, Default)]
struct Profile {
    mean: f64,
    error: f64,
    runs: u32,
    /// Mean logarithm of the declared times, in seconds.
    declared: f64,
    jobs: u32,
}

impl Profile {
    fn usual_declared(&self) -> Duration {
        if self.jobs == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.declared.exp())
    }
}

/// What is known of all queues.
#[derive(Debug, Default)]
pub(super) struct Profiles(HashMap<CompactString, Profile>);

impl Profiles {
    /// Takes a run in.
    pub(super) fn learn(&mut self, queue: &CompactString, declared: Duration, seen: Duration) {
        if declared.is_zero() || seen.is_zero() {
            return;
        }
        let profile = self.0.entry(queue.clone()).or_default();
        profile.runs += 1;
        let weight = WEIGHT.max(1.0 / f64::from(profile.runs));
        let (declared, seen) = (declared.as_secs_f64(), seen.as_secs_f64());
        profile.mean += (seen - profile.mean) * weight;
        profile.error += ((seen / declared).ln().abs() - profile.error) * weight;
    }

    /// Takes in what a job declares.
    pub(super) fn declared(&mut self, job: &Job) {
        let steps = job.spec.steps.iter();
        for step in steps.filter(|s| s.lifetime == Lifetime::Finite && !s.estimate.is_zero()) {
            let profile = self.0.entry(job.queue.name.clone()).or_default();
            profile.jobs += 1;
            let weight = WEIGHT.max(1.0 / f64::from(profile.jobs));
            profile.declared += (step.estimate.as_secs_f64().ln() - profile.declared) * weight;
        }
    }

    /// Run time to reckon with for a task that declares `declared`.
    ///
    /// A job whose time is declared far too short would look late as soon as it is handed in, fall
    /// behind all others and never be served. Where declared times are rough, no task is taken for
    /// shorter than its queue's mean. Until enough runs were seen, as after a change of leader,
    /// the mean of what the queue's jobs declare stands in for it.
    pub(super) fn expected(&self, queue: &CompactString, declared: Duration) -> Duration {
        match self.0.get(queue) {
            Some(p) if p.runs < ENOUGH => declared.max(p.usual_declared()),
            Some(p) if p.error > ROUGH => declared.max(Duration::from_secs_f64(p.mean)),
            _ => declared,
        }
    }
}
