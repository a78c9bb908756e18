//! Signals that reach a daemon while it starts.

mod platform_cell;

use std::time::Duration;

use platform_cell::{DEADLINE, Process, System, wait_for};
use rstest::rstest;
use tokio::time::{Instant, sleep};

const ROUNDS: usize = 10;

/// Kills and starts a process; returns at its first log line.
async fn restart(process: &mut Process) {
    process.kill();
    process.start();
    let end = Instant::now() + DEADLINE;
    while process.log_since_start().is_none() {
        assert!(Instant::now() < end, "the daemon logs nothing");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a daemon that SIGHUP ends before its handler is installed.
#[rstest]
#[case::control(0)]
#[case::entry(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_outlives_sighup_during_its_start(#[case] process: usize) {
    let mut system = System::start(&format!("signals-{process}"), 1, 1, 0).await;
    let process = &mut system.processes[process];
    for round in 0..ROUNDS {
        restart(process).await;
        process.reload();
        wait_for("the settings to be reloaded", async || {
            assert!(!process.has_exited(), "round {round}: the daemon has ended");
            let log = process.log_since_start().unwrap_or_default();
            log.contains("settings reloaded")
        })
        .await;
    }
}
