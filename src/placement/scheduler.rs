//! The scheduler's state and the loop that starts tasks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::cell::Cell;
use super::estimates::Estimates;
use super::interface::{Decision, Event, Placer};
use super::queues::{QueueIx, Queues, ReadyKey};
use super::records::{JobIx, RunRef, WorkerIx};
use super::reservations::Reservation;
use super::search::{self, SearchRequest};
use super::teams::{FairShareRank, Teams};
use crate::document::Policy;
use crate::ids::{JobName, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{Band, MemberLoss, TaskRun, WorkClass};

/// Bands from the highest priority to the lowest.
pub(crate) const BY_PRIORITY: [Band; 4] = [Band::Urgent, Band::High, Band::Normal, Band::Spare];
/// Interval between checks that depend on time alone, such as drain deadlines.
const SWEEP: Duration = Duration::from_millis(500);

/// Waiting time after which a job is granted its declared need, so that a larger learnt size
/// that never becomes free cannot block it forever.
const LEARNT_SIZE_TIMEOUT: Duration = Duration::from_secs(120);

/// Places tasks by priority band and team quota, and searches the workers by classes of free room.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cell: Cell,
    pub(crate) queues: Queues,
    pub(crate) teams: Teams,
    pub(crate) estimates: Estimates,
    pub(crate) policy: Policy,
    pub(crate) rng: ChaCha8Rng,
    /// Decisions caused by events, emitted by the next `decide`.
    pub(crate) pending: Vec<Decision>,
    /// Tasks in backoff: end of the backoff, job, the job's `seq`, task index.
    pub(crate) backoff: BinaryHeap<Reverse<(Timestamp, JobIx, u64, u32)>>,
    /// Cancelled jobs (with their `seq`) whose runs still have to be stopped.
    pub(crate) cancelled: VecDeque<(JobIx, u64)>,
    /// Workers with a hold; each is held for one job.
    pub(crate) held: Vec<WorkerIx>,
    pub(crate) reservation: Option<Reservation>,
    /// Deadlines of drains, also of workers that have not joined yet.
    pub(crate) drains: BTreeMap<WorkerId, Timestamp>,
    /// Runs asked to checkpoint, with the time at which they are stopped instead.
    pub(crate) checkpoints: VecDeque<(Timestamp, TaskRun)>,
    pub(crate) quarantined: Vec<WorkerIx>,
    /// Queues that are blocked only by the capacity reserved for quick tasks.
    pub(crate) headroom_blocked: Vec<QueueIx>,
    pub(crate) quick_usage: super::headroom::QuickUsage,
    /// Jobs (with their `seq`) whose runs of an older specification are being replaced.
    pub(crate) updating: Vec<(JobIx, u64)>,
    /// Jobs (with their `seq`) that do not fit on any worker of this cell, even an empty one.
    pub(crate) unschedulable: Vec<(JobIx, u64)>,
    pub(crate) next_sweep: Timestamp,
}

/// Result of serving the head of a queue.
enum ServeResult {
    /// Number of tasks started.
    Started(usize),
    /// The job had nothing to start; serve the queue's next job.
    Skipped,
    /// No worker has room.
    Blocked,
    /// The remaining room is reserved for quick tasks.
    NoHeadroom,
}

impl Scheduler {
    /// Creates an empty scheduler; `seed` affects only the jitter of backoffs.
    pub fn new(seed: u64) -> Self {
        Self {
            cell: Cell::default(),
            queues: Queues::default(),
            teams: Teams::default(),
            estimates: Estimates::default(),
            policy: Policy::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            pending: Vec::new(),
            backoff: BinaryHeap::new(),
            cancelled: VecDeque::new(),
            held: Vec::new(),
            reservation: None,
            drains: BTreeMap::new(),
            checkpoints: VecDeque::new(),
            quarantined: Vec::new(),
            headroom_blocked: Vec::new(),
            quick_usage: super::headroom::QuickUsage::default(),
            updating: Vec::new(),
            unschedulable: Vec::new(),
            next_sweep: Timestamp::ZERO,
        }
    }

