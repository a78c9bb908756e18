//! Waiting jobs, in queues of like work of one team.
//!
//! Jobs that ask for the same make up one class of work. When nothing fits one of them, none
//! of the class is tried again until a worker gets enough room.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::records::{BANDS, JobIx};
use super::teams::{Standing, TeamIx};
use crate::ids::{AcceleratorName, KindName, Timestamp, ZoneName};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, Spread, WorkClass};

/// Position of a queue.
pub(crate) type QueueIx = u32;
/// Position of a class of work.
pub(crate) type WorkIx = u32;

/// What makes two tasks alike for placement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WorkKey {
    pub(crate) band: Band,
    kind: KindName,
    need: Resources,
    accelerator: Option<AcceleratorName>,
    zones: Vec<ZoneName>,
    spread: Spread,
    gang: u32,
    idempotent: bool,
    checkpoint: bool,
    run_time: Timestamp,
}

impl WorkKey {
    fn of(spec: &JobSpec) -> Self {
        Self {
            band: spec.band,
            kind: spec.kind.clone(),
            need: spec.need,
            accelerator: spec.accelerator.clone(),
            zones: spec.zones.clone(),
            spread: spec.spread,
            gang: if spec.class == WorkClass::Gang {
                spec.tasks
            } else {
                0
            },
            idempotent: spec.idempotent,
            checkpoint: spec.checkpoint,
            run_time: spec.run_time,
        }
    }
}

/// A class of work.
#[derive(Debug)]
pub(crate) struct Work {
    key: WorkKey,
    /// Nothing fitted at the last try, and no worker got enough room since.
    pub(crate) blocked: bool,
    queues: u32,
}

/// Place of a queue among those of its band; the first is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyKey {
    pub(crate) standing: Standing,
    pub(crate) order: Timestamp,
    pub(crate) seq: u64,
    pub(crate) queue: QueueIx,
}

/// Waiting jobs of one team and one class of work, by their order.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) band: Band,
    pub(crate) team: TeamIx,
    pub(crate) work: WorkIx,
    jobs: BTreeMap<(Timestamp, u64), JobIx>,
    ready: Option<ReadyKey>,
}

impl Queue {
    /// The job that is served next.
    pub(crate) fn head(&self) -> Option<JobIx> {
        self.jobs.first_key_value().map(|(_, &job)| job)
    }

    /// Number of jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Number of jobs before one of the queue.
    pub(crate) fn ahead_of(&self, order: Timestamp, seq: u64) -> usize {
        self.jobs.range(..(order, seq)).count()
    }
}

/// All queues.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    queues: Vec<Option<Queue>>,
    spare: Vec<QueueIx>,
    by_key: BTreeMap<(TeamIx, WorkIx), QueueIx>,
    works: Vec<Option<Work>>,
    spare_works: Vec<WorkIx>,
    work_ix: HashMap<WorkKey, WorkIx>,
    ready: [BTreeSet<ReadyKey>; BANDS],
    /// Queues with jobs that are not ready.
    pub(crate) blocked: BTreeSet<QueueIx>,
}

impl Queues {
    pub(crate) fn get(&self, ix: QueueIx) -> &Queue {
        self.queues[ix as usize].as_ref().expect("live queue")
    }

    fn get_mut(&mut self, ix: QueueIx) -> &mut Queue {
        self.queues[ix as usize].as_mut().expect("live queue")
    }

    pub(crate) fn work(&self, ix: WorkIx) -> &Work {
        self.works[ix as usize].as_ref().expect("live class")
    }

    pub(crate) fn work_mut(&mut self, ix: WorkIx) -> &mut Work {
        self.works[ix as usize].as_mut().expect("live class")
    }

