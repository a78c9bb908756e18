//! Refused callers that are due to return, in the order of their refusal.
//!
//! A caller that returns at the time it was given must not find that newcomers have taken the
//! capacity meant for it. Each refused caller therefore keeps a place, which newcomers are
//! evaluated behind.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::throughput::{Amounts, add};
use crate::ids::{ServiceName, Timestamp};

/// Hash of job id, queue and workspace.
pub(super) type CallerHash = u64;
/// Number of a place, in the order of the first refusals.
pub(super) type PlaceNumber = u64;

/// Most places kept.
const MAX_PLACES: usize = 4_096;
/// Time after its due time at which a place expires.
const EXPIRES_AFTER: Duration = Duration::from_secs(5);
/// Time after its due time for which a place counts against newcomers: `Retry-After` is rounded up
/// to whole seconds, and a request takes some time. The capacity of callers that do not return is
/// then available to others.
const MAX_DELAY: Duration = Duration::from_millis(1_250);

/// Callers whose return or absence is counted for the share that returns.
const COUNTED_CALLERS: f64 = 100.0;

/// Service and rank of a job; only places of the same or a better rank count against it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Standing {
    pub(super) service: ServiceName,
    /// Whether it is above the weight of its workspace.
    pub(super) excess: bool,
    /// Priority of the queue; 0 is the most urgent.
    pub(super) priority: u32,
}

impl Standing {
    /// Whether a job of this standing is served before jobs of standing `other`, or among them.
    pub(super) fn counts_for(&self, other: &Self) -> bool {
        self.service == other.service
            && (self.excess, self.priority) <= (other.excess, other.priority)
    }
}

/// Place of one refused caller.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) caller: CallerHash,
    pub(super) standing: Standing,
    pub(super) need: Amounts,
    /// When the caller was first refused.
    pub(super) refused: Timestamp,
    /// When the caller should return.
    pub(super) due: Timestamp,
}

/// Share of the refused callers that return, over about the last `COUNTED_CALLERS`.
#[derive(Debug)]
struct ReturnShare(f64);

impl Default for ReturnShare {
    /// All callers are expected to return until some have not.
    fn default() -> Self {
        Self(1.0)
    }
}

impl ReturnShare {
    fn learn(&mut self, returned: bool) {
        let sample = f64::from(u8::from(returned));
        self.0 += (sample - self.0) / COUNTED_CALLERS;
    }
}

/// Places of refused callers.
#[derive(Debug, Default)]
pub(super) struct Places {
    by_number: BTreeMap<PlaceNumber, Place>,
    numbers: HashMap<CallerHash, PlaceNumber>,
    last_number: PlaceNumber,
    /// Latest due time of each standing.
    last_due: BTreeMap<Standing, Timestamp>,
    return_share: ReturnShare,
}

impl Places {
    /// Number of places kept.
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Number and place of a caller; `None` if it has none.
    pub(super) fn of(&self, caller: CallerHash) -> Option<(PlaceNumber, &Place)> {
        let number = self.numbers.get(&caller)?;
        Some((*number, self.by_number.get(number)?))
    }

    /// Removes the place of a caller that returned.
    pub(super) fn remove(&mut self, caller: CallerHash) {
        if let Some(number) = self.numbers.remove(&caller) {
            self.return_share.learn(true);
            self.by_number.remove(&number);
        }
    }

    /// Removes expired places.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let (numbers, share) = (&mut self.numbers, &mut self.return_share);
        self.by_number.retain(|_, place| {
            let stays = now < place.due + EXPIRES_AFTER;
            if !stays {
                numbers.remove(&place.caller);
                share.learn(false);
            }
            stays
        });
        self.last_due.retain(|_, due| now < *due);
    }

    /// Keeps a place, or moves a kept one to its new due time without changing its number. Does
    /// nothing for a new caller when all places are used up.
    pub(super) fn keep(&mut self, place: Place) {
        let number = match self.numbers.get(&place.caller) {
            Some(number) => *number,
            None if self.by_number.len() >= MAX_PLACES => return,
            None => {
                self.last_number += 1;
                self.last_number
            }
        };
        let last = self.last_due.entry(place.standing.clone()).or_default();
        *last = place.due.max(*last);
        self.numbers.insert(place.caller, number);
        self.by_number.insert(number, place);
    }

    /// Latest due time of the places that count for a standing.
    pub(super) fn last_due(&self, standing: &Standing) -> Option<Timestamp> {
        let counting = self.last_due.iter();
        let counting = counting.filter(|(other, _)| other.counts_for(standing));
        counting.map(|(_, due)| *due).max()
    }

    /// Whether the callers before place `before` that count for a standing, and should return from
    /// now on until `until`, need more of a resource than `room`; `None` is unlimited. For a new
    /// caller, without a place, only the share of them counts that is expected to return: without
    /// this, the capacity of all others would stay idle.
    pub(super) fn exceed(
        &self,
        now: Timestamp,
        until: Timestamp,
        standing: &Standing,
        before: Option<PlaceNumber>,
        room: &[Option<f64>; 3],
    ) -> bool {
        let mut sum = [0.0; 3];
        let share = before.map_or(self.return_share.0, |_| 1.0);
        let exceeds =
            |sum: &Amounts| (0..3).any(|i| room[i].is_some_and(|room| sum[i] * share > room));
        if exceeds(&sum) {
            return true;
        }
        let earlier = self.by_number.range(..before.unwrap_or(PlaceNumber::MAX));
        for place in earlier.map(|(_, place)| place) {
            let is_due = place.due <= until && now <= place.due + MAX_DELAY;
            if is_due && place.standing.counts_for(standing) {
                add(&mut sum, &place.need);
                if exceeds(&sum) {
                    return true;
                }
            }
        }
        false
    }

    /// Needs of all callers before place `before` that count for a standing and may still return.
    pub(super) fn needs_before(
        &self,
        now: Timestamp,
        standing: &Standing,
        before: PlaceNumber,
    ) -> Amounts {
        let mut sum = [0.0; 3];
        for place in self.by_number.range(..before).map(|(_, place)| place) {
            if now <= place.due + MAX_DELAY && place.standing.counts_for(standing) {
                add(&mut sum, &place.need);
            }
        }
        sum
    }
}