    /// Puts a job with waiting tasks into its queue and makes the queue ready.
    pub(crate) fn enqueue(&mut self, ix: JobIx) {
        let job = self.cell.job(ix);
        if job.closed || job.unschedulable.is_some() || job.waiting.is_empty() {
            return;
        }
        if job.queue.is_none() {
            let spec = job.spec.clone();
            let position = (job.queue_time, job.seq);
            let team = self.teams.ix(&spec.team);
            let queue = self.queues.insert(ix, &spec, team, position);
            self.cell.job_mut(ix).queue = Some(queue);
        }
        let queue = self.cell.job(ix).queue.expect("queued job");
        self.wake(queue);
    }

    /// Removes a job from its queue.
    pub(crate) fn dequeue(&mut self, ix: JobIx) {
        let job = self.cell.job_mut(ix);
        let position = (job.queue_time, job.seq);
        if let Some(queue) = job.queue.take() {
            self.queues.remove(queue, position);
        }
    }

    /// Makes a queue ready at its current rank, unless its equivalence class is blocked and the
    /// head has no hold.
    pub(crate) fn wake(&mut self, queue: QueueIx) {
        let q = self.queues.get(queue);
        let Some(head) = q.head() else {
            return;
        };
        if self.queues.equiv(q.equiv).blocked && self.cell.job(head).holds == 0 {
            return;
        }
        let grant = self.estimates.grant(&self.cell.job(head).spec);
        let rank = self.teams.rank(q.team, &grant, &self.cell.total);
        self.queues.make_ready(queue, rank);
    }

    /// Makes the blocked queues ready whose next task fits into the room of a worker.
    pub(crate) fn wake_fitting(&mut self, ix: WorkerIx) {
        let Some(worker) = self.cell.workers[ix as usize].as_ref() else {
            return;
        };
        if !worker.open() {
            return;
        }
        let room = worker.room();
        let blocked: Vec<QueueIx> = self.queues.blocked.iter().copied().collect();
        for queue in blocked {
            let q = self.queues.get(queue);
            let Some(head) = q.head() else {
                continue;
            };
            let spec = &self.cell.job(head).spec;
            if self.estimates.grant(spec).fits_in(&room) {
                let equiv = q.equiv;
                self.queues.equiv_mut(equiv).blocked = false;
                self.wake(queue);
            }
        }
    }

    /// Serves the bands in order of priority until `limit` tasks are started.
    fn serve(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>) {
        let mut left = limit;
        for band in BY_PRIORITY {
            while left > 0 {
                let Some(key) = self.queues.next(band) else {
                    break;
                };
                if left < limit && self.gang_size(key.queue) > left {
                    return;
                }
                if let Some(rank) = self.lowered_rank(&key) {
                    self.queues.make_ready(key.queue, rank);
                    continue;
                }
                match self.serve_queue(now, key.queue, left, out) {
                    ServeResult::Started(n) => left = left.saturating_sub(n),
                    ServeResult::Skipped => {}
                    ServeResult::Blocked => self.queues.block(key.queue),
                    ServeResult::NoHeadroom => {
                        self.queues.block(key.queue);
                        self.headroom_blocked.push(key.queue);
                    }
                }
                if self.queues.exists(key.queue) && !self.queues.blocked.contains(&key.queue) {
                    self.wake(key.queue);
                }
            }
        }
    }

    /// Number of tasks that the head of a queue starts at once. A gang larger than `limit` is
    /// started in a call of its own.
    fn gang_size(&self, queue: QueueIx) -> usize {
        let head = self.queues.get(queue).head().map(|ix| self.cell.job(ix));
        head.filter(|job| job.spec.class == WorkClass::Gang)
            .map_or(1, |job| job.waiting.len())
    }

