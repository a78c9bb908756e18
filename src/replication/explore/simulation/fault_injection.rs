//! Injection of faults, and client calls.

use super::{Event, MIN_HOSTS, RESTART_INTERVAL, RESTARTS, Simulation, UNUSED_ADDR, addr};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IteratorRandom;

use crate::ids::LogIndex;
use crate::replication::core::{Membership, Payload};
use crate::replication::explore::checks::CheckFailure;
use crate::replication::explore::faults::Fault;
use crate::replication::explore::host::{Disk, Host, Input};

impl Simulation {
    /// A random host that has not ended for good; with probability `leading` one whose replica is in
    /// the leader role.
    pub(super) fn pick_host(&mut self, leading: f64) -> usize {
        let leads = |i: &usize| {
            let running = self.hosts[*i].running.as_ref();
            running.is_some_and(|r| r.core.is_leader())
        };
        let leaders: Vec<_> = (0..self.hosts.len()).filter(leads).collect();
        if leaders.is_empty() || !self.rng.random_bool(leading) {
            let hosts: Vec<_> = self.unretired().collect();
            return hosts[self.rng.random_range(0..hosts.len())];
        }
        leaders[self.rng.random_range(0..leaders.len())]
    }

    /// Starts a client's call to a random host, mostly to a leader.
    pub(super) fn call(&mut self) -> Result<(), CheckFailure> {
        let longest = self.profile.longest_call_gap.as_micros() as u64;
        let next = Duration::from_micros(self.rng.random_range(1_000..longest));
        self.schedule(next, Event::Call);
        let host = self.pick_host(0.9);
        if self.hosts[host].running.is_none() {
            return Ok(());
        }
        let is_read = self.rng.random_bool(0.5);
        let op = self.history.call(is_read, self.now);
        let input = match is_read {
            true if self.rng.random_bool(0.5) => Input::LeasedRead(op),
            true => Input::Read(op),
            false => Input::Write(op),
        };
        self.deliver(host, input)
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) -> Result<(), CheckFailure> {
        match fault {
            Fault::Crash { host, down } => self.crash_for(host, down),
            Fault::Pause { host, time } => {
                self.coverage.pauses += 1;
                self.hosts[host].paused_until = self.now + time;
                self.schedule(time, Event::Wake(host));
            }
            Fault::CutOneWay { from, to } => {
                self.blocked_links.insert((from, to));
            }
            Fault::Isolate { host } => {
                for other in 0..self.hosts.len() {
                    self.blocked_links.insert((host, other));
                    self.blocked_links.insert((other, host));
                }
            }
            Fault::Heal => self.blocked_links.clear(),
            Fault::Wipe { host } => {
                if self.keeps_majorities(&[host]) {
                    self.wipe(host);
                }
            }
            Fault::WipeSeries { wipes, gap, quiet } => {
                if quiet {
                    self.blocked_links.clear();
                    (self.loss, self.repeat) = (0.0, 0.0);
                    self.quiet_until = self.now + gap * wipes;
                }
                for n in 0..wipes {
                    self.schedule(gap * n, Event::WipeOfSeries);
                }
            }
            Fault::Move { host, down, all } => {
                self.crash_for(host, down);
                self.move_host(host, all);
            }
            Fault::Replace { host, down } => {
                if self.keeps_majorities(&[host]) {
                    self.replace(host, down);
                }
            }
            Fault::Retire { host } => {
                if self.keeps_majorities(&[host]) && self.unretired().count() > MIN_HOSTS {
                    self.retire(host);
                }
            }
            Fault::ChangePeers { host, restarts } => {
                self.coverage.peer_changes += 1;
                self.hosts[host].configured = self.random_peers(host);
                if restarts {
                    self.crash_for(host, Duration::from_millis(1));
                }
            }
            Fault::TransferLeadership { host } => {
                return self.deliver(host, Input::TransferLeadership);
            }
            Fault::SlowDisk { host, longest } => self.hosts[host].longest_sync = longest,
            Fault::FullDisk { host, full } => return self.deliver(host, Input::DiskFull(full)),
            Fault::SetClock { host, unix } => self.hosts[host].clock.unix = unix,
            Fault::CrashNewLeaders { time } => self.crash_leaders_until = self.now + time,
            Fault::RepeatedRestarts { offset } => {
                let hosts = self.hosts.len();
                let leader = self.pick_host(1.0);
                let host = (leader + offset) % hosts;
                let cut_off = (leader + offset % (hosts - 1) + 1) % hosts;
                self.blocked_links.insert((leader, cut_off));
                self.blocked_links.insert((cut_off, leader));
                for n in 0..RESTARTS {
                    let crash = Event::Crash(host, Duration::from_millis(1));
                    self.schedule(RESTART_INTERVAL * n, crash);
                }
            }
            Fault::Network { loss, repeat } => (self.loss, self.repeat) = (loss, repeat),
        }
        Ok(())
    }

    pub(super) fn crash_for(&mut self, host: usize, down: Duration) {
        self.crash(host);
        let incarnation = self.hosts[host].incarnation;
        self.schedule(down, Event::Restart(host, incarnation));
    }

