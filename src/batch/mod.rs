//! Batch work on minions that take orders by call: jobs of steps with dependencies, gangs and
//! lasting tasks, held in a replicated ledger and dispatched by the leader under a fencing token.

pub mod agents;
pub mod calls;
pub mod dispatch;
pub mod driver;
pub mod ledger;
pub mod link;
pub mod machine;
pub mod model;
pub mod note;
mod rank;
pub mod server;
mod telling;
mod watch;
pub mod workspaces;
