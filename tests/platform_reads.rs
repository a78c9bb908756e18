//! Reads of callers and operators at real daemons that have no leader, or whose seeds are gone.

mod platform_cell;

use std::path::Path;
use std::time::Duration;

use platform_cell::caller::{HOST, PREFIX};
use platform_cell::{System, wait_for};
use reqwest::Client;
use serde_json::Value;

const JOB: &str = "5c0e7a21d94b36f8";

/// Log lines of a process with this message.
fn lines(system: &System, process: usize, message: &str) -> Vec<Value> {
    let log = system.folder.join(format!("p{process}/log"));
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let values = text.lines().filter_map(|l| serde_json::from_str(l).ok());
    values.filter(|v: &Value| v["message"] == message).collect()
}

/// Asks for the state of a job, for at most this long.
async fn ask(system: &System, wait: Duration) -> Option<u16> {
    let url = format!("http://{}{PREFIX}{JOB}", system.entry_addrs()[0]);
    let asked = Client::new().get(url).header("Host", HOST).timeout(wait);
    let reply = asked.send().await.ok()?;
    Some(reply.status().as_u16())
}

/// A read that nobody answered left no line, or one without the connection that it waited on, so the
/// reasons could not be told apart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_without_an_answer_is_logged_with_its_way() {
    const MESSAGE: &str = "request not answered";
    let mut system = System::start("reads", 1, 1, 0).await;
    wait_for("a read to be answered", async || {
        ask(&system, Duration::from_secs(1)).await == Some(410)
    })
    .await;
    let before = lines(&system, 1, MESSAGE).len();
    system.processes[0].pause();
    let left = ask(&system, Duration::from_millis(200)).await;
    assert_eq!(left, None);
    wait_for("a line about the caller that left", async || {
        lines(&system, 1, MESSAGE).len() > before
    })
    .await;
    system.processes[0].kill();
    wait_for("reads to be refused at once", async || {
        ask(&system, Duration::from_secs(3)).await == Some(503)
            && lines(&system, 1, MESSAGE)
                .last()
                .is_some_and(|line| line["copies"] == 0)
    })
    .await;
    let lines = lines(&system, 1, MESSAGE);
    let (left, refused) = (&lines[before], lines.last().expect("a line"));
    let leader = system.folder.join("p0/boot.conf");
    for line in [left, refused] {
        assert!(line["path"].as_str().is_some_and(|p| p.ends_with(JOB)));
    }
    assert_eq!(
        (&left["outcome"], &left["via"]),
        (&"caller left".into(), &"leader".into())
    );
    let peer = left["peer"].as_str().expect("the leader's address");
    assert!(settings(&leader).contains(peer.split(':').next().expect("an address")));
    assert_eq!(
        (&refused["outcome"], &refused["via"]),
        (&"not run".into(), &"none".into())
    );
    assert!(refused["leaderless_ms"].as_u64().is_some(), "{refused}");
}

fn settings(path: &Path) -> String {
    std::fs::read_to_string(path).expect("settings")
}

/// A member of the group starts again after the hosts in its settings are gone. Its replica finds the
/// others by its log, but the operators and minions that called it were refused for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_host_whose_seeds_are_gone_reaches_the_leader() {
    let mut system = System::start("seedless", 3, 0, 0).await;
    wait_for("three voters", async || {
        let groups = lines(&system, 2, "group");
        groups.last().is_some_and(|group| group["voters"] == 3)
    })
    .await;
    system.processes[2].kill();
    let path = system.folder.join("p2/boot.conf");
    let with_seeds = settings(&path);
    let changed = with_seeds.lines().map(|line| match line.split_once('=') {
        Some(("seeds", _)) => "seeds=127.0.0.1:9\n".to_owned(),
        _ => format!("{line}\n"),
    });
    std::fs::write(&path, changed.collect::<String>()).expect("settings");
    system.processes[2].start();
    let url = format!("http://{}/yuccahold/config", system.controls()[2]);
    wait_for("the configuration to be read", async || {
        let asked = Client::new().get(&url).timeout(Duration::from_secs(1));
        let reply = asked.send().await;
        reply.is_ok_and(|reply| reply.status().is_success())
    })
    .await;
}
