//! Files of one replica: its identity, checksummed log segments and snapshots, all in one data
//! folder. Data is durable only once it is synced.

mod files;
mod folder;
mod format;
mod recovery;
mod store;

pub use files::{Files, RealFiles};
pub use store::{Opened, Store, WriteError};

/// Format version in the header of every file. A file of another version is refused, with an error
/// that names the version.
pub const FORMAT_VERSION: u16 = 1;
