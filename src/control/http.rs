//! The HTTP server of the control daemon: health, metrics, and the operators' interface, which
//! the leader answers and every other replica passes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};
use warp::path::FullPath;
use warp::{Filter, Rejection};

use super::api::{MAX_DOCUMENT, failed, problem};
use super::group::Group;
use super::link::{Link, forward};
use super::machine::Machine;
use crate::console::{Console, ConsoleState};
use crate::error::Error;
use crate::placement::Placer;
use crate::replication::Role;
use crate::telemetry::MetricsPage;
use crate::wire::{Answer, HttpAnswer, HttpCall};

/// Marks a request that another replica passed on, so that it is not passed on again.
const FORWARDED_HEADER: &str = "yuccahold-forwarded";

/// Longest time the leader takes over a request that was passed on.
const OWN_TIMEOUT: Duration = Duration::from_secs(8);

/// Bodies beyond a document's limit are cut off with 413 by the server.
const MAX_BODY: u64 = MAX_DOCUMENT as u64 + 64 * 1024;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
];

/// All routes of the daemon.
pub(super) fn routes<G, P>(
    link: Arc<Link<G, P>>,
    console: Console<Arc<Link<G, P>>>,
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
            warp::body::content_length_limit(MAX_BODY)
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
                let link = Arc::clone(&link);
                let console = console.clone();
                let page = page.clone();
                async move {
                    let call = call_from(&method, &path, &query, &headers, body);
                    response(answer(&link, &console, &page, call).await)
                }
            },
        )
}

async fn answer<G, P>(
    link: &Link<G, P>,
    console: &Console<Arc<Link<G, P>>>,
    page: &MetricsPage,
    call: HttpCall,
) -> HttpAnswer
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    match call.path.as_str() {
        "/healthz/live" => text(200, "live\n"),
        "/healthz/ready" => readiness(link).await,
        "/metrics" => text(200, &page.render()),
        _ => console.answer(unix_now(), call).await,
    }
}

/// Time for sessions of the console.
fn unix_now() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}

impl<G, P> ConsoleState for Arc<Link<G, P>>
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    async fn operate(&self, call: HttpCall) -> HttpAnswer {
        operate(self, call).await
    }
}

/// Ready means that the group has a leader which this replica follows or is.
async fn readiness<G, P>(link: &Link<G, P>) -> HttpAnswer
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    let status = link.calls.group.status();
    if status.role == Role::Leader {
        return match link.calls.read(|_, _| ()).await {
            Ok(()) => text(200, "ready: leader\n"),
            Err(_) => text(503, "not ready: leadership is not confirmed\n"),
        };
    }
    match status.leader {
        Some(_) => text(200, "ready: follows a leader\n"),
        None => text(503, "not ready: no leader is known\n"),
    }
}

async fn operate<G, P>(link: &Link<G, P>, call: HttpCall) -> HttpAnswer
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    let forwarded = call
        .headers
        .iter()
        .any(|(name, _)| name == FORWARDED_HEADER);
    let status = link.calls.group.status();
    let elsewhere = (status.role != Role::Leader && !forwarded).then_some(status.leader_addr);
    let Some(leader) = elsewhere else {
        return link.calls.operate(call).await;
    };
    let Some(leader) = leader else {
        return failed(Answer::NotLeader(None));
    };
    match forward(leader, &link.keys, call).await {
        Ok(Answer::Http(answer)) => answer,
        Ok(answer) => failed(answer),
        Err(e) => passed_on(&e),
    }
}

fn passed_on(e: &Error) -> HttpAnswer {
    let mut answer = problem(504, &format!("the leader could not be asked: {e}"));
    // The leader may have carried it out before the connection failed.
    answer
        .headers
        .retain(|(name, _)| name != "yuccahold-outcome");
    let outcome = ("yuccahold-outcome".into(), "unknown".to_owned());
    answer.headers.push(outcome);
    answer
}

/// Answers a request that another daemon passed on, through this daemon's own HTTP server.
pub(super) async fn own_answer(
    client: &reqwest::Client,
    http: SocketAddr,
    call: HttpCall,
) -> Answer {
    let unknown = Answer::Unknown;
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return Answer::Http(problem(400, "the method is none of HTTP"));
    };
    let url = format!("http://{http}{}", call.path);
    let mut req = client.request(method, url).timeout(OWN_TIMEOUT);
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
