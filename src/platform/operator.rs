//! HTTP handler of the control daemon, for operators' configuration and minions' reports.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use slog::{Logger, info};
use tokio::time::Instant;

use super::http::{
    Handler, Reply, WaitingSince, body_error_reply, empty, error_reply, json_bytes, read_body,
    retry_later, stale,
};
use super::{config, minions};
use crate::batch::calls::{Call, CallReply, OperatorReply, RETRY_AFTER};
use crate::batch::link::CallError;
use crate::batch::report_batch::{LeaderCalls, Outcome, ReportBatcher};
use crate::batch::server::LeaderClient;
use crate::replication::monotonic_now;

/// Largest accepted body: the platform contract's limit for a minion's report. Configurations with
/// many routes are smaller.
pub(super) const MAX_BODY: usize = 4 * 1024 * 1024;
/// Time for the leader's answer; callers try another daemon after one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Forwards the requests of operators and minions to the leader.
#[derive(Clone)]
pub(super) struct ControlHandler {
    pub(super) leader: LeaderClient,
    pub(super) reports: ReportBatcher<LeaderClient>,
    pub(super) log: Logger,
}

impl Handler for ControlHandler {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let waiting = WaitingSince::of(&req);
        let path = req.uri().path().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::PUT, ["yuccahold", "instances", id]) => {
                let body = match read_body(req, MAX_BODY).await {
                    Ok(body) => body,
                    Err(e) => return body_error_reply(e),
                };
                match minions::decode_report(id, &body) {
                    Ok(report) => to_http(self.reports.report(report, deadline).await),
                    Err(why) => error_reply(StatusCode::BAD_REQUEST, &why),
                }
            }
            (Method::DELETE, ["yuccahold", "instances", id]) => {
                if waiting.is_stale(monotonic_now()) {
                    return stale();
                }
                self.call(Call::Left((*id).into()), deadline).await
            }
            (Method::PUT, ["yuccahold", "config"]) => {
                let body = match read_body(req, MAX_BODY).await {
                    Ok(body) => body,
                    Err(e) => return body_error_reply(e),
                };
                match config::decode(body) {
                    Ok(order) => {
                        let version = order.version;
                        let reply = self.call(Call::PutConfig(order), deadline).await;
                        info!(self.log, "configuration answered"; "version" => version,
                            "status" => reply.status().as_u16());
                        reply
                    }
                    Err(why) => {
                        info!(self.log, "configuration refused"; "why" => why.as_str());
                        error_reply(StatusCode::BAD_REQUEST, &why)
                    }
                }
            }
            (Method::GET, ["yuccahold", "config"]) => self.call(Call::GetConfig, deadline).await,
            _ => error_reply(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }
}

impl ControlHandler {
    async fn call(&self, call: Call, deadline: Instant) -> Reply {
        to_http(self.leader.call(call, deadline).await)
    }
}

fn to_http(reply: Outcome) -> Reply {
    match reply {
        Ok(CallReply::Operator(OperatorReply::Accepted)) => empty(StatusCode::OK),
        Ok(CallReply::Operator(OperatorReply::Document(text))) => json_bytes(StatusCode::OK, text),
        Ok(CallReply::Operator(OperatorReply::Unavailable))
        | Ok(CallReply::Client(_) | CallReply::NotLeader(_))
        | Err(CallError::NotRun) => retry_later(
            StatusCode::SERVICE_UNAVAILABLE,
            RETRY_AFTER,
            "no leader can be reached",
        ),
        Err(CallError::InDoubt) => error_reply(
            StatusCode::GATEWAY_TIMEOUT,
            "the outcome is not known; send it again",
        ),
    }
}
