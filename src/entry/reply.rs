//! HTTP replies of this entry host: status, outcome and retry-after headers.

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

/// Response header with the outcome: `done`, `not-run` or `unknown`.
pub(super) const OUTCOME: &str = "yuccahold-outcome";
/// Milliseconds until the deadline; set by the caller, and on requests to minions to the time left.
pub(super) const DEADLINE: &str = "yuccahold-deadline-ms";
/// `true` or `false`: whether the request may run twice; overrides the service's setting.
pub(super) const IDEMPOTENT: &str = "yuccahold-idempotent";
/// Idempotency key: a resend with the same key gets the first response.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identifies an attempt. If a minion returns it, responses to other requests are detected.
pub(super) const REQUEST_ID: &str = "yuccahold-request-id";
/// Ownership epoch of the minion; a minion may refuse an older one than it has seen.
pub(super) const EPOCH: &str = "yuccahold-epoch";
/// Retry-after time in milliseconds; finer than `Retry-After`.
pub(super) const RETRY_AFTER_MS: &str = "yuccahold-retry-after-ms";
/// Response header with the name of the minion that handled the request.
pub(super) const MINION: &str = "yuccahold-minion";
/// Value of [`OUTCOME`] for a request that did not run.
pub(super) const NOT_RUN: &str = "not-run";

/// Outcome of a request, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request ran, and its response is delivered.
    Done,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value of the `yuccahold-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => NOT_RUN,
            Self::Unknown => "unknown",
        }
    }
}

/// HTTP response type of all handlers.
pub(super) type Reply = Response<Bytes>;

/// JSON body of a reply with a reason.
#[derive(Serialize)]
struct Explained<'a> {
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// A reply with a reason as JSON body.
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

/// Refusal of an invalid request, which did not run.
pub(super) fn invalid(status: StatusCode, reason: impl AsRef<str>) -> Reply {
    explained(status, Outcome::NotRun, reason, None)
}

/// A reply with a JSON body.
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
    // Rounded up to seconds, so that a caller that reads only this header never retries too early.
    let seconds = after.as_millis().div_ceil(1000).max(1);
    headers.insert(RETRY_AFTER, number(seconds));
    headers.insert(RETRY_AFTER_MS, number(after.as_millis()));
}

fn number(n: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(n).unwrap_or(u64::MAX))
}

/// The reply to a request that failed without a response from a minion.
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

/// The reply to a call that the control plane refused.
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

/// Headers without hop-by-hop ones, including those that `Connection` names.
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
