//! The leader's record of one incarnation of a minion: its clock, its lease and its runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::ORDER_EXPIRY;
use super::health::Health;
use super::order::{CallFailure, Target};
use super::quota::Charge;
use super::sharing::Sharing;
use super::speed::Pace;
use crate::batch::ledger::Crash;
use crate::batch::model::{MinionNumber, MinionReport, Readiness, RunNumber, TaskId};
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// Slowest rate of a minion's clock relative to this replica's, as the platform guarantees it.
pub(super) const CLOCK_RATE: f64 = 0.98;

/// Age up to which a sign of life counts as evidence that a minion is up.
const SIGN_OF_LIFE_MAX_AGE: Duration = Duration::from_millis(100);

/// Time for which a minion that counts as draining must report itself ready to be in service again:
/// longer than reports are on their way.
const READY_FOR: Duration = Duration::from_secs(3);

/// Time after which a call that was neither refused nor answered must have been accepted.
const ACCEPTED_AFTER: Duration = Duration::from_millis(50);

/// A reading of a minion's clock, taken between sending the request and receiving the answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// On the minion's clock.
    value: Duration,
    /// On this replica's clock, as is `received`.
    sent: Timestamp,
    received: Timestamp,
}

impl ClockReading {
    /// Upper bound of the minion's clock at `now`.
    fn latest(&self, now: Timestamp) -> Duration {
        self.value + now.saturating_sub(self.sent)
    }

    /// Lower bound of the minion's clock at `now`.
    pub(super) fn earliest(&self, now: Timestamp) -> Duration {
        self.value + now.saturating_sub(self.received).mul_f64(CLOCK_RATE)
    }
}

/// State of a minion's hold, of which there is at most one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldState {
    /// No hold is pending; the next may be sent at this time.
    Due(Timestamp),
    /// A hold was sent; the minion may wait this long before it answers.
    Waiting(Duration),
}

/// Signs that an incarnation of a minion has ended or will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    /// No such sign.
    Present,
    /// Another incarnation reported from the same address at this time.
    Displaced(Timestamp),
    /// It announced at this time that it ends.
    Leaving(Timestamp),
}

/// A start order without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnansweredStart {
    pub(super) task: TaskId,
    pub(super) run: RunNumber,
    pub(super) sent: Timestamp,
}

impl UnansweredStart {
    /// Whether the minion, or its next incarnation, may still carry the order out.
    pub(super) fn may_still_start(&self, now: Timestamp) -> bool {
        now < self.sent + ORDER_EXPIRY
    }
}

/// A run that a minion lists but that the leader doesn't track there. It is stopped.
#[derive(Clone, Debug)]
pub(super) struct OrphanedRun {
    /// Room that it uses on its minion.
    pub(super) room: Resources,
    /// Its workspace and the need that counts against the limit there; `None` if its job is unknown
    /// or belongs to no workspace.
    pub(super) owned: Option<(WorkspaceName, Resources)>,
    /// When an order to stop it was last sent.
    pub(super) stop_sent: Timestamp,
}

