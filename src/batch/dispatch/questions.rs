//! Questions to the policy service that are on the way, and how many there may be.

use std::collections::VecDeque;
use std::time::Duration;

use super::order::QuestionId;
use crate::batch::model::StepId;
use crate::ids::Timestamp;

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

/// Part of the askers that the lasting steps have for themselves, and as large a part the steps that
/// were passed over: 1 of this many.
const RESERVED_PART: usize = 4;

/// Questions on the way.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// Number of the latest one.
    last: u64,
    ordinary: usize,
    lasting: usize,
    passed_over: usize,
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
    pub(super) fn send(&mut self, now: Timestamp, step: StepId, share: Share) -> QuestionId {
        *self.of(share) += 1;
        self.last += 1;
        let number = self.last;
        let question = QuestionId { step, number };
        self.sent.push_back((now, question));
        question
    }

    /// Counts a question as no longer on the way.
    pub(super) fn over(&mut self, share: Share) {
        *self.of(share) -= 1;
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
