//! The runtime of one replica: the core and the state machine on one control thread, the disk on
//! another, connections to other replicas on a third, with bounded channels between.

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

/// Monotonic time at which a process starts. Not zero, so that zero always lies long ago.
const START_TIME: Duration = Duration::from_secs(3600);

/// This process's monotonic time. Every `now` that a replica hands out is on this scale.
///
/// It counts the time for which the machine was suspended. A leader that wakes from a suspension
/// would otherwise still believe in the lease it held before, and answer reads from an old state
/// while another one leads.
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

/// The time of day as this machine tells it.
pub fn unix_now() -> Timestamp {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
