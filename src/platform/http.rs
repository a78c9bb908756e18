//! HTTP/1.1 server shared by both daemons: accept loop, size limits, bodies, replies and closing of
//! connections at a stop.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::batch::model::Limits;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

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
    stopping: watch::Receiver<bool>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let stopping = stopping.clone();
        let service = service_fn(move |req| {
            let (handler, stopping) = (handler.clone(), stopping.clone());
            async move {
                let mut reply = handler.handle(req).await;
                if *stopping.borrow() {
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
            // A client that disconnects is not an error of this process.
            let _ = connection.await;
        });
    }
}

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    TooLarge,
    /// The connection failed before the end of the body.
    Broken,
}

pub(super) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Broken),
    }
}

pub(super) fn body_error_reply(e: BodyError) -> Reply {
    match e {
        BodyError::TooLarge => error_reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyError::Broken => error_reply(StatusCode::BAD_REQUEST, "the body did not arrive whole"),
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
