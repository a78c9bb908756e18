//! Answers to callers: status, outcome, and when to come back.

use std::time::Duration;

use http::header::{
    CONNECTION, CONTENT_TYPE, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde::Serialize;
use warp::hyper::body::Bytes;

use crate::routing::RouteError;
use crate::wire::{Refusal, RefusalKind};

/// States what became of a request: `done`, `not-run` or `unknown`.
pub(super) const OUTCOME: &str = "yuccahold-outcome";
/// Milliseconds the caller waits for the answer; also what a minion is told is left.
pub(super) const DEADLINE: &str = "yuccahold-deadline-ms";
/// Whether this request may run twice, against the service's rule.
pub(super) const IDEMPOTENT: &str = "yuccahold-idempotent";
/// Key under which a resend gets the first answer.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of a try; a minion that sends it back lets crossed answers be found.
pub(super) const REQUEST_ID: &str = "yuccahold-request-id";
/// Number of the ownership under which a minion is used; a minion may refuse an older one.
pub(super) const EPOCH: &str = "yuccahold-epoch";
/// When to come back, in milliseconds; finer than `Retry-After`.
pub(super) const RETRY_AFTER_MS: &str = "yuccahold-retry-after-ms";
/// Minion that answered.
pub(super) const MINION: &str = "yuccahold-minion";
/// Value of [`OUTCOME`] for work that did not run.
pub(super) const NOT_RUN: &str = "not-run";

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It ran, and this is its answer.
    Done,
    /// Proved that nothing ran.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The word on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => NOT_RUN,
            Self::Unknown => "unknown",
        }
    }
}

/// The kind of answer every handler gives.
pub(super) type Reply = Response<Bytes>;

/// Body of an answer that is not a minion's.
#[derive(Serialize)]
struct Explained<'a> {
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// An answer of this entry host's own, explained.
pub(super) fn explained(
    status: StatusCode,
    outcome: Outcome,
    reason: impl AsRef<str>,
    retry_after: Option<Duration>,
) -> Reply {
    let body = Explained {
        outcome: outcome.as_str(),
        reason: reason.as_ref(),
        retry_after_ms: retry_after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
    };
    let mut reply = json(status, outcome, &body);
    if let Some(after) = retry_after {
        set_retry_after(reply.headers_mut(), after);
    }
    reply
}

/// A refusal of a request that makes no sense: nothing ran.
pub(super) fn invalid(status: StatusCode, reason: impl AsRef<str>) -> Reply {
    explained(status, Outcome::NotRun, reason, None)
}

/// A JSON answer.
pub(super) fn json(status: StatusCode, outcome: Outcome, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(Bytes::from(body));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_outcome(headers, outcome);
    reply
}

pub(super) fn set_outcome(headers: &mut HeaderMap, outcome: Outcome) {
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
}

fn set_retry_after(headers: &mut HeaderMap, after: Duration) {
    // Whole seconds, rounded up: a caller that knows only this header never comes too early.
    let seconds = after.as_millis().div_ceil(1000).max(1);
    headers.insert(RETRY_AFTER, number(seconds));
    headers.insert(RETRY_AFTER_MS, number(after.as_millis()));
}

fn number(n: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(n).unwrap_or(u64::MAX))
}

/// The answer for a request that got none from a minion. It is sent at once.
pub(super) fn route_error(error: &RouteError) -> Reply {
    match error {
        RouteError::NotRun {
            reason,
            retry_after,
            late,
            limited,
        } => {
            let status = match (late, limited) {
                (true, _) => StatusCode::GATEWAY_TIMEOUT,
                (_, true) => StatusCode::TOO_MANY_REQUESTS,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            explained(status, Outcome::NotRun, reason, Some(*retry_after))
        }
        RouteError::Unknown { reason, late } => {
            let status = if *late {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            explained(status, Outcome::Unknown, reason, None)
        }
    }
}

/// The answer for a call that control refused.
pub(super) fn refusal(refusal: &Refusal) -> Reply {
    let status = match refusal.kind {
        RefusalKind::NotFound => StatusCode::NOT_FOUND,
        RefusalKind::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalKind::Conflict => StatusCode::CONFLICT,
        RefusalKind::Expired => StatusCode::GONE,
        RefusalKind::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
    };
    explained(
        status,
        Outcome::NotRun,
        &refusal.message,
        refusal.retry_after,
    )
}

/// Headers without those that speak of one connection only.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const HOP: [HeaderName; 7] = [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let named: Vec<_> = named.flat_map(|v| v.split(',')).map(str::trim).collect();
    let by_connection =
        |name: &HeaderName| named.iter().any(|n| n.eq_ignore_ascii_case(name.as_str()));
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP.contains(name) && name != "keep-alive" && !by_connection(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
