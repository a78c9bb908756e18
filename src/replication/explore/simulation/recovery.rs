//! The end of a schedule: faults stop, and the group must recover.

use super::Simulation;
use std::time::Duration;

use crate::ids::ReplicaId;
use crate::replication::explore::Check;
use crate::replication::explore::checks::CheckFailure;
use crate::replication::explore::faults::FaultProfile;
use crate::replication::explore::host::{Input, Running};

impl Simulation {
    pub(super) fn end_faults(&mut self) -> Result<(), CheckFailure> {
        self.faults_ended = true;
        self.profile = FaultProfile::without_faults();
        self.blocked_links.clear();
        (self.loss, self.repeat) = (0.0, 0.0);
        for host in 0..self.hosts.len() {
            self.hosts[host].longest_sync = Duration::from_millis(2);
            self.hosts[host].paused_until = self.now;
            self.wake(host)?;
            if self.hosts[host].running.is_none() {
                self.start(host);
            }
            self.deliver(host, Input::DiskFull(false))?;
        }
        Ok(())
    }

    pub(super) fn finish(&mut self) -> Result<(), CheckFailure> {
        self.history
            .check()
            .map_err(|detail| (Check::Linearizable, detail))?;
        if !self.recovery_write_confirmed {
            return self.check_stall();
        }
        let committed = self.checks.committed();
        let Some(leader) = self.running().find(|r| r.core.is_leader()) else {
            return self.check_stall();
        };
        let voters = leader.core.members().voters.clone();
        let held = |id: &ReplicaId| {
            let replica = self.running().find(|r| r.core.id() == *id);
            replica.map_or(0, |r| r.core.status(self.now).applied)
        };
        // The last few entries may still be in transit.
        let behind = voters.keys().find(|id| held(id) + 20 < committed);
        match behind {
            Some(id) => {
                let detail = format!("voter {id} holds {} of {committed} entries", held(id));
                Err((Check::Progress, detail))
            }
            None => Ok(()),
        }
    }

    /// Reports a group without progress, unless it lost a majority of its disks. A disk may be lost
    /// just as the leader removes another voter; a majority of the new membership is then lost
    /// permanently, and only an operator can recover the group.
    pub(super) fn check_stall(&mut self) -> Result<(), CheckFailure> {
        if !self.keeps_majorities(None) {
            self.coverage.quorums_lost += 1;
            return Ok(());
        }
        let states: Vec<_> = self.running().map(|r| r.core.status(self.now)).collect();
        Err((
            Check::Progress,
            format!("the group makes no progress: {states:?}"),
        ))
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Running> {
        self.hosts.iter().filter_map(|h| h.running.as_ref())
    }
}
