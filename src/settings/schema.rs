//! Fields, defaults and checks of the daemons' settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;

use super::model::{ControlSettings, EntrySettings};
use crate::schema::{
    Address, Addresses, Bytes, Field, FilePath, Finding, Name, OptionalAddress, OptionalPath,
    Record, Span, Visitor,
};

/// Initial value of required addresses, until the file sets them.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

const ZONE: Field = Field::required("zone", "Availability zone this process runs in.");
const CELL_KEY: Field = Field::required(
    "cell_key",
    "File with the secret shared by the daemons of the cell; a second line holds the old one during a key rotation.",
);

impl Record for EntrySettings {
    fn visit(&mut self, v: &mut dyn Visitor) {
        let id = Field::required("id", "Name of this entry host, unique in the cell.");
        v.scalar(id, &mut Name(&mut self.id));
        v.scalar(ZONE, &mut Name(&mut self.zone));
        v.scalar(CELL_KEY, &mut FilePath(&mut self.cell_key));
        let listen = Field::required(
            "listen",
            "HTTP listening address for callers, minions, workers, health checks and metrics.",
        );
        v.scalar(listen, &mut Address(&mut self.listen));
        let peer = Field::required(
            "peer_listen",
            "Listening address for requests that other entry hosts forward.",
        );
        v.scalar(peer, &mut Address(&mut self.peer_listen));
        let advertise = Field::optional(
            "peer_advertise",
            "Address to which other entry hosts forward requests; `peer_listen` when absent.",
        );
        v.scalar(advertise, &mut OptionalAddress(&mut self.peer_advertise));
        let control = Field::required(
            "control",
            "Addresses on which the control replicas take calls.",
        );
        v.texts(control, &mut Addresses(&mut self.control));
        let delay = Field::optional(
            "stop_delay",
            "Time from reporting not ready to refusing new connections at a planned stop.",
        );
        v.scalar(delay, &mut Span(&mut self.stop_delay));
        let grace = Field::optional(
            "stop_grace",
            "Longest time that requests in flight get to finish at a planned stop.",
        );
        v.scalar(grace, &mut Span(&mut self.stop_grace));
    }

    fn initial() -> Self {
        Self {
            id: CompactString::default(),
            zone: CompactString::default(),
            cell_key: PathBuf::new(),
            listen: NO_ADDRESS,
            peer_listen: NO_ADDRESS,
            peer_advertise: None,
            control: Vec::new(),
            stop_delay: Duration::from_secs(5),
            stop_grace: Duration::from_secs(30),
        }
    }

    fn blank(&self) -> Box<dyn Record> {
        Box::new(Self::initial())
    }
}

impl Record for ControlSettings {
    fn visit(&mut self, v: &mut dyn Visitor) {
        v.scalar(ZONE, &mut Name(&mut self.zone));
        v.scalar(CELL_KEY, &mut FilePath(&mut self.cell_key));
        let data = Field::required("data", "Folder that holds all files of this replica.");
        v.scalar(data, &mut FilePath(&mut self.data));
        let listen = Field::required(
            "listen",
            "HTTP listening address for operators, the console, health checks and metrics.",
        );
        v.scalar(listen, &mut Address(&mut self.listen));
        let call = Field::required(
            "call_listen",
            "Listening address for calls from entry hosts.",
        );
        v.scalar(call, &mut Address(&mut self.call_listen));
        let advertise = Field::optional(
            "call_advertise",
            "Address to which entry hosts and other replicas send calls; `call_listen` when absent.",
        );
        v.scalar(advertise, &mut OptionalAddress(&mut self.call_advertise));
        let replica = Field::required("replica_listen", "Listening address for other replicas.");
        v.scalar(replica, &mut Address(&mut self.replica_listen));
        let advertise = Field::optional(
            "replica_advertise",
            "Address to which other replicas connect; `replica_listen` when absent.",
        );
        v.scalar(advertise, &mut OptionalAddress(&mut self.replica_advertise));
        let replicas = Field::optional(
            "replicas",
            "Addresses on which the other replicas listen for replicas; empty for a group of one.",
        );
        v.texts(replicas, &mut Addresses(&mut self.replicas));
        let operators = Field::optional(
            "operators",
            "File with operators' token hashes; without it sign-in is off and only loopback is served.",
        );
        v.scalar(operators, &mut OptionalPath(&mut self.operators));
        let election = Field::optional(
            "election_timeout",
            "Shortest time without a message from the leader before an election starts.",
        );
        v.scalar(election, &mut Span(&mut self.election_timeout));
        let heartbeat = Field::optional("heartbeat", "Interval of the leader's heartbeats.");
        v.scalar(heartbeat, &mut Span(&mut self.heartbeat));
        let snapshot = Field::optional(
            "snapshot_bytes",
            "Log size at which a snapshot is taken and the log truncated.",
        );
        v.scalar(snapshot, &mut Bytes(&mut self.snapshot_bytes));
        let replace = Field::optional(
            "replace_after",
            "Time after which an unreachable voter is replaced by a learner.",
        );
        v.scalar(replace, &mut Span(&mut self.replace_after));
    }

