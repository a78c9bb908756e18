//! The control daemon's HTTP server: health checks, metrics and the operators' API. The leader
//! answers the API; other replicas forward requests to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};
use warp::path::FullPath;
use warp::{Filter, Rejection};

use super::api::{MAX_DOCUMENT_BYTES, answer_from_error, error_answer};
use super::connections::{ControlServer, forward};
use super::group::Group;
use super::machine::Machine;
use crate::console::{Console, ConsoleState};
use crate::error::Error;
use crate::placement::Placer;
use crate::replication::Role;
use crate::telemetry::MetricsPage;
use crate::wire::{Answer, HttpAnswer, HttpCall};

/// Marks a forwarded request, so that it isn't forwarded a second time.
const FORWARDED_HEADER: &str = "yuccahold-forwarded";

/// Maximum time for the leader to answer a forwarded request.
const LOCAL_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of a request body in bytes; the server refuses larger ones with 413.
const MAX_BODY_BYTES: u64 = MAX_DOCUMENT_BYTES as u64 + 64 * 1024;

/// Hop-by-hop headers, and those that the next request sets itself: not forwarded.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
];

/// One filter for all paths of the daemon; [`answer`] dispatches by path.
pub(super) fn routes<G, P>(
    server: Arc<ControlServer<G, P>>,
    console: Console<Arc<ControlServer<G, P>>>,
    page: MetricsPage,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Rejection> + Clone + Send + Sync + 'static
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(
            warp::body::content_length_limit(MAX_BODY_BYTES)
                .or(warp::get())
                .unify(),
        )
        .and(warp::body::bytes())
        .then(
            move |method: Method,
                  path: FullPath,
                  query: String,
                  headers: HeaderMap,
                  body: Bytes| {
                let server = Arc::clone(&server);
                let console = console.clone();
                let page = page.clone();
                async move {
                    let call = call_from(&method, &path, &query, &headers, body);
                    response(answer(&server, &console, &page, call).await)
                }
            },
        )
}

async fn answer<G, P>(
    server: &ControlServer<G, P>,
    console: &Console<Arc<ControlServer<G, P>>>,
    page: &MetricsPage,
    call: HttpCall,
) -> HttpAnswer
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    match call.path.as_str() {
        "/healthz/live" => text(200, "live\n"),
        "/healthz/ready" => readiness(server).await,
        "/metrics" => text(200, &page.render()),
        _ => console.answer(unix_now(), call).await,
    }
}

/// Time since the Unix epoch, for the expiry of console sessions.
fn unix_now() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}

impl<G, P> ConsoleState for Arc<ControlServer<G, P>>
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    async fn operate(&self, call: HttpCall) -> HttpAnswer {
        operate(self, call).await
    }
}

/// Ready if this replica is the leader and can confirm it, or if it follows one.
async fn readiness<G, P>(server: &ControlServer<G, P>) -> HttpAnswer
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    let status = server.calls.group.status();
    if status.role == Role::Leader {
        return match server.calls.read(|_, _| ()).await {
            Ok(()) => text(200, "ready: leader\n"),
            Err(_) => text(503, "not ready: leadership is not confirmed\n"),
        };
    }
    match status.leader {
        Some(_) => text(200, "ready: follows a leader\n"),
        None => text(503, "not ready: no leader is known\n"),
    }
}

async fn operate<G, P>(server: &ControlServer<G, P>, call: HttpCall) -> HttpAnswer
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    let forwarded = call
        .headers
        .iter()
        .any(|(name, _)| name == FORWARDED_HEADER);
    let status = server.calls.group.status();
    let forward_to = (status.role != Role::Leader && !forwarded).then_some(status.leader_addr);
    let Some(leader) = forward_to else {
        return server.calls.operate(call).await;
    };
    let Some(leader) = leader else {
        return answer_from_error(Answer::NotLeader(None));
    };
    match forward(leader, &server.keys, call).await {
        Ok(Answer::Http(answer)) => answer,
        Ok(answer) => answer_from_error(answer),
        Err(e) => forward_failed(&e),
    }
}

/// The answer when forwarding failed: the outcome is unknown.
fn forward_failed(e: &Error) -> HttpAnswer {
    let mut answer = error_answer(504, &format!("the leader could not be asked: {e}"));
    // The leader may have executed the request before the connection failed.
    answer
        .headers
        .retain(|(name, _)| name != "yuccahold-outcome");
    let outcome = ("yuccahold-outcome".into(), "unknown".to_owned());
    answer.headers.push(outcome);
    answer
}

/// Answers a request that another daemon forwarded, by sending it to this daemon's own HTTP
/// server, which checks sign-in like for any other request.
pub(super) async fn answer_locally(
    client: &reqwest::Client,
    http: SocketAddr,
    call: HttpCall,
) -> Answer {
    let unknown = Answer::Unknown;
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return Answer::Http(error_answer(400, "the method is none of HTTP"));
    };
    let url = format!("http://{http}{}", call.path);
    let mut req = client.request(method, url).timeout(LOCAL_TIMEOUT);
    for (name, value) in &call.headers {
        req = req.header(name.as_str(), value);
    }
    let sent = req.header(FORWARDED_HEADER, "1").body(call.body).send();
    let Ok(res) = sent.await else { return unknown };
    let status = res.status().as_u16();
    let headers = header_list(res.headers());
    let Ok(body) = res.bytes().await else {
        return unknown;
    };
    Answer::Http(HttpAnswer {
        status,
        headers,
        body: body.to_vec(),
    })
}

fn call_from(
    method: &Method,
    path: &FullPath,
    query: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> HttpCall {
    let path = match query.is_empty() {
        true => path.as_str().to_owned(),
        false => format!("{}?{query}", path.as_str()),
    };
    HttpCall {
        method: CompactString::from(method.as_str()),
        path,
        headers: header_list(headers),
        body: body.to_vec(),
    }
}

fn header_list(headers: &HeaderMap) -> Vec<(CompactString, String)> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    let texts = kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((CompactString::from(name.as_str()), value.to_owned()))
    });
    texts.collect()
}

fn response(answer: HttpAnswer) -> Response<Bytes> {
    let mut res = Response::new(Bytes::from(answer.body));
    *res.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in &answer.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::try_from(value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().append(name, value);
        }
    }
    res
}

fn text(status: u16, body: &str) -> HttpAnswer {
    let kind = (
        "content-type".into(),
        "text/plain; charset=utf-8".to_owned(),
    );
    HttpAnswer {
        status,
        headers: vec![kind],
        body: body.as_bytes().to_vec(),
    }
}
