//! The operators' interface: the document, jobs and tables, as JSON and YAML over HTTP.

use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use serde::Serialize;
use serde_json::json;

use super::calls::Calls;
use super::group::Group;
use super::machine::{Command, Machine};
use crate::document;
use crate::ids::{JobName, Revision};
use crate::placement::Placer;
use crate::replication::Role;
use crate::state::{ReplicaRow, Reply};
use crate::wire::{Answer, HttpAnswer, HttpCall, JobSubmission, Refusal, RefusalKind};

/// Largest document in bytes.
pub const MAX_DOCUMENT: usize = 1024 * 1024;

/// Jobs listed at most.
const JOBS_LISTED: usize = 500;

/// Header that names the operator where sign-in is off.
const OPERATOR_HEADER: &str = "yuccahold-operator";

/// Header that states what became of a request.
const OUTCOME_HEADER: &str = "yuccahold-outcome";

/// An answer on its way, early when something fails.
type Answered = Result<HttpAnswer, HttpAnswer>;

impl<G, P> Calls<G, P>
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    /// Answers one request of an operator on the leader.
    pub async fn operate(&self, call: HttpCall) -> HttpAnswer {
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let answered = match (call.method.as_str(), parts.as_slice()) {
            ("GET", ["v1", "document"]) => self.get_document(query).await,
            ("PUT", ["v1", "document"]) => self.put_document(&call).await,
            ("GET", ["v1", "history"]) => self.history().await,
            ("GET", ["v1", "jobs"]) => self.jobs().await,
            ("POST", ["v1", "jobs"]) => self.submit_job(&call).await,
            ("GET", ["v1", "jobs", name]) => job_answer(self.query(JobName::from(*name)).await),
            ("DELETE", ["v1", "jobs", name]) => {
                job_answer(self.cancel(JobName::from(*name), operator(&call)).await)
            }
            ("GET", ["v1", "workers"]) => self.table(|m, now| m.worker_rows(now)).await,
            ("GET", ["v1", "teams"]) => self.table(|m, _| m.cell().team_rows()).await,
            ("GET", ["v1", "minions"]) => self.table(|m, _| m.minion_rows()).await,
            ("GET", ["v1", "entries"]) => self.table(|m, now| m.entry_rows(now)).await,
            ("GET", ["v1", "replicas"]) => Ok(json_answer(200, &self.replicas())),
            ("GET", ["v1", "burn"]) => self.table(|m, now| m.burn_report(now)).await,
            ("GET", ["v1", "audit"]) => self.table(|m, _| m.cell().audit_rows()).await,
            _ => Ok(problem(404, "there is nothing under this path")),
        };
        answered.unwrap_or_else(|failed| failed)
    }

    async fn get_document(&self, query: &str) -> Answered {
        let wanted = revision_in(query)?;
        let found = self.checked(move |m, _| m.cell().document_record(wanted).cloned());
        let Some(record) = found.await? else {
            return Ok(problem(
                404,
                "there is no such revision, or it is no longer kept",
            ));
        };
        let mut answer = HttpAnswer {
            status: 200,
            headers: vec![header("content-type", "application/yaml")],
            body: document::render(&record.document).into_bytes(),
        };
        answer.headers.push(header("etag", &etag(record.revision)));
        Ok(answer)
    }

    async fn put_document(&self, call: &HttpCall) -> Answered {
        if call.body.len() > MAX_DOCUMENT {
            let message = format!("a document has at most {MAX_DOCUMENT} bytes");
            return Err(problem(413, &message));
        }
        let text = std::str::from_utf8(&call.body)
            .map_err(|_| problem(400, "the document is not UTF-8 text"))?;
        let base = base_revision(call)?;
        let document = document::parse("document", text)
            .map_err(|problems| problem(422, &problems.to_text()))?;
        let command = Command::PutDocument {
            base,
            document: Arc::new(document),
            who: operator(call),
            key: header_of(call, "idempotency-key").map(CompactString::from),
        };
        match self.propose(command).await.map_err(failed)? {
            Reply::Revision(revision) => {
                let mut answer = json_answer(200, &json!({ "revision": revision }));
                answer.headers.push(header("etag", &etag(revision)));
                Ok(answer)
            }
            Reply::Stale(current) => self.stale(base, current).await,
            Reply::Refused(refusal) => Err(refused(&refusal)),
            _ => Err(problem(
                500,
                "the state machine gave an answer of another kind",
            )),
        }
    }

    /// Shows the other operator's change to the one who came second.
    async fn stale(&self, base: Revision, current: Revision) -> Answered {
        let records = self.checked(move |m, _| {
            let cell = m.cell();
            (
                cell.document_record(Some(base)).cloned(),
                cell.document_record(Some(current)).cloned(),
            )
        });
        let (old, new) = records.await?;
        let who = new.as_ref().map(|record| record.who.clone());
        let body = json!({
            "error": format!("the document was changed meanwhile: revision {current} is in force, not {base}"),
            "revision": current,
            "who": who,
            "base_text": old.map(|record| document::render(&record.document)),
            "text": new.map(|record| document::render(&record.document)),
        });
        let mut answer = json_answer(412, &body);
        answer.headers.push(header("etag", &etag(current)));
        answer.headers.push(header(OUTCOME_HEADER, "not-run"));
        Err(answer)
    }

    async fn history(&self) -> Answered {
        self.table(|m, _| m.cell().revision_rows()).await
    }

    fn replicas(&self) -> Vec<ReplicaRow> {
        let status = self.group.status();
        let row = |id: &u64, role| ReplicaRow {
            id: *id,
            role,
            ..ReplicaRow::default()
        };
        let voters = status.voters.iter().map(|id| {
            let leads = status.leader == Some(*id);
            row(id, if leads { Role::Leader } else { Role::Follower })
        });
        let learners = status.learners.iter().map(|id| row(id, Role::Learner));
        voters.chain(learners).collect()
    }

    async fn jobs(&self) -> Answered {
        self.table(|m, now| m.job_views(now, JOBS_LISTED)).await
    }

    async fn submit_job(&self, call: &HttpCall) -> Answered {
        let mut submission: JobSubmission = serde_json::from_slice(&call.body)
            .map_err(|e| problem(400, &format!("the job is not as expected: {e}")))?;
        let key = header_of(call, "idempotency-key").map(CompactString::from);
        submission.key = submission.key.or(key);
        job_answer(self.submit(submission, operator(call)).await)
    }

    async fn table<T: Serialize + Send + 'static>(
        &self,
        read: impl FnOnce(&mut Machine<P>, std::time::Duration) -> T + Send + 'static,
    ) -> Answered {
        let rows = self.checked(read).await?;
        Ok(json_answer(200, &rows))
    }

    async fn checked<R: Send + 'static>(
        &self,
        read: impl FnOnce(&mut Machine<P>, std::time::Duration) -> R + Send + 'static,
    ) -> Result<R, HttpAnswer> {
        self.read(read).await.map_err(failed)
    }
}

