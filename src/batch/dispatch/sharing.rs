//! How much tasks that use idle CPU may work on a minion beside tasks that serve requests.
//!
//! The minion reports the tail latency of each task that serves. While one is over its target, the
//! tasks that use idle CPU are slowed down, in two steps to a standstill; while all are well below
//! it, they are sped up again step by step. If a tail stays over its target at a standstill, they
//! aren't the cause: they work then, with short pauses in which the tail is checked again.

use std::time::Duration;

use crate::ids::Timestamp;

/// Share of their speed in percent. Each raise goes one level up.
const LEVELS: [u32; 5] = [0, 25, 50, 75, FULL_SPEED];
/// Speed of a run at its start, in percent.
pub(super) const FULL_SPEED: u32 = 100;
/// Speed when a minion begins to be shared: what it does to the tails isn't known yet.
const FIRST_SPEED: u32 = LEVELS[1];
/// Speed at which the tasks work while they aren't the cause of a tail over its target.
const BLAMELESS_SPEED: u32 = LEVELS[1];
/// Share of its target above which a tail counts as too high while others work beside it: the
/// figures are rough.
const HIGH: f64 = 0.9;
/// Share of its target up to which a tail allows a raise.
const LOW: f64 = 0.7;
/// Time over which a minion measures a tail.
const TAIL_WINDOW: Duration = Duration::from_millis(500);
/// Least time between two raises, and from a cut to the next raise.
const RAISE_PAUSE: Duration = Duration::from_millis(1_500);
/// Upper bound of that pause; it doubles when a raise is soon followed by a cut.
const RAISE_PAUSE_MAX: Duration = Duration::from_secs(30);
/// A cut within this time of a raise counts as caused by it.
const RAISE_BLAMED_FOR: Duration = Duration::from_secs(5);
/// First time for which a minion takes no tasks that use idle CPU, after some had to be stopped
/// there; it doubles each time.
const CLOSED_FOR: Duration = Duration::from_secs(10);
/// Upper bound of that time.
const CLOSED_FOR_MAX: Duration = Duration::from_secs(60);
/// For how long tasks that can't be slowed down are not stopped after a tail has stayed over its
/// target without them.
const BLAMELESS_FOR: Duration = Duration::from_secs(30);

/// Time bounds of the platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharingBounds {
    /// Time from an order to change the speed until it has its effect.
    pub(super) pace_delay: Duration,
    /// Longest time for which a tail may stay over its target because of other tasks.
    pub(super) interference_max: Duration,
}

/// The highest tail among the tasks that serve on a minion, relative to their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tail {
    Low,
    Near,
    High,
}

/// What the tasks that use idle CPU do on the minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BestEffortState {
    /// There are none.
    Absent,
    /// All have had the wanted speed since this time.
    Settled(Timestamp),
    /// The speed of some isn't known.
    Unsettled,
}

/// What has to be done beside setting the wanted speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Nothing.
    Fine,
    /// The runs without the wanted speed have to be stopped.
    Stop,
}

/// State of one minion that is shared, or was a short time ago.
#[derive(Clone, Debug)]
pub(super) struct Sharing {
    /// Wanted speed in percent.
    speed: u32,
    /// When the wanted speed was last changed.
    changed: Timestamp,
    /// When it was last raised.
    raised: Option<Timestamp>,
    raise_pause: Duration,
    /// Since when a tail has been over its target.
    high_since: Option<Timestamp>,
    /// Since when nothing that uses idle CPU has been there.
    absent_since: Option<Timestamp>,
    /// A tail was over its target while nothing that uses idle CPU worked, until when this holds
    /// for runs that can't be slowed down.
    blameless_until: Option<Timestamp>,
    /// Until when the minion takes no tasks that use idle CPU.
    closed_until: Timestamp,
    closed_for: Duration,
}

