//! Simulated operator, who sends configurations and reads them back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use super::caller::{HOST, PREFIX};
use super::recorder::Recorder;
use super::{DEADLINE, wait_for};

const TIMEOUT: Duration = Duration::from_secs(1);
/// Most queues besides the one that the callers use.
const EXTRA_QUEUES: u32 = 12;

/// Addresses of the control daemons, shared by the operator and the minions.
#[derive(Clone, Default)]
pub struct Directory(Arc<Mutex<Vec<SocketAddr>>>);

impl Directory {
    pub fn get(&self) -> Vec<SocketAddr> {
        self.0.lock().expect("no holder panics").clone()
    }

    pub fn set(&self, addrs: Vec<SocketAddr>) {
        *self.0.lock().expect("no holder panics") = addrs;
    }
}

#[derive(Clone)]
pub struct Operator {
    client: reqwest::Client,
    directory: Directory,
    recorder: Recorder,
    version: u64,
    /// Highest configuration version that was acknowledged.
    acknowledged: u64,
    timeout_ms: u32,
    weight: u32,
    extra_queues: Vec<u32>,
}

impl Operator {
    pub fn new(directory: Directory, recorder: Recorder) -> Self {
        Self {
            client: reqwest::Client::new(),
            directory,
            recorder,
            version: 0,
            acknowledged: 0,
            timeout_ms: 3_000,
            weight: 4,
            extra_queues: Vec::new(),
        }
    }

    /// Makes one random change; the next configuration contains it.
    fn change(&mut self, rng: &mut ChaCha8Rng, limits: &[u32]) {
        let workspace = rng.random_range(0..limits.len().max(1));
        match rng.random_range(0..6) {
            0 => self.timeout_ms = rng.random_range(2_500..4_000),
            1 => self.weight = rng.random_range(1..9),
            2 if !limits.is_empty() => self.recorder.workspaces.replace_key(workspace),
            3 if !limits.is_empty() => {
                let limit = limits[workspace] * rng.random_range(50..=100) / 100;
                self.recorder.workspaces.set_limit(workspace, limit);
            }
            _ => {
                let queue = rng.random_range(0..EXTRA_QUEUES);
                let before = self.extra_queues.len();
                self.extra_queues.retain(|q| *q != queue);
                if self.extra_queues.len() == before {
                    self.extra_queues.push(queue);
                }
            }
        }
    }

    fn document(&self) -> Value {
        let queue = |name: String, prefix: String| {
            json!({
                "name": name, "host": HOST, "path_prefix": prefix, "kind": "unsafe",
                "timeout_ms": self.timeout_ms, "slo_ms": 300, "priority": 0, "service": "desk",
                "attempts": self.recorder.attempts(), "stretch": 2.0,
                "advice": {"decide_ms": 20.0, "each_ms": 0.1, "validity_ms": 2000},
            })
        };
        let mut routes = vec![queue("work".to_owned(), PREFIX.to_owned())];
        let extra = self.extra_queues.iter();
        routes.extend(extra.map(|q| queue(format!("extra-{q}"), format!("/extra-{q}/"))));
        let mut document = json!({
            "version": self.version,
            "routes": routes,
            "services": [{"name": "desk", "health_path": "/health", "max_conns": 64}],
        });
        if let Some(workspaces) = self.recorder.workspaces.document(self.weight) {
            document["tenants"] = workspaces;
        }
        document
    }

    /// Sends the next configuration version until it is acknowledged.
    pub async fn put(&mut self) {
        let (_stop, stopping) = watch::channel(false);
        self.put_unless(&stopping).await;
    }

    /// Sends the next configuration version until it is acknowledged or `stopping`.
    async fn put_unless(&mut self, stopping: &watch::Receiver<bool>) {
        self.version += 7;
        let document = self.document();
        let mut next = self.version as usize;
        let end = Instant::now() + DEADLINE;
        while !*stopping.borrow() {
            assert!(Instant::now() < end, "{} isn't acknowledged", self.version);
            next += 1;
            let controls = self.directory.get();
            let control = controls[next % controls.len()];
            let url = format!("http://{control}/yuccahold/config");
            let sent = self.client.put(url).json(&document).timeout(TIMEOUT);
            if sent.send().await.is_ok_and(|r| r.status().is_success()) {
                self.acknowledged = self.version;
                return self.recorder.workspaces.acknowledged();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Changes the configuration again and again; returns after the first answer once `stopping`.
    pub async fn run(mut self, seed: u64, limits: &[u32], stopping: watch::Receiver<bool>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut next = Instant::now();
        while !*stopping.borrow() {
            next = Instant::now().max(next + Duration::from_millis(rng.random_range(100..500)));
            tokio::time::sleep_until(next).await;
            self.change(&mut rng, limits);
            self.put_unless(&stopping).await;
            self.check_config().await;
        }
        self
    }

    /// Number of configurations sent.
    pub fn sent(&self) -> u64 {
        self.version / 7
    }

    /// Configuration that a control daemon returns; `None` when it returns none.
    async fn read(&self, control: SocketAddr) -> Option<Value> {
        let url = format!("http://{control}/yuccahold/config");
        let reply = self.client.get(url).timeout(TIMEOUT).send().await.ok()?;
        if !reply.status().is_success() {
            return None;
        }
        reply.json().await.ok()
    }

    /// Version of the configuration that the system returns; `None` when no control daemon answers.
    pub async fn config_version(&self) -> Option<u64> {
        for control in self.directory.get() {
            if let Some(document) = self.read(control).await {
                return document["version"].as_u64();
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

    /// Waits until every control daemon answers, and compares the answers with the configuration
    /// that was acknowledged last.
    pub async fn check_everywhere(&self) {
        let sent = self.document();
        for control in self.directory.get() {
            let mut read = None;
            wait_for("the configuration to be read", async || {
                read = self.read(control).await;
                read.is_some()
            })
            .await;
            let read = read.unwrap_or_default();
            let version = read["version"].as_u64().unwrap_or_default();
            let names = |document: &Value| -> Vec<String> {
                let routes = document["routes"].as_array().into_iter().flatten();
                routes
                    .map(|r| format!("{} {}", r["name"], r["timeout_ms"]))
                    .collect()
            };
            // A change without an acknowledgement may or may not be in force.
            let is_newest = version == self.version;
            if version < self.acknowledged || (is_newest && names(&read) != names(&sent)) {
                let text = format!("CONFIG {control} returns {read} instead of {sent}");
                self.recorder.record_violation(text);
            }
        }
    }
}
