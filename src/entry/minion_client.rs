//! HTTP towards minions: one try, and probes over new connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Deserialize;

use crate::entry::core::{Core, Start};
use crate::entry::reply::{DEADLINE, EPOCH, NOT_RUN, OUTCOME, REQUEST_ID, end_to_end};
use crate::entry::work::WholeAnswer;
use crate::ids::{MinionId, ProcessId};
use crate::routing::{AttemptEnd, SlotReport, Target};

/// Time for opening a connection to a minion.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is closed; below the usual keep-alive of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle connections kept to one minion.
const IDLE_PER_MINION: usize = 8;

/// Clients by minion, each with its own connections.
pub(super) struct MinionClients {
    process: ProcessId,
    pooled: Mutex<HashMap<MinionId, reqwest::Client>>,
    fresh: reqwest::Client,
}

/// What a minion that reports its slots says.
#[derive(Deserialize)]
struct SlotsInUse {
    in_use: u32,
}

type End = (AttemptEnd, Option<WholeAnswer>);

impl MinionClients {
    pub(super) fn new(process: ProcessId) -> reqwest::Result<Self> {
        Ok(Self {
            process,
            pooled: Mutex::default(),
            fresh: builder().pool_max_idle_per_host(0).build()?,
        })
    }

    /// Closes the idle connections to a minion.
    pub(super) fn forget(&self, minion: &MinionId) {
        self.lock().remove(minion);
    }

    /// Forgets minions that are no longer owned.
    pub(super) fn retain(&self, keep: impl Fn(&MinionId) -> bool) {
        self.lock().retain(|id, _| keep(id));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<MinionId, reqwest::Client>> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client for one try. A request that must not run twice gets a connection of its own: on
    /// a kept one that the minion just closed, it could not be told whether it ran.
    fn client(&self, minion: &MinionId, idempotent: bool) -> reqwest::Client {
        if !idempotent {
            return self.fresh.clone();
        }
        let mut pooled = self.lock();
        if let Some(client) = pooled.get(minion) {
            return client.clone();
        }
        let built = builder().pool_max_idle_per_host(IDLE_PER_MINION).build();
        let client = built.unwrap_or_else(|_| self.fresh.clone());
        pooled.insert(minion.clone(), client.clone());
        client
    }

    /// Sends one try and reads its whole answer.
    pub(super) async fn send(&self, core: &Core, start: &Start) -> End {
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
        let own_id = format!("{:x}-{}", self.process, start.attempt);
        let request = self
            .client(id, start.work.idempotent)
            .request(
                start.work.method.clone(),
                format!("http://{addr}{}", start.work.path),
            )
            .headers(start.work.headers.clone())
            .header(DEADLINE, left.as_millis().to_string())
            .header(EPOCH, *epoch)
            .header(REQUEST_ID, &own_id)
            .body(start.work.body.clone());
        // The lease is checked again at the last moment: this process may have been paused
        // between the decision and here, and the minion may have another owner by now.
        if !core.read(|router, now| router.may_use(now, id, *epoch)) {
            return not_run(None, false);
        }
        let response = match tokio::time::timeout(left, request.send()).await {
            Err(_) => return broken(true),
            Ok(Err(e)) if e.is_connect() || e.is_builder() => return not_run(None, true),
            Ok(Err(e)) => return broken(is_silence(&e)),
            Ok(Ok(response)) => response,
        };
        if is_crossed(response.headers(), &own_id) {
            metrics::counter!("yuccahold_entry_crossed_answers_total").increment(1);
            return broken(false);
        }
        let is_head = start.work.method == Method::HEAD;
        let (status, headers) = (response.status(), response.headers().clone());
        let left = core.left(start.until);
        let body = read_whole(response, is_head, start.work.body_limit);
        let body = match tokio::time::timeout(left, body).await {
            Err(_) => return broken(true),
            Ok(None) => return broken(false),
            Ok(Some(body)) => body,
        };
        if headers
            .get(OUTCOME)
            .is_some_and(|outcome| outcome == NOT_RUN)
        {
            return not_run(retry_after(&headers), false);
        }
        let answer = WholeAnswer {
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

    /// Asks a minion over a new connection what it has in work.
    pub(super) async fn probe(&self, addr: SocketAddr) -> Option<SlotReport> {
        let request = self.fresh.get(format!("http://{addr}/slots")).send();
        let response = tokio::time::timeout(PROBE_TIMEOUT, request)
            .await
            .ok()?
            .ok()?;
        if response.status() != StatusCode::OK {
            return Some(SlotReport::Silent);
        }
        let body = tokio::time::timeout(PROBE_TIMEOUT, response.json::<SlotsInUse>()).await;
        match body {
            Ok(Ok(slots)) => Some(SlotReport::InUse(slots.in_use)),
            _ => Some(SlotReport::Silent),
        }
    }
}

fn builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(USER_TIMEOUT)
}

/// Reads a body of at most `limit` bytes; none when it is cut, too long, or of a length that
/// nothing states.
async fn read_whole(mut response: reqwest::Response, is_head: bool, limit: usize) -> Option<Bytes> {
    let status = response.status();
    let empty = is_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if empty {
        return Some(Bytes::new());
    }
    let headers = response.headers();
    // A body that ends with the connection looks whole when it is cut.
    if !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING) {
        metrics::counter!("yuccahold_entry_unsized_answers_total").increment(1);
        return None;
    }
    let expected = response.content_length().unwrap_or(0);
    if expected > limit as u64 {
        metrics::counter!("yuccahold_entry_oversized_answers_total").increment(1);
        return None;
    }
    let mut body = BytesMut::with_capacity(expected as usize);
    while let Some(chunk) = response.chunk().await.ok()? {
        if body.len() + chunk.len() > limit {
            metrics::counter!("yuccahold_entry_oversized_answers_total").increment(1);
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}

/// Whether the answer says that it belongs to another request.
fn is_crossed(headers: &HeaderMap, own_id: &str) -> bool {
    headers.get(REQUEST_ID).is_some_and(|id| id != own_id)
}

/// Whether a status speaks of the minion's own failure.
fn is_failure(status: StatusCode) -> bool {
    let about_request = [
        StatusCode::NOT_IMPLEMENTED,
        StatusCode::HTTP_VERSION_NOT_SUPPORTED,
    ];
    status.is_server_error() && !about_request.contains(&status)
}

fn is_silence(error: &reqwest::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::TimedOut;
        }
        source = cause.source();
    }
    error.is_timeout()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER).map(HeaderValue::to_str)?.ok()?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn broken(silent: bool) -> End {
    (AttemptEnd::Broken { silent }, None)
}

fn not_run(retry_after: Option<Duration>, unreachable: bool) -> End {
    let end = AttemptEnd::NotRun {
        retry_after,
        unreachable,
    };
    (end, None)
}

/// Headers of a request as a minion gets them.
pub(super) fn for_minion(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(HOST);
    kept.remove(CONTENT_LENGTH);
    kept.remove(DEADLINE);
    kept.remove(REQUEST_ID);
    kept.remove(EPOCH);
    kept
}
