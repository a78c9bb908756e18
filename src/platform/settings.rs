//! The settings file that the platform writes for each process: lines of `name=value`.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::batch::dispatch::{DispatchConfig, Mechanisms};
use crate::ids::ZoneName;

/// Environment variable that names the file.
pub(super) const PATH_VARIABLE: &str = "YUCCAHOLD_BOOT";
/// Where each process serves its metrics; `deploy/system.toml` names the same.
pub(super) const METRICS_PORT: u16 = 9464;
pub(super) const METRICS_PATH: &str = "/metrics";
/// Ports of the range given to daemons: replicas of the log, and calls to the leader.
const REPLICA_PORT: u16 = 0;
const CALL_PORT: u16 = 1;

/// All that is wrong with a settings file, one sentence a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the settings are refused: {}", .0.join("; "))]
pub struct BootProblems(pub Vec<String>);

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct Boot {
    /// Name of the machine.
    pub node: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers' connections arrive.
    pub front: Option<SocketAddr>,
    /// Where the balancer asks whether to send connections.
    pub ready: Option<SocketAddr>,
    /// Where minions and operators call.
    pub control: Option<SocketAddr>,
    /// First port for traffic between daemons; the same on all machines.
    first_port: u16,
    /// Machines that serve control, as known when the file was written.
    seeds: Vec<SocketAddr>,
    /// Entries among the seeds that are no addresses.
    pub unreadable_seeds: Vec<String>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Folder for files that survive.
    pub data: Option<PathBuf>,
    /// The policy service about placement, if there is one.
    pub policy: Option<SocketAddr>,
    /// Time between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Bounds that the dispatcher needs.
    pub dispatch: DispatchConfig,
}

/// Reads values and gathers what is wrong with them.
struct Reader {
    values: BTreeMap<String, String>,
    problems: Vec<String>,
}

impl Reader {
    fn text(&mut self, key: &str) -> String {
        match self.values.get(key) {
            Some(value) if !value.is_empty() => value.clone(),
            _ => {
                self.problems.push(format!("{key} is missing"));
                String::new()
            }
        }
    }

    fn parsed<T: std::str::FromStr>(&mut self, key: &str, otherwise: T) -> T
    where
        T::Err: std::fmt::Display,
    {
        let text = self.text(key);
        if text.is_empty() {
            return otherwise;
        }
        text.parse().unwrap_or_else(|e| {
            self.problems.push(format!("{key}={text:?}: {e}"));
            otherwise
        })
    }

    fn optional<T: std::str::FromStr>(&mut self, key: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.values.get(key).filter(|v| !v.is_empty())?.clone();
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.problems.push(format!("{key}={text:?}: {e}"));
                None
            }
        }
    }

    /// A span of time; `unit` is the length of one in the file.
    fn span(&mut self, key: &str, unit: Duration) -> Duration {
        let number: f64 = self.parsed(key, 0.0);
        if !number.is_finite() || !(0.0..1e9).contains(&number) {
            self.problems
                .push(format!("{key}={number}: not a span of time"));
            return Duration::ZERO;
        }
        unit.mul_f64(number)
    }

    /// A span of time, or another one where the file has none.
    fn optional_span(&mut self, key: &str, unit: Duration, otherwise: Duration) -> Duration {
        if self.values.get(key).is_none_or(String::is_empty) {
            return otherwise;
        }
        self.span(key, unit)
    }

    /// Addresses, and the entries that are none. One that can't be read names nobody, and the
    /// others hold: a daemon that refused its settings for it would not start at all.
    fn addresses(&mut self, key: &str) -> (Vec<SocketAddr>, Vec<String>) {
        let text = self.text(key);
        let mut addrs = Vec::new();
        let mut unreadable = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.parse() {
                Ok(addr) => addrs.push(addr),
                Err(_) => unreadable.push(part.to_owned()),
            }
        }
        if addrs.is_empty() && !unreadable.is_empty() {
            self.problems.push(format!("{key}={text:?}: no address"));
        }
        (addrs, unreadable)
    }
}

