//! Callers' requests at the leader: decided on the applied ledger, and proposed if they change it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use slog::info;

use super::calls::{CallReply, ClientAction, ClientCall, ClientReply, RETRY_AFTER};
use super::ledger::{Command, Reply};
use super::machine::{Admission, Machine, trailing_job_id};
use super::model::JobId;
use super::server::{CallServer, not_leader};
use crate::ids::Timestamp;
use crate::replication::{ProposeError, ReadPoint};

/// Submissions that are proposed and not applied yet, by job. The ledger does not show them, so a
/// refusal of another copy that says that the job never runs would be false. Clones share them.
#[derive(Clone, Default)]
pub(super) struct PendingSubmissions(Arc<Mutex<HashMap<JobId, usize>>>);

impl PendingSubmissions {
    fn contains(&self, job: JobId) -> bool {
        self.lock().contains_key(&job)
    }

    /// Counts a submission until the result is dropped.
    fn begin(&self, job: JobId) -> PendingSubmission<'_> {
        *self.lock().entry(job).or_default() += 1;
        PendingSubmission { all: self, job }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<JobId, usize>> {
        self.0.lock().expect("no holder panics")
    }
}

struct PendingSubmission<'a> {
    all: &'a PendingSubmissions,
    job: JobId,
}

impl Drop for PendingSubmission<'_> {
    fn drop(&mut self) {
        let mut all = self.all.lock();
        if let Some(count) = all.get_mut(&self.job) {
            *count -= 1;
            if *count == 0 {
                all.remove(&self.job);
            }
        }
    }
}

/// A request as the applied ledger decides it.
struct Decision {
    admission: Admission,
    at: ReadPoint,
    /// Another copy of the submission is proposed and not applied yet.
    pending: bool,
}

impl CallServer {
    /// Answers a caller's request; nothing is appended to the log after `until`, in monotonic time.
    pub(super) async fn answer_client(&self, until: Timestamp, call: ClientCall) -> CallReply {
        let decided = match self.decide(&call).await {
            Ok(decided) => decided,
            Err(not_leader) => return not_leader,
        };
        let reply = match decided.admission {
            Admission::Answer(reply) => without_false_refusal(reply, decided.pending),
            Admission::Propose(command) => match self.propose_for_client(until, *command).await {
                CallReply::Client(reply @ ClientReply::Unavailable(_)) => {
                    return self.after_overload(&call, reply).await;
                }
                CallReply::Client(reply) => reply,
                not_leader => return not_leader,
            },
        };
        if call.action.is_change() && reply != ClientReply::Accepted {
            self.log_refusal(&call.path, &reply, decided.at);
        }
        CallReply::Client(reply)
    }

    async fn decide(&self, call: &ClientCall) -> Result<Decision, CallReply> {
        let pending = self.pending.clone();
        let job = submitted_job(call);
        let call = call.clone();
        let decide = move |m: &mut Machine, at: ReadPoint| Decision {
            admission: m.admit(at.now, call),
            at,
            pending: job.is_some_and(|job| pending.contains(job)),
        };
        let decided = self.replica.leased(decide).await;
        decided.map_err(|e| not_leader(&e))
    }

    /// Answers a change that could not be appended. Another copy of it may have been, and may have
    /// been applied by now.
    async fn after_overload(&self, call: &ClientCall, refusal: ClientReply) -> CallReply {
        let Ok(decided) = self.decide(call).await else {
            return CallReply::Client(ClientReply::InDoubt);
        };
        let reply = match decided.admission {
            Admission::Answer(ClientReply::Accepted) => ClientReply::Accepted,
            _ => without_false_refusal(refusal, decided.pending),
        };
        CallReply::Client(reply)
    }

    /// Logs a change that was not accepted, with how far the log was applied: a leader that answers
    /// from an older state refuses what it should not.
    fn log_refusal(&self, path: &str, reply: &ClientReply, at: ReadPoint) {
        if self.refusals.take(at.now) {
            info!(self.log, "change not accepted"; "path" => path, "outcome" => reply.as_str(),
                "term" => at.term, "committed" => at.committed, "applied" => at.applied);
        }
    }

    async fn propose_for_client(&self, until: Timestamp, command: Command) -> CallReply {
        let _pending = match &command {
            Command::Submit { job, .. } => Some(self.pending.begin(*job)),
            _ => None,
        };
        match self.propose(until, command).await {
            Ok(Reply::Accepted) => CallReply::Client(ClientReply::Accepted),
            Ok(Reply::Unknown) => CallReply::Client(ClientReply::NotFound),
            Ok(Reply::NotRemembered) => CallReply::Client(ClientReply::Unavailable(RETRY_AFTER)),
            Ok(Reply::IdTaken) => CallReply::Client(ClientReply::IdTaken),
            Err(ProposeError::NotLeader { leader }) => CallReply::NotLeader(leader),
            Err(ProposeError::Overloaded(_)) => {
                CallReply::Client(ClientReply::Unavailable(RETRY_AFTER))
            }
            Err(ProposeError::Expired | ProposeError::Unknown | ProposeError::Stopping) => {
                CallReply::Client(ClientReply::InDoubt)
            }
        }
    }
}

fn submitted_job(call: &ClientCall) -> Option<JobId> {
    match call.action {
        ClientAction::Submit(_) => trailing_job_id(&call.path),
        _ => None,
    }
}

/// The reply, or `InDoubt` in place of one that says that the job never runs while another copy of
/// its submission is pending.
fn without_false_refusal(reply: ClientReply, pending: bool) -> ClientReply {
    match reply {
        ClientReply::Unavailable(_) | ClientReply::Refused { .. } if pending => {
            ClientReply::InDoubt
        }
        reply => reply,
    }
}
