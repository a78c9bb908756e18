//! The proxies for TCP connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::connection::carry;
use super::rules::{Direction, Fault, Rules};
use crate::error::{Error, Result, Step};

/// What a proxy has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes delivered to the server.
    pub bytes_to_server: u64,
    /// Bytes delivered to the client.
    pub bytes_to_client: u64,
}

impl ProxyCounts {
    /// Bytes delivered in a direction, or in both together.
    pub fn bytes(&self, direction: Direction) -> u64 {
        match direction {
            Direction::ToServer => self.bytes_to_server,
            Direction::ToClient => self.bytes_to_client,
            Direction::Both => self.bytes_to_server + self.bytes_to_client,
        }
    }
}

/// The connections of a proxy that share their faults.
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

    /// Injects a fault from now on.
    pub fn apply(&self, fault: Fault) {
        let number = self.0.faults.fetch_add(1, Ordering::Relaxed);
        let next = self.0.counts.borrow().connections;
        self.0
            .rules
            .send_modify(|rules| rules.apply(fault, next, number));
    }

    /// What was carried so far.
    pub fn counts(&self) -> ProxyCounts {
        *self.0.counts.borrow()
    }

    /// Waits until the counts fulfil a condition.
    pub async fn reached(&self, condition: impl Fn(&ProxyCounts) -> bool) {
        let mut counts = self.0.counts.subscribe();
        let _ = counts.wait_for(|counts| condition(counts)).await;
    }

    /// Takes a new connection, unless this lane is cut.
    fn take(&self, client: TcpStream) {
        if self.0.rules.borrow().cut {
            let _ = client.set_zero_linger();
            return;
        }
        let mut id = 0;
        self.0.counts.send_modify(|counts| {
            id = counts.connections;
            counts.connections += 1;
        });
        tokio::spawn(carry(id, client, self.0.clone()));
    }
}

/// A proxy in front of one listening address. Dropping it closes the listener and every
/// connection.
pub struct TcpProxy {
    addr: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    lane: Lane,
    accepting: JoinHandle<()>,
}

impl TcpProxy {
    /// Listens on a free loopback port and forwards to `upstream`, once that is known.
    /// `seed` decides jitter.
    pub async fn start(upstream: impl Into<Option<SocketAddr>>, seed: u64) -> Result<Self> {
        let (listener, addr) = listen().await?;
        let upstream = watch::Sender::new(upstream.into());
        let lane = Lane::new(upstream.subscribe(), seed);
        let taking = lane.clone();
        let accepting = tokio::spawn(accept_all(listener, move |client, _| taking.take(client)));
        Ok(Self {
            addr,
            upstream,
            lane,
            accepting,
        })
    }

    /// Address to connect to instead of the upstream's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes where new connections lead.
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

/// A proxy that tells connections apart by who opens them, so that one link can fail alone.
/// Dropping it closes the listener and every connection.
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
    /// Listens on a free loopback port and forwards to `upstream`. `source` names the process
    /// that opened a connection from its address to the proxy's.
    pub async fn start(
        upstream: SocketAddr,
        seed: u64,
        source: impl Fn(SocketAddr, SocketAddr) -> CompactString + Send + 'static,
    ) -> Result<Self> {
        let (listener, addr) = listen().await?;
        let lanes = Arc::new(Lanes {
            upstream: watch::Sender::new(Some(upstream)),
            seed,
            by_source: Mutex::default(),
        });
        let taking = lanes.clone();
        let take = move |client, peer| taking.of(&source(peer, addr)).take(client);
        Ok(Self {
            addr,
            lanes,
            accepting: tokio::spawn(accept_all(listener, take)),
        })
    }

    /// Address to connect to instead of the upstream's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The connections that a source has opened or will open.
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

async fn accept_all(listener: TcpListener, take: impl Fn(TcpStream, SocketAddr)) {
    loop {
        if let Ok((client, peer)) = listener.accept().await {
            take(client, peer);
        }
    }
}
