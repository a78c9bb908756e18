//! Queues of waiting jobs, one per team and equivalence class.
//!
//! Jobs with the same placement requirements form an equivalence class. If one of them does not
//! fit, the whole class is blocked until a worker gets enough room.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::records::{BANDS, JobIx};
use super::teams::{FairShareRank, TeamIx};
use crate::ids::{AcceleratorName, KindName, Timestamp, ZoneName};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, Spread, WorkClass};

/// Index of a queue in [`Queues`].
pub(crate) type QueueIx = u32;
/// Index of an equivalence class in [`Queues`].
pub(crate) type EquivIx = u32;

/// The properties on which placement depends; jobs with equal keys are interchangeable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EquivKey {
    pub(crate) band: Band,
    kind: KindName,
    need: Resources,
    accelerator: Option<AcceleratorName>,
    zones: Vec<ZoneName>,
    spread: Spread,
    /// Number of tasks of a gang; 0 for other classes of work.
    gang: u32,
    idempotent: bool,
    checkpoint: bool,
    run_time: Timestamp,
}

impl EquivKey {
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

/// An equivalence class of jobs.
#[derive(Debug)]
pub(crate) struct EquivClass {
    key: EquivKey,
    /// The last attempt found no room, and no worker has got enough room since.
    pub(crate) blocked: bool,
    /// Number of queues with jobs of this class.
    queues: u32,
}

/// Sort key of a ready queue within its band; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyKey {
    pub(crate) rank: FairShareRank,
    pub(crate) queue_time: Timestamp,
    pub(crate) seq: u64,
    pub(crate) queue: QueueIx,
}

/// Waiting jobs of one team and one equivalence class, ordered by queue time, then arrival.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) band: Band,
    pub(crate) team: TeamIx,
    pub(crate) equiv: EquivIx,
    jobs: BTreeMap<(Timestamp, u64), JobIx>,
    ready: Option<ReadyKey>,
}

impl Queue {
    /// The job to be served next.
    pub(crate) fn head(&self) -> Option<JobIx> {
        self.jobs.first_key_value().map(|(_, &job)| job)
    }

    /// Number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Number of jobs served before the given position.
    pub(crate) fn ahead_of(&self, queue_time: Timestamp, seq: u64) -> usize {
        self.jobs.range(..(queue_time, seq)).count()
    }
}

/// The queues of all teams, and which of them are ready.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    queues: Vec<Option<Queue>>,
    unused_ixs: Vec<QueueIx>,
    by_key: BTreeMap<(TeamIx, EquivIx), QueueIx>,
    equivs: Vec<Option<EquivClass>>,
    unused_equivs: Vec<EquivIx>,
    equiv_ix: HashMap<EquivKey, EquivIx>,
    ready: [BTreeSet<ReadyKey>; BANDS],
    /// Queues that are not ready.
    pub(crate) blocked: BTreeSet<QueueIx>,
}

impl Queues {
    pub(crate) fn get(&self, ix: QueueIx) -> &Queue {
        self.queues[ix as usize].as_ref().expect("live queue")
    }

    fn get_mut(&mut self, ix: QueueIx) -> &mut Queue {
        self.queues[ix as usize].as_mut().expect("live queue")
    }

    pub(crate) fn equiv(&self, ix: EquivIx) -> &EquivClass {
        self.equivs[ix as usize].as_ref().expect("live class")
    }

    pub(crate) fn equiv_mut(&mut self, ix: EquivIx) -> &mut EquivClass {
        self.equivs[ix as usize].as_mut().expect("live class")
    }

