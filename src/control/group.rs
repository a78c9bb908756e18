//! The group of replicas as the control daemon uses it.

use std::future::Future;
use std::net::SocketAddr;

use crate::ids::Timestamp;
use crate::replication::{ProposeError, ReadError, ReplicaStatus, StateMachine};

/// Agreement and confirmed reads. The replicated log implements it; tests put a fake in its
/// place.
pub trait Group<M: StateMachine>: Clone + Send + Sync + 'static {
    /// Gets a command agreed and applied.
    fn propose(
        &self,
        command: Vec<u8>,
    ) -> impl Future<Output = Result<M::Reply, ProposeError>> + Send;

    /// Runs a read once leadership was confirmed after this call; with the monotonic time then.
    fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&mut M, Timestamp) -> R + Send + 'static,
    ) -> impl Future<Output = Result<R, ReadError>> + Send;

    /// This replica's state.
    fn status(&self) -> ReplicaStatus;

    /// Where the leader answers calls, if known.
    fn leader_addr(&self) -> Option<SocketAddr> {
        self.status().leader_addr
    }
}
