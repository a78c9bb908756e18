//! Queries: reads of the cell that change nothing.

mod feed;
mod jobs;
mod restore;
mod tables;

pub use restore::ReplayedEvents;
