//! Questions to the policy service that are on the way, and how many there may be.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::order::QuestionId;
use crate::batch::model::{MinionNumber, StepId};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// What a question counts against. Each share has a limit of its own, which the others cannot use
/// up: work that comes late in the order of service is asked about however many come before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Share {
    /// Steps in the order of service.
    Ordinary,
    /// Lasting tasks, which serve nobody while they have no run.
    Lasting,
    /// Steps that have waited longest for a question.
    PassedOver,
}

/// Of this many askers one is there for lasting steps alone, and one for steps that were passed over.
const RESERVED_PART: usize = 4;

/// A question on the way.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) id: QuestionId,
    share: Share,
    pub(super) at: Timestamp,
    /// Minions that it names, and the room there that it counts on.
    pub(super) minions: Vec<(MinionNumber, Resources)>,
}

/// Questions on the way.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// Number of the latest one.
    last: u64,
    ordinary: usize,
    lasting: usize,
    passed_over: usize,
    /// Room that they count on.
    counted_on: HashMap<MinionNumber, Resources>,
    /// In the order in which they were sent, with those that are answered by now.
    sent: VecDeque<(Timestamp, QuestionId)>,
}

impl Questions {
    /// How many are on the way.
    pub(super) fn count(&self) -> usize {
        self.ordinary + self.lasting + self.passed_over
    }

    /// Whether another one of a share may be sent. `ordinary` is the limit of the ordinary share.
    pub(super) fn may_send(&self, share: Share, askers: usize, ordinary: usize) -> bool {
        let reserved = askers / RESERVED_PART;
        match share {
            Share::Ordinary => self.ordinary < ordinary.max(1),
            Share::Lasting => self.lasting < reserved.max(1),
            Share::PassedOver => self.passed_over < reserved.max(1),
        }
    }

    /// Counts a question about a step as on the way.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        step: StepId,
        share: Share,
        minions: Vec<(MinionNumber, Resources)>,
    ) -> Asked {
        *self.of(share) += 1;
        self.last += 1;
        let number = self.last;
        let id = QuestionId { step, number };
        self.sent.push_back((now, id));
        for (minion, room) in &minions {
            let counted = self.counted_on.entry(*minion).or_default();
            *counted = counted.saturating_add(room);
        }
        Asked {
            id,
            share,
            at: now,
            minions,
        }
    }

    /// Counts a question as no longer on the way.
    pub(super) fn over(&mut self, asked: &Asked) {
        *self.of(asked.share) -= 1;
        for (minion, room) in &asked.minions {
            if let Entry::Occupied(mut counted) = self.counted_on.entry(*minion) {
                let left = counted.get().saturating_sub(room);
                if left == Resources::ZERO {
                    counted.remove();
                } else {
                    counted.insert(left);
                }
            }
        }
    }

    /// Room of a minion that questions on the way count on.
    ///
    /// The minions with the best prospects are the same for all questions that are sent within the
    /// time of one answer. If each named them, the first answer would take their room and the tickets
    /// of the others would be of no use.
    pub(super) fn counted_on(&self, minion: MinionNumber) -> Resources {
        let counted = self.counted_on.get(&minion);
        counted.copied().unwrap_or_default()
    }

    /// The oldest question, once, if it was sent `age` ago or earlier. It may be answered by now.
    pub(super) fn take_older(&mut self, now: Timestamp, age: Duration) -> Option<QuestionId> {
        self.sent.front().filter(|(at, _)| now >= *at + age)?;
        self.sent.pop_front().map(|(_, question)| question)
    }

    fn of(&mut self, share: Share) -> &mut usize {
        match share {
            Share::Ordinary => &mut self.ordinary,
            Share::Lasting => &mut self.lasting,
            Share::PassedOver => &mut self.passed_over,
        }
    }
}
