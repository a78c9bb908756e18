//! Announcements of minions and polls of workers: validated and forwarded to the control plane.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;

use crate::entry::daemon::Context;
use crate::entry::jobs::reply;
use crate::entry::link::ControlLink;
use crate::entry::reply::{Reply, invalid};
use crate::ids::{ProcessId, ServiceName, ZoneName};
use crate::wire::{Call, MinionAnnouncement, WorkerPoll};

/// Timeout of a call to the control plane, besides a poll's wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for which a poll may wait for new tasks.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
/// Default lifetime of an announcement.
const DEFAULT_TTL_MS: u64 = 10_000;
/// Permitted lifetimes of an announcement.
const ALLOWED_TTL_MS: std::ops::RangeInclusive<u64> = 500..=600_000;
/// Maximum length of a minion's or worker's name.
const MAX_NAME_BYTES: usize = 128;

/// Body of `PUT /v1/minions/{id}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MinionBody {
    service: ServiceName,
    addr: SocketAddr,
    zone: Option<ZoneName>,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    connections: u32,
    ttl_ms: Option<u64>,
    #[serde(default)]
    process: ProcessId,
}

/// `PUT /v1/minions/{id}`.
pub(super) async fn minion<L: ControlLink>(
    context: &Context<L>,
    id: &str,
    body: MinionBody,
) -> Reply {
    let ttl_ms = body.ttl_ms.unwrap_or(DEFAULT_TTL_MS);
    if !is_valid_name(id) {
        return invalid(
            StatusCode::BAD_REQUEST,
            "the minion's name is empty or too long",
        );
    }
    if !ALLOWED_TTL_MS.contains(&ttl_ms) {
        return invalid(StatusCode::BAD_REQUEST, "ttl_ms is outside 500 to 600000");
    }
    let announcement = MinionAnnouncement {
        id: id.into(),
        process: body.process,
        service: body.service,
        addr: body.addr,
        zone: body.zone.unwrap_or_else(|| context.settings.zone.clone()),
        slots: body.slots,
        connections: body.connections,
        ttl: Duration::from_millis(ttl_ms),
    };
    let call = Call::AnnounceMinion(announcement);
    reply(context.link.call(call, CALL_TIMEOUT).await, StatusCode::OK)
}

/// `DELETE /v1/minions/{id}`.
pub(super) async fn withdraw_minion<L: ControlLink>(context: &Context<L>, id: &str) -> Reply {
    let call = Call::LeaveMinion(id.into());
    reply(context.link.call(call, CALL_TIMEOUT).await, StatusCode::OK)
}

/// `POST /v1/workers/{id}/poll`.
pub(super) async fn worker<L: ControlLink>(
    context: &Context<L>,
    id: &str,
    mut poll: WorkerPoll,
) -> Reply {
    if poll.worker.id != id || !is_valid_name(id) {
        return invalid(
            StatusCode::BAD_REQUEST,
            "the worker's name differs from the path's",
        );
    }
    poll.wait = poll.wait.min(MAX_POLL_WAIT);
    let timeout = poll.wait + CALL_TIMEOUT;
    let call = Call::PollWorker(poll);
    reply(context.link.call(call, timeout).await, StatusCode::OK)
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}
