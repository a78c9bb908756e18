//! One incarnation of a minion: what it runs, and what it says of it.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccahold::batch::dispatch::{Answer, ListedEnd, ListedRun, Listing, StartOrder, StartRefusal};
use yuccahold::batch::model::{EndKind, MinionNumber, RunNumber, TaskId};
use yuccahold::resources::Resources;

use super::{UNIX, ms};

const LEASE_MAX: Duration = ms(6_000);

struct Running {
    run: RunNumber,
    need: Resources,
    ends_at: Option<Duration>,
}

/// A hold that waits for an end.
pub struct Pending {
    pub sent: Duration,
    pub until: Duration,
    pub to: MinionNumber,
}

pub struct Life {
    began: Duration,
    running: BTreeMap<TaskId, Running>,
    /// Highest run of each task that was stopped or has ended.
    past: BTreeMap<TaskId, RunNumber>,
    ended: Vec<ListedEnd>,
    last_end: u64,
    lease: Duration,
    token: u64,
    pub pending: Option<Pending>,
    pub crashes_at: Option<Duration>,
}

impl Life {
    pub fn new(now: Duration) -> Self {
        Self {
            began: now,
            running: BTreeMap::new(),
            past: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            lease: Duration::ZERO,
            token: 0,
            pending: None,
            crashes_at: None,
        }
    }

    /// Unix time of its start.
    pub fn started(&self) -> Duration {
        UNIX + self.began
    }

    pub fn clock(&self, now: Duration) -> Duration {
        now - self.began
    }

    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.running.keys().copied()
    }

    pub fn runs(&self, task: TaskId) -> bool {
        self.running.contains_key(&task)
    }

    pub fn used(&self) -> Resources {
        let needs = self.running.values().map(|r| &r.need);
        needs.fold(Resources::ZERO, |sum, need| sum.saturating_add(need))
    }

    /// What runs of some tasks take.
    pub fn millicores_of(&self, wanted: impl Fn(&TaskId) -> bool) -> u32 {
        let running = self.running.iter().filter(|(task, _)| wanted(task));
        running.map(|(_, running)| running.need.millicores).sum()
    }

    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Whether it obeys an order under this token.
    pub fn admits(&mut self, token: u64) -> bool {
        let newer = token >= self.token;
        self.token = self.token.max(token);
        newer
    }

    fn extend(&mut self, now: Duration, deadline: Duration) {
        let longest = self.clock(now) + LEASE_MAX;
        self.lease = self.lease.max(deadline.min(longest));
    }

    /// Begins a run; tells whether it did, besides what it answers.
    pub fn begin(
        &mut self,
        now: Duration,
        start: &StartOrder,
        need: Resources,
        ends_at: Option<Duration>,
    ) -> (bool, Answer) {
        let clock = self.clock(now);
        let refused = |why| Answer::Refused {
            clock: Some(clock),
            why,
        };
        if !self.admits(start.token) {
            return (false, refused(StartRefusal::Fenced));
        }
        if clock > start.deadline {
            return (false, refused(StartRefusal::Late));
        }
        self.extend(now, start.deadline);
        if self.past.get(&start.task).is_some_and(|r| *r >= start.run) {
            return (false, refused(StartRefusal::Superseded));
        }
        let done = Answer::Done { clock: Some(clock) };
        let known = self.running.get(&start.task);
        if known.is_some_and(|r| r.run >= start.run) {
            return (false, done);
        }
        let run = start.run;
        let running = Running { run, need, ends_at };
        self.running.insert(start.task, running);
        (true, done)
    }

    pub fn stop(&mut self, now: Duration, task: TaskId, run: RunNumber) -> Answer {
        if self.running.get(&task).is_some_and(|r| r.run <= run) {
            self.end(task, EndKind::Stopped);
        }
        let past = self.past.entry(task).or_default();
        *past = run.max(*past);
        let clock = Some(self.clock(now));
        Answer::Done { clock }
    }

    pub fn end(&mut self, task: TaskId, kind: EndKind) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        let past = self.past.entry(task).or_default();
        *past = running.run.max(*past);
        self.last_end += 1;
        self.ended.push(ListedEnd {
            number: self.last_end,
            task,
            run: running.run,
            kind,
            checkpoint: Default::default(),
        });
    }

    /// Ends what is done, and everything once the lease is over.
    pub fn pass(&mut self, now: Duration) {
        let lapsed = self.clock(now) > self.lease;
        let over = |r: &Running| r.ends_at.is_some_and(|at| at <= now);
        let ended = self.running.iter().filter(|(_, r)| lapsed || over(r));
        let kind = |r: &Running| match over(r) {
            true => EndKind::Done,
            false => EndKind::Lapsed,
        };
        let ended: Vec<_> = ended.map(|(task, r)| (*task, kind(r))).collect();
        for (task, kind) in ended {
            self.end(task, kind);
        }
    }

    /// Takes note of a hold; gives the tasks whose end as done is acknowledged with it.
    pub fn hold(&mut self, now: Duration, acked: u64, deadline: Option<Duration>) -> Vec<TaskId> {
        self.extend(now, deadline.unwrap_or_default());
        let ended = std::mem::take(&mut self.ended);
        let (noted, left) = ended.into_iter().partition(|end| end.number <= acked);
        self.ended = left;
        let noted: Vec<ListedEnd> = noted;
        let done = noted.iter().filter(|end| end.kind == EndKind::Done);
        done.map(|end| end.task).collect()
    }

    pub fn listing(&self, now: Duration) -> Listing {
        let running = self.running.iter().map(|(task, r)| ListedRun {
            task: *task,
            run: r.run,
            checkpoint: Default::default(),
            percent: 50,
            load: 0,
        });
        Listing {
            started: Some(self.started()),
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
            unreadable: 0,
        }
    }
}
