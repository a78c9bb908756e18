//! Calls of operators and minions to control.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use slog::{Logger, info};
use tokio::time::Instant;

use super::http::{Handler, Reply, body_refused, come_back, document, empty, read_body, refused};
use super::{config, minions};
use crate::batch::calls::{Call, CallReply, OperatorReply, RETRY_AFTER};
use crate::batch::link::NoAnswer;
use crate::batch::server::ToLeader;

/// Largest body: the contract's bound on a minion's report; configurations with many routes are
/// smaller.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Callers go on to another daemon after a second.
const CALL_TIME: Duration = Duration::from_millis(900);

/// Answers operators and minions.
#[derive(Clone)]
pub(super) struct ControlFront {
    pub(super) leader: ToLeader,
    pub(super) log: Logger,
}

impl Handler for ControlFront {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let deadline = Instant::now() + CALL_TIME;
        let path = req.uri().path().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::PUT, ["yuccahold", "instances", id]) => {
                let body = match read_body(req.into_body(), MAX_BODY).await {
                    Ok(body) => body,
                    Err(e) => return body_refused(e),
                };
                match minions::decode_report(id, &body) {
                    Ok(report) => self.call(Call::Report(Box::new(report)), deadline).await,
                    Err(why) => refused(StatusCode::BAD_REQUEST, &why),
                }
            }
            (Method::DELETE, ["yuccahold", "instances", id]) => {
                self.call(Call::Left((*id).into()), deadline).await
            }
            (Method::PUT, ["yuccahold", "config"]) => {
                let body = match read_body(req.into_body(), MAX_BODY).await {
                    Ok(body) => body,
                    Err(e) => return body_refused(e),
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
                        refused(StatusCode::BAD_REQUEST, &why)
                    }
                }
            }
            (Method::GET, ["yuccahold", "config"]) => self.call(Call::GetConfig, deadline).await,
            _ => refused(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }
}

impl ControlFront {
    async fn call(&self, call: Call, deadline: Instant) -> Reply {
        match self.leader.call(call, deadline).await {
            Ok(CallReply::Operator(OperatorReply::Accepted)) => empty(StatusCode::OK),
            Ok(CallReply::Operator(OperatorReply::Document(text))) => {
                document(StatusCode::OK, text)
            }
            Ok(CallReply::Operator(OperatorReply::Unavailable))
            | Ok(CallReply::Client(_) | CallReply::NotLeader(_))
            | Err(NoAnswer::NotSent) => come_back(
                StatusCode::SERVICE_UNAVAILABLE,
                RETRY_AFTER,
                "no leader can be reached",
            ),
            Err(NoAnswer::InDoubt) => refused(
                StatusCode::GATEWAY_TIMEOUT,
                "the outcome is not known; send it again",
            ),
        }
    }
}