fn job_answer(answered: Result<Answer, Answer>) -> Answered {
    match answered {
        Ok(Answer::Job(view)) => Ok(json_answer(200, &view)),
        Ok(answer) | Err(answer) => Err(failed(answer)),
    }
}

/// The revision that a change was made from, out of `If-Match`.
fn base_revision(call: &HttpCall) -> Result<Revision, HttpAnswer> {
    let Some(value) = header_of(call, "if-match") else {
        let message = "state the revision this change was made from in If-Match; 0 for the first";
        return Err(problem(428, message));
    };
    let number = value.trim().trim_start_matches("W/").trim_matches('"');
    number
        .parse()
        .map_err(|_| problem(400, "If-Match is no revision number"))
}

fn revision_in(query: &str) -> Result<Option<Revision>, HttpAnswer> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut wanted = pairs.filter(|(key, _)| *key == "revision").map(|(_, v)| v);
    match wanted.next_back() {
        None => Ok(None),
        Some(value) => value
            .parse()
            .map(Some)
            .map_err(|_| problem(400, "the revision is no number")),
    }
}

fn header_of<'a>(call: &'a HttpCall, name: &str) -> Option<&'a str> {
    let found = call.headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

fn operator(call: &HttpCall) -> CompactString {
    let who = header_of(call, OPERATOR_HEADER).unwrap_or("operator");
    who.chars().filter(|c| !c.is_control()).take(64).collect()
}

fn etag(revision: Revision) -> String {
    format!("\"{revision}\"")
}

fn header(name: &str, value: &str) -> (CompactString, String) {
    (name.to_compact_string(), value.to_owned())
}

pub(super) fn json_answer(status: u16, body: &impl Serialize) -> HttpAnswer {
    HttpAnswer {
        status,
        headers: vec![header("content-type", "application/json")],
        body: serde_json::to_vec(body).unwrap_or_default(),
    }
}

/// An error of ours; whatever its status, nothing was changed.
pub(super) fn problem(status: u16, message: &str) -> HttpAnswer {
    let mut answer = json_answer(status, &json!({ "error": message }));
    answer.headers.push(header(OUTCOME_HEADER, "not-run"));
    answer
}

fn refused(refusal: &Refusal) -> HttpAnswer {
    let status = match refusal.kind {
        RefusalKind::NotFound => 404,
        RefusalKind::Invalid => 422,
        RefusalKind::Conflict => 409,
        RefusalKind::Expired => 410,
        RefusalKind::Overloaded => 503,
    };
    let mut answer = problem(status, &refusal.message);
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_secs().max(1).to_string();
        answer.headers.push(header("retry-after", &seconds));
    }
    answer
}

pub(super) fn failed(answer: Answer) -> HttpAnswer {
    match answer {
        Answer::Refused(refusal) => refused(&refusal),
        Answer::NotLeader(_) => {
            let mut answer = problem(503, "no leader is known at the moment");
            answer.headers.push(header("retry-after", "1"));
            answer
        }
        Answer::Unknown => {
            let message = "leadership was lost on the way; send it again under the same key";
            let mut answer = json_answer(504, &json!({ "error": message }));
            answer.headers.push(header(OUTCOME_HEADER, "unknown"));
            answer
        }
        _ => problem(500, "the state machine gave an answer of another kind"),
    }
}
