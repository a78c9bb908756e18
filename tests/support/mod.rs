//! What the entry host's tests share.

pub mod fake_control;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Barrier};
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use yuccahold::document::{Document, QueuePriority, Service, Team};
use yuccahold::entry::{Entry, EntryHandle};
use yuccahold::settings::EntrySettings;
use yuccahold::stand_in::{MinionBehaviour, MinionHandle, MinionOptions, start_minion};
use yuccahold::telemetry::discard;
use yuccahold::wire::{CellKey, CellKeys};

use fake_control::FakeControl;

/// Generous bound on anything that is waited for.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Threads of each entry host's runtime.
const TRAFFIC_THREADS: usize = 2;

pub fn keys() -> CellKeys {
    CellKeys::new([CellKey::from_text("cell")]).unwrap()
}

/// One service `desk` of team `desk-team`.
pub fn document() -> Document {
    let service = Service {
        team: "desk-team".into(),
        deadline: Duration::from_secs(5),
        idempotent: true,
        priority: QueuePriority::Normal,
        queue: 64,
        slots: 8,
        connections: 64,
        body_limit: 1 << 20,
        retry_percent: 20,
        hedge_percentile: 0,
    };
    let mut document = Document::default();
    document.teams.insert("desk-team".into(), Team::default());
    document.services.insert("desk".into(), service);
    document
}

pub fn settings(id: &str, control: SocketAddr) -> EntrySettings {
    let any = SocketAddr::new(control.ip(), 0);
    EntrySettings {
        id: id.into(),
        zone: "zone-a".into(),
        cell_key: "unused".into(),
        listen: any,
        peer_listen: any,
        peer_advertise: None,
        control: vec![control],
        stop_delay: Duration::from_millis(50),
        stop_grace: Duration::from_secs(5),
    }
}

/// An entry host on a runtime of its own. Dropping it kills the entry host.
pub struct TestEntry {
    pub http_addr: SocketAddr,
    pub peer_addr: SocketAddr,
    handle: Option<EntryHandle>,
    runtime: Option<Runtime>,
}

impl TestEntry {
    pub async fn start(settings: EntrySettings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(TRAFFIC_THREADS)
            .enable_all()
            .build()
            .unwrap();
        let handle = runtime.spawn(Entry::start(settings, keys(), discard()));
        let handle = handle.await.unwrap().unwrap();
        Self {
            http_addr: handle.http_addr(),
            peer_addr: handle.peer_addr(),
            handle: Some(handle),
            runtime: Some(runtime),
        }
    }

    /// Keeps all threads that carry traffic from running until the time has passed, as a busy
    /// machine or a paused process would. The thread towards control runs on.
    pub fn stall(&self, time: Duration) {
        let all = Arc::new(Barrier::new(TRAFFIC_THREADS));
        for _ in 0..TRAFFIC_THREADS {
            let all = all.clone();
            self.runtime.as_ref().unwrap().spawn(async move {
                all.wait();
                std::thread::sleep(time);
            });
        }
    }

    /// Stops it as planned.
    pub async fn stop(mut self) {
        self.handle.take().unwrap().stop().await;
    }
}

impl Drop for TestEntry {
    fn drop(&mut self) {
        self.runtime.take().unwrap().shutdown_background();
    }
}

/// A loopback address for one cell. On a shared one, a minion could get the port that an entry
/// host of another cell gave back, and count the announcements still sent there as work.
fn own_ip() -> IpAddr {
    let [a, b, c]: [u8; 3] = rand::random();
    IpAddr::from([127, 128 | a, b, c])
}

/// A control with entry hosts and minions, all in this process.
pub struct Cell {
    pub control: FakeControl,
    pub entries: Vec<TestEntry>,
    pub minions: Vec<MinionHandle>,
    pub client: reqwest::Client,
    ip: IpAddr,
}

impl Cell {
    pub async fn start(document: Document, entries: usize, minions: usize) -> Self {
        let ip = own_ip();
        let control = FakeControl::start(ip, document, keys(), Duration::from_secs(1)).await;
        let mut cell = Self {
            control,
            entries: Vec::new(),
            minions: Vec::new(),
            client: reqwest::Client::builder().no_proxy().build().unwrap(),
            ip,
        };
        for n in 0..entries {
            cell.add_entry(&format!("entry-{n}")).await;
        }
        for n in 0..minions {
            cell.add_minion(&format!("minion-{n}"), MinionBehaviour::default())
                .await;
        }
        cell.settled(minions).await;
        cell
    }

    pub async fn add_entry(&mut self, id: &str) {
        let settings = settings(id, self.control.addr);
        self.entries.push(TestEntry::start(settings).await);
    }

    pub async fn add_minion(&mut self, id: &str, behaviour: MinionBehaviour) {
        self.add_minion_at(id, behaviour, None).await;
    }

    /// Adds a minion that announces another address than its own, such as a proxy's.
    pub async fn add_minion_at(
        &mut self,
        id: &str,
        behaviour: MinionBehaviour,
        advertise: Option<SocketAddr>,
    ) {
        let options = MinionOptions {
            id: id.into(),
            service: "desk".into(),
            listen: SocketAddr::new(self.ip, 0),
            entries: self.entries.iter().map(|e| e.http_addr).collect(),
            ttl: Duration::from_secs(2),
            behaviour,
            advertise,
            ..MinionOptions::default()
        };
        self.minions.push(start_minion(options).await.unwrap());
    }

    /// Waits until every entry host is ready and sees all slots.
    pub async fn settled(&self, minions: usize) {
        let slots = minions as u64 * 8;
        for entry in &self.entries {
            let url = format!("http://{}/v1/routing", entry.http_addr);
            until("all slots are seen", || async {
                let ready = format!("http://{}/healthz/ready", entry.http_addr);
                let ready = self.client.get(ready).send().await.unwrap();
                let status = self.client.get(&url).send().await.unwrap();
                let status: serde_json::Value = status.json().await.unwrap();
                let desk = &status["services"][0];
                let seen = desk["slots"].as_u64().unwrap_or(0);
                let peers = desk["peers"][0].as_u64().unwrap_or(0);
                ready.status().is_success() && seen + peers == slots
            })
            .await;
        }
    }

    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].http_addr)
    }

    /// Sends `GET /v1/services/desk/{key}` to an entry host.
    pub async fn ask(&self, entry: usize, key: impl std::fmt::Display) -> reqwest::Response {
        let url = self.url(entry, &format!("/v1/services/desk/{key}"));
        self.client.get(url).send().await.unwrap()
    }

    /// Ends a test: no minion was overfilled. Gives how often each key ran.
    pub fn check(&self) -> std::collections::BTreeMap<String, u32> {
        let mut ran = std::collections::BTreeMap::new();
        for counts in self.minions.iter().map(MinionHandle::counts) {
            assert!(counts.highest_in_work <= 8, "{counts:?}");
            assert!(counts.highest_connections <= 64, "{counts:?}");
            for (key, n) in counts.by_key {
                *ran.entry(key).or_default() += n;
            }
        }
        ran
    }
}

/// Waits for a condition, with a deadline.
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let done = tokio::time::timeout(PATIENCE, wait).await;
    assert!(done.is_ok(), "in vain: {what}");
}

pub fn outcome(reply: &reqwest::Response) -> &str {
    let outcome = reply.headers().get("yuccahold-outcome").unwrap();
    outcome.to_str().unwrap()
}
