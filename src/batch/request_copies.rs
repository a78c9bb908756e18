//! The copies of one request to the leader, sent directly or through relays, and the outcome that
//! their answers allow.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

use super::call_trace::{CallTrace, Way};
use super::calls::{Call, CallReply, CopyOutcome};
use super::link::CallError;
use crate::ids::Timestamp;

/// Time after which no copy of a call is sent, whatever the deadline of its caller: longer than any
/// deadline, so that only a process that was stopped or suspended meanwhile comes to it.
const MAX_CALL_AGE: Timestamp = Timestamp::from_secs(60);

/// The copies of one request.
pub(super) struct Copies {
    kind: Kind,
    /// Monotonic time after which none is sent.
    until: Timestamp,
    state: Mutex<State>,
    /// Notified when relays should not be tried again.
    last_round: Notify,
    trace: CallTrace,
}

#[derive(Clone, Copy)]
enum Kind {
    /// Executing a copy changes nothing, so copies without an answer do not matter.
    Read,
    Change,
}

#[derive(Default)]
struct State {
    /// Number of copies of a change that may have been executed.
    open: usize,
    /// An answer to a copy that was not executed. It holds for the request if no copy is open.
    rejection: Option<CallReply>,
}

/// A copy that is being sent or was sent, and has no answer. Dropped without one, it stays open: it may
/// have been executed.
pub(super) struct SentCopy<'a>(&'a Copies);

/// What follows from the answer to a copy.
pub(super) enum Conclusion {
    /// This answer, or an earlier one to another copy, holds for the request.
    Final(CallReply),
    /// The copy reached no leader and was not executed.
    NoLeader,
    /// Some copy may have been executed, and it is not known whether it was.
    InDoubt,
}

impl Copies {
    /// The copies of `call`, which was made at `now`, in monotonic time. None is sent yet; those sent
    /// are recorded in `trace`.
    pub(super) fn of(now: Timestamp, call: &Call, trace: &CallTrace) -> Self {
        let kind = if call.is_read() {
            Kind::Read
        } else {
            Kind::Change
        };
        Self {
            kind,
            until: now + MAX_CALL_AGE,
            state: Mutex::default(),
            last_round: Notify::new(),
            trace: trace.clone(),
        }
    }

    /// Monotonic time after which no copy is sent.
    pub(super) fn until(&self) -> Timestamp {
        self.until
    }

    /// Notes a copy that is about to be sent.
    pub(super) fn send(&self, way: Way, receiver: SocketAddr) -> SentCopy<'_> {
        self.trace.record(way, receiver);
        if let Kind::Change = self.kind {
            self.lock().open += 1;
        }
        SentCopy(self)
    }

    /// Whether a copy may have been executed and has changed something.
    pub(super) fn may_be_executed(&self) -> bool {
        self.lock().open > 0
    }

    /// The outcome if no further copy is sent and no further answer is waited for.
    pub(super) fn outcome(&self) -> Result<CallReply, CallError> {
        let state = self.lock();
        match &state.rejection {
            _ if state.open > 0 => Err(CallError::InDoubt),
            Some(rejection) => Ok(rejection.clone()),
            None => Err(CallError::NotRun),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Ends the attempts through relays once those under way have ended.
    pub(super) fn end_after_this_round(&self) {
        self.last_round.notify_one();
    }

    /// Waits until no further attempts through relays should be made.
    pub(super) async fn last_round(&self) {
        self.last_round.notified().await;
    }
}

impl SentCopy<'_> {
    /// Notes that the copy was not sent after all.
    pub(super) fn not_sent(self) {
        self.close(&mut self.0.lock());
    }

    fn close(&self, state: &mut State) {
        if let Kind::Change = self.0.kind {
            state.open -= 1;
        }
    }

    /// Notes the answer to the copy.
    pub(super) fn answered(self, reply: CallReply) -> Conclusion {
        match (reply.copy_outcome(), self.0.kind) {
            (CopyOutcome::Executed, _) | (CopyOutcome::Unknown, Kind::Read) => {
                return Conclusion::Final(reply);
            }
            (CopyOutcome::Unknown, Kind::Change) => return Conclusion::InDoubt,
            (CopyOutcome::NotExecuted, _) => {}
        }
        let mut state = self.0.lock();
        self.close(&mut state);
        let no_leader = matches!(reply, CallReply::NotLeader(_));
        if !no_leader {
            state.rejection = Some(reply);
        }
        match state.rejection.clone() {
            Some(rejection) if state.open == 0 => Conclusion::Final(rejection),
            _ if no_leader => Conclusion::NoLeader,
            _ => Conclusion::InDoubt,
        }
    }
}
