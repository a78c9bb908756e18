//! Injection of faults, and client calls.

use super::{Event, RESTART_INTERVAL, RESTARTS, Simulation};
use std::collections::HashSet;
use std::time::Duration;

use rand::RngExt;

use crate::replication::core::{Membership, Payload};
use crate::replication::explore::checks::CheckFailure;
use crate::replication::explore::faults::Fault;
use crate::replication::explore::host::{Disk, Input};

impl Simulation {
    /// A random host; with probability `leading` one whose replica is in the leader role.
    pub(super) fn pick_host(&mut self, leading: f64) -> usize {
        let leads = |i: &usize| {
            let running = self.hosts[*i].running.as_ref();
            running.is_some_and(|r| r.core.is_leader())
        };
        let leaders: Vec<_> = (0..self.hosts.len()).filter(leads).collect();
        if leaders.is_empty() || !self.rng.random_bool(leading) {
            return self.rng.random_range(0..self.hosts.len());
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
                if self.keeps_majorities(Some(host)) {
                    self.wipe(host);
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

    /// Whether every membership that any replica holds keeps a majority of its disks without the
    /// disk of one host. No consensus protocol survives a larger loss.
    pub(super) fn keeps_majorities(&self, without: Option<usize>) -> bool {
        let others = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(i, _)| Some(*i) != without);
        let alive: HashSet<_> = others.map(|(_, h)| h.disk.id).collect();
        let keeps_majority = |members: &Membership| {
            let left = members
                .voters
                .keys()
                .filter(|id| alive.contains(id))
                .count();
            members.voters.is_empty() || left >= members.quorum()
        };
        self.hosts.iter().all(|h| {
            let state = &h.disk.state;
            let held = state.entries.iter().filter_map(|e| match &e.payload {
                Payload::Members(members) => Some(members),
                _ => None,
            });
            let running = h.running.as_ref().map(|r| r.core.members());
            held.chain(running)
                .chain([&state.snapshot.members])
                .all(keeps_majority)
        })
    }

    pub(super) fn wipe(&mut self, host: usize) {
        self.coverage.wipes += 1;
        self.crash(host);
        let old = self.hosts[host].disk.id;
        let id = if self.template.safeguards.fresh_identity {
            self.rng.random_range(1..u64::MAX)
        } else {
            old
        };
        self.hosts_by_id.insert(id, host);
        self.hosts[host].disk = Disk::empty(id);
        let incarnation = self.hosts[host].incarnation;
        let down = Duration::from_millis(self.rng.random_range(5..100));
        self.schedule(down, Event::Restart(host, incarnation));
    }
}
