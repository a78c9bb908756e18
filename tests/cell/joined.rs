//! When a cell that was started counts as joined.

use std::time::Duration;

use serde_json::Value;
use yuccahold::stand_in::MinionOptions;

use super::{Daemon, TestEnv, until};

impl TestEnv {
    /// Waits until entry hosts are ready, every worker and minion is known and owned, and every
    /// entry host knows the slots of all minions. Control knows owners before its feed has told
    /// the entry hosts, and until then one of those rightly refuses: no minion is announced.
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
        self.until_known(slots).await;
    }

    /// Waits until every entry host knows just so many slots.
    pub async fn until_known(&self, slots: u64) {
        until("every entry host to know all slots", async || {
            let mut known = true;
            for entry in &self.entries {
                known &= self.known_slots(entry).await == Some(slots);
            }
            known
        })
        .await;
    }

    /// Slots of all services that an entry host knows, its own and its peers'.
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
