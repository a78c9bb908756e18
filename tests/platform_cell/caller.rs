//! Simulated callers that submit, query and cancel jobs and record the answers.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::payload::Payload;
use super::recorder::{Recorder, Resources};
use super::workspaces::SentKey;

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// HTTP status, and the job state if the body has one.
    Status(u16, Option<String>),
    /// Timeout or connection error.
    NoReply,
}

/// Whether a submission with this answer was not accepted.
pub fn is_rejection(status: u16) -> bool {
    matches!(status, 400 | 401 | 404 | 409 | 429 | 503)
}

/// One caller, which reuses its connections.
pub struct Caller {
    client: Client,
    entry_addrs: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    recorder: Recorder,
    /// Fraction of jobs whose tasks crash the minions that start them.
    pub crash_share: f64,
    /// Whether most of its jobs are gangs.
    pub gangs: bool,
    /// Its last accepted jobs, if most are gangs.
    recent: Vec<String>,
    /// Whether it submits long jobs, and jobs that last, of which it keeps one at a time.
    pub lasting: bool,
    /// Its job that lasts, if there is one.
    kept: Option<String>,
    /// Index of its workspace; unused when there are no workspaces.
    pub workspace: usize,
}

impl Caller {
    pub fn new(entry_addrs: Vec<SocketAddr>, seed: u64, recorder: Recorder) -> Self {
        Self {
            client: Client::new(),
            entry_addrs,
            rng: ChaCha8Rng::seed_from_u64(seed),
            recorder,
            crash_share: 0.0,
            gangs: false,
            recent: Vec::new(),
            lasting: false,
            kept: None,
            workspace: 0,
        }
    }

    /// Another caller that uses the connections of this one.
    pub fn sharing_connections(&self, seed: u64) -> Self {
        Self {
            client: self.client.clone(),
            entry_addrs: self.entry_addrs.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            recorder: self.recorder.clone(),
            kept: None,
            recent: Vec::new(),
            ..*self
        }
    }

    /// Submits jobs until `end` and queries or cancels each accepted one.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            let job = format!("{:016x}", self.rng.random::<u64>());
            if self.recorder.workspaces.key(self.workspace, 0).is_some() {
                self.recorder.submitted_by(&job, self.workspace);
            }
            if self.lasting && self.rng.random_bool(0.1) {
                self.submit_lasting(job).await;
                continue;
            }
            let unknown = !self.rng.random_bool(0.2) || self.submit_with_old_key(&job).await;
            if self.submit(&job, unknown).await {
                if self.rng.random_bool(0.1) {
                    self.cancel(&job).await;
                } else {
                    self.check_known(&job).await;
                    if self.gangs {
                        self.check_recent(&job).await;
                    }
                }
            } else if job.as_str() < "8" {
                // It may be on its way in a process that stands still.
                self.cancel(&job).await;
            }
            let pause = match self.gangs {
                true => self.rng.random_range(100..300),
                false => self.rng.random_range(400..1_200),
            };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Cancels its job that lasts, and submits another.
    async fn submit_lasting(&mut self, job: String) {
        if let Some(kept) = self.kept.take() {
            self.cancel(&kept).await;
        }
        let tasks = self.rng.random_range(1..=3);
        let ends_after_ms = match self.rng.random_range(0..2) {
            0 => self.rng.random_range(3_000..10_000),
            _ => 1_000_000_000,
        };
        let payload = Payload {
            need: Resources {
                millicores: self.rng.random_range(200..1_000),
                memory_mb: self.rng.random_range(100..500),
            },
            duration_ms: ends_after_ms,
            fail_percent: 100,
            crashes: false,
            copies: false,
            members: 0,
        };
        let body = json!({"spec": payload.text(), "steps": [{
            "count": tasks, "cpu": payload.need.millicores, "mem_mb": payload.need.memory_mb,
            "est_ms": 1_000, "runs_forever": true,
        }]});
        self.recorder.lasts(&job, tasks);
        if self.submit_body(&job, true, &body).await {
            self.kept = Some(job);
        } else {
            // An attempt without an answer may have been accepted.
            self.cancel(&job).await;
        }
    }

    /// A job with a gang, of which more than half of the runs fail.
    fn gang(&mut self) -> Value {
        let payload = Payload {
            need: Resources {
                millicores: self.rng.random_range(200..1_500),
                memory_mb: self.rng.random_range(100..500),
            },
            duration_ms: self.rng.random_range(50..900),
            fail_percent: 60,
            crashes: false,
            copies: false,
            members: self.rng.random_range(2..=5),
        };
        json!({"spec": payload.text(), "steps": [{
            "count": payload.members, "cpu": payload.need.millicores,
            "mem_mb": payload.need.memory_mb, "est_ms": payload.duration_ms, "gang": true,
        }]})
    }

    /// Reads one of its last jobs.
    async fn check_recent(&mut self, job: &str) {
        self.recent.push(job.to_owned());
        let kept = self.recent.len().saturating_sub(12);
        self.recent.drain(..kept);
        let job = self.recent[self.rng.random_range(0..self.recent.len())].clone();
        self.check_known(&job).await;
    }

