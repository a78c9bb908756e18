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
mod faults;
mod headroom;
mod interface;
mod never;
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
pub(crate) use reservations::end_from_now;
pub use rules::{long_running, may_start_again, preemptible};
pub use scheduler::Scheduler;
