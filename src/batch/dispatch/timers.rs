//! When each minion needs maintenance next, so that a round looks only at those that are due.

use std::collections::{BTreeSet, HashMap};

use crate::batch::model::MinionNumber;
use crate::ids::Timestamp;

/// One timer for each minion that has one.
#[derive(Debug, Default)]
pub(super) struct Timers {
    by_time: BTreeSet<(Timestamp, MinionNumber)>,
    times: HashMap<MinionNumber, Timestamp>,
}

impl Timers {
    /// Replaces the timer of a minion; `None` removes it.
    pub(super) fn set(&mut self, minion: MinionNumber, at: Option<Timestamp>) {
        let before = match at {
            Some(at) => self.times.insert(minion, at),
            None => self.times.remove(&minion),
        };
        if before == at {
            return;
        }
        if let Some(before) = before {
            self.by_time.remove(&(before, minion));
        }
        if let Some(at) = at {
            self.by_time.insert((at, minion));
        }
    }

    /// Removes and returns the minions whose timers have expired.
    pub(super) fn take_due(&mut self, now: Timestamp) -> impl Iterator<Item = MinionNumber> {
        let later = self.by_time.split_off(&(now, MinionNumber::MAX));
        let due = std::mem::replace(&mut self.by_time, later);
        for (_, minion) in &due {
            self.times.remove(minion);
        }
        due.into_iter().map(|(_, minion)| minion)
    }
}
