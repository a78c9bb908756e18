//! One incarnation of a minion in the leader's eyes: its clock, its lease, what it holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::STALE_ORDERS;
use super::crashes::Proof;
use super::order::{Silence, Target};
use super::quota::Charge;
use super::speed::Pace;
use crate::batch::ledger::Crash;
use crate::batch::model::{MinionNumber, MinionReport, Readiness, RunNumber, TaskId};
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// A minion's clock may run this much slower than ours; from the platform's contract.
pub(super) const CLOCK_RATE: f64 = 0.98;
/// Failures in a row before a minion gets no work. With one run in twenty failing by its own
/// fault, two in a row come by chance once in 400.
const FAILURES_TOLERATED: u32 = 2;
/// First time for which it gets none.
const AVOID: Duration = Duration::from_secs(1);

/// Age up to which an answer shows that a minion is up.
const RECENT: Duration = Duration::from_millis(100);

/// Time after which a call that was neither refused nor answered has been taken.
const TAKEN: Duration = Duration::from_millis(50);

/// A reading of a minion's clock. It was taken after the request left and before the answer came.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    value: Duration,
    sent: Timestamp,
    received: Timestamp,
}

impl ClockReading {
    /// The minion's clock is at most this at `now`.
    fn latest(&self, now: Timestamp) -> Duration {
        self.value + now.saturating_sub(self.sent)
    }

    /// The minion's clock is at least this at `now`.
    pub(super) fn earliest(&self, now: Timestamp) -> Duration {
        self.value + now.saturating_sub(self.received).mul_f64(CLOCK_RATE)
    }
}

/// Where the one hold of a minion stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldState {
    /// None is on the way; the next may leave then.
    Due(Timestamp),
    /// Sent, and may wait there for this long.
    Waiting(Duration),
}

/// What is known of a minion's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    /// Nothing.
    Here,
    /// Another one reported from its address then.
    Displaced(Timestamp),
    /// It said then that it ends.
    Left(Timestamp),
}

/// A start that brought no answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnsettledStart {
    pub(super) task: TaskId,
    pub(super) run: RunNumber,
    pub(super) sent: Timestamp,
}

impl UnsettledStart {
    /// Whether it may yet be carried out.
    pub(super) fn may_come(&self, now: Timestamp) -> bool {
        now < self.sent + STALE_ORDERS
    }
}

/// A run that a minion lists and no decision of ours stands behind.
#[derive(Clone, Debug)]
pub(super) struct Stray {
    /// Room that it takes of its minion.
    pub(super) room: Resources,
    /// What it counts against the limit of its workspace, if its job is known.
    pub(super) owned: Option<(WorkspaceName, Resources)>,
    /// When the minion was last told to stop it.
    pub(super) told: Timestamp,
}

impl Stray {
    /// How it counts against the limit of its workspace.
    pub(super) fn charge(&self, task: TaskId, run: RunNumber) -> Option<Charge<'_>> {
        let (owner, need) = self.owned.as_ref()?;
        Some(Charge {
            owner,
            run: (task, run),
            need: *need,
            lasting: false,
        })
    }
}

