//! The scheduler: its state and the loop that decides starts.

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
use super::search::{self, Ask};
use super::teams::{Standing, Teams};
use crate::document::Policy;
use crate::ids::{JobName, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{Band, MemberLoss, TaskRun, WorkClass};

/// Bands in the order in which they are served.
pub(crate) const BY_PRIORITY: [Band; 4] = [Band::Urgent, Band::High, Band::Normal, Band::Spare];
/// How often what depends on time alone is looked at.
const SWEEP: Duration = Duration::from_millis(500);

/// Time after which a job is granted what it declared, if more was learnt and never free.
const LEARNT_PATIENCE: Duration = Duration::from_secs(120);

/// Places work by bands, quotas and classes of workers and of work.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cell: Cell,
    pub(crate) queues: Queues,
    pub(crate) teams: Teams,
    pub(crate) estimates: Estimates,
    pub(crate) policy: Policy,
    pub(crate) rng: ChaCha8Rng,
    /// Decisions that follow from events, given out by the next `decide`.
    pub(crate) pending: Vec<Decision>,
    /// Tasks whose backoff ends at a time.
    pub(crate) backoff: BinaryHeap<Reverse<(Timestamp, JobIx, u64, u32)>>,
    /// Cancelled jobs whose runs are still to be stopped.
    pub(crate) cancelled: VecDeque<(JobIx, u64)>,
    /// Workers whose room is held for one job.
    pub(crate) held: Vec<WorkerIx>,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) drains: BTreeMap<WorkerId, Timestamp>,
    /// Runs asked to save their state, and when to stop them instead.
    pub(crate) checkpoints: VecDeque<(Timestamp, TaskRun)>,
    pub(crate) quarantined: Vec<WorkerIx>,
    /// Queues kept from the room that is held back for quick work.
    pub(crate) held_back: Vec<QueueIx>,
    pub(crate) quick: super::headroom::Quick,
    /// Jobs whose runs of an older version are replaced in steps.
    pub(crate) updating: Vec<(JobIx, u64)>,
    /// Jobs that can never run as the cell is.
    pub(crate) never: Vec<(JobIx, u64)>,
    pub(crate) next_sweep: Timestamp,
}

/// What came of serving the head of a queue.
enum Served {
    /// Tasks started.
    Started(usize),
    /// The job had nothing to start now; the queue goes on.
    Skipped,
    /// Nothing fits.
    Blocked,
    /// The room that is left is held back for quick work.
    HeldBack,
}