impl Sharing {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            speed: FIRST_SPEED,
            changed: now,
            raised: None,
            raise_pause: RAISE_PAUSE,
            high_since: None,
            absent_since: None,
            blameless_until: None,
            closed_until: Timestamp::ZERO,
            closed_for: CLOSED_FOR,
        }
    }

    /// Wanted speed of the tasks that use idle CPU, in percent.
    pub(super) fn speed(&self) -> u32 {
        self.speed
    }

    /// Whether the minion takes no tasks that use idle CPU.
    pub(super) fn is_closed(&self, now: Timestamp) -> bool {
        now < self.closed_until
    }

    /// Whether its state matters although nothing that uses idle CPU is there.
    pub(super) fn is_remembered(&self, now: Timestamp) -> bool {
        now < self.closed_until + CLOSED_FOR_MAX
            || self.blameless_until.is_some_and(|until| now < until)
    }

    /// Whether a tail is over its target, so that the next figures are urgent.
    pub(super) fn is_high(&self) -> bool {
        self.high_since.is_some()
    }

    /// Takes the highest tail in a listing, as a share of its target.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        tail: f64,
        state: BestEffortState,
        bounds: SharingBounds,
    ) -> Verdict {
        let works = state != BestEffortState::Absent && self.speed > 0;
        let tail = match tail {
            tail if tail > 1.0 || (works && tail > HIGH) => Tail::High,
            tail if tail > LOW => Tail::Near,
            _ => Tail::Low,
        };
        match state {
            BestEffortState::Absent => self.absent_since = self.absent_since.or(Some(now)),
            _ => self.absent_since = None,
        }
        if tail != Tail::High {
            self.high_since = None;
            self.blameless_until = None;
            self.raise_if_due(now, tail);
            return Verdict::Fine;
        }
        let since = *self.high_since.get_or_insert(now);
        // The figures show the wanted speed from then on.
        let settles = bounds.pace_delay + TAIL_WINDOW;
        match state {
            BestEffortState::Absent => {
                if self.absent_since.is_some_and(|at| now >= at + settles) {
                    self.blameless_until = Some(now + BLAMELESS_FOR);
                    self.closed_until = self.closed_until.min(now);
                }
            }
            BestEffortState::Unsettled => return self.unsettled(now, since, bounds),
            BestEffortState::Settled(at) if self.speed == 0 => {
                if now >= at + settles {
                    self.blameless_until = Some(now + BLAMELESS_FOR);
                    self.set_speed(now, BLAMELESS_SPEED);
                }
            }
            BestEffortState::Settled(at) => {
                let work = match self.blameless_until {
                    Some(_) => bounds.interference_max / 2,
                    None if self.speed > FIRST_SPEED => Duration::ZERO,
                    None => settles,
                };
                if now >= at + work {
                    self.cut(now);
                }
            }
        }
        Verdict::Fine
    }

    /// A tail is over its target and some runs don't have the wanted speed, as far as is known.
    fn unsettled(&mut self, now: Timestamp, since: Timestamp, bounds: SharingBounds) -> Verdict {
        if self.blameless_until.is_some_and(|until| now < until) {
            return Verdict::Fine;
        }
        if now < since + bounds.interference_max / 2 {
            self.set_speed(now, 0);
            return Verdict::Fine;
        }
        self.closed_until = now + self.closed_for;
        self.closed_for = (self.closed_for * 2).min(CLOSED_FOR_MAX);
        Verdict::Stop
    }

    fn cut(&mut self, now: Timestamp) {
        if self.blameless_until.is_none()
            && self.raised.is_some_and(|at| now < at + RAISE_BLAMED_FOR)
        {
            self.raise_pause = (self.raise_pause * 2).min(RAISE_PAUSE_MAX);
        }
        self.raised = None;
        let speed = if self.speed > FIRST_SPEED {
            FIRST_SPEED
        } else {
            0
        };
        self.set_speed(now, speed);
    }

    /// At a standstill the tasks get another try even while a tail is near its target.
    fn raise_if_due(&mut self, now: Timestamp, tail: Tail) {
        let allowed = tail == Tail::Low || self.speed == 0;
        if !allowed || self.speed == FULL_SPEED || now < self.changed + self.raise_pause {
            return;
        }
        let next = LEVELS.iter().find(|level| **level > self.speed);
        self.set_speed(now, next.copied().unwrap_or(FULL_SPEED));
        let steady = self.raised.is_some_and(|at| now >= at + RAISE_BLAMED_FOR);
        if steady {
            self.raise_pause = (self.raise_pause / 2).max(RAISE_PAUSE);
        }
        self.raised = Some(now);
    }

    fn set_speed(&mut self, now: Timestamp, speed: u32) {
        if speed != self.speed {
            self.speed = speed;
            self.changed = now;
        }
    }
}