    /// The queue's current rank, if its team has been granted more since the queue became ready.
    fn lowered_rank(&self, key: &ReadyKey) -> Option<FairShareRank> {
        let q = self.queues.get(key.queue);
        let head = q.head()?;
        let grant = self.estimates.grant(&self.cell.job(head).spec);
        let current = self.teams.rank(q.team, &grant, &self.cell.total);
        (current > key.rank).then_some(current)
    }

    fn serve_queue(
        &mut self,
        now: Timestamp,
        queue: QueueIx,
        left: usize,
        out: &mut Vec<Decision>,
    ) -> ServeResult {
        let q = self.queues.get(queue);
        let equiv = q.equiv;
        let Some(ix) = q.head() else {
            return ServeResult::Blocked;
        };
        let job = self.cell.job(ix);
        if self.queues.equiv(equiv).blocked && job.holds == 0 {
            return ServeResult::Blocked;
        }
        if job.closed || job.waiting.is_empty() || !startable(job) {
            self.dequeue(ix);
            self.remove_if_finished(ix);
            return ServeResult::Skipped;
        }
        let spec = job.spec.clone();
        let grant = self.grant_for(now, ix);
        let n = if spec.class == WorkClass::Gang {
            job.waiting.len() as u32
        } else {
            1
        };
        if self.lacks_headroom(ix, &grant, n) {
            return ServeResult::NoHeadroom;
        }
        let served = if spec.class == WorkClass::Gang {
            self.start_gang(now, ix, grant, n, out)
        } else {
            self.start_tasks(now, ix, grant, left, out)
        };
        if let ServeResult::Blocked = served {
            self.queues.equiv_mut(equiv).blocked = true;
            self.make_room(now, ix, &grant, out);
        }
        served
    }

    /// Resources granted to a task of the job: the learnt size, or the declared need if no worker
    /// could hold the learnt size or the job has waited `LEARNT_SIZE_TIMEOUT` for it.
    pub(crate) fn grant_for(&self, now: Timestamp, ix: JobIx) -> Resources {
        let job = self.cell.job(ix);
        let spec = &job.spec;
        let learnt = self.estimates.grant(spec);
        if learnt == spec.need {
            return learnt;
        }
        let within_timeout = now.saturating_sub(job.accepted_at) < LEARNT_SIZE_TIMEOUT;
        let fits = within_timeout && search::find_empty_fit(&self.cell, spec, &learnt).is_some();
        if fits { learnt } else { spec.need }
    }

    /// Wakes the queues whose head has waited `LEARNT_SIZE_TIMEOUT` for its learnt size.
    pub(crate) fn retry_with_declared_need(&mut self, now: Timestamp) {
        let blocked = self.queues.blocked.iter().copied();
        let timed_out: Vec<QueueIx> = blocked
            .filter(|&q| {
                let head = self.queues.get(q).head();
                let job = head.map(|ix| self.cell.job(ix));
                job.is_some_and(|job| {
                    now.saturating_sub(job.accepted_at) >= LEARNT_SIZE_TIMEOUT
                        && self.estimates.grant(&job.spec) != job.spec.need
                })
            })
            .collect();
        for queue in timed_out {
            let equiv = self.queues.get(queue).equiv;
            self.queues.equiv_mut(equiv).blocked = false;
            self.wake(queue);
        }
    }

    fn start_tasks(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        grant: Resources,
        left: usize,
        out: &mut Vec<Decision>,
    ) -> ServeResult {
        let ends = now.saturating_add(self.expected_run_time(ix));
        let req = SearchRequest::new(&self.cell, ix, grant, ends);
        let Some(worker) = search::find(&self.cell, &req, &self.held) else {
            return ServeResult::Blocked;
        };
        let before = out.len();
        self.start_one(now, ix, worker, grant, out);
        self.start_more_on(now, ix, worker, grant, left, out);
        if self.cell.job(ix).waiting.is_empty() {
            self.dequeue(ix);
        }
        ServeResult::Started(out.len() - before)
    }