impl OrphanedRun {
    /// Its charge against the limit of its workspace; `None` without a workspace.
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

/// State of one incarnation of a minion. A restart gets a new number and record.
#[derive(Debug)]
pub(super) struct Minion {
    pub(super) number: MinionNumber,
    pub(super) report: MinionReport,
    /// Number of its rack; minions without a rack label share one.
    pub(super) rack: usize,
    /// It gets no new work, as it has reported or announced that it drains.
    pub(super) draining: bool,
    /// Its return to service is not committed, so a new leader would take it for draining.
    pub(super) return_uncommitted: bool,
    /// When it first reported itself ready while it counted as draining.
    pub(super) ready_since: Option<Timestamp>,
    /// Earliest time at which it ends, as it reported; `None` if it did not say.
    pub(super) ends_after: Option<Timestamp>,
    /// It reports a service that isn't configured. It may not be a minion at all and gets no calls.
    pub(super) foreign: bool,
    pub(super) presence: Presence,
    /// It has answered a hold with this leader's token, so it refuses orders of earlier leaders.
    pub(super) fenced: bool,
    /// When leases granted by earlier leaders are certainly over, on this replica's clock.
    pub(super) earlier_leases_until: Timestamp,
    /// Highest deadline of a lease or a start that this leader has sent: a point in time on the
    /// minion's clock, or zero if none was sent.
    pub(super) lease: Duration,
    clock: Option<ClockReading>,
    /// When an answer with its clock was last received, or else when this record was made.
    pub(super) heard: Timestamp,
    /// When its last report was received, or else when this record was made.
    pub(super) reported: Timestamp,
    /// Latest time at which it is known to have been up.
    last_sign_of_life: Timestamp,
    /// When a connection that it had accepted broke; reset by an answer.
    broke: Option<Timestamp>,
    /// Earliest time by which it is known to have been down; reset by an answer.
    down_by: Option<Timestamp>,
    /// Holds in a row that were refused or got no answer; reset by any answer with its clock.
    pub(super) failed_holds: u32,
    pub(super) hold: HoldState,
    /// When the latest unanswered order was sent; reset by the answer to a later one.
    unanswered: Option<Timestamp>,
    /// Number of the last end taken from its listings.
    pub(super) seen_end: u64,
    /// Number of the last end that is committed and may be acknowledged.
    pub(super) acked_end: u64,
    /// Room of its runs, including runs that are being stopped.
    pub(super) used: Resources,
    /// Millicores declared by tasks that use idle CPU; not part of `used`.
    pub(super) idle_cpu_demand: u32,
    /// Number of runs that use idle CPU.
    pub(super) best_effort: u32,
    /// Number of runs with a latency target.
    pub(super) serving: u32,
    /// Speed of the runs that use idle CPU beside those with a latency target; `None` while there
    /// are not both.
    pub(super) sharing: Option<Sharing>,
    /// Number of lasting runs.
    pub(super) lasting: u32,
    pub(super) runs: BTreeSet<TaskId>,
    /// Runs that it lists but that the leader doesn't track there.
    pub(super) orphaned_runs: BTreeMap<(TaskId, RunNumber), OrphanedRun>,
    /// It gets no work before this time, as its predecessors crashed one after another.
    pub(super) avoid_until: Timestamp,
    /// When this record was made.
    since: Timestamp,
    /// Number of runs on trial; nothing else starts beside one.
    pub(super) trials: u32,
    /// Suspected runs whose lease expired while it was silent. They count as causes of its crash if
    /// it turns out that it crashed.
    pub(super) lapsed: Vec<Crash>,
    /// Unanswered starts that the next incarnation of this id may still carry out.
    pub(super) unanswered_starts: Vec<UnansweredStart>,
    pub(super) health: Health,
    /// Run times observed on it.
    pub(super) pace: Pace,
}

/// Earliest time at which a minion ends by its report, received now; `None` if it doesn't say.
pub(super) fn ends_after(report: &MinionReport, now: Timestamp) -> Option<Timestamp> {
    match report.readiness {
        Readiness::Draining { remaining } => remaining.map(|left| now + left),
        Readiness::Ready => None,
    }
}

impl Minion {
    pub(super) fn new(number: MinionNumber, report: MinionReport, now: Timestamp) -> Self {
        Self {
            number,
            draining: report.readiness != Readiness::Ready,
            return_uncommitted: false,
            ready_since: None,
            ends_after: ends_after(&report, now),
            report,
            rack: 0,
            foreign: false,
            presence: Presence::Present,
            fenced: false,
            earlier_leases_until: Timestamp::ZERO,
            lease: Duration::ZERO,
            clock: None,
            heard: now,
            reported: now,
            last_sign_of_life: Timestamp::ZERO,
            broke: None,
            down_by: None,
            failed_holds: 0,
            hold: HoldState::Due(now),
            unanswered: None,
            seen_end: 0,
            acked_end: 0,
            used: Resources::default(),
            idle_cpu_demand: 0,
            best_effort: 0,
            serving: 0,
            sharing: None,
            lasting: 0,
            runs: BTreeSet::new(),
            orphaned_runs: BTreeMap::new(),
            avoid_until: Timestamp::ZERO,
            since: now,
            trials: 0,
            lapsed: Vec::new(),
            unanswered_starts: Vec::new(),
            health: Health::default(),
            pace: Pace::default(),
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

    /// Records that another incarnation reported from its address.
    pub(super) fn mark_displaced(&mut self, now: Timestamp) {
        if self.presence == Presence::Present {
            self.presence = Presence::Displaced(now);
        }
        self.make_hold_due(now);
    }

    /// Records that it answered a call sent at `sent`, so it was not displaced at an earlier time.
    ///
    /// A delayed report of a crashed incarnation can name the address of its successor. Without
    /// this, the successor would count as displaced permanently and get no more work.
    pub(super) fn confirm_presence(&mut self, sent: Timestamp) {
        if matches!(self.presence, Presence::Displaced(at) if sent >= at) {
            self.presence = Presence::Present;
        }
    }

    /// Records its announcement that it ends.
    pub(super) fn mark_leaving(&mut self, now: Timestamp) {
        if !matches!(self.presence, Presence::Leaving(_)) {
            self.presence = Presence::Leaving(now);
        }
        self.draining = true;
        self.make_hold_due(now);
    }

    /// Records a report of its own that it is ready. Returns whether it has reported so for long
    /// enough to be in service again if it counts as draining: the announcement of its end may have
    /// been that of a former incarnation.
    pub(super) fn is_back(&mut self, now: Timestamp) -> bool {
        if !self.draining {
            return false;
        }
        now >= *self.ready_since.get_or_insert(now) + READY_FOR
    }

    /// Puts it into service again.
    pub(super) fn mark_back(&mut self) {
        self.draining = false;
        self.return_uncommitted = true;
        self.ready_since = None;
        if matches!(self.presence, Presence::Leaving(_)) {
            self.presence = Presence::Present;
        }
    }

    /// Whether its leases must stay short, as a new leader may assume that they are.
    pub(super) fn has_short_leases(&self) -> bool {
        self.draining || self.return_uncommitted
    }

    /// Whether it announced its end and has answered no call since.
    pub(super) fn may_have_ended(&self) -> bool {
        matches!(self.presence, Presence::Leaving(at) if self.heard <= at)
    }

    /// Makes the next hold due now, if none is pending.
    pub(super) fn make_hold_due(&mut self, now: Timestamp) {
        if let HoldState::Due(at) = &mut self.hold {
            *at = now;
        }
    }

    /// Records the clock in the answer to a request sent at `sent`.
    pub(super) fn record_clock(&mut self, value: Duration, sent: Timestamp, now: Timestamp) {
        self.clock = Some(ClockReading {
            value,
            sent,
            received: now,
        });
        self.heard = now;
        self.broke = None;
        self.down_by = None;
        self.failed_holds = 0;
        if self.unanswered.is_some_and(|since| sent >= since) {
            self.unanswered = None;
        }
    }

    /// Whether its last sign of life is recent enough at `at` to count it as up.
    pub(super) fn is_known_up(&self, at: Timestamp) -> bool {
        at <= self.last_sign_of_life + SIGN_OF_LIFE_MAX_AGE
    }

    /// Whether it is known to have been up at `at` or later.
    pub(super) fn was_up_after(&self, at: Timestamp) -> bool {
        self.last_sign_of_life >= at
    }

    /// Records that it was up at `at`.
    pub(super) fn record_up(&mut self, at: Timestamp) {
        self.last_sign_of_life = self.last_sign_of_life.max(at);
    }

    /// Records its answer to the hold sent at `sent` as a sign of life. An answer to a hold without
    /// a wait was given at once and may have been delayed on the network, so it only shows that the
    /// minion was up at `sent`.
    pub(super) fn record_hold_answer(&mut self, sent: Timestamp, now: Timestamp) {
        let waited = matches!(self.hold, HoldState::Waiting(wait) if !wait.is_zero());
        self.record_up(if waited { now } else { sent });
    }

    /// Earliest time by which it is known to have been down. Calls without any reaction do not
    /// count: the minion may be cut off instead.
    pub(super) fn down_by(&self) -> Option<Timestamp> {
        self.down_by
    }

    /// Records that a call sent at `sent` got no answer.
    pub(super) fn record_failed_call(
        &mut self,
        sent: Timestamp,
        failure: CallFailure,
        now: Timestamp,
    ) {
        if matches!(failure, CallFailure::Refused | CallFailure::Broken) {
            self.down_by.get_or_insert(now);
        }
        // A connection that broke only after a while had been accepted, so the minion was up until
        // now.
        if failure == CallFailure::Broken && now >= sent + ACCEPTED_AFTER {
            self.record_up(now);
            self.broke.get_or_insert(now);
        }
    }

    /// Whether an accepted connection to it broke at `at` or later: unlike a late answer, this shows
    /// to within a few milliseconds how long it was up.
    pub(super) fn broke_after(&self, at: Timestamp) -> bool {
        self.broke.is_some_and(|broke| broke >= at)
    }

    /// Records an order sent at `sent` that got no answer. Until a later one is answered, the
    /// minion gets no new work: a hold takes 0.5 s and more to show that a minion is cut off, and
    /// hundreds of tasks were placed on such minions meanwhile, each waiting for its four start
    /// tries.
    pub(super) fn record_unanswered(&mut self, sent: Timestamp) {
        self.unanswered = self.unanswered.max(Some(sent));
    }

    /// Deadline on the minion's clock, at least `span` from now; `None` before the first clock
    /// reading.
    pub(super) fn deadline(&self, now: Timestamp, span: Duration) -> Option<Duration> {
        // Deadlines are sent in whole milliseconds.
        let deadline = self.clock?.latest(now) + span;
        Some(Duration::from_millis(deadline.as_millis() as u64))
    }

    /// Deadline on the minion's clock of a lease of at most `span` from now; `None` before the
    /// first clock reading.
    ///
    /// Computed from the lower bound of the clock. An answer that waited 2 s for an end leaves the
    /// clock uncertain by as much; computed from the upper bound, a lease of 10 s took 12 s to
    /// expire after its minion had crashed.
    pub(super) fn lease_deadline(&self, now: Timestamp, span: Duration) -> Option<Duration> {
        let deadline = self.clock?.earliest(now) + span;
        Some(Duration::from_millis(deadline.as_millis() as u64))
    }

    /// Whether the minion's clock has certainly passed `deadline`.
    pub(super) fn is_past(&self, deadline: Duration, now: Timestamp) -> bool {
        self.clock.is_some_and(|c| c.earliest(now) > deadline)
    }

    /// Whether all leases that any leader granted it are certainly over.
    ///
    /// A silent minion may continue its runs until its lease ends. Starting their tasks elsewhere
    /// before that would run them twice. Deadlines are absolute on its own clock, so orders carried
    /// out late extend nothing; only the clock's slowest rate must be allowed for. Leases are never
    /// shortened, so one granted by an earlier leader counts even if a later leader granted a
    /// shorter one.
    pub(super) fn lease_over(&self, now: Timestamp) -> bool {
        let own = self.lease.is_zero() || self.is_past(self.lease, now);
        own && now > self.earlier_leases_until
    }

    /// When `lease_over` holds if nothing extends the lease.
    pub(super) fn lease_end(&self, now: Timestamp) -> Timestamp {
        let left = |clock: ClockReading| self.lease.saturating_sub(clock.earliest(now));
        let left = self.clock.map_or(Duration::ZERO, left);
        (now + left.mul_f64(1.0 / CLOCK_RATE)).max(self.earlier_leases_until)
    }

    /// Time from when it was first known to when it was last heard.
    pub(super) fn lived(&self) -> Duration {
        self.heard.saturating_sub(self.since)
    }

    pub(super) fn free(&self) -> Resources {
        self.report.capacity.saturating_sub(&self.used)
    }

    /// Whether holds should be sent to it at all: it may hold runs, or its state is uncertain.
    pub(super) fn wants_hold(&self) -> bool {
        let in_doubt = !self.fenced || self.presence != Presence::Present || !self.is_responsive();
        self.is_busy() || (in_doubt && !self.foreign)
    }

    /// Whether a hold should be sent to it now.
    pub(super) fn hold_is_due(&self, now: Timestamp) -> bool {
        self.wants_hold() && matches!(self.hold, HoldState::Due(at) if now >= at)
    }

    /// Whether no hold or order has failed since the last one that was answered. One that is still
    /// pending has not failed.
    pub(super) fn is_responsive(&self) -> bool {
        self.failed_holds == 0 && self.unanswered.is_none()
    }

    /// Whether it may get new work now.
    pub(super) fn takes_work(&self, now: Timestamp) -> bool {
        let sound = self.is_responsive() && self.health.takes_work(now);
        let reported = self.report.has_resources();
        let avoided = now < self.avoid_until;
        self.fenced && self.stays() && !self.foreign && reported && sound && !avoided
    }

    /// Records a start that got no answer by `now`, and drops those that can no longer be carried
    /// out.
    pub(super) fn record_unanswered_start(&mut self, start: UnansweredStart, now: Timestamp) {
        self.unanswered_starts
            .retain(|start| start.may_still_start(now));
        self.unanswered_starts.push(start);
    }

    /// Whether a minion with its id that started at `started` is another incarnation.
    pub(super) fn is_other_incarnation(&self, started: Timestamp) -> bool {
        self.report.started.is_some_and(|known| known != started)
    }

    /// Whether there is no sign that it drains, ends or has been replaced.
    pub(super) fn stays(&self) -> bool {
        !self.draining && self.presence == Presence::Present
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.report.labels.iter().any(|l| l == label)
    }

    /// Whether it has, or may have, runs or unacknowledged ends.
    pub(super) fn is_busy(&self) -> bool {
        !self.runs.is_empty() || !self.orphaned_runs.is_empty() || self.seen_end > self.acked_end
    }
}