    fn initial() -> Self {
        Self {
            zone: CompactString::default(),
            cell_key: PathBuf::new(),
            data: PathBuf::new(),
            listen: NO_ADDRESS,
            call_listen: NO_ADDRESS,
            call_advertise: None,
            replica_listen: NO_ADDRESS,
            replica_advertise: None,
            replicas: Vec::new(),
            operators: None,
            election_timeout: Duration::from_millis(1000),
            heartbeat: Duration::from_millis(200),
            snapshot_bytes: 8_000_000,
            replace_after: Duration::from_secs(600),
        }
    }

    fn blank(&self) -> Box<dyn Record> {
        Box::new(Self::initial())
    }
}

pub(crate) fn check_entry(s: &EntrySettings) -> Vec<Finding> {
    let mut findings = port_conflicts(&[("listen", s.listen), ("peer_listen", s.peer_listen)]);
    check_advertised(&mut findings, "peer", s.peer_listen, s.peer_advertise);
    if s.control.is_empty() {
        let message = "an entry host needs the address of at least one control replica";
        findings.push(Finding::new("control", message));
    }
    check_peers(&mut findings, "control", &s.control);
    findings
}

pub(crate) fn check_control(s: &ControlSettings) -> Vec<Finding> {
    let listens = [
        ("listen", s.listen),
        ("call_listen", s.call_listen),
        ("replica_listen", s.replica_listen),
    ];
    let mut findings = port_conflicts(&listens);
    check_advertised(&mut findings, "call", s.call_listen, s.call_advertise);
    check_advertised(
        &mut findings,
        "replica",
        s.replica_listen,
        s.replica_advertise,
    );
    check_peers(&mut findings, "replicas", &s.replicas);
    let own = s.replica_advertise.unwrap_or(s.replica_listen);
    for (i, _) in s.replicas.iter().enumerate().filter(|(_, a)| **a == own) {
        let message = "this is the replica's own address; list the others only";
        findings.push(Finding::new(format!("replicas.{i}"), message));
    }
    // With a heartbeat interval close to the timeout, a single late heartbeat starts an election.
    if s.heartbeat.is_zero() || s.heartbeat * 3 > s.election_timeout {
        let message = "`heartbeat` is over zero and at most a third of `election_timeout`";
        findings.push(Finding::new("heartbeat", message));
    }
    if s.snapshot_bytes < 64 * 1024 {
        let message = "a snapshot at less than `64 KiB` of log would be written all the time";
        findings.push(Finding::new("snapshot_bytes", message));
    }
    if s.operators.is_none() && !s.listen.ip().is_loopback() {
        let message = "without an `operators` file only a loopback address is served";
        findings.push(Finding::new("listen", message));
    }
    findings
}

/// Finds listening addresses that can't be bound at the same time. With port 0 the system chooses a
/// free port.
fn port_conflicts(listens: &[(&str, SocketAddr)]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (i, (key, addr)) in listens.iter().enumerate() {
        for (other_key, other) in &listens[..i] {
            let overlaps = addr.ip() == other.ip()
                || addr.ip().is_unspecified()
                || other.ip().is_unspecified();
            if overlaps && addr.port() != 0 && addr.port() == other.port() {
                let message = format!(
                    "`{key}` clashes with `{other_key}`: both take port {}",
                    addr.port()
                );
                findings.push(Finding::new(*key, message));
            }
        }
    }
    findings
}

/// Checks that peers get an address they can use: they can't connect to 0.0.0.0.
fn check_advertised(
    findings: &mut Vec<Finding>,
    what: &str,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
) {
    let key = format!("{what}_advertise");
    match advertise {
        Some(addr) if addr.ip().is_unspecified() => {
            let message = format!("no one can connect to `{addr}`; give the host's own address");
            findings.push(Finding::new(key, message));
        }
        None if listen.ip().is_unspecified() && listen != NO_ADDRESS => {
            let message = format!(
                "`{what}_listen` takes any address, so `{key}` must say which one others use"
            );
            findings.push(Finding::new(format!("{what}_listen"), message));
        }
        _ => {}
    }
}

/// Checks that the addresses of peers can be connected to and differ from each other.
fn check_peers(findings: &mut Vec<Finding>, key: &str, addrs: &[SocketAddr]) {
    for (i, addr) in addrs.iter().enumerate() {
        if addr.ip().is_unspecified() || addr.port() == 0 {
            let message = format!("no one can connect to `{addr}`");
            findings.push(Finding::new(format!("{key}.{i}"), message));
        }
        if addrs[..i].contains(addr) {
            let message = format!("`{addr}` is given twice");
            findings.push(Finding::new(format!("{key}.{i}"), message));
        }
    }
}