/// Time that a stopped run is taken to go on where the file doesn't say: above the longest that a
/// platform has named so far, so that room is not expected too early.
const STOP_TIME: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const NOWHERE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED);

impl Boot {
    /// Reads the file that the environment names.
    pub fn from_environment() -> Result<Self, BootProblems> {
        let path = std::env::var_os(PATH_VARIABLE)
            .ok_or_else(|| BootProblems(vec![format!("{PATH_VARIABLE} is not set")]))?;
        Self::load(Path::new(&path))
    }

    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, BootProblems> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| BootProblems(vec![format!("{}: {e}", path.display())]))?;
        Self::parse(&text)
    }

    /// Reads the text of a file. Names it does not know are passed over.
    pub fn parse(text: &str) -> Result<Self, BootProblems> {
        let mut r = Reader {
            values: BTreeMap::new(),
            problems: Vec::new(),
        };
        for line in text.lines().map(str::trim).filter(|l| !l.is_empty()) {
            match line.split_once('=') {
                Some((key, value)) => {
                    r.values
                        .insert(key.trim().to_owned(), value.trim().to_owned());
                }
                None => r.problems.push(format!("{line:?} has no value")),
            }
        }
        let ports = r.text("port_range");
        let first_port = ports.split(',').next().and_then(|p| p.trim().parse().ok());
        if first_port.is_none() {
            r.problems
                .push(format!("port_range={ports:?}: not two ports"));
        }
        let (seeds, unreadable_seeds) = r.addresses("seeds");
        let boot = Self {
            node: r.text("node"),
            ip: r.parsed("ip", NOWHERE),
            zone: r.text("zone").into(),
            front: r.optional("listen.front"),
            ready: r.optional("listen.ready"),
            control: r.optional("listen.control"),
            first_port: first_port.unwrap_or_default(),
            seeds,
            unreadable_seeds,
            first_start: r.parsed("bootstrap", false),
            data: r.optional("data_dir"),
            policy: r.optional("advice"),
            grace: r.span("bounds.grace_s", SECOND),
            dispatch: DispatchConfig {
                lease_max: r.span("bounds.hold_max_ms", MILLISECOND),
                stop_time: r.optional_span("bounds.stop_ms", MILLISECOND, STOP_TIME),
                restore_time: r.optional_span("bounds.restore_ms", MILLISECOND, Duration::ZERO),
                mechanisms: Mechanisms::default(),
            },
        };
        if r.problems.is_empty() {
            Ok(boot)
        } else {
            Err(BootProblems(r.problems))
        }
    }

    fn port(&self, offset: u16) -> u16 {
        self.first_port + offset
    }

    /// Where this process listens for other replicas.
    pub(super) fn replica_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port(REPLICA_PORT))
    }

    /// Where this process answers calls to the leader.
    pub(super) fn call_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port(CALL_PORT))
    }

    /// Where this process serves its metrics.
    pub(super) fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// Where the seeds listen for other replicas.
    pub(super) fn seed_replicas(&self) -> Vec<SocketAddr> {
        self.seeds_at(REPLICA_PORT)
    }

    /// Where the seeds answer calls to the leader.
    pub(super) fn seed_calls(&self) -> Vec<SocketAddr> {
        self.seeds_at(CALL_PORT)
    }

    fn seeds_at(&self, offset: u16) -> Vec<SocketAddr> {
        let port = self.port(offset);
        self.seeds
            .iter()
            .map(|s| SocketAddr::new(s.ip(), port))
            .collect()
    }

    /// Whether this machine is the one that forms the group at the very first start. All start
    /// with the same seeds, so exactly one machine finds itself to be the least of them.
    pub(super) fn forms_group(&self) -> bool {
        self.first_start && self.seeds.iter().map(SocketAddr::ip).min() == Some(self.ip)
    }
}
