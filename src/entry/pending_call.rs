//! A call to the control plane without an outcome yet, and what is known of its copies.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::error::{Error, Result, Step};
use crate::wire::{Answer, Call};

/// Longest time that a claim waits to be sent. Without a leader its request is refused as not run,
/// so that the caller can use another entry host.
const CLAIM_SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A call without an outcome yet. Dropped before its answer, it ends as not sent or as unknown.
pub(super) struct PendingCall {
    call: Call,
    deadline: Instant,
    /// When it expires if no copy of it may have been executed.
    send_deadline: Instant,
    copies: Copies,
    /// None once the outcome was given to the caller.
    reply: Option<oneshot::Sender<Result<Answer>>>,
}

/// What is known of the copies of a call. One is sent on each connection, until one is answered.
#[derive(Default)]
struct Copies {
    /// The open connection carries a copy without an answer.
    in_flight: bool,
    /// A connection was lost with a copy that had no answer: it may have been executed, or may
    /// still be.
    in_doubt: bool,
}

impl PendingCall {
    pub(super) fn new(
        call: Call,
        now: Instant,
        timeout: Duration,
        reply: oneshot::Sender<Result<Answer>>,
    ) -> Self {
        let send_timeout = match &call {
            Call::ClaimKey(_) => timeout.min(CLAIM_SEND_TIMEOUT),
            _ => timeout,
        };
        Self {
            call,
            deadline: now + timeout,
            send_deadline: now + send_timeout,
            copies: Copies::default(),
            reply: Some(reply),
        }
    }

    pub(super) fn call(&self) -> &Call {
        &self.call
    }

    /// Records that a copy is sent on the open connection.
    pub(super) fn sent(&mut self) {
        self.copies.in_flight = true;
    }

    /// Records that the replica didn't take the copy on the open connection, as it does not lead.
    pub(super) fn not_taken(&mut self) {
        self.copies.in_flight = false;
    }

    /// Records that the connection was lost; returns whether another copy may be sent.
    pub(super) fn connection_lost(&mut self) -> bool {
        self.copies.in_doubt |= std::mem::take(&mut self.copies.in_flight);
        !self.copies.in_doubt || self.is_resendable()
    }

    /// Whether a second copy changes nothing after the first was executed.
    fn is_resendable(&self) -> bool {
        match &self.call {
            // Without a name or key, a second submission would create a second job.
            Call::SubmitJob(job) => job.name.is_some() || job.key.is_some(),
            // A second claim would find the first one in progress.
            Call::ClaimKey(_) | Call::Http(_) => false,
            // Counted twice, the events could raise a false alert.
            Call::Burn(_) => false,
            _ => true,
        }
    }

    /// Whether its caller waits no longer.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let end = if self.may_have_run() {
            self.deadline
        } else {
            self.send_deadline
        };
        end <= now
    }

    fn may_have_run(&self) -> bool {
        self.copies.in_flight || self.copies.in_doubt
    }

    /// Ends the call with the leader's answer to its latest copy. A refusal says nothing of an
    /// earlier copy in doubt: a job would be reported as not run that was accepted before.
    pub(super) fn answer(mut self, answer: Answer) {
        let reads_only = matches!(self.call, Call::QueryJob(_));
        let outcome = match answer {
            Answer::Refused(_) if self.copies.in_doubt && !reads_only => Answer::Unknown,
            answer => answer,
        };
        self.end(Ok(outcome));
    }

    /// Ends a call whose latest copy could not be written.
    pub(super) fn fail(mut self, e: Error) {
        self.end_unanswered(e);
    }

    fn end_unanswered(&mut self, not_sent: Error) {
        let outcome = match self.may_have_run() {
            true => Ok(Answer::Unknown),
            false => Err(not_sent),
        };
        self.end(outcome);
    }

    fn end(&mut self, outcome: Result<Answer>) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(outcome);
        }
    }
}

/// The caller of a call that is dropped with its connection, as when the entry host stops, must
/// not take it for one that was never sent.
impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.reply.is_some() {
            let reason = "no leader among the control replicas was reached";
            self.end_unanswered(Error::new(Step::Connect, reason));
        }
    }
}
