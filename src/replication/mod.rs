//! Replicated log (Raft): elections, replication, membership and snapshots in a pure state machine,
//! and the runtime that connects it to disk, network and clock.

mod core;
pub mod explore;
mod machine;
mod runtime;
mod status_log;

pub(crate) use self::core::LogState;
pub use self::core::{
    Body, Entry, HardState, HeartbeatMark, Member, Membership, Message, Payload, Recovered, Save,
    SaveSnapshot, Snapshot,
};
pub use machine::{
    Announcement, AnnouncementOutcome, ProposeError, ReadError, ReadPoint, ReplicaStatus, Role,
    StateMachine,
};
pub use runtime::{Formation, Replica, ReplicaConfig, ReplicaHandle, monotonic_now, unix_now};
pub(crate) use status_log::log_status;
