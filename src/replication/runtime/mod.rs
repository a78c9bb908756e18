//! The runtime of one replica: the core and the state machine on one control thread, the disk on
//! another, connections to other replicas on a third, with bounded channels between.

mod config;
mod control;
mod disk;
mod handle;
mod messages;
mod peers;

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::ids::Timestamp;

pub use config::{Formation, ReplicaConfig};
pub use handle::{Replica, ReplicaHandle};

/// Monotonic time at which a process starts. Not zero, so that zero always lies long ago.
const START_TIME: Duration = Duration::from_secs(3600);

/// This process's monotonic time. Every `now` that a replica hands out is on this scale.
pub fn monotonic_now() -> Timestamp {
    static START: OnceLock<Instant> = OnceLock::new();
    START_TIME + START.get_or_init(Instant::now).elapsed()
}

fn unix_now() -> Timestamp {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
