//! TCP and UDP proxies that inject network faults between two processes of a test.
//!
//! The TCP proxies behave like a network partition: bytes held back are delivered when the fault
//! ends, as TCP retransmits them, unless the connection was silenced permanently.

mod connection;
mod rules;
mod script;
mod tcp;
mod udp;

pub use rules::{Direction, Fault};
pub use script::{FaultStep, Trigger, play, random_script};
pub use tcp::{Lane, ProxyCounts, SourceProxy, TcpProxy};
pub use udp::UdpProxy;
