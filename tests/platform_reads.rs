//! Reads at real daemons whose seeds are gone.

mod platform_cell;

use std::path::Path;
use std::time::Duration;

use platform_cell::{System, wait_for};
use reqwest::Client;
use serde_json::Value;

/// Log lines of a process with this message.
fn lines(system: &System, process: usize, message: &str) -> Vec<Value> {
    let log = system.folder.join(format!("p{process}/log"));
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let values = text.lines().filter_map(|l| serde_json::from_str(l).ok());
    values.filter(|v: &Value| v["message"] == message).collect()
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
