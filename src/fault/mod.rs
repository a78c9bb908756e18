//! A proxy that injects faults between two processes of a test, for TCP and UDP.
//!
//! It stands for the network: what it holds back is delivered when it heals, as TCP itself
//! would, unless the connection was made silent for good.

mod connection;
mod rules;
mod script;
mod tcp;
mod udp;

pub use rules::{Direction, Fault};
pub use script::{FaultStep, Trigger, play, random_script};
pub use tcp::{Lane, ProxyCounts, SourceProxy, TcpProxy};
pub use udp::UdpProxy;
