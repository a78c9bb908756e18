//! Replicated log: elections, agreement, membership and snapshots as pure state machines, and
//! the runtime that gives them a disk, a network and a clock.

mod machine;

pub use machine::{ProposeError, ReadError, ReplicaStatus, Role, StateMachine};
