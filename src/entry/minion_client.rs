//! HTTP client for minions: sends attempts, and probes over new connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{ACCEPT, CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use serde::Deserialize;

use crate::entry::core::{AttemptStart, Core};
use crate::entry::http::with_query;
use crate::entry::minion_connection::{
    CONNECT_TIMEOUT, IdleConnections, SendError, USER_TIMEOUT, send,
};
use crate::entry::reply::{DEADLINE, EPOCH, NOT_RUN, OUTCOME, REQUEST_ID, end_to_end};
use crate::entry::service_request::MinionResponse;
use crate::ids::{MinionId, ProcessId};
use crate::routing::{AttemptEnd, SlotReport, Target};

/// Timeout of a probe's response headers, and again of its body.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections by minion, and the client for probes.
pub(super) struct MinionClients {
    process: ProcessId,
    idle: Mutex<HashMap<MinionId, Arc<IdleConnections>>>,
    probes: reqwest::Client,
}

/// Probe response of a minion that reports its slots.
#[derive(Deserialize)]
struct SlotsInUse {
    in_use: u32,
}

type End = (AttemptEnd, Option<MinionResponse>);

impl MinionClients {
    pub(super) fn new(process: ProcessId) -> reqwest::Result<Self> {
        Ok(Self {
            process,
            idle: Mutex::default(),
            probes: probe_client()?,
        })
    }

    /// Closes the idle connections to a minion; those in use are not kept after their response.
    pub(super) fn close_connections(&self, minion: &MinionId) {
        self.lock().remove(minion);
    }

    /// Closes the idle connections to all minions but those to keep.
    pub(super) fn retain(&self, keep: impl Fn(&MinionId) -> bool) {
        self.lock().retain(|id, _| keep(id));
    }

    /// Closes connections that were idle for too long.
    pub(super) fn close_idle(&self) {
        self.lock().values().for_each(|idle| idle.close_idle());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<MinionId, Arc<IdleConnections>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The idle connections that an attempt may use. A non-idempotent request gets a new
    /// connection: if the minion closed an idle one just then, it would be unknown whether the
    /// request ran.
    fn idle(&self, minion: &MinionId, idempotent: bool) -> Option<Arc<IdleConnections>> {
        idempotent.then(|| self.lock().entry(minion.clone()).or_default().clone())
    }

    /// Sends one attempt and reads its complete response.
    pub(super) async fn send(&self, core: &Arc<Core>, start: &AttemptStart) -> End {
        let Target::Minion {
            id,
            addr,
            zone,
            epoch,
            ..
        } = &start.target
        else {
            return broken(false);
        };
        let began = core.now();
        let left = core.left(start.until);
        let request_id = format!("{:x}-{}", self.process, start.attempt);
        let Some(request) = request(*addr, start, left, *epoch, &request_id) else {
            return not_run(None, true);
        };
        // The lease is checked again before the first byte is written: this process may have been
        // paused since the routing decision, and the minion may have another owner now.
        let (router, minion, epoch) = (core.clone(), id.clone(), *epoch);
        let check = move || router.read(|router, now| router.may_use(now, &minion, epoch));
        let idle = self.idle(id, start.service_request.idempotent);
        let sending = send(*addr, idle.as_deref(), request, Arc::new(check));
        let (connection, mut response) = match tokio::time::timeout(left, sending).await {
            Err(_) => return broken(true),
            Ok(Err(SendError::Unreachable)) => return not_run(None, true),
            Ok(Err(SendError::Refused)) => return not_run(None, false),
            Ok(Err(SendError::Broken(e))) => return broken(is_timeout(&e)),
            Ok(Ok(answered)) => answered,
        };
        if is_mismatched(response.headers(), &request_id) {
            metrics::counter!("yuccahold_entry_crossed_answers_total").increment(1);
            return broken(false);
        }
        let is_head = start.service_request.method == Method::HEAD;
        let (status, headers) = (response.status(), response.headers().clone());
        let left = core.left(start.until);
        let body = read_complete_body(&mut response, is_head, start.service_request.body_limit);
        let body = match tokio::time::timeout(left, body).await {
            Err(_) => return broken(true),
            Ok(None) => return broken(false),
            Ok(Some(body)) => body,
        };
        if let Some(idle) = idle {
            idle.put(connection);
        }
        if headers
            .get(OUTCOME)
            .is_some_and(|outcome| outcome == NOT_RUN)
        {
            return not_run(retry_after(&headers), false);
        }
        let answer = MinionResponse {
            status,
            headers: end_to_end(&headers),
            body,
            minion: id.clone(),
            zone: zone.clone(),
            service_time: core.now().saturating_sub(began),
        };
        let failed = is_failure(status);
        (AttemptEnd::Answered { failed }, Some(answer))
    }

    /// Queries a minion's slots in use over a new connection; none when it is unreachable.
    pub(super) async fn probe(&self, addr: SocketAddr) -> Option<SlotReport> {
        let request = self.probes.get(format!("http://{addr}/slots")).send();
        let response = tokio::time::timeout(PROBE_TIMEOUT, request)
            .await
            .ok()?
            .ok()?;
        if response.status() != StatusCode::OK {
            return Some(SlotReport::Unknown);
        }
        let body = tokio::time::timeout(PROBE_TIMEOUT, response.json::<SlotsInUse>()).await;
        match body {
            Ok(Ok(slots)) => Some(SlotReport::InUse(slots.in_use)),
            _ => Some(SlotReport::Unknown),
        }
    }
}

fn probe_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(0)
        .tcp_nodelay(true)
        .tcp_user_timeout(USER_TIMEOUT)
        .build()
}