/// One incarnation of a minion.
#[derive(Debug)]
pub(super) struct Minion {
    pub(super) number: MinionNumber,
    pub(super) report: MinionReport,
    pub(super) rack: usize,
    pub(super) draining: bool,
    /// No configured service is its own: it may be no minion at all, and gets no calls.
    pub(super) foreign: bool,
    pub(super) presence: Presence,
    /// It started again and has not reported since: its capacity and labels may be others.
    pub(super) unreported: bool,
    /// It has answered a hold under this leader's token: orders of earlier leaders do nothing.
    pub(super) fenced: bool,
    /// Our time at which a lease granted by an earlier leader is over for sure.
    pub(super) assumed_until: Timestamp,
    /// Highest deadline this leader has sent, on the minion's clock.
    pub(super) lease: Duration,
    clock: Option<ClockReading>,
    pub(super) heard: Timestamp,
    pub(super) reported: Timestamp,
    /// Latest time at which it is known to have been up.
    last_sign: Timestamp,
    /// Earliest time by which it is known to have been down, unless it has answered since.
    down_by: Option<Timestamp>,
    /// Calls in a row that brought no answer.
    pub(super) silent_calls: u32,
    pub(super) hold: HoldState,
    /// When an order was sent that brought no answer; none once a later one has.
    unanswered: Option<Timestamp>,
    /// Last end taken from its list.
    pub(super) seen_end: u64,
    /// Last end that is agreed.
    pub(super) acked_end: u64,
    /// Room given away, runs that are being stopped included.
    pub(super) used: Resources,
    /// Processor use declared by tasks that fill; not part of `used`.
    pub(super) filling: u32,
    /// Serving tasks with a latency target.
    pub(super) serving: u32,
    pub(super) runs: BTreeSet<TaskId>,
    /// Runs that the minion lists and no decision of ours stands behind, with their room.
    pub(super) strays: BTreeMap<(TaskId, RunNumber), Stray>,
    /// Runs on trial; nothing else starts beside one.
    pub(super) trials: u32,
    /// Runs whose lease ran out while it was silent, and that caused its crash if it crashed.
    pub(super) lapsed: Vec<Crash>,
    /// The next incarnation of this name may carry them out.
    pub(super) unsettled: Vec<UnsettledStart>,
    /// Failed ends and refusals in a row.
    pub(super) failures: u32,
    /// Run times seen on it.
    pub(super) pace: Pace,
    /// No new work before then.
    pub(super) avoid_until: Timestamp,
}

impl Minion {
    pub(super) fn new(number: MinionNumber, report: MinionReport, now: Timestamp) -> Self {
        Self {
            number,
            draining: report.readiness != Readiness::Ready,
            report,
            rack: 0,
            foreign: false,
            presence: Presence::Here,
            unreported: false,
            fenced: false,
            assumed_until: Timestamp::ZERO,
            lease: Duration::ZERO,
            clock: None,
            heard: now,
            reported: now,
            last_sign: Timestamp::ZERO,
            down_by: None,
            silent_calls: 0,
            hold: HoldState::Due(now),
            unanswered: None,
            seen_end: 0,
            acked_end: 0,
            used: Resources::default(),
            filling: 0,
            serving: 0,
            runs: BTreeSet::new(),
            strays: BTreeMap::new(),
            trials: 0,
            lapsed: Vec::new(),
            unsettled: Vec::new(),
            failures: 0,
            pace: Pace::default(),
            avoid_until: Timestamp::ZERO,
        }
    }

    pub(super) fn target(&self) -> Target {
        Target {
            minion: self.number,
            id: self.report.id.clone(),
            addr: self.report.addr,
            zone: self.report.zone.clone(),
        }
    }

    /// Notes that another incarnation reports from its address.
    pub(super) fn displaced(&mut self, now: Timestamp) {
        if self.presence == Presence::Here {
            self.presence = Presence::Displaced(now);
        }
        self.look_at_once(now);
    }

    /// Notes that it answered a call sent at `sent`: whoever reported from its address is not there.
    ///
    /// A late report of an incarnation that crashed may come from the address of the one that took
    /// its place, which was passed over for good by it.
    pub(super) fn answers_itself(&mut self, sent: Timestamp) {
        if matches!(self.presence, Presence::Displaced(at) if sent >= at) {
            self.presence = Presence::Here;
        }
    }

    /// Notes its word that it ends.
    pub(super) fn left(&mut self, now: Timestamp) {
        if !matches!(self.presence, Presence::Left(_)) {
            self.presence = Presence::Left(now);
        }
        self.draining = true;
        self.look_at_once(now);
    }