    /// All queues; none of them is empty.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (QueueIx, &Queue)> {
        let all = self.queues.iter().enumerate();
        all.filter_map(|(i, q)| q.as_ref().map(|q| (i as QueueIx, q)))
    }

    /// The ready queues of one team.
    pub(crate) fn ready_of(&self, team: TeamIx) -> Vec<QueueIx> {
        let of_team = self.by_key.range((team, 0)..=(team, EquivIx::MAX));
        of_team
            .map(|(_, &ix)| ix)
            .filter(|&ix| self.get(ix).ready.is_some())
            .collect()
    }

    /// Adds a job to the queue of its team and equivalence class.
    pub(crate) fn insert(
        &mut self,
        job: JobIx,
        spec: &JobSpec,
        team: TeamIx,
        position: (Timestamp, u64),
    ) -> QueueIx {
        let equiv = self.equiv_of(spec);
        let ix = match self.by_key.get(&(team, equiv)) {
            Some(&ix) => ix,
            None => self.add_queue(spec.band, team, equiv),
        };
        self.get_mut(ix).jobs.insert(position, job);
        if self.get(ix).ready.is_none() {
            self.blocked.insert(ix);
        }
        ix
    }

    fn equiv_of(&mut self, spec: &JobSpec) -> EquivIx {
        let key = EquivKey::of(spec);
        if let Some(&ix) = self.equiv_ix.get(&key) {
            return ix;
        }
        let equiv = EquivClass {
            key: key.clone(),
            blocked: false,
            queues: 0,
        };
        let ix = match self.unused_equivs.pop() {
            Some(ix) => {
                self.equivs[ix as usize] = Some(equiv);
                ix
            }
            None => {
                self.equivs.push(Some(equiv));
                (self.equivs.len() - 1) as EquivIx
            }
        };
        self.equiv_ix.insert(key, ix);
        ix
    }

    fn add_queue(&mut self, band: Band, team: TeamIx, equiv: EquivIx) -> QueueIx {
        self.equiv_mut(equiv).queues += 1;
        let queue = Queue {
            band,
            team,
            equiv,
            jobs: BTreeMap::new(),
            ready: None,
        };
        let ix = match self.unused_ixs.pop() {
            Some(ix) => {
                self.queues[ix as usize] = Some(queue);
                ix
            }
            None => {
                self.queues.push(Some(queue));
                (self.queues.len() - 1) as QueueIx
            }
        };
        self.by_key.insert((team, equiv), ix);
        ix
    }

    /// Removes a job, and its queue and equivalence class if they become empty.
    pub(crate) fn remove(&mut self, ix: QueueIx, position: (Timestamp, u64)) {
        let queue = self.get_mut(ix);
        queue.jobs.remove(&position);
        if !queue.jobs.is_empty() {
            return;
        }
        let (team, equiv) = (queue.team, queue.equiv);
        self.unready(ix);
        self.blocked.remove(&ix);
        self.by_key.remove(&(team, equiv));
        self.queues[ix as usize] = None;
        self.unused_ixs.push(ix);
        let class = self.equiv_mut(equiv);
        class.queues -= 1;
        if class.queues == 0 {
            let key = self.equivs[equiv as usize].take().expect("live class").key;
            self.equiv_ix.remove(&key);
            self.unused_equivs.push(equiv);
        }
    }

    /// Whether the index still refers to a queue.
    pub(crate) fn exists(&self, ix: QueueIx) -> bool {
        self.queues.get(ix as usize).is_some_and(Option::is_some)
    }

    /// Makes a queue ready at the given rank.
    pub(crate) fn make_ready(&mut self, ix: QueueIx, rank: FairShareRank) {
        let queue = self.get(ix);
        let Some((&(queue_time, seq), _)) = queue.jobs.first_key_value() else {
            return;
        };
        let key = ReadyKey {
            rank,
            queue_time,
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

    /// Takes a queue out of the ready set until it is woken.
    pub(crate) fn block(&mut self, ix: QueueIx) {
        self.unready(ix);
        self.blocked.insert(ix);
    }

    /// The band's first ready queue, with the key it had when it became ready.
    pub(crate) fn next(&self, band: Band) -> Option<ReadyKey> {
        self.ready[band as usize].first().copied()
    }
}
