//! Idempotency keys: a resend gets the first answer, or a refusal once that answer has expired.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, IdempotencyKey, JobName, ProcessId, ServiceName, Timestamp};
use crate::wire::{KeySettlement, KeyState};

/// How many times longer a key's tombstone is kept than its answer.
///
/// While the tombstone exists, a resend of the key is refused as expired. After that the key
/// counts as new and its request would run again; the operators' pages state this limit.
pub const TOMBSTONE_FACTOR: u32 = 7;

/// Maximum number of key records; the oldest are turned into tombstones first.
const ANSWERS_KEPT: usize = 20_000;

/// Maximum number of tombstones; the oldest are removed first.
const TOMBSTONES_KEPT: usize = 200_000;

/// Records of claimed keys, and tombstones of expired keys and of removed jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    records: BTreeMap<(ServiceName, IdempotencyKey), KeyRecord>,
    /// Time of the claim of each record, oldest first.
    claims: VecDeque<(Timestamp, ServiceName, IdempotencyKey)>,
    /// Time of the latest tombstone by fingerprint.
    tombstones: BTreeMap<u64, Timestamp>,
    /// Tombstones in order of time; a fingerprint may occur more than once.
    tombstones_by_time: VecDeque<(Timestamp, u64)>,
}

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Hash of the request, to detect another request under the same key.
    pub digest: [u8; 16],
    /// Entry host that claimed the key.
    pub entry: EntryId,
    /// Process of the entry host; a restarted process does not own the claim.
    pub process: ProcessId,
    /// Whether the request may run again after the entry host was lost while it was in progress.
    pub idempotent: bool,
    /// State of the request.
    pub state: KeyState,
}

/// Result of a claim.
pub(crate) enum Claim {
    /// The key's state; `Claimed` if the claim succeeded.
    State(KeyState),
    /// The key's answer has expired; only its tombstone is left.
    Expired,
}

impl Keys {
    /// Claims a key for a request, or returns the state of an earlier claim.
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
            // The same process claims again because the answer to its claim was lost.
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
        self.claims.push_back((now, service.clone(), key.clone()));
        self.records.insert(id, claim);
        Claim::State(KeyState::Claimed)
    }

    /// Records the outcome of a claimed request; once a final outcome is recorded, later ones
    /// are ignored.
    ///
    /// Only the process that holds the claim may settle it. An entry host whose claim was lost
    /// in transit reports `not-run`; applied to the claim of another entry host, this would free
    /// the key while its request is in progress, and a resend would run it twice.
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

    /// Settles the requests that a lost process had in progress: they may have run, so their
    /// outcome is unknown. The key of an idempotent request becomes free again.
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

    /// Replaces records older than `retention` by tombstones, and removes tombstones older than
    /// [`TOMBSTONE_FACTOR`] times that.
    pub(crate) fn expire(&mut self, now: Timestamp, retention: Duration) {
        while let Some((at, _, _)) = self.claims.front() {
            let kept = *at + retention > now && self.claims.len() <= ANSWERS_KEPT;
            if kept {
                break;
            }
            let Some((_, service, key)) = self.claims.pop_front() else {
                break;
            };
            let key_hash = fingerprint(&service, &key);
            self.records.remove(&(service, key));
            self.add_tombstone(key_hash, now);
        }
        while let Some((at, _)) = self.tombstones_by_time.front() {
            let kept = *at + retention * TOMBSTONE_FACTOR > now
                && self.tombstones_by_time.len() <= TOMBSTONES_KEPT;
            if kept {
                break;
            }
            let Some((at, key_hash)) = self.tombstones_by_time.pop_front() else {
                break;
            };
            if self.tombstones.get(&key_hash) == Some(&at) {
                self.tombstones.remove(&key_hash);
            }
        }
    }

    /// Adds a tombstone for a removed job, so that a resend of its submission is refused.
    pub(crate) fn add_job_tombstone(&mut self, name: &JobName, now: Timestamp) {
        self.add_tombstone(fingerprint(&CompactString::const_new("job"), name), now);
    }

    /// Whether a job of this name existed and its record was removed.
    pub(crate) fn has_job_tombstone(&self, name: &JobName) -> bool {
        self.tombstones
            .contains_key(&fingerprint(&CompactString::const_new("job"), name))
    }

    fn add_tombstone(&mut self, key_hash: u64, now: Timestamp) {
        self.tombstones.insert(key_hash, now);
        self.tombstones_by_time.push_back((now, key_hash));
    }
}

/// A 64-bit hash of a scope and a key; any two keys collide with probability 2^-64.
fn fingerprint(scope: &str, key: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(scope.as_bytes())
        .update(&[0])
        .update(key.as_bytes());
    let hash = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
