//! Jobs of a load run: submitted during it, asked for after it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;

use super::options::JobLoad;
use super::report::JobsReport;
use super::samples::{DONE, Summary};
use crate::ids::JobName;
use crate::wire::{JobPhase, JobSubmission, JobView};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Calls at once when jobs are asked for.
const QUERIES: usize = 32;
/// Pause between two rounds of asking.
const ROUND: Duration = Duration::from_millis(250);

/// Submits jobs and asks for them.
#[derive(Clone)]
pub(crate) struct Submitter {
    client: reqwest::Client,
    load: JobLoad,
    run: u64,
}

impl Submitter {
    pub(crate) fn new(client: reqwest::Client, load: JobLoad, run: u64) -> Self {
        Self { client, load, run }
    }

    /// The name of job `n` of this run.
    pub(crate) fn name(&self, n: u64) -> JobName {
        compact_str::format_compact!("load-{:x}-{n}", self.run)
    }

    /// Submits job `n` under a name of its own and gives the outcome.
    pub(crate) async fn submit(&self, entry: SocketAddr, n: u64) -> &'static str {
        let name = self.name(n);
        let submission = JobSubmission {
            key: Some(name.clone()),
            name: Some(name),
            kind: self.load.kind.clone(),
            tasks: self.load.tasks,
            ..JobSubmission::default()
        };
        let req = self.client.post(format!("http://{entry}/v1/jobs"));
        match req.json(&submission).timeout(CALL_TIMEOUT).send().await {
            Ok(answer) if answer.status().is_success() => DONE,
            Ok(answer) if answer.status().is_client_error() => "refused",
            Ok(_) => "failed",
            Err(_) => "no-answer",
        }
    }

    async fn ask(&self, entry: SocketAddr, name: JobName) -> (JobName, Option<JobView>) {
        let req = self.client.get(format!("http://{entry}/v1/jobs/{name}"));
        let view = match req.timeout(CALL_TIMEOUT).send().await {
            Ok(answer) if answer.status().is_success() => answer.json().await.ok(),
            _ => None,
        };
        (name, view)
    }

    /// Asks for jobs until all have ended or the time to settle is over.
    pub(crate) async fn settle(&self, entries: &[SocketAddr], names: Vec<JobName>) -> JobsReport {
        let until = Instant::now() + self.load.settle;
        let submitted = names.len() as u64;
        let mut open = names;
        let mut views = Vec::new();
        loop {
            let (ended, still) = self.round(entries, open).await;
            views.extend(ended);
            open = still.iter().map(|(name, _)| name.clone()).collect();
            if open.is_empty() || Instant::now() >= until {
                views.extend(still.into_iter().filter_map(|(_, view)| view));
                return report(submitted, &views);
            }
            tokio::time::sleep(ROUND).await;
        }
    }

    async fn round(
        &self,
        entries: &[SocketAddr],
        names: Vec<JobName>,
    ) -> (Vec<JobView>, Vec<(JobName, Option<JobView>)>) {
        let ask = |(n, name)| self.ask(entries[n % entries.len()], name);
        let asked = futures::stream::iter(names.into_iter().enumerate().map(ask));
        let answers: Vec<_> = asked.buffer_unordered(QUERIES).collect().await;
        let (mut ended, mut open) = (Vec::new(), Vec::new());
        for (name, view) in answers {
            match view {
                Some(view) if has_ended(view.phase) => ended.push(view),
                view => open.push((name, view)),
            }
        }
        (ended, open)
    }
}

fn has_ended(phase: JobPhase) -> bool {
    !matches!(phase, JobPhase::Waiting | JobPhase::Running)
}

fn report(accepted: u64, views: &[JobView]) -> JobsReport {
    let mut phases = BTreeMap::new();
    for view in views {
        let phase = format!("{:?}", view.phase).to_lowercase();
        *phases.entry(phase.into()).or_default() += 1;
    }
    JobsReport {
        accepted,
        missing: accepted - views.len() as u64,
        phases,
        starts: views.iter().map(|view| u64::from(view.starts)).sum(),
        tasks: views.iter().map(|view| u64::from(view.tasks)).sum(),
        waited: Summary::of(views.iter().filter_map(|view| view.waited)),
    }
}
