//! The cell's replicated state: a deterministic state machine, changed by commands and read by
//! queries.

mod cell;
mod commands;
mod keys;
mod queries;
mod records;
mod rows;
mod snapshot;

pub use cell::Cell;
pub use commands::{Command, Place, PlaceJob, Reply, RunOrder, Start, WorkerReport};
pub use keys::{KeyRecord, Keys, TOMBSTONE_FACTOR};
pub use queries::ReplayedEvents;
pub use records::{
    AuditRecord, DocumentRecord, EntryRecord, JobNumber, JobRecord, MinionRecord, RunningTask,
    TaskPhase, TaskRecord, Verdict, WorkerNumber, WorkerRecord,
};
pub use rows::{AuditRow, EntryRow, MinionRow, ReplicaRow, RevisionRow, TeamRow, WorkerRow};
pub use snapshot::STATE_VERSION;
