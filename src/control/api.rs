//! The operators' HTTP API: the document as YAML, jobs and tables as JSON.

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

/// Maximum size of a document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// Maximum number of jobs in the table of jobs.
const MAX_JOBS_LISTED: usize = 500;

/// Header with the operator's name for the audit log, used where sign-in is off.
const OPERATOR_HEADER: &str = "yuccahold-operator";

/// Header with the outcome of a request, such as `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "yuccahold-outcome";

/// The answer to a request; `Err` holds an error answer, so that `?` returns it early.
type ApiResult = Result<HttpAnswer, HttpAnswer>;

impl<G, P> Calls<G, P>
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    /// Answers one operator's request. Only the leader can; other replicas return an error.
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
            _ => Ok(error_answer(404, "there is nothing under this path")),
        };
        answered.unwrap_or_else(|error| error)
    }

    async fn get_document(&self, query: &str) -> ApiResult {
        let revision = revision_in(query)?;
        let found = self.read_or_error(move |m, _| m.cell().document_record(revision).cloned());
        let Some(record) = found.await? else {
            return Ok(error_answer(
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

    async fn put_document(&self, call: &HttpCall) -> ApiResult {
        if call.body.len() > MAX_DOCUMENT_BYTES {
            let message = format!("a document has at most {MAX_DOCUMENT_BYTES} bytes");
            return Err(error_answer(413, &message));
        }
        let text = std::str::from_utf8(&call.body)
            .map_err(|_| error_answer(400, "the document is not UTF-8 text"))?;
        let base = base_revision(call)?;
        let document = document::parse("document", text)
            .map_err(|problems| error_answer(422, &problems.to_text()))?;
        let command = Command::PutDocument {
            base,
            document: Arc::new(document),
            who: operator(call),
            key: header_of(call, "idempotency-key").map(CompactString::from),
        };
        match self.propose(command).await.map_err(answer_from_error)? {
            Reply::Revision(revision) => {
                let mut answer = json_answer(200, &json!({ "revision": revision }));
                answer.headers.push(header("etag", &etag(revision)));
                Ok(answer)
            }
            Reply::Stale(current) => self.conflict_answer(base, current).await,
            Reply::Refused(refusal) => Err(answer_from_refusal(&refusal)),
            _ => Err(error_answer(
                500,
                "the state machine gave an answer of another kind",
            )),
        }
    }

    /// Answers 412 with the text of both revisions, so that an operator whose change came second
    /// can merge it into the document in force.
    async fn conflict_answer(&self, base: Revision, current: Revision) -> ApiResult {
        let records = self.read_or_error(move |m, _| {
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

    async fn history(&self) -> ApiResult {
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

    async fn jobs(&self) -> ApiResult {
        self.table(|m, now| m.job_views(now, MAX_JOBS_LISTED)).await
    }

    async fn submit_job(&self, call: &HttpCall) -> ApiResult {
        let mut submission: JobSubmission = serde_json::from_slice(&call.body)
            .map_err(|e| error_answer(400, &format!("the job is not as expected: {e}")))?;
        let key = header_of(call, "idempotency-key").map(CompactString::from);
        submission.key = submission.key.or(key);
        job_answer(self.submit(submission, operator(call)).await)
    }

    async fn table<T: Serialize + Send + 'static>(
        &self,
        read: impl FnOnce(&mut Machine<P>, std::time::Duration) -> T + Send + 'static,
    ) -> ApiResult {
        let rows = self.read_or_error(read).await?;
        Ok(json_answer(200, &rows))
    }

    async fn read_or_error<R: Send + 'static>(
        &self,
        read: impl FnOnce(&mut Machine<P>, std::time::Duration) -> R + Send + 'static,
    ) -> Result<R, HttpAnswer> {
        self.read(read).await.map_err(answer_from_error)
    }
}

fn job_answer(answered: Result<Answer, Answer>) -> ApiResult {
    match answered {
        Ok(Answer::Job(view)) => Ok(json_answer(200, &view)),
        Ok(answer) | Err(answer) => Err(answer_from_error(answer)),
    }
}

/// The revision that a change is based on, from `If-Match`; the header is required.
fn base_revision(call: &HttpCall) -> Result<Revision, HttpAnswer> {
    let Some(value) = header_of(call, "if-match") else {
        let message = "state the revision this change was made from in If-Match; 0 for the first";
        return Err(error_answer(428, message));
    };
    let number = value.trim().trim_start_matches("W/").trim_matches('"');
    number
        .parse()
        .map_err(|_| error_answer(400, "If-Match is no revision number"))
}

fn revision_in(query: &str) -> Result<Option<Revision>, HttpAnswer> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == "revision").map(|(_, v)| v);
    match values.next_back() {
        None => Ok(None),
        Some(value) => value
            .parse()
            .map(Some)
            .map_err(|_| error_answer(400, "the revision is no number")),
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

/// An error answer to a request that changed nothing.
pub(super) fn error_answer(status: u16, message: &str) -> HttpAnswer {
    let mut answer = json_answer(status, &json!({ "error": message }));
    answer.headers.push(header(OUTCOME_HEADER, "not-run"));
    answer
}

fn answer_from_refusal(refusal: &Refusal) -> HttpAnswer {
    let status = match refusal.kind {
        RefusalKind::NotFound => 404,
        RefusalKind::Invalid => 422,
        RefusalKind::Conflict => 409,
        RefusalKind::Expired => 410,
        RefusalKind::Overloaded => 503,
    };
    let mut answer = error_answer(status, &refusal.message);
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_secs().max(1).to_string();
        answer.headers.push(header("retry-after", &seconds));
    }
    answer
}

pub(super) fn answer_from_error(answer: Answer) -> HttpAnswer {
    match answer {
        Answer::Refused(refusal) => answer_from_refusal(&refusal),
        Answer::NotLeader(_) => {
            let mut answer = error_answer(503, "no leader is known at the moment");
            answer.headers.push(header("retry-after", "1"));
            answer
        }
        Answer::Unknown => {
            let message = "leadership was lost on the way; send it again under the same key";
            let mut answer = json_answer(504, &json!({ "error": message }));
            answer.headers.push(header(OUTCOME_HEADER, "unknown"));
            answer
        }
        _ => error_answer(500, "the state machine gave an answer of another kind"),
    }
}