    fn job(&mut self) -> Value {
        if self.gangs && self.rng.random_bool(0.8) {
            return self.gang();
        }
        let need = Resources {
            millicores: self.rng.random_range(200..3_000),
            memory_mb: self.rng.random_range(100..2_000),
        };
        let duration_ms = match self.lasting && self.rng.random_bool(0.06) {
            true => self.rng.random_range(3_000..8_000),
            false => self.rng.random_range(50..900),
        };
        let payload = Payload {
            need,
            duration_ms,
            fail_percent: 8,
            crashes: self.crash_share > 0.0 && self.rng.random_bool(self.crash_share),
            copies: need.millicores.is_multiple_of(2),
            members: 0,
        };
        let steps: Vec<_> = (0..self.rng.random_range(1..=2_u32))
            .map(|step| {
                json!({
                    "count": self.rng.random_range(1..=4), "cpu": need.millicores,
                    "mem_mb": need.memory_mb, "est_ms": duration_ms,
                    "depends_on": (0..step).collect::<Vec<_>>(),
                    "speculative": payload.copies,
                })
            })
            .collect();
        json!({"spec": payload.text(), "steps": steps})
    }

    /// Submits a job with retries; returns whether it was accepted. A job that was rejected by every
    /// answer must never run; with `unknown`, no earlier submission of it was without a rejection.
    async fn submit(&mut self, job: &str, unknown: bool) -> bool {
        let body = self.job();
        self.submit_body(job, unknown, &body).await
    }

    async fn submit_body(&mut self, job: &str, unknown: bool, body: &Value) -> bool {
        let mut only_refused = unknown;
        // A new leader may reject only the first attempt, so some callers make no other.
        let attempts = if self.rng.random_bool(0.3) { 1 } else { 6 };
        for _ in 0..attempts {
            match self.ask(reqwest::Method::POST, job, Some(body)).await {
                Outcome::Status(200..=299, _) => {
                    self.recorder.accepted(job);
                    // A delayed duplicate of the request must find the same job.
                    if self.rng.random_bool(0.05) {
                        self.ask(reqwest::Method::POST, job, Some(body)).await;
                    }
                    return true;
                }
                Outcome::Status(status, _) if is_rejection(status) => {}
                _ => only_refused = false,
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if only_refused {
            self.recorder.refused(job);
        }
        false
    }

    /// Submits a job with a key that has been replaced; returns whether it was rejected.
    async fn submit_with_old_key(&mut self, job: &str) -> bool {
        let age = self.rng.random_range(1..=2);
        let Some(key) = self.recorder.workspaces.key(self.workspace, age) else {
            return true;
        };
        let body = self.job();
        let sent = self.ask_with(Some(key), reqwest::Method::POST, job, Some(&body));
        matches!(sent.await, Outcome::Status(status, _) if is_rejection(status))
    }

    pub async fn cancel(&mut self, job: &str) {
        let outcome = self.ask(reqwest::Method::DELETE, job, None).await;
        // Without an answer the job may or may not be cancelled, so it isn't required to end.
        self.recorder.cancelled(job);
        if let Outcome::Status(200..=299 | 410, _) = outcome {
            self.recorder.cancel_acked(job);
        }
        if let Outcome::Status(status @ (404 | 400), _) = outcome {
            self.recorder
                .record_violation(format!("LOST {job}: its cancelling got {status}"));
        }
    }

    async fn check_known(&mut self, job: &str) {
        let outcome = self.ask(reqwest::Method::GET, job, None).await;
        let failed = matches!(&outcome, Outcome::Status(200, Some(state)) if state == "failed");
        if failed && !self.recorder.may_have_failed(job) {
            let text = format!("LOST {job}: failed without cause");
            self.recorder.record_violation(text);
        }
        if let Outcome::Status(status @ (410 | 404), _) = outcome {
            self.recorder.record_violation(format!(
                "LOST {job}: {status} after its submission was accepted"
            ));
        }
    }

    /// Sends one request to a random entry host, with the newest key.
    pub async fn ask(
        &mut self,
        method: reqwest::Method,
        job: &str,
        body: Option<&Value>,
    ) -> Outcome {
        let key = self.recorder.workspaces.key(self.workspace, 0);
        self.ask_with(key, method, job, body).await
    }

    async fn ask_with(
        &mut self,
        key: Option<SentKey>,
        method: reqwest::Method,
        job: &str,
        body: Option<&Value>,
    ) -> Outcome {
        let front = self.entry_addrs[self.rng.random_range(0..self.entry_addrs.len())];
        let mut req = self
            .client
            .request(method, format!("http://{front}{PREFIX}{job}"))
            .header("Host", HOST)
            .header("Yuccahold-Deadline-Ms", TIMEOUT.as_millis().to_string())
            .timeout(TIMEOUT);
        if let Some(body) = body {
            req = req.json(body);
        }
        if let Some(key) = &key {
            req = req.bearer_auth(&key.text);
        }
        let Ok(reply) = req.send().await else {
            return Outcome::NoReply;
        };
        let status = reply.status();
        let violation =
            key.and_then(|key| self.recorder.workspaces.violation(&key, status.as_u16()));
        if let Some(violation) = violation {
            self.recorder
                .record_violation(format!("{violation}: {job} got {status}"));
        }
        let state = match status {
            StatusCode::OK => reply.json::<Value>().await.ok(),
            _ => None,
        };
        let state = state.and_then(|v| v["state"].as_str().map(ToOwned::to_owned));
        Outcome::Status(status.as_u16(), state)
    }
}
