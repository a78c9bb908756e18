//! Executes the replicas' effects, and checks the properties after each input.

use super::{Event, LATE_MESSAGE_SHARE, SNAPSHOT_LEN, Simulation};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use crate::replication::addresses::Identity;
use crate::replication::core::{Effect, Entry, Message, Payload};
use crate::replication::explore::Check;
use crate::replication::explore::checks::CheckFailure;
use crate::replication::explore::history::{OpId, Outcome};
use crate::replication::explore::host::Input;

impl Simulation {
    pub(super) fn process_input(&mut self, host: usize, input: Input) {
        self.coverage.events += 1;
        let clock = self.hosts[host].clock;
        let (now, unix) = (clock.monotonic(self.now), clock.unix(self.now));
        let Some(r) = &mut self.hosts[host].running else {
            return;
        };
        match input {
            Input::Message(peer, message) => {
                r.addresses.connected(peer);
                r.core.receive(now, *message);
            }
            Input::Synced(seq) => r.core.saved(now, seq),
            Input::Tick => r.core.tick(now),
            Input::TransferLeadership => r.core.transfer_leadership(now),
            Input::DiskFull(full) => r.core.disk_full(now, full),
            Input::Write(op) => match r.core.propose(now, unix, op.to_le_bytes().to_vec()) {
                Ok(index) => {
                    r.writes.insert(index, (r.core.term(), op));
                }
                Err(_) => {
                    self.coverage.refused += 1;
                    self.history.answer(op, Outcome::Refused, self.now);
                }
            },
            Input::Read(op) => match r.core.read(now) {
                Ok(id) => {
                    r.reads.insert(id, op);
                }
                Err(_) => self.coverage.refused += 1,
            },
            Input::LeasedRead(op) => {
                if r.core.is_confirmed(now) {
                    self.answer_leased_read(host, op);
                } else {
                    r.deferred_reads.push(op);
                }
            }
        }
    }

    /// Answers a leased read if the replica's leadership is confirmed, else refuses it.
    fn answer_leased_read(&mut self, host: usize, op: OpId) {
        let now = self.hosts[host].clock.monotonic(self.now);
        let running = self.hosts[host].running.as_ref();
        let Some(r) = running.filter(|r| r.core.is_confirmed(now)) else {
            self.coverage.refused += 1;
            return;
        };
        let outcome = Outcome::Version(r.register.version);
        self.history.answer(op, outcome, self.now);
        self.coverage.reads += 1;
        self.coverage.leased_reads += 1;
    }

    /// Executes a replica's effects and checks the properties.
    pub(super) fn execute_and_check(&mut self, host: usize) -> Result<(), CheckFailure> {
        self.hosts[host].in_batch = false;
        let now = self.hosts[host].clock.monotonic(self.now);
        if let Some(r) = &mut self.hosts[host].running {
            r.core.replicate(now);
        }
        self.execute_effects(host)?;
        self.check_host(host)
    }

    pub(super) fn execute_effects(&mut self, host: usize) -> Result<(), CheckFailure> {
        loop {
            let Some(r) = &mut self.hosts[host].running else {
                return Ok(());
            };
            let effects = r.core.take_effects();
            let deferred = std::mem::take(&mut r.deferred_reads);
            if effects.is_empty() && deferred.is_empty() {
                return Ok(());
            }
            for effect in effects {
                self.execute_effect(host, effect)?;
            }
            for op in deferred {
                self.answer_leased_read(host, op);
            }
        }
    }

