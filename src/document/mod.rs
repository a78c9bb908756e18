//! The validated YAML document that declares the desired state of a cell.

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

/// Parses and validates a document. `name` is the file's name in error messages.
pub fn parse(name: &str, text: &str) -> Result<Document, Problems> {
    crate::schema::read_with(name, text, validate)
}

/// Reads a file and parses and validates the document in it.
pub fn load(path: &Path) -> Result<Document, Problems> {
    crate::schema::read_file(path, parse)
}

/// Formats a document as canonical YAML; parsing it gives an equal document.
pub fn render(document: &Document) -> String {
    crate::schema::to_yaml(&crate::schema::prune(&mut document.clone()))
}
