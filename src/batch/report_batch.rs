//! Passes minions' reports to the leader together.
//!
//! Reports are the most frequent calls to the leader: each minion sends one every few seconds. Sent
//! one by one, each costs the leader a message and an answer.

use std::future::Future;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::calls::{Call, CallReply};
use super::link::CallError;
use super::model::{MinionReport, Readiness};

/// Time for which reports are collected: short compared with the time that a minion waits for the
/// answer.
const COLLECT_TIME: Duration = Duration::from_millis(100);
/// Most reports in one call.
const MAX_REPORTS: usize = 1000;

/// Answer to a call, or why there is none.
pub type Outcome = Result<CallReply, CallError>;

/// A way to call the leader.
pub trait LeaderCalls: Clone + Send + Sync + 'static {
    /// Calls the current leader until one answers or the deadline passes.
    fn call(&self, call: Call, deadline: Instant) -> impl Future<Output = Outcome> + Send;
}

struct WaitingReport {
    report: MinionReport,
    deadline: Instant,
    reply: oneshot::Sender<Outcome>,
}

/// Handle for sending reports; cheap to clone.
#[derive(Clone)]
pub struct ReportBatcher<L> {
    leader: L,
    tx: mpsc::UnboundedSender<WaitingReport>,
}

impl<L: LeaderCalls> ReportBatcher<L> {
    /// Starts collecting reports for the leader.
    pub fn start(leader: L) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(send_batches(rx, leader.clone()));
        Self { leader, tx }
    }

    /// Passes a report to the leader. One that announces an end is sent at once: the minion gets
    /// work until the leader knows of it.
    pub async fn report(&self, report: MinionReport, deadline: Instant) -> Outcome {
        if report.readiness != Readiness::Ready {
            return self
                .leader
                .call(Call::Report(Box::new(report)), deadline)
                .await;
        }
        let (reply, rx) = oneshot::channel();
        let waiting = WaitingReport {
            report,
            deadline,
            reply,
        };
        if self.tx.send(waiting).is_err() {
            return Err(CallError::NotRun);
        }
        rx.await.unwrap_or(Err(CallError::NotRun))
    }
}

/// Sends collected reports until all handles are dropped.
async fn send_batches(mut rx: mpsc::UnboundedReceiver<WaitingReport>, leader: impl LeaderCalls) {
    let mut batch = Vec::new();
    while let Some(first) = rx.recv().await {
        batch.push(first);
        sleep(COLLECT_TIME).await;
        while batch.len() < MAX_REPORTS
            && let Ok(waiting) = rx.try_recv()
        {
            batch.push(waiting);
        }
        tokio::spawn(send_batch(std::mem::take(&mut batch), leader.clone()));
    }
}

async fn send_batch(batch: Vec<WaitingReport>, leader: impl LeaderCalls) {
    let Some(deadline) = batch.iter().map(|waiting| waiting.deadline).min() else {
        return;
    };
    let (reports, replies): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .map(|waiting| (waiting.report, waiting.reply))
        .unzip();
    let outcome = leader.call(Call::Reports(reports), deadline).await;
    for reply in replies {
        // The minion may have closed its connection.
        let _ = reply.send(outcome.clone());
    }
}
