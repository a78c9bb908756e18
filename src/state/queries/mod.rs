//! Read-only queries of the cell.

mod feed;
mod jobs;
mod restore;
mod tables;

pub use restore::ReplayedEvents;
