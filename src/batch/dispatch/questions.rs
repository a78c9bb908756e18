//! Pending questions to the policy service, and limits on their number.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::order::QuestionId;
use crate::batch::model::{MinionNumber, StepId};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// The limit that a question counts against. Each class has its own limit, which the others can't
/// use up, so that steps late in the order of service are asked about however many precede them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuestionClass {
    /// Steps in the order of service.
    Ordinary,
    /// Lasting tasks, whose service is down while they have no run.
    Lasting,
    /// Steps that have waited longest for a question.
    PassedOver,
}

/// Beyond the ordinary limit, one question for this many processes, and at least one, may be
/// pending for lasting steps, and as many for steps that were passed over.
const AGENTS_PER_EXTRA: usize = 4;

/// A pending question.
#[derive(Clone, Debug)]
pub(super) struct PendingQuestion {
    pub(super) id: QuestionId,
    class: QuestionClass,
    pub(super) at: Timestamp,
    /// Minions that it names, and the resources that it earmarks there.
    pub(super) minions: Vec<(MinionNumber, Resources)>,
}

/// Pending questions, counted by class.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// Number of the latest question.
    last: u64,
    ordinary: usize,
    lasting: usize,
    passed_over: usize,
    /// Resources that pending questions earmark.
    earmarked: HashMap<MinionNumber, Resources>,
    /// In the order of sending, including questions that have been answered since.
    sent: VecDeque<(Timestamp, QuestionId)>,
}

impl Questions {
    /// Number of pending questions.
    pub(super) fn count(&self) -> usize {
        self.ordinary + self.lasting + self.passed_over
    }

    /// Whether another question of a class may be sent. `agents` is the number of processes that
    /// can send one, `ordinary` the limit of the ordinary class. Each class has a limit of its own.
    pub(super) fn may_send(&self, class: QuestionClass, agents: usize, ordinary: usize) -> bool {
        let extra = agents / AGENTS_PER_EXTRA;
        match class {
            QuestionClass::Ordinary => self.ordinary < ordinary.max(1),
            QuestionClass::Lasting => self.lasting < extra.max(1),
            QuestionClass::PassedOver => self.passed_over < extra.max(1),
        }
    }

    /// Registers a new pending question about a step.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        step: StepId,
        class: QuestionClass,
        minions: Vec<(MinionNumber, Resources)>,
    ) -> PendingQuestion {
        *self.counter(class) += 1;
        self.last += 1;
        let number = self.last;
        let id = QuestionId { step, number };
        self.sent.push_back((now, id));
        for (minion, room) in &minions {
            let counted = self.earmarked.entry(*minion).or_default();
            *counted = counted.saturating_add(room);
        }
        PendingQuestion {
            id,
            class,
            at: now,
            minions,
        }
    }

    /// Removes a question that was answered or given up.
    pub(super) fn remove(&mut self, asked: &PendingQuestion) {
        *self.counter(asked.class) -= 1;
        for (minion, room) in &asked.minions {
            if let Entry::Occupied(mut counted) = self.earmarked.entry(*minion) {
                let left = counted.get().saturating_sub(room);
                if left == Resources::ZERO {
                    counted.remove();
                } else {
                    counted.insert(left);
                }
            }
        }
    }

    /// Resources of a minion that pending questions earmark.
    ///
    /// The best candidates are the same for all questions that are sent within the response time of
    /// one. If each question named them, the first answer would use up their resources, and the
    /// tickets of the other answers would be useless.
    pub(super) fn earmarked(&self, minion: MinionNumber) -> Resources {
        let counted = self.earmarked.get(&minion);
        counted.copied().unwrap_or_default()
    }

    /// Removes and returns the oldest question that was sent at least `age` ago. It may have been
    /// answered.
    pub(super) fn take_older(&mut self, now: Timestamp, age: Duration) -> Option<QuestionId> {
        self.sent.front().filter(|(at, _)| now >= *at + age)?;
        self.sent.pop_front().map(|(_, question)| question)
    }

    fn counter(&mut self, class: QuestionClass) -> &mut usize {
        match class {
            QuestionClass::Ordinary => &mut self.ordinary,
            QuestionClass::Lasting => &mut self.lasting,
            QuestionClass::PassedOver => &mut self.passed_over,
        }
    }
}
