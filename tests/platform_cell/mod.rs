//! A whole system in platform mode: real daemon processes, each with a loopback address of its own,
//! with simulated minions, policy service, callers and operator.

#![allow(dead_code)]

pub mod caller;
mod capacity;
pub mod minion;
pub mod payload;
mod policy;
pub mod recorder;
pub mod workspaces;

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::Instant;

use caller::{HOST, PREFIX};
use minion::{LEASE_MAX_MS, Minion};
use recorder::{ATTEMPTS, Recorder};

/// Longest wait for processes to start, or for a condition to hold, on a busy host.
pub const DEADLINE: Duration = Duration::from_secs(60);
const ENTRY_PORT: u16 = 20_010;
const READY_PORT: u16 = 20_011;
const CONTROL_PORT: u16 = 20_012;

pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + DEADLINE;
    while !condition().await {
        assert!(Instant::now() < end, "waited too long for {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Which daemon a process is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

/// One daemon process; signals go to its process id.
pub struct Process {
    pub role: Role,
    ip: Ipv4Addr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(child.id() as i32).expect("a process id");
            // A failure is ignored: the process may have just exited by itself.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGHUP, which makes it reload its settings.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("it can be killed");
            child.wait().expect("it ends");
        }
    }

    /// Sends SIGTERM, and SIGKILL after `grace`, as the platform does.
    pub async fn terminate(&mut self, grace: Duration) {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return;
        };
        let end = Instant::now() + grace;
        while child.try_wait().expect("a child").is_none() {
            if Instant::now() > end {
                child.kill().expect("it can be killed");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn start(&mut self) {
        let binary = match self.role {
            Role::Control => env!("CARGO_BIN_EXE_yuccahold-control"),
            Role::Entry => env!("CARGO_BIN_EXE_yuccahold-entry"),
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log file");
        let child = Command::new(binary)
            .arg("--platform")
            .env("YUCCAHOLD_BOOT", self.folder.join("boot.conf"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    /// Deletes its data, so that it next starts as a new replica.
    pub fn wipe(&self) {
        let data = self.folder.join("data");
        std::fs::remove_dir_all(&data).expect("a data folder");
        std::fs::create_dir_all(&data).expect("a new data folder");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The daemons and everything that they communicate with.
pub struct System {
    pub folder: PathBuf,
    pub processes: Vec<Process>,
    pub minions: Vec<Arc<Minion>>,
    pub recorder: Recorder,
    policy: SocketAddr,
    client: reqwest::Client,
    version: u64,
    /// Highest configuration version that was acknowledged.
    acknowledged: u64,
}

impl Drop for System {
    fn drop(&mut self) {
        for minion in &self.minions {
            minion.stop_reporting();
        }
    }
}

impl System {
    pub async fn start(name: &str, controls: usize, entries: usize, minions: usize) -> Self {
        static CELLS: AtomicU8 = AtomicU8::new(0);
        // Each cell uses 16 of 256 addresses. The seventeenth cell reuses those of the first, which
        // has ended by then.
        let cell = CELLS.fetch_add(1, Ordering::Relaxed) % 16;
        let [.., b, c] = std::process::id().to_be_bytes();
        let ip = |i: usize| Ipv4Addr::new(127, 128 | b, c, 1 + cell * 16 + i as u8);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        let process = |(i, role): (usize, Role)| {
            let folder = folder.join(format!("p{i}"));
            std::fs::create_dir_all(folder.join("data")).expect("a folder");
            Process {
                role,
                ip: ip(i),
                folder,
                child: None,
            }
        };
        let roles = std::iter::repeat_n(Role::Control, controls)
            .chain(std::iter::repeat_n(Role::Entry, entries));
        let mut system = Self {
            processes: roles.enumerate().map(process).collect(),
            folder,
            minions: Vec::new(),
            recorder: Recorder::default(),
            policy: policy::serve_policy().await,
            client: reqwest::Client::new(),
            version: 0,
            acknowledged: 0,
        };
        system.write_settings(true);
        system.processes.iter_mut().for_each(Process::start);
        let addrs = system.controls();
        for i in 0..minions {
            let minion = Minion::start(i, addrs.clone(), system.recorder.clone()).await;
            system.minions.push(minion);
        }
        system.put_config().await;
        system
    }

    /// Writes the settings of all processes. With `first`, one of them forms the replication group.
    pub fn write_settings(&self, first: bool) {
        let controls = self.controls();
        let seeds: Vec<_> = controls.iter().take(3).map(ToString::to_string).collect();
        for process in &self.processes {
            let ip = process.ip;
            let listen = match process.role {
                Role::Control => format!("listen.control={ip}:{CONTROL_PORT}\n"),
                Role::Entry => {
                    format!("listen.front={ip}:{ENTRY_PORT}\nlisten.ready={ip}:{READY_PORT}\n")
                }
            };
            let text = format!(
                "node=n-{ip}\nip={ip}\nzone=z-a\n{listen}port_range=20020,20035\nseeds={}\n\
                 bootstrap={first}\ndata_dir={}\nbounds.hold_max_ms={LEASE_MAX_MS}\n\
                 bounds.grace_s=2\nadvice={}\n",
                seeds.join(","),
                process.folder.join("data").display(),
                self.policy,
            );
            std::fs::write(process.folder.join("boot.conf"), text).expect("settings");
        }
    }

    fn addrs(&self, role: Role, port: u16) -> Vec<SocketAddr> {
        let of_role = self.processes.iter().filter(|p| p.role == role);
        of_role.map(|p| SocketAddr::from((p.ip, port))).collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.addrs(Role::Control, CONTROL_PORT)
    }

    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.addrs(Role::Entry, ENTRY_PORT)
    }

    fn document(&self) -> Value {
        let mut document = json!({
            "version": self.version,
            "routes": [{
                "name": "work", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe",
                "timeout_ms": 3000, "slo_ms": 300, "priority": 0, "service": "desk",
                "attempts": ATTEMPTS, "stretch": 2.0,
                "advice": {"decide_ms": 20.0, "each_ms": 0.1, "validity_ms": 2000},
            }],
            "services": [{"name": "desk", "health_path": "/health", "max_conns": 64}],
        });
        if let Some(workspaces) = self.recorder.workspaces.document() {
            document["tenants"] = workspaces;
        }
        document
    }

    /// Sends the next configuration version until it is acknowledged.
    pub async fn put_config(&mut self) {
        self.version += 7;
        let document = self.document();
        let controls = self.controls();
        let mut next = self.version as usize;
        let client = self.client.clone();
        wait_for("a configuration to be acknowledged", async || {
            next += 1;
            let url = format!(
                "http://{}/yuccahold/config",
                controls[next % controls.len()]
            );
            let sent = client
                .put(url)
                .json(&document)
                .timeout(Duration::from_secs(1));
            sent.send().await.is_ok_and(|r| r.status().is_success())
        })
        .await;
        self.acknowledged = self.version;
        self.recorder.workspaces.acknowledged();
    }

    /// Version of the configuration that the system returns; `None` when no control daemon answers.
    pub async fn config_version(&self) -> Option<u64> {
        for control in self.controls() {
            let url = format!("http://{control}/yuccahold/config");
            let asked = self.client.get(url).timeout(Duration::from_secs(1)).send();
            if let Ok(reply) = asked.await
                && reply.status().is_success()
            {
                let text = reply.json::<Value>().await.ok()?;
                return text["version"].as_u64();
            }
        }
        None
    }

    /// Records a violation when the system returns a configuration older than the acknowledged one.
    pub async fn check_config(&self) {
        if let Some(version) = self.config_version().await
            && version < self.acknowledged
        {
            let acknowledged = self.acknowledged;
            let text = format!("CONFIG {version} was read after {acknowledged} was acknowledged");
            self.recorder.record_violation(text);
        }
    }
}
