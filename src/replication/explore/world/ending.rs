//! The end of a schedule: faults cease and the group must work again.

use super::World;
use std::time::Duration;

use crate::ids::ReplicaId;
use crate::replication::explore::Check;
use crate::replication::explore::checks::Broken;
use crate::replication::explore::faults::Mix;
use crate::replication::explore::host::{Input, Running};

impl World {
    pub(super) fn end_faults(&mut self) -> Result<(), Broken> {
        self.calm = true;
        self.mix = Mix::calm();
        self.cuts.clear();
        (self.loss, self.repeat) = (0.0, 0.0);
        for host in 0..self.hosts.len() {
            self.hosts[host].slow_sync = Duration::from_millis(2);
            self.hosts[host].paused_until = self.now;
            self.wake(host)?;
            if self.hosts[host].running.is_none() {
                self.start(host);
            }
            self.reach(host, Input::DiskFull(false))?;
        }
        Ok(())
    }

    pub(super) fn finish(&mut self) -> Result<(), Broken> {
        self.history
            .check()
            .map_err(|detail| (Check::Linearizable, detail))?;
        if !self.confirmed_in_calm {
            return self.explain_standstill();
        }
        let committed = self.checks.committed();
        let Some(leader) = self.running().find(|r| r.core.is_leader()) else {
            return self.explain_standstill();
        };
        let voters = leader.core.members().voters.clone();
        let held = |id: &ReplicaId| {
            let replica = self.running().find(|r| r.core.id() == *id);
            replica.map_or(0, |r| r.core.status().applied)
        };
        // The last few entries may still be on their way.
        let behind = voters.keys().find(|id| held(id) + 20 < committed);
        match behind {
            Some(id) => {
                let detail = format!("voter {id} holds {} of {committed} entries", held(id));
                Err((Check::Progress, detail))
            }
            None => Ok(()),
        }
    }

    /// A disk may be lost at the very moment at which the leader removes another voter. The
    /// majority of the new membership is then gone for good, which only operators can mend.
    pub(super) fn explain_standstill(&mut self) -> Result<(), Broken> {
        if !self.keeps_majorities(None) {
            self.coverage.quorums_lost += 1;
            return Ok(());
        }
        let states: Vec<_> = self.running().map(|r| r.core.status()).collect();
        Err((
            Check::Progress,
            format!("the group stands still: {states:?}"),
        ))
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Running> {
        self.hosts.iter().filter_map(|h| h.running.as_ref())
    }
}
