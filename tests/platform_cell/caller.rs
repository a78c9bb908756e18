//! Callers: hand jobs in, ask for them again, cancel some, and note what they were told.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::book::{Book, Need};
use super::payload::Payload;
use super::workspaces::SentKey;

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";
const PATIENCE: Duration = Duration::from_millis(1_500);

/// What came of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Status(u16, Option<String>),
    Nothing,
}

/// One caller, with connections that it keeps open.
pub struct Caller {
    client: Client,
    fronts: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    book: Book,
    /// Part of the jobs with a task that crashes the minions that start it.
    pub crash_share: f64,
    /// Workspace that it belongs to, where there are any.
    pub workspace: usize,
}

impl Caller {
    pub fn new(fronts: Vec<SocketAddr>, seed: u64, book: Book) -> Self {
        Self {
            client: Client::new(),
            fronts,
            rng: ChaCha8Rng::seed_from_u64(seed),
            book,
            crash_share: 0.0,
            workspace: 0,
        }
    }

    /// Hands jobs in until `end`; each is asked for once or cancelled a little later.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            let job = format!("{:016x}", self.rng.random::<u64>());
            if self.book.workspaces.key(self.workspace, 0).is_some() {
                self.book.owned(&job, self.workspace);
            }
            if self.rng.random_bool(0.2) {
                self.try_in_vain(&job).await;
            }
            if self.submit(&job).await {
                if self.rng.random_bool(0.1) {
                    self.cancel(&job).await;
                } else {
                    self.check_known(&job).await;
                }
            }
            let pause = self.rng.random_range(400..1_200);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn job(&mut self) -> Value {
        let need = Need {
            millicores: self.rng.random_range(200..3_000),
            memory_mb: self.rng.random_range(100..2_000),
        };
        let takes = self.rng.random_range(50..900);
        let payload = Payload {
            need,
            takes,
            fails: 8,
            crashes: self.crash_share > 0.0 && self.rng.random_bool(self.crash_share),
        };
        let steps: Vec<_> = (0..self.rng.random_range(1..=2_u32))
            .map(|step| {
                json!({
                    "count": self.rng.random_range(1..=4), "cpu": need.millicores,
                    "mem_mb": need.memory_mb, "est_ms": takes,
                    "depends_on": (0..step).collect::<Vec<_>>(),
                })
            })
            .collect();
        json!({"spec": payload.text(), "steps": steps})
    }

    /// Whether the job was accepted. One that every answer refused never runs.
    async fn submit(&mut self, job: &str) -> bool {
        let body = self.job();
        let mut only_refused = true;
        for _ in 0..6 {
            match self.ask(reqwest::Method::POST, job, Some(&body)).await {
                Told::Status(200..=299, _) => {
                    self.book.accepted(job);
                    // A repetition that was delayed on its way must find the same job.
                    if self.rng.random_bool(0.05) {
                        self.ask(reqwest::Method::POST, job, Some(&body)).await;
                    }
                    return true;
                }
                Told::Status(429 | 503, _) => {}
                _ => only_refused = false,
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if only_refused {
            self.book.refused(job);
        }
        false
    }

    /// A call with a key that is no longer in force.
    async fn try_in_vain(&mut self, job: &str) {
        let age = self.rng.random_range(1..=2);
        let Some(key) = self.book.workspaces.key(self.workspace, age) else {
            return;
        };
        let body = self.job();
        self.ask_with(Some(key), reqwest::Method::POST, job, Some(&body))
            .await;
    }

    async fn cancel(&mut self, job: &str) {
        let told = self.ask(reqwest::Method::DELETE, job, None).await;
        // Without an answer it may be cancelled or not; then nothing is owed.
        self.book.cancelled(job);
        if let Told::Status(status @ (404 | 400), _) = told {
            self.book
                .broke(format!("LOST {job}: its cancelling got {status}"));
        }
    }

    async fn check_known(&mut self, job: &str) {
        let told = self.ask(reqwest::Method::GET, job, None).await;
        if let Told::Status(status @ (410 | 404), _) = told {
            self.book.broke(format!(
                "LOST {job}: {status} after its hand-in was accepted"
            ));
        }
    }

    /// One request to any entry host.
    pub async fn ask(&mut self, method: reqwest::Method, job: &str, body: Option<&Value>) -> Told {
        let key = self.book.workspaces.key(self.workspace, 0);
        self.ask_with(key, method, job, body).await
    }

    async fn ask_with(
        &mut self,
        key: Option<SentKey>,
        method: reqwest::Method,
        job: &str,
        body: Option<&Value>,
    ) -> Told {
        let front = self.fronts[self.rng.random_range(0..self.fronts.len())];
        let mut req = self
            .client
            .request(method, format!("http://{front}{PREFIX}{job}"))
            .header("Host", HOST)
            .header("Yuccahold-Deadline-Ms", PATIENCE.as_millis().to_string())
            .timeout(PATIENCE);
        if let Some(body) = body {
            req = req.json(body);
        }
        if let Some(key) = &key {
            req = req.bearer_auth(&key.text);
        }
        let Ok(reply) = req.send().await else {
            return Told::Nothing;
        };
        let status = reply.status();
        let wrong = key.and_then(|key| self.book.workspaces.wrong(&key, status.as_u16()));
        if let Some(wrong) = wrong {
            self.book.broke(format!("{wrong}: {job} got {status}"));
        }
        let state = match status {
            StatusCode::OK => reply.json::<Value>().await.ok(),
            _ => None,
        };
        let state = state.and_then(|v| v["state"].as_str().map(ToOwned::to_owned));
        Told::Status(status.as_u16(), state)
    }
}