    pub(super) fn execute_effect(
        &mut self,
        host: usize,
        effect: Effect,
    ) -> Result<(), CheckFailure> {
        let now = self.hosts[host].clock.monotonic(self.now);
        let incarnation = Some(self.hosts[host].incarnation);
        let Some(r) = &mut self.hosts[host].running else {
            return Ok(());
        };
        match effect {
            Effect::Save(save) => {
                for entry in &save.entries {
                    self.checks.check_append(&r.core, entry)?;
                }
                let seq = save.seq;
                r.unsynced.push_back(save);
                let longest = self.hosts[host].longest_sync.as_micros() as u64;
                let time = Duration::from_micros(self.rng.random_range(100..=longest.max(200)));
                self.schedule_input(time, host, incarnation, Input::Synced(seq));
            }
            Effect::Send(message) => {
                let in_log = r.core.members().get(message.to).map(|m| m.addr);
                let (addr, other) = r.addresses.of(message.to, in_log);
                for to in addr.into_iter().chain(other) {
                    self.transmit(host, to, message.clone());
                }
            }
            Effect::Announce(message) => {
                for to in r.addresses.for_announcement(r.core.members().addrs()) {
                    self.transmit(host, to, message.clone());
                }
            }
            Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(host, &entry)?;
                }
            }
            Effect::Restore(snapshot) => {
                let mut version = [0; 8];
                version.copy_from_slice(&snapshot.data[..8]);
                r.register.version = u64::from_le_bytes(version);
                self.coverage.snapshots_installed += 1;
            }
            Effect::Leadership(Some(term)) => {
                self.coverage.elections += 1;
                r.core.leadership_applied(now, term);
            }
            Effect::Leadership(None) => {}
            Effect::ReadsReady(through) => {
                let confirmed = r.core.is_confirmed(now);
                let later = r.reads.split_off(&(through + 1));
                for (_, op) in std::mem::replace(&mut r.reads, later) {
                    if confirmed {
                        let outcome = Outcome::Version(r.register.version);
                        self.history.answer(op, outcome, self.now);
                        self.coverage.reads += 1;
                    }
                }
            }
            Effect::TakeSnapshot(index) => {
                let mut data = r.register.version.to_le_bytes().to_vec();
                data.resize(SNAPSHOT_LEN, 0);
                r.core.snapshot_taken(index, data);
            }
        }
        Ok(())
    }

    pub(super) fn apply(&mut self, host: usize, entry: &Entry) -> Result<(), CheckFailure> {
        let Some(r) = &mut self.hosts[host].running else {
            return Ok(());
        };
        self.checks.check_apply(&r.core, entry)?;
        let Payload::Command(command) = &entry.payload else {
            return Ok(());
        };
        let mut op = [0; 8];
        op.copy_from_slice(command);
        r.register.version = entry.index;
        self.history.applied(OpId::from_le_bytes(op), entry.index);
        if let Some((term, op)) = r.writes.remove(&entry.index)
            && term == entry.term
        {
            let outcome = Outcome::Version(entry.index);
            self.history.answer(op, outcome, self.now);
            self.coverage.writes += 1;
            self.recovery_write_confirmed |= self.faults_ended;
        }
        Ok(())
    }

    pub(super) fn check_host(&mut self, host: usize) -> Result<(), CheckFailure> {
        let Some(r) = &mut self.hosts[host].running else {
            return Ok(());
        };
        if r.core.is_leader() {
            if r.led_term != r.core.term() {
                r.led_term = r.core.term();
                self.checks.check_leader(&r.core)?;
                if self.now < self.crash_leaders_until {
                    let after = Duration::from_millis(self.rng.random_range(0..30));
                    let down = Duration::from_millis(self.rng.random_range(1..200));
                    self.schedule(after, Event::Crash(host, down));
                }
            }
        } else {
            self.coverage.refused += (r.writes.len() + r.reads.len()) as u64;
            r.writes.clear();
            r.reads.clear();
        }
        let acting: Vec<_> = self
            .hosts
            .iter()
            .filter_map(|h| {
                let core = &h.running.as_ref()?.core;
                let acts = core.is_confirmed(h.clock.monotonic(self.now));
                acts.then(|| (core.id(), core.term()))
            })
            .collect();
        // With `Safeguard::ConfirmReads` disabled, `Check::Linearizable` must find the violation.
        let guarded = self.template.safeguards.read_after_round;
        if acting.len() > 1 && guarded {
            let detail = format!("several replicas may act as leader, (id, term): {acting:?}");
            return Err((Check::OneActingLeader, detail));
        }
        Ok(())
    }

    /// Sends a message to the host that has the address at present, if there is one.
    pub(super) fn transmit(&mut self, from: usize, to: SocketAddr, message: Message) {
        let sender = &self.hosts[from];
        let identity = Identity {
            id: sender.disk.id,
            addr: sender.member.addr,
        };
        let Some(to) = self.hosts.iter().position(|h| h.member.addr == to) else {
            return;
        };
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.repeat));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let late = !self.faults_ended && self.rng.random_bool(LATE_MESSAGE_SHARE);
            let usual = self.profile.longest_delay.as_micros() as u64;
            let longest = if late { 250_000 } else { usual };
            let delay = Duration::from_micros(self.rng.random_range(300..longest));
            self.schedule_input(
                delay,
                to,
                None,
                Input::Message(identity, Box::new(message.clone())),
            );
        }
    }
}
