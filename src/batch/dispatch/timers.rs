//! When each minion or run needs to be looked at next, so that a round looks only at those that are
//! due.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use crate::batch::model::MinionNumber;
use crate::ids::Timestamp;

/// One timer for each key that has one.
#[derive(Debug)]
pub(super) struct Timers<K = MinionNumber> {
    by_time: BTreeSet<(Timestamp, K)>,
    times: HashMap<K, Timestamp>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self {
            by_time: BTreeSet::new(),
            times: HashMap::new(),
        }
    }
}

impl<K: Copy + Ord + Hash> Timers<K> {
    /// Replaces the timer of a key; `None` removes it.
    pub(super) fn set(&mut self, key: K, at: Option<Timestamp>) {
        let before = match at {
            Some(at) => self.times.insert(key, at),
            None => self.times.remove(&key),
        };
        if before == at {
            return;
        }
        if let Some(before) = before {
            self.by_time.remove(&(before, key));
        }
        if let Some(at) = at {
            self.by_time.insert((at, key));
        }
    }

    /// Removes and returns the keys whose timers have expired.
    pub(super) fn take_due(&mut self, now: Timestamp) -> impl Iterator<Item = K> {
        std::iter::from_fn(move || {
            let (at, key) = self.by_time.first().copied()?;
            if at > now {
                return None;
            }
            self.by_time.pop_first();
            self.times.remove(&key);
            Some(key)
        })
    }
}
