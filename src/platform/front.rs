//! HTTP handlers of the entry daemon: callers' requests, readiness and metrics. A queue is a path
//! prefix, and a job id follows it. Only the leader knows the prefixes, so it splits the path.

use std::time::Duration;

use compact_str::CompactString;
use http::header::{AUTHORIZATION, HOST, HeaderValue, WWW_AUTHENTICATE};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use serde::Serialize;
use slog::{Logger, info};
use tokio::time::Instant;

use super::host::normal_host;
use super::http::{
    Handler, Reply, WaitingSince, body_error_reply, empty, error_reply, json, read_body,
    retry_later, stale, text, with_retry_after,
};
use super::jobs::{self, PendingBody};
use super::settings::METRICS_PATH;
use super::unanswered::UnansweredLog;
use crate::batch::call_trace::CallTrace;
use crate::batch::calls::{Call, CallReply, ClientAction, ClientCall, ClientReply};
use crate::batch::link::{CallError, LeaderLink, retry_after};
use crate::batch::machine::trailing_job_id;
use crate::batch::model::Limits;
use crate::batch::workspaces::KeyHash;
use crate::replication::monotonic_now;
use crate::telemetry::MetricsPage;

/// Header with the time in ms for which the caller waits for an answer.
const DEADLINE_HEADER: &str = "Yuccahold-Deadline-Ms";
/// Time for an answer when the header is absent or not a number; the users' routes have the same
/// timeout.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Time that is reserved for returning the answer, but no more than a quarter of the caller's time:
/// a last try may come with 100 ms left, in which a job can still be accepted.
const ANSWER_RESERVE: Duration = Duration::from_millis(100);

/// Time below which a request is refused at once: the leader could hardly answer in it.
const MIN_CALL_TIME: Duration = Duration::from_millis(40);

/// Authorization scheme of callers' keys.
const KEY_SCHEME: &str = "Bearer";

/// Forwards callers' requests to the leader.
#[derive(Clone)]
pub(super) struct CallerHandler {
    pub(super) link: LeaderLink,
    pub(super) limits: Limits,
    pub(super) unanswered: UnansweredLog,
    pub(super) log: Logger,
}

impl Handler for CallerHandler {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let received = Instant::now();
        let waiting = WaitingSince::of(&req);
        let host = host_of(&req);
        let path = CompactString::from(req.uri().path());
        let timeout = timeout_of(&req);
        let key = key_of(&req);
        let action = match req.method().clone() {
            Method::POST => {
                let body = match read_body(req, self.limits.body_bytes as usize).await {
                    Ok(body) => body,
                    Err(e) => return body_error_reply(e),
                };
                match jobs::decode(&body) {
                    Ok(spec) => ClientAction::Submit(spec),
                    Err(why) => return error_reply(StatusCode::BAD_REQUEST, &why),
                }
            }
            Method::GET => read_action(&path),
            Method::DELETE => ClientAction::Cancel,
            _ => return error_reply(StatusCode::METHOD_NOT_ALLOWED, "only GET, POST and DELETE"),
        };
        let changes = action.is_change();
        let waited = waiting.age(monotonic_now());
        if waiting.is_stale(monotonic_now()) {
            info!(self.log, "request read too late"; "path" => path.as_str(),
                "waited_ms" => waited.as_millis() as u64);
            return stale();
        }
        let call = ClientCall {
            host,
            path,
            key,
            action,
        };
        let path = call.path.clone();
        let trace = CallTrace::default();
        let open = self.unanswered.open(&self.link, &path, received, &trace);
        let timeout = timeout.saturating_sub(ANSWER_RESERVE.min(timeout / 4));
        let reply = if timeout < MIN_CALL_TIME {
            Err(CallError::NotRun)
        } else {
            let (call, deadline) = (Call::Client(call), received + timeout);
            self.link.call_traced(call, deadline, &trace).await
        };
        let took = received.elapsed();
        let outcome = outcome(&reply);
        counter!("yuccahold_batch_requests_total", "outcome" => outcome).increment(1);
        histogram!("yuccahold_batch_request_seconds").record(took.as_secs_f64());
        open.end((!changes && !is_answer(&reply)).then_some(outcome));
        if changes {
            info!(self.log, "request answered"; "path" => path.as_str(),
                "outcome" => outcome, "took_ms" => took.as_millis() as u64,
                "waited_ms" => waited.as_millis() as u64);
        }
        let leaderless = self.link.leaderless_for(Instant::now());
        to_http(reply, retry_after(leaderless.unwrap_or_default()))
    }
}

/// The read that a path is for. Where it could be either, the leader decides.
pub fn read_action(path: &str) -> ClientAction {
    match trailing_job_id(path) {
        Some(_) => ClientAction::State,
        None => ClientAction::PendingCount,
    }
}

