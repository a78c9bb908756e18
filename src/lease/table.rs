//! The leases granted by one leader, kept in memory only.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ProcessId, Timestamp};

/// The clocks of two hosts are assumed to drift apart by at most one part in this many.
pub const DRIFT_DIVISOR: u32 = 100;

/// Time from the last renewal until the grantor may declare a lease of this `ttl` expired, with
/// allowance for clock drift.
pub fn grantor_ttl(ttl: Duration) -> Duration {
    ttl + ttl / DRIFT_DIVISOR
}

/// Leases by holder.
///
/// Renewals are not written to the log. A new leader has no record of its predecessor's grants, so
/// it calls [`LeaseTable::assume_granted`] for every holder in the replicated state: any earlier
/// grant has expired one full [`grantor_ttl`] after it began to lead.
#[derive(Clone, Debug)]
pub struct LeaseTable<K> {
    leases: BTreeMap<K, Lease>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    process: ProcessId,
    renewed: Timestamp,
    ttl: Duration,
    declared_expired: bool,
}

impl<K> Default for LeaseTable<K> {
    fn default() -> Self {
        Self {
            leases: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> LeaseTable<K> {
    /// Records a lease that a previous leader may have granted, as if it was granted at `now`.
    pub fn assume_granted(&mut self, holder: K, process: ProcessId, now: Timestamp, ttl: Duration) {
        let lease = Lease {
            process,
            renewed: now,
            ttl,
            declared_expired: false,
        };
        self.leases.insert(holder, lease);
    }

    /// Renews a lease, or grants the holder's first one; returns whether it was granted. It is
    /// refused while another process holds the lease, and once the lease was declared expired,
    /// since the holder's work may already have been given to another.
    pub fn renew(&mut self, holder: &K, process: ProcessId, now: Timestamp, ttl: Duration) -> bool {
        let Some(lease) = self.leases.get_mut(holder) else {
            self.assume_granted(holder.clone(), process, now, ttl);
            return true;
        };
        if lease.process != process || lease.declared_expired {
            return false;
        }
        // A shorter ttl from a new document must not shorten what was already granted: the holder
        // still relies on it.
        let left = (lease.renewed + lease.ttl).saturating_sub(now);
        lease.ttl = ttl.max(left);
        lease.renewed = now;
        true
    }

    /// Declares leases expired that were not renewed in time; returns each of them once.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(K, ProcessId)> {
        let mut expired = Vec::new();
        for (holder, lease) in &mut self.leases {
            if !lease.declared_expired && now > lease.renewed + grantor_ttl(lease.ttl) {
                lease.declared_expired = true;
                expired.push((holder.clone(), lease.process));
            }
        }
        expired
    }

    /// Declares a process's lease expired early because the holder has released it.
    pub fn release(&mut self, holder: &K, process: ProcessId) {
        let lease = self.leases.get_mut(holder);
        if let Some(lease) = lease.filter(|lease| lease.process == process) {
            lease.declared_expired = true;
        }
    }

    /// Removes a lease whose end is in the replicated state or whose process was replaced.
    pub fn remove(&mut self, holder: &K) {
        self.leases.remove(holder);
    }

    /// The process whose lease has not been declared expired.
    pub fn active_process(&self, holder: &K) -> Option<ProcessId> {
        let lease = self
            .leases
            .get(holder)
            .filter(|lease| !lease.declared_expired);
        lease.map(|lease| lease.process)
    }

    /// Time since the last renewal; `None` if the holder has no lease.
    pub fn time_since_renewal(&self, holder: &K, now: Timestamp) -> Option<Duration> {
        let lease = self.leases.get(holder)?;
        Some(now.saturating_sub(lease.renewed))
    }

    /// Removes all leases.
    pub fn clear(&mut self) {
        self.leases.clear();
    }
}
