//! Settings of the daemons: addresses, availability zone, files and limits of one process.

mod model;

pub use model::{ControlSettings, EntrySettings};
