//! Tasks that end with their owner.

use tokio::task::JoinHandle;

/// Ends a task when it is dropped.
///
/// A reader in a task of its own would otherwise outlive the connection that it reads for, and
/// keep its socket open.
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
