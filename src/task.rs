//! Tokio tasks that are aborted when their owner is dropped.

use tokio::task::JoinHandle;

/// Aborts a task when dropped.
///
/// Without this, the task that reads from a connection would outlive the connection's owner and
/// keep the socket open.
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
