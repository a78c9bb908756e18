//! Builder for traces generated from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::profiles::Profile;
use super::trace::{Change, FORMAT, Header, JobLine, Line, Trace, WorkerLine};
use crate::ids::WorkerId;
use crate::resources::Resources;

/// Collects the lines of a trace; the same seed and calls give the same trace.
pub(crate) struct Builder {
    pub(crate) header: Header,
    lines: Vec<Line>,
    pub(crate) rng: ChaCha8Rng,
    next: u32,
}

impl Builder {
    /// Creates an empty trace that ends after `until_s` seconds.
    pub(crate) fn new(name: &str, seed: u64, until_s: u64, profile: &Profile) -> Self {
        Self {
            header: Header {
                format: FORMAT,
                trace: name.into(),
                seed,
                until_ms: until_s * 1000,
                waiting_weight: profile.waiting_weight,
                ..Header::default()
            },
            lines: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: 0,
        }
    }

    pub(crate) fn add(&mut self, at_ms: u64, change: Change) {
        self.lines.push(Line { at_ms, change });
    }

    /// Adds the workers of a profile, distributed round-robin over its availability zones.
    pub(crate) fn workers(&mut self, profile: &Profile) {
        let zones = profile.zones.len() as u32;
        for i in 0..profile.workers {
            let zone = profile.zones[(i % zones) as usize];
            let rack = i / zones / profile.per_rack;
            let old = i % profile.old_every == profile.old_every - 1;
            let accelerated = i % profile.accelerated_every == 0;
            let (cores, memory_mb) = if old {
                (profile.cores * 3 / 4, profile.memory_mb / 2)
            } else {
                (profile.cores, profile.memory_mb)
            };
            let worker = WorkerLine {
                id: worker(i),
                zone: zone.into(),
                rack: format!("{zone}-r{rack}").into(),
                capacity: Resources::new(cores, memory_mb, if accelerated { 2 } else { 0 }),
                accelerator: accelerated.then(|| "a10".into()),
            };
            self.add(0, Change::Worker(worker));
        }
    }

    /// Adds a job with a unique name. Its actual run time is a random 0.5 to 1.3 times the declared
    /// one.
    pub(crate) fn job(&mut self, at_ms: u64, kind: &str, tasks: u32) -> JobLine {
        self.next += 1;
        let declared = self.header.kinds.get(kind).map_or(0, |k| k.run_ms);
        let spread = self.rng.random_range(0.5..1.3);
        let job = JobLine {
            name: format!("{kind}-{}", self.next).into(),
            kind: kind.into(),
            tasks,
            true_run_ms: (declared > 0).then_some((declared as f64 * spread) as u64),
            ..JobLine::default()
        };
        self.add(at_ms, Change::Job(job.clone()));
        job
    }

    /// Modifies the last line, if it is a job.
    pub(crate) fn change_last(&mut self, change: impl FnOnce(&mut JobLine)) {
        if let Some(Line {
            change: Change::Job(job),
            ..
        }) = self.lines.last_mut()
        {
            change(job);
        }
    }

    /// Adds jobs as a Poisson process with a mean of `per_second` arrivals a second.
    pub(crate) fn poisson(
        &mut self,
        span_ms: std::ops::Range<u64>,
        per_second: f64,
        kind: &str,
        tasks: std::ops::RangeInclusive<u32>,
    ) {
        let mut at = span_ms.start as f64;
        loop {
            let u: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at += -u.ln() * 1000.0 / per_second;
            if at >= span_ms.end as f64 {
                return;
            }
            let n = self.rng.random_range(tasks.clone());
            self.job(at as u64, kind, n);
        }
    }

    /// Sorts the lines by time; lines of the same time keep their order.
    pub(crate) fn finish(mut self) -> Trace {
        self.lines.sort_by_key(|line| line.at_ms);
        Trace {
            header: self.header,
            lines: self.lines,
        }
    }
}

/// ID of the worker with index `i` in a generated trace.
pub(crate) fn worker(i: u32) -> WorkerId {
    format!("w{i:04}").into()
}
