//! Reports of minions on their way to the leader.

mod batch_world;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use batch_world::{draining, report};
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::Instant;
use yuccahold::batch::calls::{Call, CallReply, OperatorReply};
use yuccahold::batch::link::CallError;
use yuccahold::batch::report_batch::{LeaderCalls, Outcome, ReportBatcher};

const MINIONS: u16 = 200;

/// A leader that answers every call in the same way, and the number of reports in each call.
#[derive(Clone)]
struct Leader {
    outcome: Outcome,
    calls: Arc<Mutex<Vec<usize>>>,
}

impl Leader {
    fn answering(outcome: Outcome) -> Self {
        Self {
            outcome,
            calls: Arc::default(),
        }
    }

    fn calls(&self) -> Vec<usize> {
        self.calls.lock().expect("no holder panics").clone()
    }
}

impl LeaderCalls for Leader {
    async fn call(&self, call: Call, _: Instant) -> Outcome {
        let reports = match call {
            Call::Report(_) => 1,
            Call::Reports(reports) => reports.len(),
            other => panic!("{other:?} is not a report"),
        };
        self.calls.lock().expect("no holder panics").push(reports);
        self.outcome.clone()
    }
}

/// The minions of a large cell report at the same time. One call for each made reports the most
/// frequent messages of the leader. Each minion gets the leader's answer.
#[rstest]
#[case::accepted(Ok(CallReply::Operator(OperatorReply::Accepted)))]
#[case::no_leader(Err(CallError::NotRun))]
#[tokio::test]
async fn reports_that_come_together_are_one_call(#[case] outcome: Outcome) {
    let leader = Leader::answering(outcome.clone());
    let batcher = ReportBatcher::start(leader.clone());
    let mut sent = JoinSet::new();
    for i in 0..MINIONS {
        let batcher = batcher.clone();
        let report = report(&format!("i-{i}"), i);
        let deadline = Instant::now() + Duration::from_secs(5);
        sent.spawn(async move { batcher.report(report, deadline).await });
    }
    let answers = sent.join_all().await;
    assert_eq!(answers, vec![outcome; usize::from(MINIONS)]);
    assert_eq!(leader.calls(), [usize::from(MINIONS)]);
}

/// A minion that drains gets work until the leader knows of it, so its report does not wait.
#[tokio::test]
async fn a_report_that_a_minion_drains_is_sent_at_once() {
    let leader = Leader::answering(Ok(CallReply::Operator(OperatorReply::Accepted)));
    let batcher = ReportBatcher::start(leader.clone());
    let deadline = Instant::now() + Duration::from_secs(5);
    let (ready, drains) = (report("i-1", 1), draining("i-2", 2));
    let waits = tokio::spawn({
        let batcher = batcher.clone();
        async move { batcher.report(ready, deadline).await }
    });
    let answered = batcher.report(drains, deadline).await;
    assert!(answered.is_ok() && !waits.is_finished());
    assert_eq!(leader.calls(), [1]);
    assert!(waits.await.is_ok_and(|outcome| outcome.is_ok()));
}
