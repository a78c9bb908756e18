//! Batch jobs on minions that are controlled by remote calls: jobs of steps with dependencies,
//! gangs and long-running tasks, stored in a replicated ledger and dispatched by the leader. The
//! leader's term is the fencing token of its orders.

pub mod agents;
pub mod call_trace;
pub mod calls;
mod client_calls;
pub mod dispatch;
pub mod drain_times;
pub mod driver;
mod election_watch;
pub mod event;
pub mod event_output;
mod hash_ring;
pub mod hello;
pub mod job_end;
mod leader_search;
pub mod ledger;
pub mod link;
pub mod machine;
pub mod model;
mod recent_reader;
pub mod relay;
mod rendezvous;
pub mod report_batch;
mod request_copies;
pub mod server;
pub mod workspaces;