    /// What shows that it has ended, when a call sent at `sent` brought no answer. What runs there
    /// may go on for `stop_time` after its word.
    ///
    /// Its host refuses connections for some 50 ms after the end and then takes no notice of them.
    /// While only a refusal was believed, a call that came later left the leader waiting for the
    /// end of the lease, and lasting tasks were away for more than 11 s. A call that was sent when
    /// all must be over and brings nothing says as much: a minion that still works answers it. One
    /// reset connection is no such call, so the second in a row counts.
    pub(super) fn shows_end(
        &self,
        sent: Timestamp,
        silence: Silence,
        stop_time: Duration,
    ) -> Option<Proof> {
        match (self.presence, silence) {
            (Presence::Here, _) => None,
            (_, Silence::Refused) => Some(Proof::Refused),
            (Presence::Left(at), Silence::Lost | Silence::Broken)
                if sent >= at + stop_time && self.silent_calls > 1 =>
            {
                Some(Proof::Silent)
            }
            _ => None,
        }
    }

    /// Has the next hold leave now, if none is on the way.
    pub(super) fn look_at_once(&mut self, now: Timestamp) {
        if let HoldState::Due(at) = &mut self.hold {
            *at = now;
        }
    }

    /// Notes the clock in an answer to a request sent at `sent`.
    pub(super) fn read_clock(&mut self, value: Duration, sent: Timestamp, now: Timestamp) {
        self.clock = Some(ClockReading {
            value,
            sent,
            received: now,
        });
        self.heard = now;
        self.down_by = None;
        self.silent_calls = 0;
        if self.unanswered.is_some_and(|since| sent >= since) {
            self.unanswered = None;
        }
    }

    /// Whether its last sign of life shows that it was up at `at`.
    pub(super) fn is_heard(&self, at: Timestamp) -> bool {
        at <= self.last_sign + RECENT
    }

    /// Whether it is known to have been up at `at` or later.
    pub(super) fn outlived(&self, at: Timestamp) -> bool {
        self.last_sign >= at
    }

    /// Notes that it was up at `at`.
    pub(super) fn was_up(&mut self, at: Timestamp) {
        self.last_sign = self.last_sign.max(at);
    }

    /// Notes its answer to the hold sent at `sent`. An answer to one that did not wait there was given
    /// at once, and may have been slow on its way.
    pub(super) fn answered_hold(&mut self, sent: Timestamp, now: Timestamp) {
        let waited = matches!(self.hold, HoldState::Waiting(wait) if !wait.is_zero());
        self.was_up(if waited { now } else { sent });
    }

    /// Whether it is known to have been down by `at`. One that brings nothing may be cut off as well.
    pub(super) fn was_down_by(&self, at: Timestamp) -> bool {
        self.down_by.is_some_and(|down| down <= at)
    }

    /// Notes that a call sent at `sent` brought no answer.
    pub(super) fn failed_call(&mut self, sent: Timestamp, silence: Silence, now: Timestamp) {
        if matches!(silence, Silence::Refused | Silence::Broken) {
            self.down_by.get_or_insert(now);
        }
        // A call that had waited for a while was taken by a minion that was up until then.
        if silence == Silence::Broken && now >= sent + TAKEN {
            self.was_up(now);
        }
    }

    /// Notes an order sent at `sent` that brought no answer. Until a later one does, the minion
    /// gets no new work: a hold takes half a second and more to show that a minion is cut off, and
    /// hundreds of tasks were placed on such minions meanwhile, each to wait for its four tries.
    pub(super) fn left_unanswered(&mut self, sent: Timestamp) {
        self.unanswered = self.unanswered.max(Some(sent));
    }

    /// Deadline that lies at least `span` ahead; none before the first reading of the clock.
    pub(super) fn deadline(&self, now: Timestamp, span: Duration) -> Option<Duration> {
        // Whole milliseconds travel.
        let exact = self.clock?.latest(now) + span;
        Some(Duration::from_millis(exact.as_millis() as u64))
    }

