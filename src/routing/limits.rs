//! Request rate and concurrency limits of workspaces: this entry host's share of the cell's limit.

use std::collections::HashMap;
use std::time::Duration;

use crate::document::Limits;
use crate::ids::{TeamName, Timestamp};

/// Capacity of the token bucket, in seconds of the permitted rate.
const BURST_SECONDS: f64 = 0.5;

#[derive(Clone, Debug)]
struct Usage {
    tokens: f64,
    at: Timestamp,
    in_progress: u32,
}

/// Usage of each workspace here. Every live entry host gets an equal share of the cell's limit.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    teams: HashMap<TeamName, Usage>,
}

impl TeamLimits {
    /// Admits one request, or returns the time after which to retry.
    pub fn admit(
        &mut self,
        now: Timestamp,
        team: &TeamName,
        limits: &Limits,
        entries: u32,
    ) -> Result<(), Duration> {
        let entries = entries.max(1);
        let rate = f64::from(limits.requests_per_second) / f64::from(entries);
        let burst = (rate * BURST_SECONDS).max(1.0);
        let usage = self.teams.entry(team.clone()).or_insert(Usage {
            tokens: burst,
            at: now,
            in_progress: 0,
        });
        if limits.concurrent > 0 && usage.in_progress >= limits.concurrent.div_ceil(entries) {
            return Err(Duration::from_secs(1));
        }
        if limits.requests_per_second > 0 {
            let passed = now.saturating_sub(usage.at).as_secs_f64();
            usage.tokens = (usage.tokens + passed * rate).min(burst);
            usage.at = now;
            if usage.tokens < 1.0 {
                return Err(Duration::from_secs_f64((1.0 - usage.tokens) / rate));
            }
            usage.tokens -= 1.0;
        }
        usage.in_progress += 1;
        Ok(())
    }

    /// Ends one admitted request and frees its share of the concurrency limit.
    pub fn finish(&mut self, team: &TeamName) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }

    /// Drops the usage of workspaces that are no longer `known` and have no request in progress.
    pub fn retain(&mut self, known: impl Fn(&TeamName) -> bool) {
        self.teams
            .retain(|team, usage| usage.in_progress > 0 || known(team));
    }
}
