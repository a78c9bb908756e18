//! Settings file that the platform writes for each process: lines of `key=value`.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::batch::dispatch::{DispatchConfig, Mechanisms};
use crate::ids::ZoneName;

/// Environment variable with the path of the settings file.
pub(super) const PATH_VARIABLE: &str = "YUCCAHOLD_BOOT";
/// Port on which each process serves its metrics; `deploy/system.toml` has the same number.
pub(super) const METRICS_PORT: u16 = 9464;
pub(super) const METRICS_PATH: &str = "/metrics";
/// Offset in the daemons' port range of the port for replication between control daemons.
const REPLICA_PORT: u16 = 0;
/// Offset in the daemons' port range of the port for calls to the leader.
const CALL_PORT: u16 = 1;

/// All problems of a settings file, one sentence for each.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the settings are refused: {}", .0.join("; "))]
pub struct BootProblems(pub Vec<String>);

/// Settings of one daemon process in platform mode.
#[derive(Clone, Debug)]
pub struct Boot {
    /// Name of the host.
    pub node: String,
    /// Address of the host, on which the daemon listens for replicas, leader calls and metrics.
    pub ip: IpAddr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Listening address for callers; needed by the entry daemon.
    pub front: Option<SocketAddr>,
    /// Listening address for the load balancer's readiness checks; needed by the entry daemon.
    pub ready: Option<SocketAddr>,
    /// Listening address for minions and operators; needed by the control daemon.
    pub control: Option<SocketAddr>,
    /// First port for traffic between daemons; the same on all hosts.
    first_port: u16,
    /// Control daemons that existed when the file was written. Only their IP addresses are used.
    seeds: Vec<SocketAddr>,
    /// Seeds that are not valid addresses, as they stand in the file.
    pub unreadable_seeds: Vec<String>,
    /// Whether the whole system starts for the first time and has to form a replication group.
    pub first_start: bool,
    /// Folder for files that persist over restarts; needed by the control daemon.
    pub data: Option<PathBuf>,
    /// The policy service that decides which minions may run a step; absent when there is none.
    pub policy: Option<SocketAddr>,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// File descriptors that the process may have open.
    pub descriptors: usize,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Control hosts whose simultaneous loss must be borne.
    pub(super) host_losses: usize,
    /// Time limits for the dispatcher. The file sets them; mechanisms are set by the command line.
    pub dispatch: DispatchConfig,
}

/// Parses values and collects the problems found, so that all of them are reported at once.
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

    fn parsed<T: std::str::FromStr>(&mut self, key: &str, default: T) -> T
    where
        T::Err: std::fmt::Display,
    {
        let text = self.text(key);
        if text.is_empty() {
            return default;
        }
        text.parse().unwrap_or_else(|e| {
            self.problems.push(format!("{key}={text:?}: {e}"));
            default
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

    /// Parses a required duration; `unit` is the unit of the number in the file.
    fn duration(&mut self, key: &str, unit: Duration) -> Duration {
        let number: f64 = self.parsed(key, 0.0);
        if !number.is_finite() || !(0.0..1e9).contains(&number) {
            self.problems
                .push(format!("{key}={number}: not a valid duration"));
            return Duration::ZERO;
        }
        unit.mul_f64(number)
    }

    /// Parses a duration; `default` applies when the file has none.
    fn optional_duration(&mut self, key: &str, unit: Duration, default: Duration) -> Duration {
        if self.values.get(key).is_none_or(String::is_empty) {
            return default;
        }
        self.duration(key, unit)
    }

    /// Parses an amount above zero; `default` applies when the file has none.
    fn amount(&mut self, key: &str, default: f64) -> f64 {
        let amount = self.optional(key).unwrap_or(default);
        if !(1.0..1e9).contains(&amount) {
            self.problems
                .push(format!("{key}={amount}: not a valid amount"));
            return default;
        }
        amount
    }

    /// Parses a comma-separated list into addresses and unreadable entries. Unreadable entries are
    /// no problem as long as one address is left: a daemon that refused its settings because of one
    /// of them would not start at all.
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

/// Assumed time from a stop order to the end of the run when the file doesn't set it. It is longer
/// than any value that a platform has set so far, so that the run's resources are not expected to be
/// free too early.
const STOP_TIME: Duration = Duration::from_secs(1);
/// Time until a new speed of a run has its effect where the platform names none.
const PACE_DELAY: Duration = Duration::from_millis(100);
/// Longest time over a latency target because of other tasks where the platform names none.
const HARM_TIME: Duration = Duration::from_secs(4);
/// Assumed limits of the process when the file doesn't set them.
const DEFAULT_MEMORY_MB: f64 = 256.0;
const DEFAULT_DESCRIPTORS: f64 = 4096.0;
const MEGABYTE: f64 = 1024.0 * 1024.0;
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const NO_IP: IpAddr = IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED);

impl Boot {
    /// Loads the file named by `YUCCAHOLD_BOOT`.
    pub fn from_environment() -> Result<Self, BootProblems> {
        let path = std::env::var_os(PATH_VARIABLE)
            .ok_or_else(|| BootProblems(vec![format!("{PATH_VARIABLE} is not set")]))?;
        Self::load(Path::new(&path))
    }

    /// Loads and parses a settings file.
    pub fn load(path: &Path) -> Result<Self, BootProblems> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| BootProblems(vec![format!("{}: {e}", path.display())]))?;
        Self::parse(&text)
    }

    /// Parses the text of a settings file. Unknown keys are ignored.
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
            ip: r.parsed("ip", NO_IP),
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
            memory: (r.amount("limits.memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE) as usize,
            descriptors: r.amount("limits.max_fds", DEFAULT_DESCRIPTORS) as usize,
            grace: r.duration("bounds.grace_s", SECOND),
            host_losses: r.optional("fault_tolerance.machines").unwrap_or_default(),
            dispatch: DispatchConfig {
                lease_max: r.duration("bounds.hold_max_ms", MILLISECOND),
                stop_time: r.optional_duration("bounds.stop_ms", MILLISECOND, STOP_TIME),
                pace_delay: r.optional_duration("bounds.pace_ms", MILLISECOND, PACE_DELAY),
                interference_max: r.optional_duration("bounds.harm_ms", MILLISECOND, HARM_TIME),
                restore_time: r.optional_duration("bounds.restore_ms", MILLISECOND, Duration::ZERO),
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

    /// Address on which this process listens for other replicas.
    pub(super) fn replica_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port(REPLICA_PORT))
    }

    /// Address on which this process takes calls to the leader.
    pub(super) fn call_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port(CALL_PORT))
    }

    /// Address on which this process serves its metrics.
    pub(super) fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// Addresses on which the seeds listen for other replicas.
    pub(super) fn seed_replicas(&self) -> Vec<SocketAddr> {
        self.seeds_at(REPLICA_PORT)
    }

    /// Addresses on which the seeds take calls to the leader.
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

    /// Whether this host forms the replication group at the system's first start. All hosts start
    /// with the same seeds, so exactly one of them has the lowest address and forms the group.
    pub(super) fn forms_group(&self) -> bool {
        self.first_start && self.seeds.iter().map(SocketAddr::ip).min() == Some(self.ip)
    }
}
