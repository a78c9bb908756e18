//! Placement decisions: which task runs where, and what makes room for it.
//!
//! A placer is a pure state machine. It is fed every change of the cell's state and asked for
//! decisions; what it grants counts as used from that moment.

mod interface;

pub use interface::{Decision, Event, Placer, RestoredTask, StopReason, TaskState};
