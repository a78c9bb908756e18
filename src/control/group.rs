//! The interface between the control daemon and the replication group.

use std::future::Future;
use std::net::SocketAddr;

use crate::ids::Timestamp;
use crate::replication::{ProposeError, ReadError, ReplicaStatus, StateMachine};

/// Replicated writes and linearizable reads. [`crate::replication::ReplicaHandle`] implements it.
pub trait Group<M: StateMachine>: Clone + Send + Sync + 'static {
    /// Proposes a command and returns its reply once it is committed and applied.
    fn propose(
        &self,
        command: Vec<u8>,
    ) -> impl Future<Output = Result<M::Reply, ProposeError>> + Send;

    /// Runs `read` on the leader's state after leadership was confirmed, with the monotonic time
    /// of that confirmation.
    fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&mut M, Timestamp) -> R + Send + 'static,
    ) -> impl Future<Output = Result<R, ReadError>> + Send;

    /// Present status of this replica.
    fn status(&self) -> ReplicaStatus;

    /// Address at which the leader answers calls, if known.
    fn leader_addr(&self) -> Option<SocketAddr> {
        self.status().leader_addr
    }
}
