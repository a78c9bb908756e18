//! Job and operator requests: forwarded to the control plane, whose answers become HTTP replies.

use std::time::Duration;

use compact_str::CompactString;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode};

use crate::entry::callers::control_unavailable;
use crate::entry::daemon::Context;
use crate::entry::link::ControlLink;
use crate::entry::reply::{
    IDEMPOTENCY_KEY, Outcome, Reply, explained, invalid, json, refusal, set_outcome,
};
use crate::error::Result;
use crate::wire::{Answer, Call, HttpAnswer, HttpCall, JobSubmission};

/// Timeout of a call to the control plane.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// `POST /v1/jobs`.
pub(super) async fn submit<L: ControlLink>(
    context: &Context<L>,
    headers: &HeaderMap,
    mut job: JobSubmission,
) -> Reply {
    if let Some(key) = headers.get(IDEMPOTENCY_KEY) {
        let Ok(key) = key.to_str() else {
            return invalid(StatusCode::BAD_REQUEST, "the idempotency key is no text");
        };
        job.key = Some(key.into());
    }
    let call = Call::SubmitJob(job);
    reply(
        context.link.call(call, CALL_TIMEOUT).await,
        StatusCode::CREATED,
    )
}

/// `GET /v1/jobs/{name}`.
pub(super) async fn query<L: ControlLink>(context: &Context<L>, name: &str) -> Reply {
    let call = Call::QueryJob(name.into());
    reply(context.link.call(call, CALL_TIMEOUT).await, StatusCode::OK)
}

/// `DELETE /v1/jobs/{name}`.
pub(super) async fn cancel<L: ControlLink>(context: &Context<L>, name: &str) -> Reply {
    let call = Call::CancelJob(name.into());
    reply(context.link.call(call, CALL_TIMEOUT).await, StatusCode::OK)
}

/// Forwards an operator's HTTP request to the control plane's leader.
pub(super) async fn forward_http<L: ControlLink>(
    context: &Context<L>,
    method: &Method,
    path: String,
    headers: &HeaderMap,
    body: &[u8],
) -> Reply {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?;
        Some((CompactString::from(name.as_str()), value.to_owned()))
    };
    let call = Call::Http(HttpCall {
        method: method.as_str().into(),
        path,
        headers: headers.iter().filter_map(text).collect(),
        body: body.to_vec(),
    });
    reply(context.link.call(call, CALL_TIMEOUT).await, StatusCode::OK)
}

/// Converts an answer to an HTTP reply. `success` is the status used unless the call was refused.
pub(super) fn reply(answer: Result<Answer>, success: StatusCode) -> Reply {
    match answer {
        Ok(Answer::Job(view)) => json(success, Outcome::Done, &view),
        Ok(Answer::Tasks(tasks)) => json(success, Outcome::Done, &tasks),
        Ok(Answer::Http(answer)) => http_reply(answer),
        Ok(Answer::Ok | Answer::Lease(_) | Answer::Key(_)) => {
            explained(success, Outcome::Done, "accepted", None)
        }
        Ok(Answer::Refused(r)) => refusal(&r),
        Ok(Answer::NotLeader(_)) | Err(_) => control_unavailable(),
        Ok(Answer::Unknown) => {
            let reason = "control did not answer in time; it may have taken effect";
            let again = Some(Duration::from_secs(1));
            explained(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, reason, again)
        }
    }
}

fn http_reply(answer: HttpAnswer) -> Reply {
    let mut reply = Reply::new(answer.body.into());
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_outcome(reply.headers_mut(), Outcome::Done);
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            reply.headers_mut().insert(name, value);
        }
    }
    reply
}
