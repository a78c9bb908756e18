//! Addresses that a running replica can send to, as in the runtime.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::ReplicaId;
use crate::replication::core::Membership;

/// Id and address that a process sends when it connects.
#[derive(Clone, Copy, Debug)]
pub(super) struct Identity {
    pub(super) id: ReplicaId,
    pub(super) addr: SocketAddr,
}

/// Addresses known to one process.
#[derive(Clone, Debug)]
pub(super) struct Addresses {
    own: SocketAddr,
    /// Configured when the process started.
    configured: Vec<SocketAddr>,
    /// Addresses of the peers that have connected.
    connected: BTreeMap<ReplicaId, SocketAddr>,
}

impl Addresses {
    pub(super) fn new(own: SocketAddr, configured: Vec<SocketAddr>) -> Self {
        Self {
            own,
            configured,
            connected: BTreeMap::new(),
        }
    }

    pub(super) fn connected(&mut self, peer: Identity) {
        self.connected.insert(peer.id, peer.addr);
    }

    pub(super) fn of(&self, to: ReplicaId, members: &Membership) -> Option<SocketAddr> {
        let member = members.get(to).map(|m| m.addr);
        member.or_else(|| self.connected.get(&to).copied())
    }

    /// Addresses to which an announcement is sent.
    pub(super) fn for_announcement(&self, members: &Membership) -> Vec<SocketAddr> {
        let mut addrs = members.addrs();
        addrs.extend(&self.configured);
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|addr| *addr != self.own);
        addrs
    }
}
