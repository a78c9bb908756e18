//! Fault-injecting proxy for UDP datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::rules::{Direction, Fault, Rules};
use crate::error::{Error, Result, Step};

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A proxy for one UDP server address. Dropping it stops all forwarding.
pub struct UdpProxy {
    addr: SocketAddr,
    rules: watch::Sender<Rules>,
    forwarding: JoinHandle<()>,
}

impl UdpProxy {
    /// Listens on a free loopback port and forwards to `upstream`. `seed` determines loss
    /// and jitter.
    pub async fn start(upstream: SocketAddr, seed: u64) -> Result<Self> {
        let listen = |e| Error::caused(Step::Listen, "starting a fault proxy", e);
        let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(listen)?;
        let addr = socket.local_addr().map_err(listen)?;
        let rules = watch::Sender::new(Rules::default());
        let forwarder = Forwarder {
            socket: Arc::new(socket),
            upstream,
            rules: rules.subscribe(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            clients: HashMap::new(),
            tasks: JoinSet::new(),
        };
        Ok(Self {
            addr,
            rules,
            forwarding: tokio::spawn(forwarder.run()),
        })
    }

    /// Address that clients send to instead of that of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Injects a fault. `SilenceOpen`, `Reset` and `Truncate` have no effect on datagrams.
    pub fn apply(&self, fault: Fault) {
        self.rules.send_modify(|rules| rules.apply(fault, 0, 0));
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.forwarding.abort();
    }
}

struct Forwarder {
    socket: Arc<UdpSocket>,
    upstream: SocketAddr,
    rules: watch::Receiver<Rules>,
    rng: ChaCha8Rng,
    clients: HashMap<SocketAddr, Arc<UdpSocket>>,
    tasks: JoinSet<()>,
}

impl Forwarder {
    async fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, client)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            let Some(out) = self.upstream_socket(client).await else {
                continue;
            };
            let datagram_delay = datagram_delay(&self.rules, &mut self.rng, Direction::ToServer);
            let (data, upstream) = (buf[..len].to_vec(), self.upstream);
            if let Some(delay) = datagram_delay {
                self.tasks.spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = out.send_to(&data, upstream).await;
                });
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Returns the socket that represents a client at the upstream server, so that replies can be
    /// assigned to the client. Opens it on first use.
    async fn upstream_socket(&mut self, client: SocketAddr) -> Option<Arc<UdpSocket>> {
        if let Some(socket) = self.clients.get(&client) {
            return Some(socket.clone());
        }
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.ok()?);
        self.clients.insert(client, socket.clone());
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        self.tasks.spawn(forward_replies(
            socket.clone(),
            self.socket.clone(),
            client,
            self.rules.clone(),
            rng,
        ));
        Some(socket)
    }
}

async fn forward_replies(
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    client: SocketAddr,
    rules: watch::Receiver<Rules>,
    mut rng: ChaCha8Rng,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(len) = from.recv(&mut buf).await else {
            continue;
        };
        if let Some(delay) = datagram_delay(&rules, &mut rng, Direction::ToClient) {
            tokio::time::sleep(delay).await;
            let _ = to.send_to(&buf[..len], client).await;
        }
    }
}

/// Delay before a datagram is sent, or `None` when it is dropped.
fn datagram_delay(
    rules: &watch::Receiver<Rules>,
    rng: &mut ChaCha8Rng,
    direction: Direction,
) -> Option<Duration> {
    let rules = *rules.borrow();
    let lost = rng.random_range(0..100) < rules.lose_percent;
    if lost || rules.cut || rules.silent(u64::MAX, direction) {
        return None;
    }
    let delay = rules.delay_of(direction);
    Some(delay.map_or(Duration::ZERO, |(fixed, jitter)| {
        fixed + jitter.mul_f64(rng.random())
    }))
}
