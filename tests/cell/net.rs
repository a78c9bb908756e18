//! The network between the daemons under test. Every address that a daemon advertises is that of a
//! fault proxy, which identifies the daemon at the other end of each connection by its process id.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use yuccahold::fault::{Direction, Fault, Lane, SourceProxy};

/// Names of running daemons by process id.
#[derive(Clone, Default)]
pub struct Pids(Arc<Mutex<BTreeMap<u32, CompactString>>>);

impl Pids {
    /// Starts a daemon's process. Lookups wait meanwhile: the process may connect before its id is
    /// known here.
    pub fn spawn(&self, name: &str, command: &mut Command) -> Child {
        let mut pids = self.0.lock().unwrap();
        let child = command.spawn().unwrap();
        pids.insert(child.id(), name.into());
        child
    }

    /// Name of the daemon whose process holds the connection between two addresses.
    fn owner(&self, from: SocketAddr, to: SocketAddr) -> Option<CompactString> {
        let inode = inode_of(from, to)?;
        let socket = format!("socket:[{inode}]");
        let pids = self.0.lock().unwrap().clone();
        pids.into_iter().find_map(|(pid, name)| {
            let files = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
            let mut links = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
            links
                .any(|link| link.as_os_str() == socket.as_str())
                .then_some(name)
        })
    }
}

/// Inode of the socket with these two addresses. Both are compared, because the system may use one
/// local port for connections to several addresses.
fn inode_of(from: SocketAddr, to: SocketAddr) -> Option<u64> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let ends = [from, to].map(|addr| match addr.ip() {
        IpAddr::V4(ip) => {
            let host = u32::from_le_bytes(ip.octets());
            format!("{host:08X}:{:04X}", addr.port())
        }
        IpAddr::V6(_) => unreachable!("daemons under test use IPv4"),
    });
    let line = table.lines().find(|line| {
        let mut fields = line.split_whitespace().skip(1);
        ends.iter().all(|end| fields.next() == Some(end.as_str()))
    })?;
    line.split_whitespace().nth(9)?.parse().ok()
}

/// Proxies by the name of the daemon behind them.
#[derive(Default)]
pub struct Net {
    pub pids: Pids,
    proxies: BTreeMap<String, Vec<SourceProxy>>,
}

impl Net {
    /// Starts a proxy for one address of a daemon and returns the proxy's address.
    pub async fn add_proxy(&mut self, daemon: &str, addr: SocketAddr) -> SocketAddr {
        let pids = self.pids.clone();
        let source = move |from, to| pids.owner(from, to).unwrap_or("unknown".into());
        let proxy = SourceProxy::start(addr, 1, source).await.unwrap();
        let proxy_addr = proxy.addr();
        self.proxies
            .entry(daemon.to_owned())
            .or_default()
            .push(proxy);
        proxy_addr
    }

    /// Fault lanes for the connections that one daemon opens to another.
    pub fn lanes_between(&self, from: &str, to: &str) -> Vec<Lane> {
        let proxies = self.proxies.get(to).into_iter().flatten();
        proxies.map(|proxy| proxy.from(from)).collect()
    }

    /// Applies a fault to the connections that either of two daemons opens to the other.
    pub fn between(&self, a: &str, b: &str, fault: Fault) {
        for lane in self
            .lanes_between(a, b)
            .into_iter()
            .chain(self.lanes_between(b, a))
        {
            lane.apply(fault);
        }
    }

    /// Drops everything that `from` sends to `to`; the other direction works.
    pub fn silence(&self, from: &str, to: &str) {
        for lane in self.lanes_between(from, to) {
            lane.apply(Fault::Silence(Direction::ToServer));
        }
        for lane in self.lanes_between(to, from) {
            lane.apply(Fault::Silence(Direction::ToClient));
        }
    }
}
