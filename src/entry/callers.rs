//! Callers' quick requests: checked, claimed if they carry a key, routed, answered whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use compact_str::CompactString;
use futures::Stream;
use http::header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::document::Service;
use crate::entry::access::Access;
use crate::entry::core::Core;
use crate::entry::daemon::Context;
use crate::entry::http::{BodyError, DRAIN, Incoming, body_refused, read_body, with_query};
use crate::entry::keys::{OpenKey, state_after};
use crate::entry::link::ControlLink;
use crate::entry::minion_client::for_minion;
use crate::entry::reply::{
    DEADLINE, IDEMPOTENCY_KEY, IDEMPOTENT, MINION, Outcome, Reply, explained, invalid, refusal,
    route_error, set_outcome,
};
use crate::entry::work::{Ended, Verdict, WholeAnswer, Work};
use crate::ids::{IdempotencyKey, Timestamp};
use crate::routing::{Event, Origin, RequestId, RouteError};
use crate::wire::{Answer, KeyState, StoredAnswer};

/// Longest idempotency key in bytes.
const MAX_KEY: usize = 256;
/// Longest time for claiming a key.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// When to come back after control could not be reached.
const CONTROL_AWAY: Duration = Duration::from_secs(1);

/// What the headers ask for.
struct Wanted {
    deadline: Option<Duration>,
    idempotent: Option<bool>,
    key: Option<IdempotencyKey>,
}

/// Answers one request to a service. `prefix` is the length of the path that led here.
pub(super) async fn request<L, S, B, E>(
    context: &Arc<Context<L>>,
    service: &str,
    prefix: usize,
    incoming: Incoming<S>,
) -> Reply
where
    L: ControlLink,
    S: Stream<Item = Result<B, E>> + Send,
    B: Buf,
{
    let arrived = context.core.now();
    if !context.has_document() {
        let reason = "this entry host has no document yet";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return explained(status, Outcome::NotRun, reason, Some(CONTROL_AWAY));
    }
    let document = context.core.read(|router, _| router.document().clone());
    let Some((name, declared)) = document.services.get_key_value(service) else {
        let reason = format!("no service is named {service}");
        return invalid(StatusCode::NOT_FOUND, reason);
    };
    let wanted = match Wanted::read(&incoming.headers) {
        Ok(wanted) => wanted,
        Err(reason) => return invalid(StatusCode::BAD_REQUEST, reason),
    };
    if is_refused_unread(&incoming.headers, declared.body_limit) {
        return body_refused(&BodyError::TooLarge);
    }
    let deadline = arrived + wanted.deadline_for(declared);
    let reading = read_body(incoming.body, declared.body_limit as usize);
    let read = tokio::time::timeout(context.core.left(deadline), reading).await;
    let body = match read.unwrap_or(Err(BodyError::Late)) {
        Ok(body) => body,
        Err(e) => return body_refused(&e),
    };
    let rest = &incoming.path[prefix.min(incoming.path.len())..];
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    let work = Work {
        service: name.clone(),
        team: declared.team.clone(),
        priority: declared.priority,
        idempotent: wanted.may_run_twice(declared),
        deadline,
        body_limit: declared.body_limit as usize,
        method: incoming.method,
        path: with_query(&rest, &incoming.query),
        headers: for_minion(&incoming.headers),
        body,
    };
    route(context, arrived, Arc::new(work), wanted.key).await
}

