//! What a simulated minion reports about itself: heartbeats, draining, and its final message.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use yuccahold::fault::Fault;

use super::minion::{Minion, RestartName};
use super::operator::Directory;

const HEARTBEAT: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time from the report that a minion drains to its end.
const DRAIN_TIME: Duration = Duration::from_secs(2);

impl Minion {
    pub(super) async fn report(self: Arc<Self>, controls: Directory) {
        let client = reqwest::Client::new();
        let mut next = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            if self.is_down.load(Ordering::Relaxed) {
                tokio::time::sleep(HEARTBEAT).await;
                continue;
            }
            let capacity = self.capacity().now;
            let (id, body) = {
                let mut state = self.lock();
                state.sequence += 1;
                let body = json!({
                    "service": "desk", "addr": self.proxy.addr().to_string(), "zone": "z-a",
                    "version": "v1", "slots": 8, "cold_left_ms": 0,
                    "state": if state.draining { "draining" } else { "ready" },
                    "capacity": {
                        "cpu": capacity.millicores, "mem_mb": capacity.memory_mb, "gpu": 0,
                    },
                    "labels": ["a", "r1-1"], "clock_ms": state.clock(), "seq": state.sequence,
                    "born": state.started_unix_ms,
                });
                (state.id.clone(), body)
            };
            let controls = controls.get();
            for _ in 0..controls.len() {
                let control = controls[next % controls.len()];
                let url = format!("http://{control}/yuccahold/instances/{id}");
                let sent = client.put(url).json(&body).timeout(TIMEOUT);
                if sent.send().await.is_ok_and(|r| r.status().is_success()) {
                    break;
                }
                next += 1;
            }
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Reports that it is draining, and restarts as a new instance after 2 s.
    pub async fn drain(&self) {
        self.lock().draining = true;
        tokio::time::sleep(DRAIN_TIME).await;
        self.restart(RestartName::New);
    }

    /// Drains, sends its final message and ends; another instance starts after `away`.
    pub async fn leave(&self, controls: Directory, away: Duration) {
        let id = {
            let mut state = self.lock();
            state.draining = true;
            state.id.clone()
        };
        tokio::time::sleep(DRAIN_TIME).await;
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.proxy.apply(Fault::Cut);
        self.restart(RestartName::New);
        let client = reqwest::Client::new();
        for control in controls.get() {
            let url = format!("http://{control}/yuccahold/instances/{id}");
            let sent = client.delete(url).timeout(TIMEOUT).send();
            if sent.await.is_ok_and(|r| r.status().is_success()) {
                break;
            }
        }
        tokio::time::sleep(away).await;
        self.proxy.apply(Fault::Reopen);
        self.is_down.store(false, Ordering::Relaxed);
    }
}
