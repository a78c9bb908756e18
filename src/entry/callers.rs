//! Requests of callers to services: validated, claimed if they have an idempotency key, routed.

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
use crate::entry::http::{
    BodyError, Incoming, MAX_DISCARDED_BYTES, body_refused, read_body, with_query,
};
use crate::entry::keys::{KeyGuard, state_after};
use crate::entry::link::ControlLink;
use crate::entry::minion_client::for_minion;
use crate::entry::reply::{
    DEADLINE, IDEMPOTENCY_KEY, IDEMPOTENT, MINION, Outcome, Reply, explained, invalid, refusal,
    route_error, set_outcome,
};
use crate::entry::service_request::{
    CompletedRequest, MinionResponse, RequestResult, ServiceRequest,
};
use crate::ids::{IdempotencyKey, Timestamp};
use crate::routing::{Event, Origin, RequestId, RouteError};
use crate::wire::{Answer, KeyState, StoredAnswer};

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Longest part of the time to the deadline that is kept for settling a key whose claim was not
/// answered.
const SETTLE_RESERVE: Duration = Duration::from_secs(1);
/// The part kept of a shorter time, as a divisor.
const SETTLE_RESERVE_DIVISOR: u32 = 4;
/// Retry-after time when the control plane is unreachable.
const CONTROL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Options that the caller set in headers.
struct RequestOptions {
    deadline: Option<Duration>,
    idempotent: Option<bool>,
    key: Option<IdempotencyKey>,
}

/// Handles one request to a service. `prefix` is the length of the path prefix that selected it.
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
        return explained(status, Outcome::NotRun, reason, Some(CONTROL_RETRY_AFTER));
    }
    let document = context.core.read(|router, _| router.document().clone());
    let Some((name, declared)) = document.services.get_key_value(service) else {
        let reason = format!("no service is named {service}");
        return invalid(StatusCode::NOT_FOUND, reason);
    };
    let options = match RequestOptions::read(&incoming.headers) {
        Ok(options) => options,
        Err(reason) => return invalid(StatusCode::BAD_REQUEST, reason),
    };
    if is_refused_before_body(&incoming.headers, declared.body_limit) {
        return body_refused(&BodyError::TooLarge);
    }
    let deadline = arrived + options.deadline_for(declared);
    let reading = read_body(incoming.body, declared.body_limit as usize);
    let read = tokio::time::timeout(context.core.left(deadline), reading).await;
    let body = match read.unwrap_or(Err(BodyError::Timeout)) {
        Ok(body) => body,
        Err(e) => return body_refused(&e),
    };
    let rest = &incoming.path[prefix.min(incoming.path.len())..];
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    let service_request = ServiceRequest {
        service: name.clone(),
        team: declared.team.clone(),
        priority: declared.priority,
        idempotent: options.may_run_twice(declared),
        deadline,
        body_limit: declared.body_limit as usize,
        method: incoming.method,
        path: with_query(&rest, &incoming.query),
        headers: for_minion(&incoming.headers),
        body,
    };
    route(context, arrived, Arc::new(service_request), options.key).await
}

impl RequestOptions {
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
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err(format!(
                "{IDEMPOTENCY_KEY} is empty or over {MAX_KEY_BYTES} bytes"
            ));
        }
        Ok(Self {
            deadline: deadline.map(Duration::from_millis),
            idempotent,
            key: key.map(CompactString::from),
        })
    }

    /// Time to the deadline: the caller's value, at most twice the service's default.
    fn deadline_for(&self, service: &Service) -> Duration {
        let own = service.deadline;
        self.deadline
            .map_or(own, |requested| requested.min(own * 2))
    }

    /// A request with a key must run only once, unless the caller declares it idempotent.
    fn may_run_twice(&self, service: &Service) -> bool {
        let by_service = service.idempotent && self.key.is_none();
        self.idempotent.unwrap_or(by_service)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| format!("{name} holds bytes that are no text"))
}

/// Whether a body is refused before any of it is read: it is over the limit, and the caller either
/// expects `100 Continue` or declared more than is read and discarded.
fn is_refused_before_body(headers: &HeaderMap, limit: u64) -> bool {
    let stated = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let len: u64 = stated.and_then(|len| len.parse().ok()).unwrap_or(0);
    let asked = headers.contains_key(EXPECT);
    len > limit && (asked || len > limit + MAX_DISCARDED_BYTES as u64)
}

