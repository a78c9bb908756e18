//! The one validated document that describes the whole desired state of a cell.

mod model;

pub use model::{
    Deadline, Document, Drain, DrainTarget, JobKind, Limits, Objective, ObjectiveTarget, Policy,
    QueuePriority, Route, Service, Team, Workload, Zone,
};