impl Wanted {
    fn read(headers: &HeaderMap) -> Result<Self, String> {
        let deadline = match text(headers, DEADLINE)? {
            None => None,
            Some(ms) => Some(ms.parse().map_err(|_| format!("{DEADLINE} is no number"))?),
        };
        let idempotent = match text(headers, IDEMPOTENT)? {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(_) => return Err(format!("{IDEMPOTENT} is neither true nor false")),
        };
        let key = text(headers, IDEMPOTENCY_KEY)?;
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY) {
            return Err(format!(
                "{IDEMPOTENCY_KEY} is empty or over {MAX_KEY} bytes"
            ));
        }
        Ok(Self {
            deadline: deadline.map(Duration::from_millis),
            idempotent,
            key: key.map(CompactString::from),
        })
    }

    /// Time for the answer: the caller's wish, at most twice the service's own.
    fn deadline_for(&self, service: &Service) -> Duration {
        let own = service.deadline;
        self.deadline.map_or(own, |wish| wish.min(own * 2))
    }

    /// A key asks for one run, so it counts as non-idempotent unless the caller says otherwise.
    fn may_run_twice(&self, service: &Service) -> bool {
        let by_service = service.idempotent && self.key.is_none();
        self.idempotent.unwrap_or(by_service)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| format!("{name} holds bytes that are no text"))
}

/// Whether a body is refused before any of it is read: its caller asked first, or it is huge.
fn is_refused_unread(headers: &HeaderMap, limit: u64) -> bool {
    let stated = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let len: u64 = stated.and_then(|len| len.parse().ok()).unwrap_or(0);
    let asked = headers.contains_key(EXPECT);
    len > limit && (asked || len > limit + DRAIN as u64)
}

async fn route<L: ControlLink>(
    context: &Arc<Context<L>>,
    arrived: Timestamp,
    work: Arc<Work>,
    key: Option<IdempotencyKey>,
) -> Reply {
    let (reply, ended) = match key {
        None => run_plain(context, &work).await,
        Some(key) => run_keyed(context, &work, &key).await,
    };
    let traceparent = work.headers.get("traceparent");
    let traceparent = traceparent
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let answer = ended.as_ref().and_then(|ended| match &ended.verdict {
        Verdict::Answer(answer) => Some(answer),
        Verdict::Failed(_) => None,
    });
    let access = Access {
        service: &work.service,
        outcome: outcome_of(&reply),
        status: reply.status().as_u16(),
        attempts: ended.as_ref().map_or(0, |ended| ended.attempts),
        minion: answer.map_or("", |a| a.minion.as_str()),
        zone: answer.map_or("", |a| a.zone.as_str()),
        total: context.core.now().saturating_sub(arrived),
        service_time: answer.map_or(Duration::ZERO, |a| a.service_time),
        traceparent,
    };
    context
        .access
        .record(&context.log, context.core.now(), &access);
    context.burn.record(&access, work.team.clone());
    reply
}

fn outcome_of(reply: &Reply) -> Outcome {
    let word = reply.headers().get(crate::entry::reply::OUTCOME);
    match word.map(HeaderValue::as_bytes) {
        Some(b"done") => Outcome::Done,
        Some(b"unknown") => Outcome::Unknown,
        _ => Outcome::NotRun,
    }
}

type Routed = (Reply, Option<Ended>);

async fn run_plain<L: ControlLink>(context: &Arc<Context<L>>, work: &Arc<Work>) -> Routed {
    let (id, verdict) = context.core.submit(work.clone(), Origin::Caller);
    let mut guard = CancelOnDrop {
        core: &context.core,
        id: Some(id),
    };
    let ended = verdict.await.unwrap_or_else(|_| Ended::lost());
    guard.id = None;
    (reply_to(&ended.verdict), Some(ended))
}

/// Takes the request back when the caller goes away and the server drops its future.
struct CancelOnDrop<'a> {
    core: &'a Arc<Core>,
    id: Option<RequestId>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.core.handle(Event::Cancelled(id));
        }
    }
}

/// Runs a request under a key. A claimed key must be settled whatever the caller does, so the
/// work goes on in a task of its own when the caller goes away.
async fn run_keyed<L: ControlLink>(
    context: &Arc<Context<L>>,
    work: &Arc<Work>,
    key: &IdempotencyKey,
) -> Routed {
    let (entry, process) = (&context.settings.id, context.process);
    let Some(open) = context.keys.open(&work.service, key, entry, process) else {
        return (in_progress(), None);
    };
    let gone = CancellationToken::new();
    let _gone_on_drop = gone.clone().drop_guard();
    let task = tokio::spawn(claim_and_run(context.clone(), work.clone(), open, gone));
    let failed = |_| (route_error(&lost_error()), None);
    task.await.unwrap_or_else(failed)
}

