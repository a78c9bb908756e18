//! A request's content and the answer or failure that ends it.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, StatusCode};

use crate::document::QueuePriority;
use crate::ids::{MinionId, ServiceName, TeamName, Timestamp, ZoneName};
use crate::routing::RouteError;

/// A whole request, held until its verdict.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) service: ServiceName,
    pub(super) team: TeamName,
    pub(super) priority: QueuePriority,
    pub(super) idempotent: bool,
    pub(super) deadline: Timestamp,
    pub(super) body_limit: usize,
    pub(super) method: Method,
    /// Path and query as the minion sees them.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) minion: MinionId,
    pub(super) zone: ZoneName,
    /// Time from the start of the try to the whole answer, as measured by the minion's owner.
    pub(super) service_time: Duration,
}

/// What ends a request.
#[derive(Clone, Debug)]
pub(super) enum Verdict {
    /// An answer of a minion.
    Answer(WholeAnswer),
    /// None.
    Failed(RouteError),
}

/// A verdict with what the access line tells.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) verdict: Verdict,
    /// Tries started for it.
    pub(super) attempts: u32,
}

impl Ended {
    /// For work that this process dropped without an end of its own.
    pub(super) fn lost() -> Self {
        Self {
            verdict: Verdict::lost(),
            attempts: 0,
        }
    }
}

impl Verdict {
    /// A verdict for work that this process dropped without an end of its own.
    pub(super) fn lost() -> Self {
        Self::Failed(RouteError::Unknown {
            reason: CompactString::const_new("the entry host dropped the request"),
            late: false,
        })
    }
}