/// Whether the leader has answered the request, if only to reject it.
fn is_answer(reply: &Result<CallReply, CallError>) -> bool {
    match reply {
        Ok(CallReply::Client(reply)) => {
            !matches!(reply, ClientReply::Unavailable(_) | ClientReply::InDoubt)
        }
        Ok(CallReply::Operator(_) | CallReply::NotLeader(_)) | Err(_) => false,
    }
}

fn outcome(reply: &Result<CallReply, CallError>) -> &'static str {
    match reply {
        Ok(reply) => reply.as_str(),
        Err(CallError::NotRun) => "not run",
        Err(CallError::InDoubt) => "in doubt",
    }
}

/// `retry` is the value of `Retry-After` when no leader was reached.
fn to_http(reply: Result<CallReply, CallError>, retry: Duration) -> Reply {
    let unavailable = |after| {
        retry_later(
            StatusCode::SERVICE_UNAVAILABLE,
            after,
            "not accepted and not run; come back later",
        )
    };
    let in_doubt = || {
        error_reply(
            StatusCode::GATEWAY_TIMEOUT,
            "the outcome is not known; ask again",
        )
    };
    match reply {
        Ok(CallReply::Client(reply)) => match reply {
            ClientReply::Accepted => empty(StatusCode::OK),
            ClientReply::State(state) => json(StatusCode::OK, &jobs::state(state)),
            ClientReply::PendingCount(pending) => json(StatusCode::OK, &PendingBody { pending }),
            ClientReply::NotFound => error_reply(StatusCode::GONE, "there is no such job"),
            ClientReply::NoQueue => error_reply(StatusCode::NOT_FOUND, "there is no such queue"),
            ClientReply::Unauthenticated => unauthenticated(),
            ClientReply::IdTaken => {
                error_reply(StatusCode::CONFLICT, "the id is that of another job")
            }
            ClientReply::Invalid(why) => error_reply(StatusCode::BAD_REQUEST, &why),
            ClientReply::Unavailable(after) => unavailable(after),
            ClientReply::InDoubt => in_doubt(),
            ClientReply::Refused { after, useful } => refused(after, useful),
        },
        Ok(CallReply::Operator(_) | CallReply::NotLeader(_)) | Err(CallError::NotRun) => {
            unavailable(retry)
        }
        Err(CallError::InDoubt) => in_doubt(),
    }
}

/// Body of the answer to a job that was refused for lack of capacity.
#[derive(Serialize)]
struct RefusedBody {
    error: &'static str,
    /// Rounded up, so that no caller returns too early.
    retry_after_ms: u64,
    /// Whether the job would still be in its useful time then.
    useful: bool,
}

/// The answer to a job that was refused for lack of capacity.
pub fn refused(after: Duration, useful: bool) -> Reply {
    let error = if useful {
        "not accepted and not run: capacity is short; come back later"
    } else {
        "not accepted and not run: capacity is short beyond the job's useful time"
    };
    let body = RefusedBody {
        error,
        retry_after_ms: after.as_micros().div_ceil(1_000) as u64,
        useful,
    };
    with_retry_after(json(StatusCode::TOO_MANY_REQUESTS, &body), after)
}

fn unauthenticated() -> Reply {
    let mut reply = error_reply(StatusCode::UNAUTHORIZED, "the key is missing or not known");
    let scheme = HeaderValue::from_static(KEY_SCHEME);
    reply.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    reply
}

/// Hash of the request's key; `None` unless there is exactly one well-formed `Authorization`
/// header.
fn key_of<B>(req: &Request<B>) -> Option<KeyHash> {
    let mut values = req.headers().get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return None;
    };
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    let key = key.trim_start();
    let usable = scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty();
    usable.then(|| KeyHash::of(key.as_bytes()))
}

fn host_of<B>(req: &Request<B>) -> CompactString {
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    normal_host(host)
}

fn timeout_of<B>(req: &Request<B>) -> Duration {
    let text = req
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|v| v.to_str().ok());
    let ms = text.and_then(|t| t.trim().parse::<u64>().ok());
    ms.map_or(DEFAULT_DEADLINE, Duration::from_millis)
        .min(Duration::from_secs(60))
}

/// Answers the load balancer's readiness check: ready while connected to a leader and not stopping.
#[derive(Clone)]
pub(super) struct ReadinessHandler {
    pub(super) link: LeaderLink,
    pub(super) stopping: tokio::sync::watch::Receiver<bool>,
}

impl Handler for ReadinessHandler {
    async fn handle(&self, _: Request<Incoming>) -> Reply {
        if *self.stopping.borrow() || !self.link.is_connected() {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        empty(StatusCode::OK)
    }
}

/// Serves the metrics page.
#[derive(Clone)]
pub(super) struct MetricsHandler(pub(super) MetricsPage);

impl Handler for MetricsHandler {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        if req.uri().path() != METRICS_PATH {
            return error_reply(StatusCode::NOT_FOUND, "there is nothing at this path");
        }
        text(self.0.render())
    }
}