async fn claim_and_run<L: ControlLink>(
    context: Arc<Context<L>>,
    work: Arc<Work>,
    open: OpenKey,
    gone: CancellationToken,
) -> Routed {
    let timeout = context.core.left(work.deadline).min(CLAIM_TIMEOUT);
    let claim = open.claim(&work);
    let answer = context.link.call(claim, timeout).await;
    match answer {
        Ok(Answer::Key(KeyState::Claimed)) => {}
        Ok(Answer::Key(state)) => return (key_reply(&state), None),
        Ok(Answer::Refused(r)) => return (refusal(&r), None),
        // The claim may stand although its answer was lost. Nothing was started under it, so it
        // is given back.
        Ok(_) => {
            open.settle(&context.link, KeyState::NotRun).await;
            return (control_away(), None);
        }
        Err(_) => return (control_away(), None),
    }
    let (id, mut verdict) = context.core.submit(work, Origin::Caller);
    let ended = tokio::select! {
        ended = &mut verdict => ended,
        () = gone.cancelled() => {
            context.core.handle(Event::Cancelled(id));
            verdict.await
        }
    };
    let ended = ended.unwrap_or_else(|_| Ended::lost());
    open.settle(&context.link, state_after(&ended.verdict))
        .await;
    (reply_to(&ended.verdict), Some(ended))
}

fn lost_error() -> RouteError {
    RouteError::Unknown {
        reason: CompactString::const_new("the entry host dropped the request"),
        late: false,
    }
}

fn reply_to(verdict: &Verdict) -> Reply {
    match verdict {
        Verdict::Answer(answer) => minion_reply(answer),
        Verdict::Failed(error) => route_error(error),
    }
}

fn minion_reply(answer: &WholeAnswer) -> Reply {
    let mut reply = Reply::new(answer.body.clone());
    *reply.status_mut() = answer.status;
    let headers = reply.headers_mut();
    *headers = answer.headers.clone();
    headers.remove(crate::entry::reply::REQUEST_ID);
    set_outcome(headers, Outcome::Done);
    if let Ok(minion) = HeaderValue::from_str(&answer.minion) {
        headers.insert(HeaderName::from_static(MINION), minion);
    }
    reply
}

fn key_reply(state: &KeyState) -> Reply {
    match state {
        KeyState::Done(stored) => stored_reply(stored),
        KeyState::Claimed | KeyState::InProgress(_) => in_progress(),
        KeyState::Unknown => {
            let reason = "the request under this key may have run and is not run again";
            explained(StatusCode::CONFLICT, Outcome::Unknown, reason, None)
        }
        KeyState::NotRun => control_away(),
        KeyState::Mismatch => {
            let reason = "this key was used for another request";
            invalid(StatusCode::UNPROCESSABLE_ENTITY, reason)
        }
    }
}

fn in_progress() -> Reply {
    let reason = "the request under this key is in progress; ask again for its answer";
    explained(
        StatusCode::CONFLICT,
        Outcome::Unknown,
        reason,
        Some(Duration::from_secs(1)),
    )
}

fn stored_reply(stored: &StoredAnswer) -> Reply {
    let Some(body) = &stored.body else {
        let reason = format!(
            "it ran and answered {}; the answer was too large to be kept",
            stored.status
        );
        return explained(StatusCode::GONE, Outcome::Done, reason, None);
    };
    let mut reply = Reply::new(body.clone().into());
    *reply.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&stored.content_type) {
        reply
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    set_outcome(reply.headers_mut(), Outcome::Done);
    reply
}

/// Nothing was started, because control could not be asked.
pub(super) fn control_away() -> Reply {
    let reason = "control could not be reached; nothing was changed";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    explained(status, Outcome::NotRun, reason, Some(CONTROL_AWAY))
}
