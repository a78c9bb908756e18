//! Idempotency keys: claimed in the replicated state before the request starts and settled after
//! it ends.
//!
//! Keys are stored in the replicated state because a resend may reach any entry host. Each request
//! with a key costs two replicated log entries: one before its start, one before its response.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::entry::link::ControlLink;
use crate::entry::service_request::{MinionResponse, RequestResult, ServiceRequest};
use crate::ids::{EntryId, IdempotencyKey, ProcessId, ServiceName};
use crate::routing::RouteError;
use crate::wire::{Answer, Call, KeyClaim, KeySettlement, KeyState, RefusalKind, StoredAnswer};

/// Largest response body in bytes stored for resends.
const MAX_STORED_BODY: usize = 64 * 1024;
/// Timeout of one settlement call.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two settlement calls.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

type KeyId = (ServiceName, IdempotencyKey);

/// Keys that this process has claimed and not yet settled.
///
/// A second request with such a key must not be claimed at the control plane: the claim would come
/// from the same entry host and process as the first and could be mistaken for a resend of it.
#[derive(Default)]
pub(super) struct ActiveKeys {
    active: Arc<Mutex<HashSet<KeyId>>>,
}

/// A key reserved in this process until it is settled or this is dropped.
pub(super) struct KeyGuard {
    active: Arc<Mutex<HashSet<KeyId>>>,
    id: KeyId,
    entry: EntryId,
    process: ProcessId,
}

impl ActiveKeys {
    /// Reserves a key in this process; none if a request with it is in progress here.
    pub(super) fn reserve(
        &self,
        service: &ServiceName,
        key: &IdempotencyKey,
        entry: &EntryId,
        process: ProcessId,
    ) -> Option<KeyGuard> {
        let id = (service.clone(), key.clone());
        let reserved = lock(&self.active).insert(id.clone());
        reserved.then(|| KeyGuard {
            active: self.active.clone(),
            id,
            entry: entry.clone(),
            process,
        })
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        lock(&self.active).remove(&self.id);
    }
}

impl KeyGuard {
    /// The call that claims the key for a request.
    pub(super) fn claim(&self, service_request: &ServiceRequest) -> Call {
        Call::ClaimKey(KeyClaim {
            service: self.id.0.clone(),
            key: self.id.1.clone(),
            digest: digest(service_request),
            entry: self.entry.clone(),
            process: self.process,
            idempotent: service_request.idempotent,
        })
    }

    /// Records the outcome of the request. Calls once before the caller gets the response, then
    /// retries in the background; the key stays reserved here until the control plane has it.
    pub(super) async fn settle<L: ControlLink>(self, link: &Arc<L>, state: KeyState) {
        if self.try_settle(link.as_ref(), &state).await {
            return;
        }
        let link = link.clone();
        tokio::spawn(async move {
            while !self.try_settle(link.as_ref(), &state).await {
                tokio::time::sleep(SETTLE_RETRY_DELAY).await;
            }
        });
    }

    async fn try_settle<L: ControlLink>(&self, link: &L, state: &KeyState) -> bool {
        let settlement = Call::SettleKey(KeySettlement {
            service: self.id.0.clone(),
            key: self.id.1.clone(),
            entry: self.entry.clone(),
            process: self.process,
            state: state.clone(),
        });
        let answer = link.call(settlement, SETTLE_TIMEOUT).await;
        match answer {
            Ok(Answer::Ok | Answer::Key(_)) => true,
            Ok(Answer::Refused(refusal)) => refusal.kind != RefusalKind::Overloaded,
            _ => false,
        }
    }
}

/// The key state to record for a result.
pub(super) fn state_after(result: &RequestResult) -> KeyState {
    match result {
        RequestResult::Response(answer) => KeyState::Done(stored(answer)),
        RequestResult::Failed(RouteError::NotRun { .. }) => KeyState::NotRun,
        RequestResult::Failed(RouteError::Unknown { .. }) => KeyState::Unknown,
    }
}

fn stored(answer: &MinionResponse) -> StoredAnswer {
    let content_type = answer.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let small = answer.body.len() <= MAX_STORED_BODY;
    StoredAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.into(),
        body: small.then(|| answer.body.to_vec()),
    }
}

/// Hash of method, path and body, which must be equal when a key is used again.
fn digest(service_request: &ServiceRequest) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in [
        service_request.method.as_str().as_bytes(),
        service_request.path.as_bytes(),
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&service_request.body);
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    digest
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
