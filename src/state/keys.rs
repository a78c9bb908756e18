//! Idempotency keys: the first answer for a resend, and a refusal for a key too old to answer.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, IdempotencyKey, JobName, ProcessId, ServiceName, Timestamp};
use crate::wire::{KeySettlement, KeyState};

/// A key's fingerprint is kept this many times as long as its answer.
///
/// After the answer is gone a resend is refused as expired by the fingerprint. Only after this
/// longer time would the key count as new; callers are told in the operators' pages.
pub const TOMBSTONE_FACTOR: u32 = 7;

/// Most answers kept at once; the earliest are forgotten first.
const ANSWERS_KEPT: usize = 20_000;

/// Most fingerprints kept at once.
const TOMBSTONES_KEPT: usize = 200_000;

/// Keys of requests to services, and fingerprints of keys and job names long gone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    records: BTreeMap<(ServiceName, IdempotencyKey), KeyRecord>,
    order: VecDeque<(Timestamp, ServiceName, IdempotencyKey)>,
    tombstones: BTreeMap<u64, Timestamp>,
    burials: VecDeque<(Timestamp, u64)>,
}

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Hash of the request it was claimed for.
    pub digest: [u8; 16],
    /// Entry host that claimed it.
    pub entry: EntryId,
    /// Process of that entry host.
    pub process: ProcessId,
    /// Whether the request may run again when it is lost with its entry host.
    pub idempotent: bool,
    /// What became of it.
    pub state: KeyState,
}

/// What a claim finds.
pub(crate) enum Claim {
    /// The key is as told.
    State(KeyState),
    /// The key is older than what is kept.
    Expired,
}

impl Keys {
    /// Claims a key for a request, or tells what became of an earlier claim.
    pub(crate) fn claim(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: &IdempotencyKey,
        claim: KeyRecord,
    ) -> Claim {
        let id = (service.clone(), key.clone());
        if let Some(found) = self.records.get_mut(&id) {
            if found.digest != claim.digest {
                return Claim::State(KeyState::Mismatch);
            }
            // The same process asks again after a lost answer: the claim is still its own.
            let own = (&found.entry, found.process) == (&claim.entry, claim.process);
            return match &found.state {
                KeyState::InProgress(_) if own => Claim::State(KeyState::Claimed),
                KeyState::NotRun => {
                    *found = claim;
                    Claim::State(KeyState::Claimed)
                }
                state => Claim::State(state.clone()),
            };
        }
        if self.tombstones.contains_key(&fingerprint(service, key)) {
            return Claim::Expired;
        }
        self.order.push_back((now, service.clone(), key.clone()));
        self.records.insert(id, claim);
        Claim::State(KeyState::Claimed)
    }

    /// Records what became of a claim; a later word than the first final one changes nothing.
    ///
    /// Only the claimer's word counts. An entry host whose claim was lost on the way says
    /// `not-run` of it; taken for another's claim, that would free the key while its request is
    /// in work, and a resend would run it twice.
    pub(crate) fn settle(&mut self, settlement: KeySettlement) {
        let id = (settlement.service, settlement.key);
        let Some(found) = self.records.get_mut(&id) else {
            return;
        };
        let own = (&found.entry, found.process) == (&settlement.entry, settlement.process);
        if own && matches!(found.state, KeyState::InProgress(_) | KeyState::Unknown) {
            found.state = settlement.state;
        }
    }

    /// Marks what a lost process had in progress: it may have run. An idempotent request's key
    /// is free again.
    pub(crate) fn lose_process(&mut self, entry: &EntryId, process: ProcessId) {
        let records = self.records.values_mut();
        for record in records.filter(|r| r.entry == *entry && r.process == process) {
            if matches!(record.state, KeyState::InProgress(_)) {
                record.state = match record.idempotent {
                    true => KeyState::NotRun,
                    false => KeyState::Unknown,
                };
            }
        }
    }

    /// Turns answers past their time into fingerprints and drops fingerprints past theirs.
    pub(crate) fn forget(&mut self, now: Timestamp, retention: Duration) {
        while let Some((at, _, _)) = self.order.front() {
            let kept = *at + retention > now && self.order.len() <= ANSWERS_KEPT;
            if kept {
                break;
            }
            let Some((_, service, key)) = self.order.pop_front() else {
                break;
            };
            let print = fingerprint(&service, &key);
            self.records.remove(&(service, key));
            self.bury(print, now);
        }
        while let Some((at, _)) = self.burials.front() {
            let kept =
                *at + retention * TOMBSTONE_FACTOR > now && self.burials.len() <= TOMBSTONES_KEPT;
            if kept {
                break;
            }
            let Some((at, print)) = self.burials.pop_front() else {
                break;
            };
            if self.tombstones.get(&print) == Some(&at) {
                self.tombstones.remove(&print);
            }
        }
    }

    /// Remembers that a job of this name existed.
    pub(crate) fn bury_job(&mut self, name: &JobName, now: Timestamp) {
        self.bury(fingerprint(&CompactString::const_new("job"), name), now);
    }

    /// Whether a job of this name existed and is forgotten.
    pub(crate) fn job_is_buried(&self, name: &JobName) -> bool {
        self.tombstones
            .contains_key(&fingerprint(&CompactString::const_new("job"), name))
    }

    fn bury(&mut self, print: u64, now: Timestamp) {
        self.tombstones.insert(print, now);
        self.burials.push_back((now, print));
    }
}

/// A short hash of a scope and a key; two keys share one with a chance of 2^-64 a pair.
fn fingerprint(scope: &str, key: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(scope.as_bytes())
        .update(&[0])
        .update(key.as_bytes());
    let hash = hasher.finalize();
    let mut print = [0; 8];
    print.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(print)
}
