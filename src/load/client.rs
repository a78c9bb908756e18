//! The calls themselves.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::options::RequestLoad;
use super::samples::DONE;
use crate::error::{Error, Result, Step};

/// Time beyond the deadline after which a call counts as unanswered.
const PATIENCE: Duration = Duration::from_secs(5);
/// Header in which an entry host states what became of a request.
const OUTCOME: &str = "yuccahold-outcome";

/// Makes calls of one kind.
#[derive(Clone)]
pub(crate) struct Caller {
    client: reqwest::Client,
    load: RequestLoad,
    body: Bytes,
    /// Tells the keys of this run from those of another.
    run: u64,
}

pub(crate) fn http_client() -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .tcp_nodelay(true)
        .pool_max_idle_per_host(1024)
        .build()
        .map_err(|e| Error::caused(Step::Connect, "making an HTTP client", e))
}

impl Caller {
    pub(crate) fn new(client: reqwest::Client, load: RequestLoad, run: u64) -> Self {
        let body = Bytes::from(vec![b'x'; load.body]);
        Self {
            client,
            load,
            body,
            run,
        }
    }

    pub(crate) fn deadline(&self) -> Duration {
        self.load.deadline
    }

    /// Calls a service through an entry host and gives the outcome.
    pub(crate) async fn through(&self, entry: SocketAddr, n: u64) -> &'static str {
        let load = &self.load;
        let url = format!("http://{entry}/v1/services/{}{}", load.service, load.path);
        let mut req = self.request(url);
        req = req.header("yuccahold-deadline-ms", load.deadline.as_millis() as u64);
        if self.runs_once(n) {
            req = req
                .header("yuccahold-idempotent", "false")
                .header("idempotency-key", format!("load-{}-{n}", self.run));
        }
        let Ok(answer) = req.send().await else {
            return "no-answer";
        };
        let outcome = outcome_of(&answer);
        match answer.bytes().await {
            Ok(_) => outcome,
            Err(_) => "cut-answer",
        }
    }

    /// Calls a minion directly.
    pub(crate) async fn direct(&self, minion: SocketAddr) -> &'static str {
        let url = format!("http://{minion}{}", self.load.path);
        let Ok(answer) = self.request(url).send().await else {
            return "no-answer";
        };
        let good = answer.status().is_success();
        match answer.bytes().await {
            Ok(_) if good => DONE,
            Ok(_) => "failed",
            Err(_) => "cut-answer",
        }
    }

    fn runs_once(&self, n: u64) -> bool {
        let percent = u64::from(self.load.once_percent.min(100));
        (n + 1) * percent / 100 > n * percent / 100
    }

    fn request(&self, url: String) -> reqwest::RequestBuilder {
        let mut req = match self.body.is_empty() {
            true => self.client.get(url),
            false => self.client.post(url).body(self.body.clone()),
        };
        for (name, value) in &self.load.headers {
            req = req.header(name.as_str(), value.as_str());
        }
        req.timeout(self.load.deadline + PATIENCE)
    }
}

/// A minion's own failure is an answer, but not a good one.
fn outcome_of(answer: &reqwest::Response) -> &'static str {
    let status = answer.status();
    let stated = answer.headers().get(OUTCOME).map(|value| value.as_bytes());
    match stated {
        Some(b"done") if status.is_server_error() => "failed",
        Some(b"done") => DONE,
        Some(b"not-run") if status == reqwest::StatusCode::GATEWAY_TIMEOUT => "not-run-late",
        Some(b"not-run") => "not-run",
        Some(b"unknown") => "unknown",
        _ => "no-outcome",
    }
}
