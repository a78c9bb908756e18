//! Checks at the end of a test that nothing accepted or acknowledged is lost.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::caller::{Caller, Outcome};
use super::{Role, System, wait_for};

/// Time within which each accepted job must be readable after that.
const FINISH_TIME: Duration = Duration::from_secs(14);
/// Time after which a lasting task without a run must have one.
const LASTING_TIME: Duration = Duration::from_secs(6);
/// Voters that a group of so many replicas or more has.
const VOTERS: usize = 5;

/// Waits, after the last fault, until every accepted job that was not cancelled has ended, no run is
/// left, and the newest configuration can be read.
pub async fn settle(system: &System, seed: u64) {
    let mut caller = Caller::new(system.entry_addrs(), seed, system.recorder.clone());
    let mut must_finish = system.recorder.must_finish();
    wait_for("every accepted job to end", async || {
        let mut left = Vec::new();
        for job in must_finish.drain(..) {
            caller.workspace = system.recorder.owner(&job).unwrap_or_default();
            match caller.ask(reqwest::Method::GET, &job, None).await {
                Outcome::Status(200, Some(state)) if state == "done" => {}
                Outcome::Status(200, Some(state)) if state == "failed" => {
                    if !system.recorder.may_have_failed(&job) {
                        system
                            .recorder
                            .record_violation(format!("LOST {job}: failed without cause"));
                    }
                }
                Outcome::Status(200, Some(state)) if state == "canceled" => {
                    system
                        .recorder
                        .record_violation(format!("LOST {job}: nobody cancelled it"));
                }
                Outcome::Status(status @ (404 | 410), _) => {
                    system
                        .recorder
                        .record_violation(format!("LOST {job}: {status} at the end"));
                }
                _ => left.push(job),
            }
        }
        must_finish = left;
        must_finish.is_empty()
    })
    .await;
    wait_for("runs to end", async || system.recorder.running() == 0).await;
    wait_for("the configuration to be read", async || {
        system.config_version().await.is_some()
    })
    .await;
    system.check_config().await;
    let (starts, accepted, cancelled) = system.recorder.counts();
    println!("seed {seed}: {starts} starts, {accepted} jobs accepted, {cancelled} cancelled");
    assert!(accepted > 0, "nothing was accepted");
}

/// Checks after the final fault what has to be back at `recovered`; returns whether the system
/// serves requests.
pub async fn check_recovery(system: &mut System, seed: u64, recovered: Instant) -> bool {
    let recorder = system.recorder.clone();
    let violation = |text: String| recorder.record_violation(text);
    let controls = || {
        let processes = system.processes.iter().enumerate();
        processes.filter(|(_, p)| p.role == Role::Control && p.deployed)
    };
    let wanted = controls().count().min(VOTERS);
    let voters = || controls().filter(|(_, p)| p.is_voter()).count();
    let mut serves = false;
    while Instant::now() < recovered && !(serves && voters() >= wanted) {
        sleep(Duration::from_millis(200)).await;
        serves = system.config_version().await.is_some();
    }
    if voters() < wanted {
        let views = controls().map(|(i, p)| format!("p{i} {}", p.group_view().unwrap_or_default()));
        let views = views.collect::<Vec<_>>().join("\n");
        violation(format!(
            "LOST {} of {wanted} voters live:\n{views}",
            voters()
        ));
    }
    if !serves {
        violation("LOST no control daemon returns the configuration".to_owned());
        return false;
    }
    system.operator.check_everywhere().await;
    // The callers' newest keys may be part of a change that was not acknowledged.
    system.put_config().await;
    let mut caller = Caller::new(system.entry_addrs(), seed, system.recorder.clone());
    let mut unread = system.recorder.kept();
    let end = Instant::now() + FINISH_TIME;
    while !unread.is_empty() && Instant::now() < end {
        for job in std::mem::take(&mut unread) {
            caller.workspace = system.recorder.owner(&job).unwrap_or_default();
            let outcome = caller.ask(reqwest::Method::GET, &job, None).await;
            if !matches!(outcome, Outcome::Status(200, Some(_))) {
                unread.push(job);
            }
        }
    }
    for job in unread {
        violation(format!("LOST {job}: its state is not readable"));
    }
    let mut idle = system.recorder.idle_lasting();
    let end = Instant::now() + LASTING_TIME;
    while !idle.is_empty() && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
        let still_idle = system.recorder.idle_lasting();
        idle.retain(|task| still_idle.contains(task));
    }
    for task in idle {
        violation(format!("LOST {task}: it lasts and has no run"));
    }
    let lasting = system.recorder.lasting();
    for job in &lasting {
        caller.workspace = system.recorder.owner(job).unwrap_or_default();
        wait_for("a job to be cancelled", async || {
            caller.cancel(job).await;
            let outcome = caller.ask(reqwest::Method::GET, job, None).await;
            match outcome {
                Outcome::Status(200, state) => state.as_deref() == Some("canceled"),
                outcome => matches!(outcome, Outcome::Status(410, _)),
            }
        })
        .await;
    }
    true
}
