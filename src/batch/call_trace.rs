//! By which ways a request was sent, for the log line of one that got no answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A way by which a copy of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// This process's own connection to the leader.
    Leader,
    /// Another entry host, which passes it on.
    Relay,
}

impl Way {
    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leader => "leader",
            Self::Relay => "relay",
        }
    }
}

/// The copies of a request that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Number of copies.
    pub copies: u32,
    /// Way of the last one, and its receiver.
    pub last: Option<(Way, SocketAddr)>,
}

/// Records the copies of one request; clones share the record.
#[derive(Clone, Default)]
pub struct CallTrace(Arc<Mutex<Sent>>);

impl CallTrace {
    /// The copies that were sent so far.
    pub fn sent(&self) -> Sent {
        *self.0.lock().expect("no holder panics")
    }

    pub(super) fn record(&self, way: Way, receiver: SocketAddr) {
        let mut sent = self.0.lock().expect("no holder panics");
        sent.copies += 1;
        sent.last = Some((way, receiver));
    }
}
