//! Data folders of daemons in memory.

use std::path::{Path, PathBuf};

/// Data folders in memory. A disk that other programs keep busy takes seconds to sync, so that all
/// replicas stand still at once or miss the time to catch up: a disruption that a test can't count.
pub struct MemoryFolder(pub PathBuf);

impl MemoryFolder {
    /// A folder with this name, which is removed at the end.
    pub fn new(name: &str) -> Self {
        let memory = Path::new("/dev/shm");
        let parent = match memory.is_dir() {
            true => memory,
            false => Path::new(env!("CARGO_TARGET_TMPDIR")),
        };
        Self(parent.join(name))
    }
}

impl Drop for MemoryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
