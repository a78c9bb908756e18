//! A daemon under test as a real process: start, planned stop, pause and kill.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, Socket, Type};

use super::net::Pids;
use super::until;

/// Start of the range searched for free ports, below the system's ephemeral ports.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;

/// Returns an address with a free port, on a loopback address that only this process uses, so that
/// a test in another process can't take the port before the daemon binds it.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 64 | a, b, c], port));
        if is_free(addr) {
            return addr;
        }
    }
}

/// Binds without listening: a process that is just being started has a copy of the socket until its
/// `exec`, and an address on which one listens stays in use until then.
fn is_free(addr: SocketAddr) -> bool {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("it can be set");
    socket.bind(&addr.into()).is_ok()
}

/// A daemon with its settings file and log; killed when dropped.
pub struct Daemon {
    pub name: String,
    pub http: SocketAddr,
    pub folder: PathBuf,
    binary: &'static str,
    pids: Pids,
    child: Option<Child>,
    paused: bool,
}

impl Daemon {
    pub fn new(
        name: &str,
        binary: &'static str,
        folder: &Path,
        http: SocketAddr,
        pids: Pids,
    ) -> Self {
        std::fs::create_dir_all(folder).unwrap();
        Self {
            name: name.to_owned(),
            http,
            folder: folder.to_owned(),
            binary,
            pids,
            child: None,
            paused: false,
        }
    }

    pub fn write_settings(&self, text: &str) {
        std::fs::write(self.folder.join("settings.yaml"), text).unwrap();
    }

    /// Starts the process; its output is appended to the log of earlier starts.
    pub fn start(&mut self, args: &[&str]) {
        assert!(self.child.is_none(), "{} runs already", self.name);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file())
            .unwrap();
        let mut command = Command::new(self.binary);
        command
            .args(args)
            .arg(self.folder.join("settings.yaml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        self.child = Some(self.pids.spawn(&self.name, &mut command));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the daemon runs").id()
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.pid() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.paused = true;
    }

    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.paused = false;
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Stops the process with SIGTERM and waits for its end.
    pub async fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        let name = self.name.clone();
        let child = self.child.as_mut().expect("the daemon runs");
        let mut status = None;
        until(&format!("the planned stop of {name}"), async || {
            status = child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        self.child = None;
        status.unwrap()
    }

    pub fn wipe_data(&self) {
        assert!(self.child.is_none(), "{} still runs", self.name);
        std::fs::remove_dir_all(self.folder.join("data")).unwrap();
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join("log")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_file()).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<_> = log.lines().rev().take(25).collect();
            eprintln!("--- end of the log of {}", self.name);
            lines.iter().rev().for_each(|line| eprintln!("{line}"));
        }
    }
}

/// Maximum time to wait for a condition, such as the start or end of a process, on a machine that
/// is busy with other tests.
pub const DEADLINE: Duration = Duration::from_secs(40);