impl Scheduler {
    /// Makes an empty scheduler; the seed drives the jitter of backoffs only.
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
            held_back: Vec::new(),
            quick: super::headroom::Quick::default(),
            updating: Vec::new(),
            never: Vec::new(),
            next_sweep: Timestamp::ZERO,
        }
    }

    /// Puts a job with waiting tasks into its queue and lets it be served.
    pub(crate) fn enqueue(&mut self, ix: JobIx) {
        let job = self.cell.job(ix);
        if job.closed || job.never.is_some() || job.waiting.is_empty() {
            return;
        }
        if job.queue.is_none() {
            let spec = job.spec.clone();
            let place = (job.order, job.seq);
            let team = self.teams.ix(&spec.team);
            let queue = self.queues.insert(ix, &spec, team, place);
            self.cell.job_mut(ix).queue = Some(queue);
        }
        let queue = self.cell.job(ix).queue.expect("queued job");
        self.wake(queue);
    }

    /// Takes a job out of its queue.
    pub(crate) fn dequeue(&mut self, ix: JobIx) {
        let job = self.cell.job_mut(ix);
        let place = (job.order, job.seq);
        if let Some(queue) = job.queue.take() {
            self.queues.remove(queue, place);
        }
    }

    /// Lets a queue be served at its present place.
    pub(crate) fn wake(&mut self, queue: QueueIx) {
        let q = self.queues.get(queue);
        let Some(head) = q.head() else {
            return;
        };
        if self.queues.work(q.work).blocked && self.cell.job(head).holds == 0 {
            return;
        }
        let grant = self.estimates.grant(&self.cell.job(head).spec);
        let standing = self.teams.standing(q.team, &grant, &self.cell.total);
        self.queues.make_ready(queue, standing);
    }

    /// Lets the queues be served whose work fits into the room of a worker.
    pub(crate) fn wake_for(&mut self, ix: WorkerIx) {
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
                let work = q.work;
                self.queues.work_mut(work).blocked = false;
                self.wake(queue);
            }
        }
    }

    /// Serves the bands in order until `limit` tasks are started.
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
                if let Some(standing) = self.later_standing(&key) {
                    self.queues.make_ready(key.queue, standing);
                    continue;
                }
                match self.serve_queue(now, key.queue, left, out) {
                    Served::Started(n) => left = left.saturating_sub(n),
                    Served::Skipped => {}
                    Served::Blocked => self.queues.block(key.queue),
                    Served::HeldBack => {
                        self.queues.block(key.queue);
                        self.held_back.push(key.queue);
                    }
                }
                if self.queues.exists(key.queue) && !self.queues.blocked.contains(&key.queue) {
                    self.wake(key.queue);
                }
            }
        }
    }

    /// Tasks that the head of a queue starts at once. A gang larger than the whole limit is
    /// started alone.
    fn gang_size(&self, queue: QueueIx) -> usize {
        let head = self.queues.get(queue).head().map(|ix| self.cell.job(ix));
        head.filter(|job| job.spec.class == WorkClass::Gang)
            .map_or(1, |job| job.waiting.len())
    }

    /// A queue's place now, if its team uses more than when the queue became ready.
    fn later_standing(&self, key: &ReadyKey) -> Option<Standing> {
        let q = self.queues.get(key.queue);
        let head = q.head()?;
        let grant = self.estimates.grant(&self.cell.job(head).spec);
        let now = self.teams.standing(q.team, &grant, &self.cell.total);
        (now > key.standing).then_some(now)
    }

    fn serve_queue(
        &mut self,
        now: Timestamp,
        queue: QueueIx,
        left: usize,
        out: &mut Vec<Decision>,
    ) -> Served {
        let q = self.queues.get(queue);
        let work = q.work;
        let Some(ix) = q.head() else {
            return Served::Blocked;
        };
        let job = self.cell.job(ix);
        if self.queues.work(work).blocked && job.holds == 0 {
            return Served::Blocked;
        }
        if job.closed || job.waiting.is_empty() || !startable(job) {
            self.dequeue(ix);
            self.finish_if_over(ix);
            return Served::Skipped;
        }
        let spec = job.spec.clone();
        let grant = self.grant_for(now, ix);
        let n = if spec.class == WorkClass::Gang {
            job.waiting.len() as u32
        } else {
            1
        };
        if self.is_held_back(ix, &grant, n) {
            return Served::HeldBack;
        }
        let served = if spec.class == WorkClass::Gang {
            self.start_gang(now, ix, grant, n, out)
        } else {
            self.start_some(now, ix, grant, left, out)
        };
        if let Served::Blocked = served {
            self.queues.work_mut(work).blocked = true;
            self.make_room(now, ix, &grant, out);
        }
        served
    }

    /// What a task of the job is granted: what was learnt, or the declared need where no worker
    /// could hold what was learnt, or where the job has waited for it in vain.
    pub(crate) fn grant_for(&self, now: Timestamp, ix: JobIx) -> Resources {
        let job = self.cell.job(ix);
        let spec = &job.spec;
        let learnt = self.estimates.grant(spec);
        if learnt == spec.need {
            return learnt;
        }
        let patient = now.saturating_sub(job.at) < LEARNT_PATIENCE;
        let fits = patient && search::any_group(&self.cell, spec, &learnt).is_some();
        if fits { learnt } else { spec.need }
    }

    /// Tries the jobs again that have waited in vain for what was learnt.
    pub(crate) fn wake_impatient(&mut self, now: Timestamp) {
        let blocked = self.queues.blocked.iter().copied();
        let impatient: Vec<QueueIx> = blocked
            .filter(|&q| {
                let head = self.queues.get(q).head();
                let job = head.map(|ix| self.cell.job(ix));
                job.is_some_and(|job| {
                    now.saturating_sub(job.at) >= LEARNT_PATIENCE
                        && self.estimates.grant(&job.spec) != job.spec.need
                })
            })
            .collect();
        for queue in impatient {
            let work = self.queues.get(queue).work;
            self.queues.work_mut(work).blocked = false;
            self.wake(queue);
        }
    }

    fn start_some(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        grant: Resources,
        left: usize,
        out: &mut Vec<Decision>,
    ) -> Served {
        let ends = now.saturating_add(self.expected_run_time(ix));
        let ask = Ask::new(&self.cell, ix, grant, ends);
        let Some(worker) = search::find(&self.cell, &ask, &self.held) else {
            return Served::Blocked;
        };
        let before = out.len();
        self.start_one(now, ix, worker, grant, out);
        self.start_more_there(now, ix, worker, grant, left, out);
        if self.cell.job(ix).waiting.is_empty() {
            self.dequeue(ix);
        }
        Served::Started(out.len() - before)
    }

    /// Fills the chosen worker with further tasks of the job while nothing else has a claim:
    /// one search then serves many starts. A team takes at most `RUN_LENGTH` before the
    /// others are looked at again.
    fn start_more_there(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        worker: WorkerIx,
        grant: Resources,
        left: usize,
        out: &mut Vec<Decision>,
    ) {
        const RUN_LENGTH: usize = 8;
        if self.cell.job(ix).spec.spread != crate::workload::Spread::None {
            return;
        }
        for _ in 1..left.min(RUN_LENGTH) {
            let w = self.cell.worker(worker);
            let more = !self.cell.job(ix).waiting.is_empty();
            if !more || w.hold.is_some() || !grant.fits_in(&w.room()) {
                return;
            }
            if self.is_held_back(ix, &grant, 1) {
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
    ) -> Served {
        let ends = now.saturating_add(self.expected_run_time(ix));
        let ask = Ask::new(&self.cell, ix, grant, ends);
        let Some(workers) = search::find_gang(&self.cell, &ask, n, &self.held) else {
            return Served::Blocked;
        };
        for worker in workers {
            self.start_one(now, ix, worker, grant, out);
        }
        self.dequeue(ix);
        Served::Started(n as usize)
    }

    /// Grants one start of the job's next waiting task.
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
        self.quick.started(&spec, &grant);
        self.use_hold(ix, worker);
        out.push(Decision::Start {
            run,
            worker: self.cell.worker(worker).spec.id.clone(),
            granted: grant,
        });
        r
    }

    /// How long a task of the job is expected to run; longest for long-running ones.
    pub(crate) fn expected_run_time(&self, ix: JobIx) -> Duration {
        let job = self.cell.job(ix);
        if job.long_running() {
            Duration::MAX
        } else {
            self.estimates.run_time(&job.spec)
        }
    }

    /// Removes a job of which nothing is left.
    pub(crate) fn finish_if_over(&mut self, ix: JobIx) {
        if self.cell.job(ix).over() {
            self.dequeue(ix);
            self.drop_holds_of(ix);
            self.cell.remove_job(ix);
        }
    }
}

/// Says whether a job's waiting tasks may start now: a gang that starts all again first has to
/// be gone as a whole.
fn startable(job: &super::records::Job) -> bool {
    if job.spec.class != WorkClass::Gang {
        return true;
    }
    let whole = job.running == 0 || job.spec.on_member_loss == MemberLoss::Replace;
    whole && job.backing_off == 0
}

impl Placer for Scheduler {
    fn handle(&mut self, now: Timestamp, event: Event) {
        self.take_in(now, event);
    }

    fn decide(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>) {
        out.append(&mut self.pending);
        self.stop_cancelled(out);
        self.end_backoffs(now);
        self.wake_held_back(now);
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