    /// Starts further tasks of the job on the chosen worker, so that one search serves many
    /// starts. At most `MAX_STARTS_PER_SEARCH` tasks start before other teams are considered.
    fn start_more_on(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        worker: WorkerIx,
        grant: Resources,
        left: usize,
        out: &mut Vec<Decision>,
    ) {
        const MAX_STARTS_PER_SEARCH: usize = 8;
        if self.cell.job(ix).spec.spread != crate::workload::Spread::None {
            return;
        }
        for _ in 1..left.min(MAX_STARTS_PER_SEARCH) {
            let w = self.cell.worker(worker);
            let more = !self.cell.job(ix).waiting.is_empty();
            if !more || w.hold.is_some() || !grant.fits_in(&w.room()) {
                return;
            }
            if self.lacks_headroom(ix, &grant, 1) {
                return;
            }
            self.start_one(now, ix, worker, grant, out);
        }
    }

    fn start_gang(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        grant: Resources,
        n: u32,
        out: &mut Vec<Decision>,
    ) -> ServeResult {
        let ends = now.saturating_add(self.expected_run_time(ix));
        let req = SearchRequest::new(&self.cell, ix, grant, ends);
        let Some(workers) = search::find_gang(&self.cell, &req, n, &self.held) else {
            return ServeResult::Blocked;
        };
        self.cell.job_mut(ix).gang_started();
        for worker in workers {
            self.start_one(now, ix, worker, grant, out);
        }
        self.dequeue(ix);
        ServeResult::Started(n as usize)
    }

    /// Grants one start to the job's next waiting task.
    pub(crate) fn start_one(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        worker: WorkerIx,
        grant: Resources,
        out: &mut Vec<Decision>,
    ) -> RunRef {
        let job = self.cell.job_mut(ix);
        let index = job.waiting.pop().expect("waiting task");
        let spec = job.spec.clone();
        let r = RunRef { job: ix, index };
        let run = self.cell.start(r, worker, grant, now);
        let team = self.teams.ix(&spec.team);
        self.teams.charge(team, &grant);
        self.quick_usage.task_started(&spec, &grant);
        self.consume_hold(ix, worker);
        out.push(Decision::Start {
            run,
            worker: self.cell.worker(worker).spec.id.clone(),
            granted: grant,
        });
        r
    }

    /// Expected run time of one task of the job; `Duration::MAX` for long-running ones.
    pub(crate) fn expected_run_time(&self, ix: JobIx) -> Duration {
        let job = self.cell.job(ix);
        if job.long_running() {
            Duration::MAX
        } else {
            self.estimates.run_time(&job.spec)
        }
    }

    /// Removes a job that has no tasks left to start or to wait for.
    pub(crate) fn remove_if_finished(&mut self, ix: JobIx) {
        if self.cell.job(ix).is_finished() {
            self.dequeue(ix);
            self.drop_job_holds(ix);
            self.cell.remove_job(ix);
        }
    }
}

/// Whether a job's waiting tasks may start now. A gang that restarts as a whole waits until all
/// its runs have ended.
fn startable(job: &super::records::Job) -> bool {
    if job.spec.class != WorkClass::Gang {
        return true;
    }
    let no_restart_pending = job.running == 0 || job.spec.on_member_loss == MemberLoss::Replace;
    no_restart_pending && job.backing_off == 0
}

impl Placer for Scheduler {
    fn apply(&mut self, now: Timestamp, event: Event) {
        self.apply_event(now, event);
    }

    fn decide(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>) {
        out.append(&mut self.pending);
        self.stop_cancelled(out);
        self.end_backoffs(now);
        self.wake_headroom_blocked(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            self.sweep(now, out);
        }
        self.serve(now, limit, out);
    }

    fn explain(&self, now: Timestamp, job: &JobName) -> Option<String> {
        self.explain_job(now, job)
    }
}