    /// Deadline of a lease of at most `span` from now; none before the first reading of the clock.
    ///
    /// Reckoned from the least that the clock may show. An answer that waited 2 s for an end leaves
    /// the clock uncertain by as much; reckoned from the most, a lease of 10 s was waited for 12 s
    /// after its minion had crashed.
    pub(super) fn lease_deadline(&self, now: Timestamp, span: Duration) -> Option<Duration> {
        let least = self.clock?.earliest(now) + span;
        Some(Duration::from_millis(least.as_millis() as u64))
    }

    /// Whether the minion's clock has passed `deadline` for sure.
    pub(super) fn is_past(&self, deadline: Duration, now: Timestamp) -> bool {
        self.clock.is_some_and(|c| c.earliest(now) > deadline)
    }

    /// Whether everything that any leader ever let it run is over for sure.
    ///
    /// A silent minion may run on until its lease ends. Starting its tasks elsewhere before that
    /// would run them twice. Deadlines are absolute on its own clock, so orders that are carried
    /// out late add nothing; only the clock's slowest rate has to be allowed for. Leases are never
    /// shortened, so one that an earlier leader gave counts also when a later one gave a shorter.
    pub(super) fn lease_over(&self, now: Timestamp) -> bool {
        let own = self.lease.is_zero() || self.is_past(self.lease, now);
        own && now > self.assumed_until
    }

    pub(super) fn free(&self) -> Resources {
        self.report.capacity.saturating_sub(&self.used)
    }

    /// Whether it should be held at all.
    pub(super) fn wants_hold(&self) -> bool {
        let in_doubt = !self.fenced || self.presence != Presence::Here || !self.answers();
        self.is_busy() || (in_doubt && !self.foreign)
    }

    /// Whether a hold may be due, or it may have to be given up.
    pub(super) fn needs_tending(&self, now: Timestamp) -> bool {
        let due = matches!(self.hold, HoldState::Due(at) if now >= at);
        self.silent_calls > 0 || (due && self.wants_hold())
    }

    /// Whether its last order brought an answer.
    pub(super) fn answers(&self) -> bool {
        self.silent_calls == 0 && self.unanswered.is_none()
    }

    /// Whether new work may be given to it now.
    pub(super) fn takes_work(&self, now: Timestamp) -> bool {
        let sound = self.answers() && now >= self.avoid_until;
        self.fenced && self.stays() && !self.foreign && !self.unreported && sound
    }

    /// Notes a start that brought no answer by `now`.
    pub(super) fn left_unsettled(&mut self, start: UnsettledStart, now: Timestamp) {
        self.unsettled.retain(|start| start.may_come(now));
        self.unsettled.push(start);
    }

    /// Whether a minion of its name that started then is another incarnation.
    pub(super) fn is_other(&self, started: Timestamp) -> bool {
        self.report.started.is_some_and(|known| known != started)
    }

    /// Whether nothing tells of its end.
    pub(super) fn stays(&self) -> bool {
        !self.draining && self.presence == Presence::Here
    }

    /// Notes a failed run or a refusal. A minion on which several in a row fail gets no work for
    /// a while that doubles, so that one that fails everything does not eat up the attempts of
    /// every task; a single failure is usually the task's own.
    pub(super) fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures >= FAILURES_TOLERATED {
            let doubled = (self.failures - FAILURES_TOLERATED).min(3);
            self.avoid_until = now + AVOID * 2_u32.pow(doubled);
        }
    }

    /// Notes a run that ended well.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.avoid_until = Timestamp::ZERO;
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.report.labels.iter().any(|l| l == label)
    }

    /// Whether it holds, or may hold, anything of ours.
    pub(super) fn is_busy(&self) -> bool {
        !self.runs.is_empty() || !self.strays.is_empty() || self.seen_end > self.acked_end
    }
}
