//! Replicated log: elections, agreement, membership and snapshots as pure state machines, and
//! the runtime that gives them a disk, a network and a clock.

mod core;
pub mod explore;
mod machine;
mod runtime;

pub use self::core::{
    Beat, Body, Entry, HardState, Member, Membership, Message, Payload, Recovered, Save,
    SaveSnapshot, Snapshot,
};
pub use machine::{ProposeError, ReadError, ReplicaStatus, Role, StateMachine};
pub use runtime::{Formation, Replica, ReplicaConfig, ReplicaHandle, monotonic_now, unix_now};
