//! Counters and simulated behaviour of a stand-in minion.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// How a stand-in minion handles requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinionBehaviour {
    /// Minimum service time.
    pub service_time: Duration,
    /// Maximum random time added to `service_time`.
    pub jitter: Duration,
    /// Percentage of requests answered with status 500.
    pub fail_percent: u8,
    /// Percentage of requests that take `hang` instead of the service time.
    pub hang_percent: u8,
    /// Service time of a request that hangs.
    pub hang: Duration,
    /// Size in bytes of the padding in each answer.
    pub answer_bytes: usize,
    /// Whether `GET /slots` reports the slots in use; otherwise it answers 404.
    pub reports_slots: bool,
    /// Whether to refuse requests with an epoch older than the newest one received.
    pub fences: bool,
}

impl Default for MinionBehaviour {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(5),
            jitter: Duration::ZERO,
            fail_percent: 0,
            hang_percent: 0,
            hang: Duration::from_secs(3600),
            answer_bytes: 0,
            reports_slots: true,
            fences: false,
        }
    }
}

/// Counters of a stand-in minion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionCounts {
    /// Requests begun, by idempotency key or path.
    pub by_key: BTreeMap<String, u32>,
    /// Requests begun, without the fenced ones.
    pub begun: u64,
    /// Requests in progress.
    pub in_work: u32,
    /// Requests in progress, by the epoch of the owner that sent them; 0 for none.
    pub in_work_by_epoch: BTreeMap<u64, u32>,
    /// Highest value of `in_work`.
    pub highest_in_work: u32,
    /// `in_work_by_epoch` at the moment `highest_in_work` was reached.
    pub highest_by_epoch: BTreeMap<u64, u32>,
    /// Open connections.
    pub connections: u32,
    /// Highest value of `connections`.
    pub highest_connections: u32,
    /// Requests refused because of an older epoch.
    pub fenced: u64,
}

impl MinionCounts {
    /// Keys with more than one request begun.
    pub fn doubled(&self) -> Vec<&str> {
        let doubled = self.by_key.iter().filter(|(_, n)| **n > 1);
        doubled.map(|(key, _)| key.as_str()).collect()
    }
}

struct Inner {
    behaviour: MinionBehaviour,
    counts: MinionCounts,
    highest_epoch: u64,
    rng: ChaCha8Rng,
}

/// State shared by the connections of one stand-in minion.
pub(super) struct MinionState {
    inner: Arc<Mutex<Inner>>,
}

/// Simulated handling of one request.
pub(super) struct RequestPlan {
    pub(super) work: CountGuard,
    pub(super) time: Duration,
    pub(super) status: StatusCode,
    pub(super) answer_bytes: usize,
}

/// Counts one request in progress or one open connection until dropped.
pub(super) struct CountGuard {
    inner: Arc<Mutex<Inner>>,
    count: fn(&mut MinionCounts) -> &mut u32,
    /// Epoch of a request; absent for a connection.
    epoch: Option<u64>,
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let mut inner = lock(&self.inner);
        *(self.count)(&mut inner.counts) -= 1;
        if let Some(epoch) = self.epoch
            && let Some(count) = inner.counts.in_work_by_epoch.get_mut(&epoch)
        {
            *count -= 1;
        }
    }
}

impl MinionState {
    pub(super) fn new(behaviour: MinionBehaviour, seed: u64) -> Self {
        let inner = Inner {
            behaviour,
            counts: MinionCounts::default(),
            highest_epoch: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    pub(super) fn set_behaviour(&self, behaviour: MinionBehaviour) {
        lock(&self.inner).behaviour = behaviour;
    }

    pub(super) fn counts(&self) -> MinionCounts {
        lock(&self.inner).counts.clone()
    }

    pub(super) fn in_work(&self) -> u32 {
        lock(&self.inner).counts.in_work
    }

    pub(super) fn reports_slots(&self) -> bool {
        lock(&self.inner).behaviour.reports_slots
    }

    /// Records the epoch of a request and returns whether to accept it. With `fences` set, an
    /// epoch older than the newest one is refused.
    pub(super) fn accepts_epoch(&self, epoch: Option<u64>) -> bool {
        let mut inner = lock(&self.inner);
        let Some(epoch) = epoch else {
            return true;
        };
        if inner.behaviour.fences && epoch < inner.highest_epoch {
            inner.counts.fenced += 1;
            return false;
        }
        inner.highest_epoch = inner.highest_epoch.max(epoch);
        true
    }

    pub(super) fn track_connection(&self) -> CountGuard {
        let mut inner = lock(&self.inner);
        let counts = &mut inner.counts;
        counts.connections += 1;
        counts.highest_connections = counts.highest_connections.max(counts.connections);
        self.count_guard(|counts| &mut counts.connections)
    }

    /// Counts a request as begun and draws its service time and status.
    pub(super) fn begin_request(&self, key: &str, epoch: Option<u64>) -> RequestPlan {
        let epoch = epoch.unwrap_or_default();
        let mut inner = lock(&self.inner);
        let counts = &mut inner.counts;
        *counts.by_key.entry(key.to_owned()).or_default() += 1;
        counts.begun += 1;
        counts.in_work += 1;
        *counts.in_work_by_epoch.entry(epoch).or_default() += 1;
        if counts.in_work > counts.highest_in_work {
            counts.highest_in_work = counts.in_work;
            counts.highest_by_epoch = counts.in_work_by_epoch.clone();
        }
        let (time, status) = inner.draw_outcome();
        let mut work = self.count_guard(|counts| &mut counts.in_work);
        work.epoch = Some(epoch);
        RequestPlan {
            work,
            time,
            status,
            answer_bytes: inner.behaviour.answer_bytes,
        }
    }

    fn count_guard(&self, count: fn(&mut MinionCounts) -> &mut u32) -> CountGuard {
        CountGuard {
            inner: self.inner.clone(),
            count,
            epoch: None,
        }
    }
}

impl Inner {
    fn draw_outcome(&mut self) -> (Duration, StatusCode) {
        let behaviour = &self.behaviour;
        let hangs = self.rng.random_range(0..100) < behaviour.hang_percent;
        let fails = self.rng.random_range(0..100) < behaviour.fail_percent;
        let extra = behaviour.jitter.mul_f64(self.rng.random());
        let time = if hangs {
            behaviour.hang
        } else {
            behaviour.service_time + extra
        };
        let status = if fails {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        (time, status)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
