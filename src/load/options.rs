//! What a load run does.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::error::{Error, Result, Step};
use crate::ids::{KindName, ServiceName};

/// How calls are spread over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arrivals {
    /// Independent of each other, as many callers make them.
    #[default]
    Poisson,
    /// At equal distances.
    Even,
}

/// A load run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Entry hosts; calls go to them in turn, as a balancer sends them.
    pub entries: Vec<SocketAddr>,
    /// Minions that are called without an entry host in between; they must not be announced.
    pub direct: Vec<SocketAddr>,
    /// Share of requests that go to `direct`, in percent.
    pub direct_percent: u32,
    /// Requests to a service.
    pub requests: Option<RequestLoad>,
    /// Jobs.
    pub jobs: Option<JobLoad>,
    /// How calls are spread over time.
    pub arrivals: Arrivals,
    /// Time at the start that is not measured.
    pub warm_up: Duration,
    /// Time that is measured.
    pub duration: Duration,
    /// Decides arrivals and which call goes where.
    pub seed: u64,
    /// Calls in flight beyond which new ones are counted as `not-sent`.
    pub in_flight: usize,
    /// Processes whose use is measured.
    pub watched: Vec<Watched>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            direct: Vec::new(),
            direct_percent: 0,
            requests: None,
            jobs: None,
            arrivals: Arrivals::default(),
            warm_up: Duration::from_secs(2),
            duration: Duration::from_secs(10),
            seed: 1,
            in_flight: 20_000,
            watched: Vec::new(),
        }
    }
}

/// Requests to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLoad {
    /// The service.
    pub service: ServiceName,
    /// Path behind the service, starting with `/`.
    pub path: CompactString,
    /// Bytes of body; a request without body is a GET.
    pub body: usize,
    /// Requests a second.
    pub rate: f64,
    /// Time in which an answer counts.
    pub deadline: Duration,
    /// Share of requests that are marked as not idempotent and carry a key, in percent.
    pub once_percent: u32,
    /// Further headers.
    pub headers: Vec<(CompactString, CompactString)>,
}

impl Default for RequestLoad {
    fn default() -> Self {
        Self {
            service: "massrechner".into(),
            path: "/".into(),
            body: 0,
            rate: 100.0,
            deadline: Duration::from_secs(2),
            once_percent: 0,
            headers: Vec::new(),
        }
    }
}

/// Jobs submitted during the run and asked for after it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobLoad {
    /// Kind declared in the document.
    pub kind: KindName,
    /// Tasks of each job, when not the kind's.
    pub tasks: Option<u32>,
    /// Jobs a second.
    pub rate: f64,
    /// Time after the run in which jobs may still end.
    pub settle: Duration,
}

/// A process whose use is measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Name in the report.
    pub name: CompactString,
    /// Its id.
    pub pid: u32,
    /// Its HTTP address; the bytes of its frames are read from the metrics there.
    pub page: Option<SocketAddr>,
}

impl LoadOptions {
    /// Refuses a run that could not measure anything.
    pub(crate) fn check(&self) -> Result<()> {
        let rate = |rate: f64| rate.is_finite() && rate > 0.0;
        let problem = if self.requests.is_none() && self.jobs.is_none() {
            "neither requests nor jobs are asked for"
        } else if self.entries.is_empty() && (self.jobs.is_some() || self.direct.is_empty()) {
            "no entry host is given"
        } else if !self.requests.as_ref().is_none_or(|load| rate(load.rate)) {
            "the rate of requests must be above zero"
        } else if !self.jobs.as_ref().is_none_or(|load| rate(load.rate)) {
            "the rate of jobs must be above zero"
        } else if self.duration.is_zero() {
            "the duration must be above zero"
        } else {
            return Ok(());
        };
        Err(Error::new(Step::Settings, problem))
    }

    /// Whether call number `n` goes to a minion directly; spread evenly.
    pub(crate) fn goes_direct(&self, n: u64) -> bool {
        let percent = match (self.direct.is_empty(), self.entries.is_empty()) {
            (true, _) => 0,
            (_, true) => 100,
            _ => u64::from(self.direct_percent.min(100)),
        };
        (n + 1) * percent / 100 > n * percent / 100
    }
}
