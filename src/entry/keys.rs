//! Idempotency keys: claimed in the replicated state before the start, settled after the end.
//!
//! The key lives in the replicated state, because a resend may come to any entry host. It costs
//! two agreed entries a request: one before the start, one before the answer.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::entry::link::ControlLink;
use crate::entry::work::{Verdict, WholeAnswer, Work};
use crate::ids::{EntryId, IdempotencyKey, ProcessId, ServiceName};
use crate::routing::RouteError;
use crate::wire::{Answer, Call, KeyClaim, KeySettlement, KeyState, RefusalKind, StoredAnswer};

/// Largest answer body kept for resends.
const STORED_LIMIT: usize = 64 * 1024;
/// Time for one settlement.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two tries of a settlement.
const SETTLE_RETRY: Duration = Duration::from_millis(500);

type Name = (ServiceName, IdempotencyKey);

/// Keys this process has claimed and not yet settled.
///
/// A second request under such a key must not reach control: it would find its own entry host's
/// claim and could be taken for a resend of the claim itself.
#[derive(Default)]
pub(super) struct KeyTable {
    open: Arc<Mutex<HashSet<Name>>>,
}

/// One key held by this process until it is settled.
pub(super) struct OpenKey {
    open: Arc<Mutex<HashSet<Name>>>,
    name: Name,
    entry: EntryId,
    process: ProcessId,
}

impl KeyTable {
    /// Takes a key, unless a request under it is under way here.
    pub(super) fn open(
        &self,
        service: &ServiceName,
        key: &IdempotencyKey,
        entry: &EntryId,
        process: ProcessId,
    ) -> Option<OpenKey> {
        let name = (service.clone(), key.clone());
        let taken = lock(&self.open).insert(name.clone());
        taken.then(|| OpenKey {
            open: self.open.clone(),
            name,
            entry: entry.clone(),
            process,
        })
    }
}

impl Drop for OpenKey {
    fn drop(&mut self) {
        lock(&self.open).remove(&self.name);
    }
}

impl OpenKey {
    /// The claim for a request.
    pub(super) fn claim(&self, work: &Work) -> Call {
        Call::ClaimKey(KeyClaim {
            service: self.name.0.clone(),
            key: self.name.1.clone(),
            digest: digest(work),
            entry: self.entry.clone(),
            process: self.process,
            idempotent: work.idempotent,
        })
    }

    /// Records what became of the request. Tries once before the caller is answered, then goes
    /// on in the background; the key stays taken here until control has it.
    pub(super) async fn settle<L: ControlLink>(self, link: &Arc<L>, state: KeyState) {
        if self.try_settle(link.as_ref(), &state).await {
            return;
        }
        let link = link.clone();
        tokio::spawn(async move {
            while !self.try_settle(link.as_ref(), &state).await {
                tokio::time::sleep(SETTLE_RETRY).await;
            }
        });
    }

    async fn try_settle<L: ControlLink>(&self, link: &L, state: &KeyState) -> bool {
        let settlement = Call::SettleKey(KeySettlement {
            service: self.name.0.clone(),
            key: self.name.1.clone(),
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

/// What control records for a verdict.
pub(super) fn state_after(verdict: &Verdict) -> KeyState {
    match verdict {
        Verdict::Answer(answer) => KeyState::Done(stored(answer)),
        Verdict::Failed(RouteError::NotRun { .. }) => KeyState::NotRun,
        Verdict::Failed(RouteError::Unknown { .. }) => KeyState::Unknown,
    }
}

fn stored(answer: &WholeAnswer) -> StoredAnswer {
    let content_type = answer.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let small = answer.body.len() <= STORED_LIMIT;
    StoredAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.into(),
        body: small.then(|| answer.body.to_vec()),
    }
}

/// Hash of what makes two requests the same.
fn digest(work: &Work) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in [work.method.as_str().as_bytes(), work.path.as_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&work.body);
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    digest
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
