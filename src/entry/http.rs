//! HTTP server: dispatches all requests by method and path.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use warp::Filter;
use warp::path::FullPath;

use crate::entry::daemon::Context;
use crate::entry::link::ControlLink;
use crate::entry::reply::{Outcome, Reply, explained, invalid, json};
use crate::entry::{announce, callers, jobs};

/// Maximum body size of a request to this entry host's own API.
const MAX_API_BODY: usize = 1024 * 1024;
/// Maximum bytes over the body limit that are read and discarded before a request is refused.
pub(super) const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Timeout of reading the body of a request to the JSON API.
const API_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A received request whose body has not been read.
pub(super) struct Incoming<S> {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: String,
    pub(super) headers: HeaderMap,
    pub(super) body: S,
}

/// Why a body could not be read completely.
pub(super) enum BodyError {
    TooLarge,
    ConnectionLost,
    Timeout,
}

/// The filter that handles every request.
pub(super) fn filter<L: ControlLink>(
    context: Arc<Context<L>>,
) -> impl Filter<Extract = (Reply,), Error = std::convert::Infallible> + Clone + Send + Sync + 'static
{
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: FullPath, query, headers, body| {
            let context = context.clone();
            let incoming = Incoming {
                method,
                path: path.as_str().to_owned(),
                query,
                headers,
                body,
            };
            async move { answer(&context, incoming).await }
        })
        .or(warp::any().map(|| invalid(StatusCode::BAD_REQUEST, "the request makes no sense")))
        .unify()
}

async fn answer<L, S, B, E>(context: &Arc<Context<L>>, incoming: Incoming<S>) -> Reply
where
    L: ControlLink,
    S: Stream<Item = Result<B, E>> + Send,
    B: Buf,
{
    let path = incoming.path.clone();
    let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
    let method = incoming.method.clone();
    match (&method, parts.as_slice()) {
        (_, ["v1", "services", service, ..]) => {
            let prefix = "/v1/services/".len() + service.len();
            callers::request(context, service, prefix, incoming).await
        }
        (&Method::GET, ["healthz", "live"]) => text("live\n"),
        (&Method::GET, ["healthz", "ready"]) => ready(context),
        (&Method::GET, ["metrics"]) => text(context.metrics_page()),
        (&Method::GET, ["v1", "routing"]) => {
            let status = context.core.read(|router, now| router.status(now));
            json(StatusCode::OK, Outcome::Done, &status)
        }
        (&Method::PUT, ["v1", "minions", id]) => match read_json(incoming).await {
            Ok(body) => announce::minion(context, id, body).await,
            Err(refused) => refused,
        },
        (&Method::DELETE, ["v1", "minions", id]) => announce::withdraw_minion(context, id).await,
        (&Method::POST, ["v1", "workers", id, "poll"]) => match read_json(incoming).await {
            Ok(poll) => announce::worker(context, id, poll).await,
            Err(refused) => refused,
        },
        (&Method::POST, ["v1", "jobs"]) => {
            let headers = incoming.headers.clone();
            match read_json(incoming).await {
                Ok(job) => jobs::submit(context, &headers, job).await,
                Err(refused) => refused,
            }
        }
        (&Method::GET, ["v1", "jobs", name]) => jobs::query(context, name).await,
        (&Method::DELETE, ["v1", "jobs", name]) => jobs::cancel(context, name).await,
        (_, ["v1", "document"] | ["console", ..])
        | (&Method::GET, ["v1", "jobs" | "history" | "workers" | "minions" | "entries"])
        | (&Method::GET, ["v1", "replicas" | "teams" | "audit" | "burn"]) => {
            match read_body(incoming.body, MAX_API_BODY).await {
                Ok(body) => {
                    let path = with_query(&path, &incoming.query);
                    jobs::forward_http(context, &method, path, &incoming.headers, &body).await
                }
                Err(e) => body_refused(&e),
            }
        }
        _ => match context.route(&path) {
            Some((service, prefix)) => callers::request(context, &service, prefix, incoming).await,
            None => invalid(StatusCode::NOT_FOUND, "there is nothing at this path"),
        },
    }
}

fn ready<L: ControlLink>(context: &Context<L>) -> Reply {
    match context.not_ready() {
        None => text("ready\n"),
        Some(reason) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            explained(
                status,
                Outcome::NotRun,
                reason,
                Some(Duration::from_secs(1)),
            )
        }
    }
}

fn text(body: impl Into<Bytes>) -> Reply {
    let mut reply = Reply::new(body.into());
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    reply.headers_mut().insert(CONTENT_TYPE, plain);
    reply
}

pub(super) fn with_query(path: &str, query: &str) -> String {
    if query.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{query}")
}

/// Reads a complete body of at most `limit` bytes.
///
/// Bytes over the limit are read and discarded, up to [`MAX_DISCARDED_BYTES`]: a caller that is
/// still writing when the connection closes would see a broken pipe instead of the refusal.
pub(super) async fn read_body<B: Buf, E>(
    body: impl Stream<Item = Result<B, E>> + Send,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let mut body = std::pin::pin!(body);
    let mut complete = BytesMut::new();
    let mut len = 0;
    while let Some(piece) = body.next().await {
        let mut piece = piece.map_err(|_| BodyError::ConnectionLost)?;
        len += piece.remaining();
        if len > limit + MAX_DISCARDED_BYTES {
            return Err(BodyError::TooLarge);
        }
        while len <= limit && piece.has_remaining() {
            let chunk = piece.chunk();
            complete.extend_from_slice(chunk);
            let read = chunk.len();
            piece.advance(read);
        }
    }
    if len > limit {
        return Err(BodyError::TooLarge);
    }
    Ok(complete.freeze())
}

async fn read_json<T: DeserializeOwned, S, B, E>(incoming: Incoming<S>) -> Result<T, Reply>
where
    S: Stream<Item = Result<B, E>> + Send,
    B: Buf,
{
    let reading = read_body(incoming.body, MAX_API_BODY);
    let body = tokio::time::timeout(API_BODY_TIMEOUT, reading).await;
    let body = body
        .unwrap_or(Err(BodyError::Timeout))
        .map_err(|e| body_refused(&e))?;
    serde_json::from_slice(&body).map_err(|e| {
        let reason = format!("the body is not the JSON wanted here: {e}");
        invalid(StatusCode::BAD_REQUEST, reason)
    })
}

pub(super) fn body_refused(error: &BodyError) -> Reply {
    match error {
        BodyError::TooLarge => invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is over the limit"),
        BodyError::ConnectionLost => invalid(StatusCode::BAD_REQUEST, "the body was cut"),
        BodyError::Timeout => invalid(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    }
}