    /// All queues with jobs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (QueueIx, &Queue)> {
        let all = self.queues.iter().enumerate();
        all.filter_map(|(i, q)| q.as_ref().map(|q| (i as QueueIx, q)))
    }

    /// The ready queues of one team.
    pub(crate) fn ready_of(&self, team: TeamIx) -> Vec<QueueIx> {
        let of_team = self.by_key.range((team, 0)..=(team, WorkIx::MAX));
        of_team
            .map(|(_, &ix)| ix)
            .filter(|&ix| self.get(ix).ready.is_some())
            .collect()
    }

    /// Puts a job into the queue of its team and class of work.
    pub(crate) fn insert(
        &mut self,
        job: JobIx,
        spec: &JobSpec,
        team: TeamIx,
        place: (Timestamp, u64),
    ) -> QueueIx {
        let work = self.work_of(spec);
        let ix = match self.by_key.get(&(team, work)) {
            Some(&ix) => ix,
            None => self.add_queue(spec.band, team, work),
        };
        self.get_mut(ix).jobs.insert(place, job);
        if self.get(ix).ready.is_none() {
            self.blocked.insert(ix);
        }
        ix
    }

    fn work_of(&mut self, spec: &JobSpec) -> WorkIx {
        let key = WorkKey::of(spec);
        if let Some(&ix) = self.work_ix.get(&key) {
            return ix;
        }
        let work = Work {
            key: key.clone(),
            blocked: false,
            queues: 0,
        };
        let ix = match self.spare_works.pop() {
            Some(ix) => {
                self.works[ix as usize] = Some(work);
                ix
            }
            None => {
                self.works.push(Some(work));
                (self.works.len() - 1) as WorkIx
            }
        };
        self.work_ix.insert(key, ix);
        ix
    }

    fn add_queue(&mut self, band: Band, team: TeamIx, work: WorkIx) -> QueueIx {
        self.work_mut(work).queues += 1;
        let queue = Queue {
            band,
            team,
            work,
            jobs: BTreeMap::new(),
            ready: None,
        };
        let ix = match self.spare.pop() {
            Some(ix) => {
                self.queues[ix as usize] = Some(queue);
                ix
            }
            None => {
                self.queues.push(Some(queue));
                (self.queues.len() - 1) as QueueIx
            }
        };
        self.by_key.insert((team, work), ix);
        ix
    }

    /// Takes a job out; an empty queue goes with it.
    pub(crate) fn remove(&mut self, ix: QueueIx, place: (Timestamp, u64)) {
        let queue = self.get_mut(ix);
        queue.jobs.remove(&place);
        if !queue.jobs.is_empty() {
            return;
        }
        let (team, work) = (queue.team, queue.work);
        self.unready(ix);
        self.blocked.remove(&ix);
        self.by_key.remove(&(team, work));
        self.queues[ix as usize] = None;
        self.spare.push(ix);
        let class = self.work_mut(work);
        class.queues -= 1;
        if class.queues == 0 {
            let key = self.works[work as usize].take().expect("live class").key;
            self.work_ix.remove(&key);
            self.spare_works.push(work);
        }
    }

    /// Says whether the place still names a queue.
    pub(crate) fn exists(&self, ix: QueueIx) -> bool {
        self.queues.get(ix as usize).is_some_and(Option::is_some)
    }

    /// Makes a queue ready at its present place.
    pub(crate) fn make_ready(&mut self, ix: QueueIx, standing: Standing) {
        let queue = self.get(ix);
        let Some((&(order, seq), _)) = queue.jobs.first_key_value() else {
            return;
        };
        let key = ReadyKey {
            standing,
            order,
            seq,
            queue: ix,
        };
        if queue.ready == Some(key) {
            return;
        }
        let band = queue.band as usize;
        self.unready(ix);
        self.ready[band].insert(key);
        self.blocked.remove(&ix);
        self.get_mut(ix).ready = Some(key);
    }

    fn unready(&mut self, ix: QueueIx) {
        let queue = self.get_mut(ix);
        let band = queue.band as usize;
        if let Some(key) = queue.ready.take() {
            self.ready[band].remove(&key);
        }
    }

    /// Takes a queue off the ready ones until it is woken.
    pub(crate) fn block(&mut self, ix: QueueIx) {
        self.unready(ix);
        self.blocked.insert(ix);
    }

    /// The queue of a band that is served next, with the place it had when it became ready.
    pub(crate) fn next(&self, band: Band) -> Option<ReadyKey> {
        self.ready[band as usize].first().copied()
    }
}
