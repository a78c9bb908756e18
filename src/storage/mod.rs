//! The files of one replica: its identity, checksummed log segments and snapshots, all under one
//! data folder. A write counts only once it is synced.

mod files;
mod folder;
mod format;
mod store;

pub use files::{Files, RealFiles};
pub use store::{Opened, Store, WriteError};

/// Version of the format of every file; another one is refused by number.
pub const FORMAT_VERSION: u16 = 1;
