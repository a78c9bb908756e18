//! Placement: decides which task runs on which worker, and which runs are stopped to make room.
//!
//! A placer is a pure state machine. It receives every change of the cell's state as an event and
//! is asked for decisions; what it grants counts as used from that moment.

mod baseline;
mod cell;
mod classes;
mod drains;
mod estimates;
mod events;
mod explain;
mod failures;
mod feasibility;
mod headroom;
mod interface;
mod preemption;
mod queues;
mod records;
mod reservations;
mod rules;
mod scheduler;
mod search;
mod teams;

pub use baseline::{FirstFit, RandomOfK};
pub use interface::{Decision, Event, Placer, RestoredTask, StopReason, TaskState};
pub(crate) use reservations::expected_end;
pub use rules::{long_running, may_restart, preemptible};
pub use scheduler::Scheduler;
