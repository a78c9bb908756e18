//! The one validated document that describes the whole desired state of a cell.

mod diff;
mod effects;
mod model;
mod parts;
mod reference;
mod schema;
mod validate;

use std::path::Path;

pub use diff::{Change, Diff, diff};
pub use model::{
    Deadline, Document, Drain, DrainTarget, JobKind, Limits, Objective, ObjectiveTarget, Policy,
    QueuePriority, Route, Service, Team, Workload, Zone,
};
pub use parts::load_parts;
pub use reference::reference;
pub use schema::FORMAT;
pub use validate::validate;

pub use crate::schema::{Finding, Problem, Problems};

/// Reads and checks a document. `name` is the file's name, for messages.
pub fn parse(name: &str, text: &str) -> Result<Document, Problems> {
    crate::schema::read_with(name, text, validate)
}

/// Reads and checks the document in a file.
pub fn load(path: &Path) -> Result<Document, Problems> {
    crate::schema::read_file(path, parse)
}

/// Writes a document as canonical YAML; reading it gives the same document.
pub fn render(document: &Document) -> String {
    crate::schema::to_yaml(&crate::schema::prune(&mut document.clone()))
}
