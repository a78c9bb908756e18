//! What the console needs of its daemon.

use std::future::Future;

use crate::wire::{HttpAnswer, HttpCall};

/// The operators' HTTP interface behind the console.
///
/// The console signs operators in, then reads and changes the cell through the same calls as
/// the command line, so that both obey the same rules.
pub trait ConsoleState: Clone + Send + Sync + 'static {
    /// Answers one request under `/v1`, at the leader if need be. The request is already
    /// signed in; the header `yuccahold-operator` names the operator.
    fn operate(&self, call: HttpCall) -> impl Future<Output = HttpAnswer> + Send;
}
