//! Console and HTTP interface for operators.

mod state;

pub use state::{
    AuditRow, ConsoleState, DocumentChange, EntryRow, MinionRow, OperatorName, ReplicaRow, Revised,
    RevisionRow, StateError, StateResult, TeamRow, WorkerRow,
};
