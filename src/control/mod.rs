//! The control daemon: the cell's state machine with its leader's upkeep, the calls of entry
//! hosts and the operators' HTTP interface.

mod api;
mod burn;
mod calls;
mod daemon;
mod entries;
mod group;
mod http;
mod jobs;
mod lead;
mod link;
mod machine;
mod polls;
mod tables;

pub use api::MAX_DOCUMENT;
pub use calls::Calls;
pub use daemon::{ControlHandle, start};
pub use entries::RenewStep;
pub use group::Group;
pub use machine::{Command, ENTRY_LEASE, Machine};
pub use polls::{Patience, PollStep};
