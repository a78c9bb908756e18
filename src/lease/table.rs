//! The leases of one leader, in its memory only.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ProcessId, Timestamp};

/// Clocks of two hosts drift apart by at most one part in this many.
pub const DRIFT_DIVISOR: u32 = 100;

/// Time after which the grantor of a lease may regard it as over.
pub fn grantor_span(ttl: Duration) -> Duration {
    ttl + ttl / DRIFT_DIVISOR
}

/// Leases by holder.
///
/// Nothing is written to the log for a renewal. A new leader has no record of its
/// predecessor's grants, so it starts with [`LeaseTable::assume`] for every known holder:
/// whatever was granted before is over one full span after it began to lead.
#[derive(Clone, Debug)]
pub struct LeaseTable<K> {
    leases: BTreeMap<K, Lease>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    process: ProcessId,
    renewed: Timestamp,
    ttl: Duration,
    over: bool,
}

impl<K> Default for LeaseTable<K> {
    fn default() -> Self {
        Self {
            leases: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> LeaseTable<K> {
    /// Treats a lease as granted now, as far as this leader knows.
    pub fn assume(&mut self, holder: K, process: ProcessId, now: Timestamp, ttl: Duration) {
        let lease = Lease {
            process,
            renewed: now,
            ttl,
            over: false,
        };
        self.leases.insert(holder, lease);
    }

    /// Renews a lease. Says whether it was granted: not while another process holds it, nor
    /// once it was declared over, since its work may already be given to another.
    pub fn renew(&mut self, holder: &K, process: ProcessId, now: Timestamp, ttl: Duration) -> bool {
        let Some(lease) = self.leases.get_mut(holder) else {
            self.assume(holder.clone(), process, now, ttl);
            return true;
        };
        if lease.process != process || lease.over {
            return false;
        }
        // A shorter time set by a new document must not cut what was granted before.
        let left = (lease.renewed + lease.ttl).saturating_sub(now);
        lease.ttl = ttl.max(left);
        lease.renewed = now;
        true
    }

    /// Declares the leases over that have run out, and names each of them once.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(K, ProcessId)> {
        let mut expired = Vec::new();
        for (holder, lease) in &mut self.leases {
            if !lease.over && now > lease.renewed + grantor_span(lease.ttl) {
                lease.over = true;
                expired.push((holder.clone(), lease.process));
            }
        }
        expired
    }

    /// Declares one process's lease over before its time, on the holder's own word.
    pub fn give_up(&mut self, holder: &K, process: ProcessId) {
        let lease = self.leases.get_mut(holder);
        if let Some(lease) = lease.filter(|lease| lease.process == process) {
            lease.over = true;
        }
    }

    /// Forgets a lease whose end has been agreed.
    pub fn forget(&mut self, holder: &K) {
        self.leases.remove(holder);
    }

    /// Process whose lease is in force.
    pub fn holder(&self, holder: &K) -> Option<ProcessId> {
        let lease = self.leases.get(holder).filter(|lease| !lease.over);
        lease.map(|lease| lease.process)
    }

    /// Time since the lease was last granted.
    pub fn silent(&self, holder: &K, now: Timestamp) -> Option<Duration> {
        let lease = self.leases.get(holder)?;
        Some(now.saturating_sub(lease.renewed))
    }

    /// Forgets all leases.
    pub fn clear(&mut self) {
        self.leases.clear();
    }
}
