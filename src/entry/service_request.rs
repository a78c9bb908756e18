//! A request to a service, and the response or error that completes it.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, StatusCode};

use crate::document::QueuePriority;
use crate::ids::{MinionId, ServiceName, TeamName, Timestamp, ZoneName};
use crate::routing::RouteError;

/// A complete request, kept in memory until its result because it may have to be resent.
#[derive(Clone, Debug)]
pub(super) struct ServiceRequest {
    pub(super) service: ServiceName,
    pub(super) team: TeamName,
    pub(super) priority: QueuePriority,
    pub(super) idempotent: bool,
    /// On the clock of [`Core::now`](crate::entry::core::Core::now).
    pub(super) deadline: Timestamp,
    /// Largest response body in bytes.
    pub(super) body_limit: usize,
    pub(super) method: Method,
    /// Path and query as sent to the minion, without the route's prefix.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A complete response of a minion.
#[derive(Clone, Debug)]
pub(super) struct MinionResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) minion: MinionId,
    pub(super) zone: ZoneName,
    /// Time from the start of the attempt to the complete response, measured by the minion's owner.
    pub(super) service_time: Duration,
}

/// Final result of a request.
#[derive(Clone, Debug)]
pub(super) enum RequestResult {
    Response(MinionResponse),
    Failed(RouteError),
}

/// Result of a request, with what the access log needs.
#[derive(Clone, Debug)]
pub(super) struct CompletedRequest {
    pub(super) result: RequestResult,
    /// Attempts started for the request.
    pub(super) attempts: u32,
}

impl CompletedRequest {
    /// For a request whose task ended without a result, for instance by a panic.
    pub(super) fn dropped() -> Self {
        Self {
            result: RequestResult::dropped(),
            attempts: 0,
        }
    }
}

impl RequestResult {
    /// For a request whose task ended without a result: it may have run.
    pub(super) fn dropped() -> Self {
        Self::Failed(RouteError::Unknown {
            reason: CompactString::const_new("the entry host dropped the request"),
            late: false,
        })
    }
}
