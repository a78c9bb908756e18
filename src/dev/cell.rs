//! Starting and stopping the parts of a development cell.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::time::timeout;

use super::shape::Shape;
use crate::control::{self, ControlHandle};
use crate::document::Document;
use crate::entry::{Entry, EntryHandle};
use crate::error::{Error, Result, Step};
use crate::replication::Formation;
use crate::settings::{ControlSettings, EntrySettings};
use crate::stand_in::{
    Behaviour, Ledger, MinionBehaviour, MinionHandle, MinionOptions, WorkerHandle, WorkerOptions,
    start_minion, start_worker,
};
use crate::wire::CellKeys;

/// Longest time for the cell to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time that a stand-in worker's poll is held back.
const POLL_WAIT: Duration = Duration::from_secs(3);

/// Time a stand-in minion takes over a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Where a development cell listens and keeps its files.
#[derive(Clone, Debug)]
pub struct Place {
    /// Folder of all files.
    pub data: PathBuf,
    /// Where operators are answered.
    pub console: SocketAddr,
    /// Where callers are answered.
    pub callers: SocketAddr,
}

/// A running cell.
pub struct DevCell {
    control: ControlHandle,
    entry: EntryHandle,
    workers: Vec<WorkerHandle>,
    minions: Vec<MinionHandle>,
    /// What the stand-in workers ran.
    pub ledger: Arc<Ledger>,
    /// Calls operators and callers over HTTP.
    pub client: reqwest::Client,
}

impl DevCell {
    /// Starts all parts, puts the document in force and waits until callers can be served.
    pub async fn start(
        place: &Place,
        document: &Document,
        time_scale: f64,
        log: &Logger,
    ) -> Result<Self> {
        let keys = cell_keys(&place.data)?;
        let control_cfg = control_settings(place, document);
        let form = formation(&control_cfg.data);
        let control = control::start(control_cfg, keys.clone(), form, log).await?;
        let entry_cfg = entry_settings(place, document, control.calls);
        let entry = Entry::start(entry_cfg, keys, log.clone()).await?;
        let client = reqwest::Client::new();
        let mut cell = Self {
            control,
            entry,
            workers: Vec::new(),
            minions: Vec::new(),
            ledger: Arc::new(Ledger::default()),
            client,
        };
        cell.put_document(document).await?;
        cell.add_hosts(document, time_scale, log).await?;
        Ok(cell)
    }

    /// Where operators are answered.
    pub fn console(&self) -> SocketAddr {
        self.control.http
    }

    /// Where callers are answered.
    pub fn callers(&self) -> SocketAddr {
        self.entry.http_addr()
    }

    /// The stand-in minions.
    pub fn minions(&self) -> &[MinionHandle] {
        &self.minions
    }

