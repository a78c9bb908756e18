//! The log of callers' requests that got no answer: reads that were not served, and requests whose
//! caller left first.

use std::time::Duration;

use metrics::counter;
use slog::{Logger, info};
use tokio::time::Instant;

use crate::batch::call_trace::CallTrace;
use crate::batch::link::LeaderLink;
use crate::replication::monotonic_now;
use crate::telemetry::LineLimit;

/// Most lines a second: in an outage, nearly all requests get no answer.
const MAX_LINES: u32 = 20;

/// Writes the lines; clones share the limit on them.
#[derive(Clone)]
pub(super) struct UnansweredLog {
    limit: LineLimit,
    log: Logger,
}

impl UnansweredLog {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            limit: LineLimit::per_second(MAX_LINES),
            log,
        }
    }

    /// Follows a request until `OpenRequest::end`. Dropped before, its caller has left: the server
    /// drops the requests of a connection that its client closes.
    pub(super) fn open<'a>(
        &'a self,
        link: &'a LeaderLink,
        path: &'a str,
        received: Instant,
        trace: &'a CallTrace,
    ) -> OpenRequest<'a> {
        OpenRequest {
            unanswered: Some("caller left"),
            to: self,
            link,
            path,
            received,
            trace,
        }
    }
}

/// A request that has no answer yet.
pub(super) struct OpenRequest<'a> {
    /// Outcome to be logged when this is dropped; `None` for a request that was answered.
    unanswered: Option<&'static str>,
    to: &'a UnansweredLog,
    link: &'a LeaderLink,
    path: &'a str,
    received: Instant,
    trace: &'a CallTrace,
}

impl OpenRequest<'_> {
    /// Ends the request; `unanswered` is its outcome if that is to be logged.
    pub(super) fn end(mut self, unanswered: Option<&'static str>) {
        self.unanswered = unanswered;
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let Some(outcome) = self.unanswered else {
            return;
        };
        let sent = self.trace.sent();
        let via = sent.last.map_or("none", |(way, _)| way.as_str());
        counter!("yuccahold_batch_requests_unanswered_total", "outcome" => outcome, "via" => via)
            .increment(1);
        if self.to.limit.take(monotonic_now()) {
            let ms = |time: Duration| time.as_millis() as u64;
            let peer = sent.last.map(|(_, peer)| peer.to_string());
            info!(self.to.log, "request not answered"; "path" => self.path,
                "outcome" => outcome, "took_ms" => ms(self.received.elapsed()), "via" => via,
                "peer" => peer, "copies" => sent.copies,
                "leaderless_ms" => self.link.leaderless_for(Instant::now()).map(ms));
        }
    }
}
