//! The control daemon: the replicated state machine with the leader's periodic work, the calls of
//! entry hosts, and the operators' HTTP API.

mod api;
mod burn;
mod calls;
mod connections;
mod daemon;
mod entries;
mod group;
mod http;
mod jobs;
mod leader;
mod machine;
mod polls;
mod tables;

pub use api::MAX_DOCUMENT_BYTES;
pub use calls::Calls;
pub use daemon::{ControlHandle, start};
pub use entries::RenewStep;
pub use group::Group;
pub use machine::{Command, ENTRY_LEASE, Machine};
pub use polls::{PollMode, PollStep};
