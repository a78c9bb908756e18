//! Addresses to which a replica sends, from its settings, its log and the connections of its peers.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::ReplicaId;

/// Id and address that a replica sends to its peers when it connects.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) id: ReplicaId,
    pub(crate) addr: SocketAddr,
}

/// Addresses that a running replica knows, besides those in its log.
#[derive(Clone, Debug)]
pub(crate) struct Addresses {
    own: SocketAddr,
    configured: Vec<SocketAddr>,
    /// Sent by the peers that have connected.
    connected: HashMap<ReplicaId, SocketAddr>,
}

impl Addresses {
    pub(crate) fn new(own: SocketAddr, configured: Vec<SocketAddr>) -> Self {
        Self {
            own,
            configured,
            connected: HashMap::new(),
        }
    }

    /// Replaces the configured addresses.
    pub(crate) fn configure(&mut self, peers: Vec<SocketAddr>) {
        self.configured = peers;
    }

    pub(crate) fn connected(&mut self, peer: Identity) {
        self.connected.insert(peer.id, peer.addr);
    }

    /// The address for a message to `id`, and a second one if the one in the log and the one with
    /// which the peer has connected differ.
    ///
    /// Either may be the newer one. A voter may have to reply to a candidate that is not in its log
    /// yet; and a log that is behind holds a former address of a leader that has moved, which cannot
    /// bring that log up to date if the replies go to the former address only.
    pub(crate) fn of(
        &self,
        id: ReplicaId,
        in_log: Option<SocketAddr>,
    ) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let connected = self.connected.get(&id).copied();
        match in_log {
            None => (connected, None),
            Some(_) => (in_log, connected.filter(|addr| Some(*addr) != in_log)),
        }
    }

    /// Addresses for an announcement: the configured ones, those of the members in the log and those
    /// of the peers that have connected. All configured replicas may be down while the group runs on
    /// others, and the members of a group connect to an empty replica at the address of its former
    /// life for as long as its former id is a member.
    pub(crate) fn for_announcement(&self, in_log: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut addrs = in_log;
        addrs.extend(&self.configured);
        addrs.extend(self.connected.values());
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|addr| *addr != self.own);
        addrs
    }
}
