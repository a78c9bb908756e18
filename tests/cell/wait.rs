//! Waits for a started cell to be complete.

use std::time::Duration;

use serde_json::Value;
use yuccahold::stand_in::MinionOptions;

use super::{Daemon, TestEnv, until};

impl TestEnv {
    /// Waits until all entry hosts are ready, all workers have joined, every minion has an owner,
    /// and every entry host has the slots of all minions.
    ///
    /// The last condition is needed because control assigns owners before the entry hosts receive
    /// them with the feed; until then an entry host refuses requests because no minion is announced.
    pub async fn until_joined(&self) {
        until("the entry hosts to be ready", async || {
            let mut ready = true;
            for entry in &self.entries {
                ready &= self.is_ready(entry).await;
            }
            ready
        })
        .await;
        until("workers and minions to join", async || {
            let workers = self.table("workers").await.len();
            let minions = self.table("minions").await;
            let owned = minions.iter().filter(|row| !row["owner"].is_null()).count();
            workers >= self.workers.len() && owned >= self.minions.len()
        })
        .await;
        let slots = u64::from(MinionOptions::default().slots) * self.minions.len() as u64;
        self.wait_for_slots(slots).await;
    }

    /// Waits until every entry host has exactly this number of slots in its routing status.
    pub async fn wait_for_slots(&self, slots: u64) {
        until("every entry host to know all slots", async || {
            let mut known = true;
            for entry in &self.entries {
                known &= self.known_slots(entry).await == Some(slots);
            }
            known
        })
        .await;
    }

    /// Slots of all services in the routing status of an entry host, its own and its peers'.
    async fn known_slots(&self, entry: &Daemon) -> Option<u64> {
        let url = format!("http://{}/v1/routing", entry.http);
        let asked = self.client.get(url).timeout(Duration::from_secs(2)).send();
        let status: Value = asked.await.ok()?.json().await.ok()?;
        let services = status["services"].as_array()?.iter();
        let slots = services.map(|service| {
            let own = service["slots"].as_u64().unwrap_or(0);
            own + service["peers"][0].as_u64().unwrap_or(0)
        });
        Some(slots.sum())
    }
}
