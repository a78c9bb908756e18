//! Routing of requests to services: selects a minion for each request and decides when to queue,
//! refuse, retry, hedge or fail it. State machines without I/O; the daemon in `entry` carries out
//! their effects.

mod admission;
mod budget;
mod choice;
mod latency;
mod lease;
mod limits;
mod minion;
mod model;
mod outcomes;
mod ownership;
mod peers;
mod queue;
mod router;
mod status;

pub use budget::RetryBudget;
pub use choice::{Candidate, Choose, LeastBusy, RandomChoice, TwoChoice};
pub use latency::Latency;
pub use lease::Lease;
pub use limits::TeamLimits;
pub use minion::{Health, Minion};
pub use model::{
    AttemptEnd, AttemptId, Effect, Event, Origin, Request, RequestId, RouteError, ServiceLoad,
    SlotReport, Target,
};
pub use peers::Peers;
pub use queue::Queue;
pub use router::{Router, RouterConfig};
pub use status::{MinionStatus, RoutingStatus, ServiceStatus};
