//! Runtime of one replica: one thread for the consensus core and the state machine, one for the
//! disk and one for connections to other replicas, connected by bounded channels.

mod config;
mod control;
mod disk;
mod handle;
mod messages;
mod peers;

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::ids::Timestamp;

pub use config::{Formation, ReplicaConfig};
pub use handle::{Replica, ReplicaHandle};

/// Monotonic time at the first reading in a process. Not zero, so that zero is always in the past.
const START_TIME: Duration = Duration::from_secs(3600);

/// Monotonic time of this process. Every `now` that a replica passes on is on this scale.
///
/// It includes time for which the host was suspended. Otherwise a leader that resumes after a
/// suspension would still treat its leader lease as valid, and answer reads from an old state while
/// another replica leads.
pub fn monotonic_now() -> Timestamp {
    static START: OnceLock<Timestamp> = OnceLock::new();
    let now = since_boot();
    START_TIME + now.saturating_sub(*START.get_or_init(|| now))
}

fn since_boot() -> Timestamp {
    let now = clock_gettime(ClockId::Boottime);
    Timestamp::new(
        now.tv_sec.unsigned_abs(),
        u32::try_from(now.tv_nsec).unwrap_or_default(),
    )
}

/// Unix time of this host's clock; may jump, and is zero if the clock is before 1970.
pub fn unix_now() -> Timestamp {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
