//! HTTP/1.1 server shared by both daemons: accept loop, size limits, bodies, replies and closing of
//! connections at a stop.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::counter;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};

use super::connections::{Connection, Connections};
use crate::batch::model::Limits;
use crate::ids::Timestamp;
use crate::replication::monotonic_now;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which the queue of new connections is looked at while none comes.
const ACCEPT_CHECK: Duration = Duration::from_secs(5);

/// Time within which a body must arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time from when a connection begins to wait for a request to its end: idle connections and
/// slow bodies end sooner. Only a process that was stopped or suspended meanwhile takes longer, and a
/// request that it finds in its sockets may have been given up long ago.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(30);

/// When the connection of a request began to wait for it, in monotonic time. The request arrived
/// later.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingSince(Timestamp);

impl WaitingSince {
    /// The value that `serve` attached to a request.
    pub(super) fn of<B>(req: &Request<B>) -> Self {
        let attached = req.extensions().get().copied();
        attached.unwrap_or(Self(Timestamp::ZERO))
    }

    /// Time from when the connection began to wait until `now`.
    pub(super) fn age(self, now: Timestamp) -> Duration {
        now.saturating_sub(self.0)
    }

    /// Whether the request may have arrived too long ago to be carried out.
    pub(super) fn is_stale(self, now: Timestamp) -> bool {
        self.age(now) > MAX_REQUEST_AGE
    }
}

/// The answer to a request that may have arrived too long ago. It promises nothing: a newer copy of
/// the request may be under way.
pub(super) fn stale() -> Reply {
    counter!("yuccahold_http_requests_stale_total").increment(1);
    error_reply(
        StatusCode::GATEWAY_TIMEOUT,
        "the request has waited for too long and was not carried out; ask again",
    )
}

pub(super) type Reply = Response<Full<Bytes>>;

/// Turns one request into a reply; clones serve connections concurrently.
pub(super) trait Handler: Clone + Send + Sync + 'static {
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// Accepts connections until the process ends. Once `stopping` is true, each reply carries
/// `Connection: close`, so that the client closes the connection; idle connections are left for the
/// client to close.
pub(super) async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: Limits,
    connections: Connections,
    stopping: watch::Receiver<bool>,
) {
    // When the queue of new connections was last seen empty: those in it have come since.
    let mut empty_at = monotonic_now();
    let mut looked_at = empty_at;
    let mut trusted_from = empty_at;
    loop {
        let accepted = poll_fn(|cx| {
            let accepted = listener.poll_accept(cx);
            if accepted.is_pending() {
                let now = monotonic_now();
                // After a stop, connections may have come that the runtime has not noticed yet.
                if now.saturating_sub(looked_at) > 2 * ACCEPT_CHECK {
                    trusted_from = now + ACCEPT_CHECK / 2;
                }
                looked_at = now;
                if now >= trusted_from {
                    empty_at = now;
                }
            }
            accepted
        });
        // Elapses for the sake of `empty_at` only.
        let Ok(accepted) = timeout(ACCEPT_CHECK, accepted).await else {
            continue;
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(slot) = connections.open(monotonic_now()).await else {
            continue;
        };
        let slot = Arc::new(slot);
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let stopping = stopping.clone();
        let waiting = Arc::new(Mutex::new(WaitingSince(empty_at)));
        let served = Arc::clone(&slot);
        let service = service_fn(move |mut req: Request<Incoming>| {
            let (handler, stopping) = (handler.clone(), stopping.clone());
            let (waiting, slot) = (Arc::clone(&waiting), Arc::clone(&served));
            async move {
                slot.serves();
                let since = *waiting.lock().expect("no holder panics");
                req.extensions_mut().insert(since);
                req.extensions_mut().insert(Arc::clone(&slot));
                let mut reply = handler.handle(req).await;
                let now = monotonic_now();
                slot.release();
                slot.waits(now);
                *waiting.lock().expect("no holder panics") = WaitingSince(now);
                // The next request may be in the buffer of the connection already.
                if *stopping.borrow() || since.is_stale(now) {
                    let close = HeaderValue::from_static("close");
                    reply.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(reply)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.header_bytes as usize)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::select! {
                // A client that disconnects is not an error of this process.
                _ = connection => {}
                () = slot.closed() => {}
            }
        });
    }
}

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    TooLarge,
    /// The connection failed before the end of the body.
    Broken,
    /// The body did not end in time, or there was no memory for it.
    Unfinished,
}

/// Smallest buffer for a body.
const MIN_BODY_BUFFER: usize = 4 * 1024;

/// Reads a whole body of at most `limit` bytes. The bytes are copied: a frame keeps the buffer of the
/// connection that it was read into, and a body may consist of as many frames as bytes.
pub(super) async fn read_body(req: Request<Incoming>, limit: usize) -> Result<Bytes, BodyError> {
    let slot = req.extensions().get::<Arc<Connection>>().cloned();
    let slot = slot.ok_or(BodyError::Broken)?;
    slot.waits(monotonic_now());
    let body = req.into_body();
    let largest = body.size_hint().exact().map_or(limit, |size| size as usize);
    let mut body = Limited::new(body, limit);
    let mut buf = Vec::new();
    let end = Instant::now() + BODY_TIMEOUT;
    loop {
        let frame = timeout_at(end, body.frame()).await;
        let data = match frame.map_err(|_| BodyError::Unfinished)? {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return Err(BodyError::TooLarge);
            }
            Some(Err(_)) => return Err(BodyError::Broken),
        };
        let needed = buf.len() + data.len();
        if needed > buf.capacity() {
            let doubled = (buf.capacity() * 2).max(MIN_BODY_BUFFER);
            let capacity = doubled.min(largest).max(needed);
            if !slot.reserve(capacity - buf.capacity()) {
                return Err(BodyError::Unfinished);
            }
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    slot.serves();
    Ok(buf.into())
}

pub(super) fn body_error_reply(e: BodyError) -> Reply {
    match e {
        BodyError::TooLarge => error_reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyError::Broken => error_reply(StatusCode::BAD_REQUEST, "the body did not arrive whole"),
        BodyError::Unfinished => {
            let why = "the body did not arrive in time, or there are too many; send it again";
            let mut reply = error_reply(StatusCode::GATEWAY_TIMEOUT, why);
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
            reply
        }
    }
}

#[derive(Serialize)]
struct Reason<'a> {
    error: &'a str,
}

pub(super) fn error_reply(status: StatusCode, reason: &str) -> Reply {
    json(status, &Reason { error: reason })
}

pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    json_bytes(status, bytes.into())
}

pub(super) fn json_bytes(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

pub(super) fn empty(status: StatusCode) -> Reply {
    json_bytes(status, Bytes::from_static(b"{}"))
}

/// An error reply with `Retry-After`.
pub(super) fn retry_later(status: StatusCode, after: Duration, reason: &str) -> Reply {
    with_retry_after(error_reply(status, reason), after)
}

/// Adds `Retry-After` to a reply, rounded up to whole seconds and at least 1.
pub(super) fn with_retry_after(mut reply: Reply, after: Duration) -> Reply {
    let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
    reply.headers_mut().insert(RETRY_AFTER, seconds.into());
    reply
}

pub(super) fn text(body: String) -> Reply {
    let mut reply = json_bytes(StatusCode::OK, body.into());
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}
