//! Fault-injecting proxies for TCP connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::connection::forward;
use super::rules::{Direction, Fault, Rules};
use crate::error::{Error, Result, Step};

/// Traffic counters of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Number of connections accepted, without those reset by `Fault::Cut`.
    pub connections: u64,
    /// Number of bytes delivered to the server.
    pub bytes_to_server: u64,
    /// Number of bytes delivered to the client.
    pub bytes_to_client: u64,
}

impl ProxyCounts {
    /// Number of bytes delivered in a direction; the sum for `Direction::Both`.
    pub fn bytes(&self, direction: Direction) -> u64 {
        match direction {
            Direction::ToServer => self.bytes_to_server,
            Direction::ToClient => self.bytes_to_client,
            Direction::Both => self.bytes_to_server + self.bytes_to_client,
        }
    }
}

/// The group of connections of a proxy that a fault applies to.
#[derive(Clone)]
pub struct Lane(Arc<Shared>);

pub(super) struct Shared {
    pub(super) rules: watch::Sender<Rules>,
    pub(super) counts: watch::Sender<ProxyCounts>,
    faults: AtomicU64,
    pub(super) seed: u64,
    pub(super) upstream: watch::Receiver<Option<SocketAddr>>,
}

impl Lane {
    fn new(upstream: watch::Receiver<Option<SocketAddr>>, seed: u64) -> Self {
        Self(Arc::new(Shared {
            rules: watch::Sender::new(Rules::default()),
            counts: watch::Sender::new(ProxyCounts::default()),
            faults: AtomicU64::new(0),
            seed,
            upstream,
        }))
    }

    /// Injects a fault into the connections of the lane.
    pub fn apply(&self, fault: Fault) {
        let number = self.0.faults.fetch_add(1, Ordering::Relaxed);
        let next = self.0.counts.borrow().connections;
        self.0
            .rules
            .send_modify(|rules| rules.apply(fault, next, number));
    }

    /// Current traffic counters.
    pub fn counts(&self) -> ProxyCounts {
        *self.0.counts.borrow()
    }

    /// Waits until the counters meet a condition.
    pub async fn reached(&self, condition: impl Fn(&ProxyCounts) -> bool) {
        let mut counts = self.0.counts.subscribe();
        let _ = counts.wait_for(|counts| condition(counts)).await;
    }

    /// Forwards a new connection, or resets it when the lane is cut.
    fn accept(&self, client: TcpStream) {
        if self.0.rules.borrow().cut {
            let _ = client.set_zero_linger();
            return;
        }
        let mut id = 0;
        self.0.counts.send_modify(|counts| {
            id = counts.connections;
            counts.connections += 1;
        });
        tokio::spawn(forward(id, client, self.0.clone()));
    }
}

/// A proxy for one server address, with one set of faults. Dropping it closes the listener and all
/// connections.
pub struct TcpProxy {
    addr: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    lane: Lane,
    accepting: JoinHandle<()>,
}

impl TcpProxy {
    /// Listens on a free loopback port and forwards to `upstream`. Without an address, connections
    /// wait until `set_upstream` provides one. `seed` determines the jitter.
    pub async fn start(upstream: impl Into<Option<SocketAddr>>, seed: u64) -> Result<Self> {
        let (listener, addr) = listen().await?;
        let upstream = watch::Sender::new(upstream.into());
        let lane = Lane::new(upstream.subscribe(), seed);
        let shared = lane.clone();
        let accepting = tokio::spawn(accept_all(listener, move |client, _| shared.accept(client)));
        Ok(Self {
            addr,
            upstream,
            lane,
            accepting,
        })
    }

    /// Address that clients connect to instead of that of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the server address for new connections.
    pub fn set_upstream(&self, addr: SocketAddr) {
        self.upstream.send_replace(Some(addr));
    }
}

impl std::ops::Deref for TcpProxy {
    type Target = Lane;

    fn deref(&self) -> &Lane {
        &self.lane
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.lane.apply(Fault::Cut);
    }
}

/// A proxy that groups connections by the process that opened them, so that the link from one
/// process can fail alone. Dropping it closes the listener and all connections.
pub struct SourceProxy {
    addr: SocketAddr,
    lanes: Arc<Lanes>,
    accepting: JoinHandle<()>,
}

struct Lanes {
    upstream: watch::Sender<Option<SocketAddr>>,
    seed: u64,
    by_source: Mutex<BTreeMap<CompactString, Lane>>,
}

impl Lanes {
    fn of(&self, source: &str) -> Lane {
        let mut lanes = self
            .by_source
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let new = || Lane::new(self.upstream.subscribe(), self.seed);
        lanes.entry(source.into()).or_insert_with(new).clone()
    }
}

impl SourceProxy {
    /// Listens on a free loopback port and forwards to `upstream`. `source` returns the name of the
    /// process that opened a connection, given the client's address and the proxy's. It may block:
    /// each call runs apart, and holds up only its own connection. `seed` determines the jitter.
    pub async fn start(
        upstream: SocketAddr,
        seed: u64,
        source: impl Fn(SocketAddr, SocketAddr) -> CompactString + Send + Sync + 'static,
    ) -> Result<Self> {
        let (listener, addr) = listen().await?;
        let lanes = Arc::new(Lanes {
            upstream: watch::Sender::new(Some(upstream)),
            seed,
            by_source: Mutex::default(),
        });
        let shared = lanes.clone();
        let source = Arc::new(source);
        let accept = move |client, peer| {
            let (shared, source) = (shared.clone(), source.clone());
            tokio::spawn(async move {
                let found = tokio::task::spawn_blocking(move || source(peer, addr)).await;
                if let Ok(name) = found {
                    shared.of(&name).accept(client);
                }
            });
        };
        Ok(Self {
            addr,
            lanes,
            accepting: tokio::spawn(accept_all(listener, accept)),
        })
    }

    /// Address that clients connect to instead of that of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The connections that a source has opened or will open, for injecting faults.
    pub fn from(&self, source: &str) -> Lane {
        self.lanes.of(source)
    }
}

impl Drop for SourceProxy {
    fn drop(&mut self) {
        self.accepting.abort();
        let lanes = self.lanes.by_source.lock();
        for lane in lanes.unwrap_or_else(PoisonError::into_inner).values() {
            lane.apply(Fault::Cut);
        }
    }
}

async fn listen() -> Result<(TcpListener, SocketAddr)> {
    let failed = |e| Error::caused(Step::Listen, "starting a fault proxy", e);
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
    let addr = listener.local_addr().map_err(failed)?;
    Ok((listener, addr))
}

async fn accept_all(listener: TcpListener, accept: impl Fn(TcpStream, SocketAddr)) {
    loop {
        if let Ok((client, peer)) = listener.accept().await {
            accept(client, peer);
        }
    }
}
