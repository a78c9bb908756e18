//! Limits on the connections of a listener and on the memory of their requests.
//!
//! When one of them is reached, the connection that has waited longest for its client is closed:
//! clients that stop short of the end of a request must not keep others from being served.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use metrics::counter;
use tokio::sync::Notify;

use crate::ids::Timestamp;

/// Share of a process's descriptors for connections of clients. The others are for connections
/// between daemons and to minions, and for files.
const DESCRIPTOR_SHARE: (usize, usize) = (3, 4);
/// Share of a process's memory for connections, and what one takes at most beside its body.
const CONNECTION_SHARE: usize = 4;
const CONNECTION_BYTES: usize = 32 * 1024;
/// Share of a process's memory for bodies. While a request is served, its parsed form and the copies
/// of it that are sent take several times as much.
const BODY_SHARE: usize = 8;

/// What all connections of a listener may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    pub(super) connections: usize,
    pub(super) body_bytes: usize,
}

/// For listeners that only the platform's own programs reach.
pub(super) const OWN_CLIENTS: ConnectionLimits = ConnectionLimits {
    connections: 64,
    body_bytes: 0,
};

impl ConnectionLimits {
    /// For the only listener of a process that unknown clients reach. `memory` is in bytes, and one
    /// body of `largest_body` always fits.
    pub(super) fn of_process(memory: usize, descriptors: usize, largest_body: usize) -> Self {
        let (share, of) = DESCRIPTOR_SHARE;
        let by_memory = memory / CONNECTION_SHARE / CONNECTION_BYTES;
        Self {
            connections: by_memory.min(descriptors * share / of).max(1),
            body_bytes: (memory / BODY_SHARE).max(largest_body),
        }
    }
}

/// The open connections of a listener; clones share them.
#[derive(Clone)]
pub(super) struct Connections(Arc<Shared>);

struct Shared {
    limits: ConnectionLimits,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    open: HashMap<u64, Open>,
    next: u64,
    /// Reserved bytes of all connections.
    bytes: usize,
}

/// An open connection.
struct Open {
    phase: Phase,
    /// Bytes reserved for its request.
    bytes: usize,
    /// Notified when it must be closed.
    close: Arc<Notify>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has waited since then for its client to send, or to read an answer.
    Waiting(Timestamp),
    /// A whole request is being served.
    Serving,
    /// It is about to be closed.
    Closing,
}

/// One open connection; it is no longer counted once this is dropped.
pub(super) struct Connection {
    all: Connections,
    id: u64,
    close: Arc<Notify>,
}

impl Connections {
    pub(super) fn new(limits: ConnectionLimits) -> Self {
        Self(Arc::new(Shared {
            limits,
            state: Mutex::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no holder panics")
    }

    /// Counts a new connection, once there is room for it. `None` if all others are being served.
    pub(super) async fn open(&self, now: Timestamp) -> Option<Connection> {
        loop {
            {
                let mut state = self.lock();
                if state.open.len() < self.0.limits.connections {
                    return Some(self.insert(&mut state, now));
                }
                let closing = state.open.values().any(|o| o.phase == Phase::Closing);
                if !closing && !state.close_longest_waiting("connections", |_| true) {
                    counter!("yuccahold_http_connections_refused_total").increment(1);
                    return None;
                }
            }
            // Lets the connection end that is about to be closed.
            tokio::task::yield_now().await;
        }
    }

    fn insert(&self, state: &mut State, now: Timestamp) -> Connection {
        let id = state.next;
        state.next += 1;
        let close = Arc::new(Notify::new());
        let open = Open {
            phase: Phase::Waiting(now),
            bytes: 0,
            close: Arc::clone(&close),
        };
        state.open.insert(id, open);
        let all = self.clone();
        Connection { all, id, close }
    }
}

impl State {
    /// Closes the connection that has waited longest among those that satisfy a predicate. Its bytes
    /// no longer count. Returns whether there was one.
    fn close_longest_waiting(
        &mut self,
        limit: &'static str,
        among: impl Fn(&Open) -> bool,
    ) -> bool {
        let waiting = self.open.values_mut().filter(|o| among(o));
        let waiting = waiting.filter_map(|open| match open.phase {
            Phase::Waiting(since) => Some((since, open)),
            Phase::Serving | Phase::Closing => None,
        });
        let Some((_, open)) = waiting.min_by_key(|(since, _)| *since) else {
            return false;
        };
        open.phase = Phase::Closing;
        open.close.notify_one();
        self.bytes -= std::mem::take(&mut open.bytes);
        counter!("yuccahold_http_connections_closed_total", "limit" => limit).increment(1);
        true
    }
}

impl Connection {
    /// Waits until it must be closed.
    pub(super) async fn closed(&self) {
        self.close.notified().await;
    }

    /// Notes that it waits for its client from `now` on.
    pub(super) fn waits(&self, now: Timestamp) {
        self.set_phase(Phase::Waiting(now));
    }

    /// Notes that a whole request is being served.
    pub(super) fn serves(&self) {
        self.set_phase(Phase::Serving);
    }

    fn set_phase(&self, phase: Phase) {
        let mut state = self.all.lock();
        if let Some(open) = state.open.get_mut(&self.id)
            && open.phase != Phase::Closing
        {
            open.phase = phase;
        }
    }

    /// Reserves more bytes for its request, if need be in place of those of connections that have
    /// waited longer. Returns false if there are none, so that it must be closed itself.
    pub(super) fn reserve(&self, bytes: usize) -> bool {
        let limit = self.all.0.limits.body_bytes;
        let mut state = self.all.lock();
        while state.bytes + bytes > limit {
            if !state.close_longest_waiting("memory", |open| open.bytes > 0) {
                return false;
            }
        }
        match state.open.get_mut(&self.id) {
            Some(open) if open.phase != Phase::Closing => {
                open.bytes += bytes;
                state.bytes += bytes;
                true
            }
            _ => false,
        }
    }

    /// Releases the bytes of a request that has been answered.
    pub(super) fn release(&self) {
        let mut state = self.all.lock();
        if let Some(open) = state.open.get_mut(&self.id) {
            let bytes = std::mem::take(&mut open.bytes);
            state.bytes -= bytes;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.release();
        self.all.lock().open.remove(&self.id);
    }
}