/// The HTTP request of an attempt; none when the path does not form a valid URL.
fn request(
    addr: SocketAddr,
    start: &AttemptStart,
    left: Duration,
    epoch: u64,
    request_id: &str,
) -> Option<Request<Full<Bytes>>> {
    let service_request = &start.service_request;
    let url = reqwest::Url::parse(&format!("http://{addr}{}", service_request.path)).ok()?;
    let path = with_query(url.path(), url.query().unwrap_or_default());
    let request = Request::builder()
        .method(service_request.method.clone())
        .uri(path);
    let mut request = request.body(Full::new(service_request.body.clone())).ok()?;
    let headers = request.headers_mut();
    *headers = service_request.headers.clone();
    headers
        .entry(ACCEPT)
        .or_insert(HeaderValue::from_static("*/*"));
    headers.insert(HOST, HeaderValue::from_str(&addr.to_string()).ok()?);
    headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
    headers.insert(EPOCH, HeaderValue::from(epoch));
    headers.insert(REQUEST_ID, HeaderValue::from_str(request_id).ok()?);
    Some(request)
}

/// Reads a body of at most `limit` bytes; none when it is truncated, too long, or neither chunked
/// nor of a declared length.
async fn read_complete_body(
    response: &mut Response<Incoming>,
    is_head: bool,
    limit: usize,
) -> Option<Bytes> {
    let status = response.status();
    let empty = is_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if empty {
        return Some(Bytes::new());
    }
    let headers = response.headers();
    // Truncation of a body that ends when the connection closes can't be detected.
    if !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING) {
        metrics::counter!("yuccahold_entry_unsized_answers_total").increment(1);
        return None;
    }
    let expected = response.body().size_hint().exact().unwrap_or(0);
    if expected > limit as u64 {
        metrics::counter!("yuccahold_entry_oversized_answers_total").increment(1);
        return None;
    }
    let mut body = BytesMut::with_capacity(expected as usize);
    while let Some(frame) = response.frame().await {
        let Ok(chunk) = frame.ok()?.into_data() else {
            continue;
        };
        if body.len() + chunk.len() > limit {
            metrics::counter!("yuccahold_entry_oversized_answers_total").increment(1);
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}

/// Whether the response carries the identifier of another attempt.
fn is_mismatched(headers: &HeaderMap, request_id: &str) -> bool {
    headers.get(REQUEST_ID).is_some_and(|id| id != request_id)
}

/// Whether a status indicates a failure of the minion rather than an unsupported request.
fn is_failure(status: StatusCode) -> bool {
    let about_request = [
        StatusCode::NOT_IMPLEMENTED,
        StatusCode::HTTP_VERSION_NOT_SUPPORTED,
    ];
    status.is_server_error() && !about_request.contains(&status)
}

fn is_timeout(error: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::TimedOut;
        }
        source = cause.source();
    }
    false
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER).map(HeaderValue::to_str)?.ok()?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn broken(timed_out: bool) -> End {
    (AttemptEnd::Broken { timed_out }, None)
}

fn not_run(retry_after: Option<Duration>, unreachable: bool) -> End {
    let end = AttemptEnd::NotRun {
        retry_after,
        unreachable,
    };
    (end, None)
}

/// Headers of a caller's request that are forwarded to a minion.
pub(super) fn for_minion(headers: &HeaderMap) -> HeaderMap {
    let mut idle = end_to_end(headers);
    idle.remove(HOST);
    idle.remove(CONTENT_LENGTH);
    idle.remove(DEADLINE);
    idle.remove(REQUEST_ID);
    idle.remove(EPOCH);
    idle
}
