//! The end of a schedule: faults stop, and the group must recover.

use super::Simulation;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use crate::ids::ReplicaId;
use crate::replication::explore::Check;
use crate::replication::explore::checks::CheckFailure;
use crate::replication::explore::faults::FaultProfile;
use crate::replication::explore::host::{Input, Running};

impl Simulation {
    pub(super) fn end_faults(&mut self) -> Result<(), CheckFailure> {
        self.end_power_loss()?;
        self.faults_ended = true;
        self.profile = FaultProfile::without_faults();
        self.blocked_links.clear();
        (self.loss, self.repeat) = (0.0, 0.0);
        for host in self.unretired().collect::<Vec<_>>() {
            self.hosts[host].longest_sync = Duration::from_millis(2);
            self.hosts[host].paused_until = self.now;
            self.wake(host)?;
            if self.hosts[host].running.is_none() {
                self.start(host);
            }
            self.deliver(host, Input::DiskFull(false))?;
        }
        self.correct_peers();
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
        self.check_membership()?;
        let voters = &leader.core.members().voters;
        // The last few entries may still be in transit.
        let held = |r: &Running| r.core.status(self.now).applied;
        let mut running = self.running().filter(|r| voters.contains_key(&r.core.id()));
        if let Some(r) = running.find(|r| held(r) + 20 < committed) {
            let (id, held) = (r.core.id(), held(r));
            let detail = format!("voter {id} holds {held} of {committed} entries");
            return Err((Check::Progress, detail));
        }
        Ok(())
    }

    /// Reports a group without progress, unless it lost a majority of its disks. A disk may be lost
    /// just as the leader removes another voter; a majority of the new membership is then lost
    /// permanently, and only an operator can recover the group.
    pub(super) fn check_stall(&mut self) -> Result<(), CheckFailure> {
        if !self.keeps_majorities(&[]) {
            self.coverage.quorums_lost += 1;
            return Ok(());
        }
        let states: Vec<_> = self.running().map(|r| r.core.status(self.now)).collect();
        Err((
            Check::Progress,
            format!("the group makes no progress: {states:?}"),
        ))
    }

    /// Every running replica must be able to find the group: its configured peers, or the members in
    /// its log, lead to a running voter, directly or by way of further replicas. And if a majority of
    /// voters has moved at once, they must find each other. An operator corrects the settings of hosts
    /// for which this does not hold.
    fn correct_peers(&mut self) {
        let members = self.checks.members.1.clone();
        let all: Vec<_> = self.unretired().collect();
        let at_address = |i: &usize| {
            let h = &self.hosts[*i];
            let voter = members.voters.get(&h.disk.id);
            voter.is_some_and(|m| m.addr == h.member.addr)
        };
        let (mut found, mut others): (Vec<usize>, Vec<usize>) =
            all.iter().partition(|i| at_address(i));
        if found.len() < members.quorum() {
            let addrs: Vec<_> = all.iter().map(|i| self.hosts[*i].member.addr).collect();
            for host in all {
                self.correct(host, addrs.clone());
            }
            return;
        }
        loop {
            let known: Vec<_> = found.iter().map(|i| self.hosts[*i].member.addr).collect();
            let leads = |i: &usize| {
                let running = self.hosts[*i].running.as_ref();
                let addrs = running.map(|r| r.addresses.for_announcement(r.core.members().addrs()));
                addrs.is_some_and(|addrs| addrs.iter().any(|a| known.contains(a)))
            };
            let (next, left): (Vec<_>, Vec<_>) = others.into_iter().partition(leads);
            others = left;
            if next.is_empty() {
                break;
            }
            found.extend(next);
        }
        for host in others {
            let peer = found[self.rng.random_range(0..found.len())];
            self.correct(host, vec![self.hosts[peer].member.addr]);
        }
    }

    fn correct(&mut self, host: usize, configured: Vec<SocketAddr>) {
        self.coverage.peers_corrected += 1;
        self.hosts[host].configured = configured;
        self.crash(host);
        self.start(host);
    }

    /// Checks that the leader's membership is what the running replicas allow.
    pub(super) fn check_membership(&self) -> Result<(), CheckFailure> {
        let failed = |detail| Err((Check::Membership, detail));
        let leaders = self.running().filter(|r| r.core.is_leader());
        let Some(leader) = leaders.max_by_key(|r| r.core.term()) else {
            return failed("no replica leads".to_owned());
        };
        let members = leader.core.members();
        let (voters, learners) = (members.voters.len(), members.learners.len());
        let state = format!(
            "leader {} has {voters} voters and {learners} learners",
            leader.core.id()
        );
        let hosts = || self.hosts.iter().filter(|h| h.running.is_some());
        if let Some(h) = hosts().find(|h| members.get(h.disk.id) != Some(&h.member)) {
            let known = members.get(h.disk.id).map(|m| (m.addr, m.call_addr));
            let (id, own) = (h.disk.id, (h.member.addr, h.member.call_addr));
            return failed(format!(
                "replica {id} at {own:?} is known at {known:?}; {state}"
            ));
        }
        let runs = |id: &ReplicaId| hosts().any(|h| h.disk.id == *id);
        let live = members.voters.keys().filter(|id| runs(id)).count();
        let possible = hosts().count().min(self.template.target_voters);
        if live != possible {
            return failed(format!("{live} of {possible} possible voters run; {state}"));
        }
        if let Some(id) = members.learners.keys().find(|id| !runs(id)) {
            return failed(format!("lost learner {id} is kept; {state}"));
        }
        if live < voters && learners > 0 {
            return failed(format!("{} lost voters are kept; {state}", voters - live));
        }
        Ok(())
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Running> {
        self.hosts.iter().filter_map(|h| h.running.as_ref())
    }
}