    async fn put_document(&self, document: &Document) -> Result<()> {
        let url = format!("http://{}/v1/document", self.console());
        let text = crate::document::render(document);
        let put = async {
            loop {
                let base = self.revision(&url).await;
                let req = self
                    .client
                    .put(&url)
                    .header("if-match", format!("\"{base}\""));
                let res = req.body(text.clone()).send().await;
                match res {
                    Ok(res) if res.status().is_success() => return,
                    _ => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        };
        let put = timeout(READY_TIMEOUT, put).await;
        put.map_err(|_| Error::new(Step::Document, "control did not take the document in time"))
    }

    async fn revision(&self, url: &str) -> u64 {
        let Ok(res) = self.client.get(url).send().await else {
            return 0;
        };
        let etag = res.headers().get("etag").and_then(|tag| tag.to_str().ok());
        let number = etag.and_then(|tag| tag.trim_matches('"').parse().ok());
        number.unwrap_or(0)
    }

    async fn add_hosts(
        &mut self,
        document: &Document,
        time_scale: f64,
        log: &Logger,
    ) -> Result<()> {
        let shape = Shape::of(document);
        for spec in shape.worker_specs(document) {
            let options = WorkerOptions {
                spec,
                entries: vec![self.callers()],
                wait: POLL_WAIT,
                behaviour: Behaviour {
                    time_scale,
                    ..Behaviour::default()
                },
            };
            let ledger = Arc::clone(&self.ledger);
            self.workers
                .push(start_worker(options, self.client.clone(), ledger, log));
        }
        let services: Vec<_> = document.services.keys().collect();
        for number in 0..shape.minions {
            let Some(service) = services.get(number as usize % services.len().max(1)) else {
                break;
            };
            let options = MinionOptions {
                id: format!("minion-{number:03}").into(),
                service: (*service).clone(),
                zone: super::shape::zone(document, number),
                entries: vec![self.callers()],
                seed: u64::from(number),
                behaviour: MinionBehaviour {
                    service_time: SERVICE_TIME,
                    ..MinionBehaviour::default()
                },
                ..MinionOptions::default()
            };
            self.minions.push(start_minion(options).await?);
        }
        self.ready().await
    }

    /// Waits until the entry host is ready and every host has joined.
    async fn ready(&self) -> Result<()> {
        let all = async {
            loop {
                let workers = self.count("workers").await;
                let minions = self.count("minions").await;
                let ready = self.get_status(self.callers(), "healthz/ready").await;
                if ready && workers == self.workers.len() && minions == self.minions.len() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = timeout(READY_TIMEOUT, all).await;
        waited.map_err(|_| Error::new(Step::Connect, "the cell did not become ready in time"))
    }

    async fn get_status(&self, addr: SocketAddr, path: &str) -> bool {
        let res = self.client.get(format!("http://{addr}/{path}")).send();
        res.await.is_ok_and(|res| res.status().is_success())
    }

    /// Number of rows of one of the operators' tables.
    pub async fn count(&self, table: &str) -> usize {
        let rows = self.table::<serde_json::Value>(table).await;
        rows.map_or(0, |rows| rows.len())
    }

    /// One of the operators' tables.
    pub async fn table<T: serde::de::DeserializeOwned>(&self, table: &str) -> Option<Vec<T>> {
        let url = format!("http://{}/v1/{table}", self.console());
        let res = self.client.get(url).send().await.ok()?;
        res.json().await.ok()
    }

    /// The planned stop of all parts.
    pub async fn stop(self) {
        drop(self.workers);
        drop(self.minions);
        self.entry.stop().await;
        self.control.stop().await;
    }
}

/// The cell's key; a random one is made for a new folder.
fn cell_keys(data: &Path) -> Result<CellKeys> {
    let path = data.join("cell.key");
    let failed = |e| Error::caused(Step::Storage, "making the folder", e).with_peer(data.display());
    std::fs::create_dir_all(data).map_err(failed)?;
    if !path.exists() {
        let key: [u8; 16] = rand::random();
        let text: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(&path, text + "\n").map_err(failed)?;
    }
    CellKeys::load(&path)
}

/// A new folder forms a group of one; an old one goes on as it was.
fn formation(data: &Path) -> Formation {
    let used = std::fs::read_dir(data).is_ok_and(|mut files| files.next().is_some());
    match used {
        true => Formation::Join,
        false => Formation::FormGroup,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn control_settings(place: &Place, document: &Document) -> ControlSettings {
    ControlSettings {
        zone: super::shape::zone(document, 0),
        cell_key: place.data.join("cell.key"),
        data: place.data.join("control"),
        listen: place.console,
        call_listen: loopback(),
        replica_listen: loopback(),
        call_advertise: None,
        replica_advertise: None,
        replicas: Vec::new(),
        operators: None,
        election_timeout: Duration::from_millis(500),
        heartbeat: Duration::from_millis(50),
        snapshot_bytes: 8_000_000,
        replace_after: Duration::from_secs(600),
    }
}

fn entry_settings(place: &Place, document: &Document, calls: SocketAddr) -> EntrySettings {
    EntrySettings {
        id: "entry-1".into(),
        zone: super::shape::zone(document, 0),
        cell_key: place.data.join("cell.key"),
        listen: place.callers,
        peer_listen: loopback(),
        peer_advertise: None,
        control: vec![calls],
        stop_delay: Duration::ZERO,
        stop_grace: Duration::from_secs(5),
    }
}