    pub(super) fn crash(&mut self, host: usize) {
        let Some(running) = &self.hosts[host].running else {
            return;
        };
        let kept = self.rng.random_range(0..=running.unsynced.len());
        self.coverage.crashes += 1;
        let keeps_snapshot = self.rng.random();
        self.hosts[host].crash(kept, keeps_snapshot);
    }

    /// Whether every membership that is or can still come into force keeps a majority of its disks
    /// without the disks of these hosts. No consensus protocol survives a larger loss.
    pub(super) fn keeps_majorities(&self, without: &[usize]) -> bool {
        let others = self.unretired().filter(|i| !without.contains(i));
        let alive: HashSet<_> = others.map(|i| self.hosts[i].disk.id).collect();
        let keeps_majority = |members: &Membership| {
            let left = members.voters.keys().filter(|id| alive.contains(id));
            members.voters.is_empty() || left.count() >= members.quorum()
        };
        let (in_force, members) = &self.checks.members;
        if !keeps_majority(members) {
            return false;
        }
        self.hosts.iter().all(|h| {
            let state = &h.disk.state;
            let held = state.entries.iter().filter_map(|e| match &e.payload {
                Payload::Members(members) => Some((e.index, members.clone())),
                _ => None,
            });
            let running = h.running.as_ref();
            let running = running.map(|r| r.core.log().members(LogIndex::MAX));
            held.chain(running)
                .filter(|(index, _)| index > in_force)
                .all(|(_, members)| keeps_majority(&members))
        })
    }

    pub(super) fn unretired(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.hosts.len()).filter(|i| !self.hosts[*i].retired)
    }

    /// Up to three addresses of other hosts, which need not be those of voters. All, if hosts don't
    /// change.
    pub(super) fn random_peers(&mut self, host: usize) -> Vec<SocketAddr> {
        let others: Vec<_> = self.unretired().filter(|i| *i != host).collect();
        let count = match self.profile.hosts_change {
            true => self.rng.random_range(1..=3),
            false => others.len(),
        };
        let addrs = others.into_iter().map(|i| self.hosts[i].member.addr);
        addrs.sample(&mut self.rng, count)
    }

    /// Wipes a leader or another host, and lets a replica lead that is not among its peers.
    pub(super) fn wipe_of_series(&mut self) {
        let host = self.pick_host(0.4);
        if self.faults_ended || !self.keeps_majorities(&[host]) {
            return;
        }
        self.wipe(host);
        self.hosts[host].configured = self.random_peers(host);
        let after = Duration::from_millis(self.rng.random_range(10..120));
        self.schedule(after, Event::LeadElsewhere(host));
    }

    /// Transfers leadership if the leader is among the configured peers of `host`.
    pub(super) fn lead_elsewhere(&mut self, host: usize) -> Result<(), CheckFailure> {
        let leader = self.pick_host(1.0);
        let known = self.hosts[host]
            .configured
            .contains(&self.hosts[leader].member.addr);
        if self.faults_ended || !known {
            return Ok(());
        }
        self.deliver(leader, Input::TransferLeadership)
    }

    /// Gives a host another address for calls and, with `all`, for replicas.
    fn move_host(&mut self, host: usize, all: bool) {
        self.coverage.moves += 1;
        let addr = self.free_addr();
        let member = &mut self.hosts[host].member;
        member.call_addr = addr;
        if all {
            member.addr = addr;
        }
    }

    /// A new address, or one that another host had earlier.
    fn free_addr(&mut self) -> SocketAddr {
        let newest = self.addrs;
        let former = addr(self.rng.random_range(0..newest));
        let used = |h: &Host| h.member.addr == former || h.member.call_addr == former;
        if self.rng.random_bool(0.3) && !self.hosts.iter().any(used) {
            return former;
        }
        self.addrs += 1;
        addr(newest)
    }

    fn replace(&mut self, host: usize, down: Duration) {
        self.wipe_for(host, down);
        self.move_host(host, true);
        self.hosts[host].configured = self.random_peers(host);
    }

    fn retire(&mut self, host: usize) {
        self.coverage.retired += 1;
        self.crash(host);
        self.hosts[host].retired = true;
        // Whatever has its address later is another host.
        self.hosts[host].member.addr = UNUSED_ADDR;
    }

    pub(super) fn wipe(&mut self, host: usize) {
        let down = Duration::from_millis(self.rng.random_range(5..100));
        self.wipe_for(host, down);
    }

    fn wipe_for(&mut self, host: usize, down: Duration) {
        self.coverage.wipes += 1;
        self.crash(host);
        let old = self.hosts[host].disk.id;
        let id = if self.template.safeguards.fresh_identity {
            self.rng.random_range(1..u64::MAX)
        } else {
            old
        };
        self.hosts[host].disk = Disk::empty(id);
        let incarnation = self.hosts[host].incarnation;
        self.schedule(down, Event::Restart(host, incarnation));
    }
}