async fn route<L: ControlLink>(
    context: &Arc<Context<L>>,
    arrived: Timestamp,
    service_request: Arc<ServiceRequest>,
    key: Option<IdempotencyKey>,
) -> Reply {
    let (reply, completed) = match key {
        None => run_plain(context, &service_request).await,
        Some(key) => run_keyed(context, &service_request, &key).await,
    };
    let traceparent = service_request.headers.get("traceparent");
    let traceparent = traceparent
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let answer = completed
        .as_ref()
        .and_then(|completed| match &completed.result {
            RequestResult::Response(answer) => Some(answer),
            RequestResult::Failed(_) => None,
        });
    let access = Access {
        service: &service_request.service,
        outcome: outcome_of(&reply),
        status: reply.status().as_u16(),
        attempts: completed.as_ref().map_or(0, |completed| completed.attempts),
        minion: answer.map_or("", |a| a.minion.as_str()),
        zone: answer.map_or("", |a| a.zone.as_str()),
        total: context.core.now().saturating_sub(arrived),
        service_time: answer.map_or(Duration::ZERO, |a| a.service_time),
        traceparent,
    };
    context
        .access
        .record(&context.log, context.core.now(), &access);
    context.burn.record(&access, service_request.team.clone());
    reply
}

fn outcome_of(reply: &Reply) -> Outcome {
    let header = reply.headers().get(crate::entry::reply::OUTCOME);
    match header.map(HeaderValue::as_bytes) {
        Some(b"done") => Outcome::Done,
        Some(b"unknown") => Outcome::Unknown,
        _ => Outcome::NotRun,
    }
}

type Routed = (Reply, Option<CompletedRequest>);

async fn run_plain<L: ControlLink>(
    context: &Arc<Context<L>>,
    service_request: &Arc<ServiceRequest>,
) -> Routed {
    let (id, result) = context.core.submit(service_request.clone(), Origin::Caller);
    let mut guard = CancelOnDrop {
        core: &context.core,
        id: Some(id),
    };
    let completed = result.await.unwrap_or_else(|_| CompletedRequest::dropped());
    guard.id = None;
    (reply_to(&completed.result), Some(completed))
}

/// Cancels the request when the caller disconnects and the server drops the handler's future.
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

/// Runs a request with an idempotency key, in a separate task: a claimed key must be settled even
/// if the caller disconnects.
async fn run_keyed<L: ControlLink>(
    context: &Arc<Context<L>>,
    service_request: &Arc<ServiceRequest>,
    key: &IdempotencyKey,
) -> Routed {
    let (entry, process) = (&context.settings.id, context.process);
    let Some(key_guard) = context
        .keys
        .reserve(&service_request.service, key, entry, process)
    else {
        return (in_progress(), None);
    };
    let disconnected = CancellationToken::new();
    let _cancel_on_drop = disconnected.clone().drop_guard();
    let task = tokio::spawn(claim_and_run(
        context.clone(),
        service_request.clone(),
        key_guard,
        disconnected,
    ));
    let failed = |_| (route_error(&dropped_error()), None);
    task.await.unwrap_or_else(failed)
}

async fn claim_and_run<L: ControlLink>(
    context: Arc<Context<L>>,
    service_request: Arc<ServiceRequest>,
    key_guard: KeyGuard,
    disconnected: CancellationToken,
) -> Routed {
    let timeout = claim_timeout(context.core.left(service_request.deadline));
    let claim = key_guard.claim(&service_request);
    let answer = context.link.call(claim, timeout).await;
    match answer {
        Ok(Answer::Key(KeyState::Claimed)) => {}
        Ok(Answer::Key(state)) => return (key_reply(&state), None),
        Ok(Answer::Refused(r)) => return (refusal(&r), None),
        // The claim may have succeeded although its response was lost. Nothing was started, so it
        // is settled as not run.
        Ok(_) => {
            key_guard.settle(&context.link, KeyState::NotRun).await;
            return (control_unavailable(), None);
        }
        Err(_) => return (control_unavailable(), None),
    }
    let (id, mut result) = context.core.submit(service_request, Origin::Caller);
    let completed = tokio::select! {
        completed = &mut result => completed,
        () = disconnected.cancelled() => {
            context.core.handle(Event::Cancelled(id));
            result.await
        }
    };
    let completed = completed.unwrap_or_else(|_| CompletedRequest::dropped());
    key_guard
        .settle(&context.link, state_after(&completed.result))
        .await;
    (reply_to(&completed.result), Some(completed))
}

/// How long to wait for the answer to a claim with `left` until the deadline.
///
/// Control answers late while its disk is slow. The request can still be served then, and a refusal
/// would send its caller to another entry host that waits for the same disk.
fn claim_timeout(left: Duration) -> Duration {
    left - (left / SETTLE_RESERVE_DIVISOR).min(SETTLE_RESERVE)
}

fn dropped_error() -> RouteError {
    RouteError::Unknown {
        reason: CompactString::const_new("the entry host dropped the request"),
        late: false,
    }
}

fn reply_to(result: &RequestResult) -> Reply {
    match result {
        RequestResult::Response(answer) => minion_reply(answer),
        RequestResult::Failed(error) => route_error(error),
    }
}

fn minion_reply(answer: &MinionResponse) -> Reply {
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
        KeyState::NotRun => control_unavailable(),
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

/// The reply when the control plane is unreachable, so that nothing was started.
pub(super) fn control_unavailable() -> Reply {
    let reason = "control could not be reached; nothing was changed";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    explained(status, Outcome::NotRun, reason, Some(CONTROL_RETRY_AFTER))
}
