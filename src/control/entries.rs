//! Lease renewals and reports of entry hosts, and announcements of minions.

use std::time::Duration;

use super::machine::{Command, ENTRY_LEASE, Machine};
use crate::ids::{EntryId, Revision, Timestamp};
use crate::placement::Placer;
use crate::wire::{EntryHello, EntryReport, MinionAnnouncement};

/// Minimum and maximum validity of a minion's announcement.
const ANNOUNCEMENT_TTL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// Next step for a renewal or an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewStep {
    /// These commands must be committed first; then the renewal is checked again.
    Propose(Vec<Command>),
    /// The lease is granted for this long, which the holder counts from the time of its request.
    Granted(Duration),
    /// Another process of that name may still hold the lease; retry later.
    Held,
}

impl<P: Placer + Send + 'static> Machine<P> {
    /// Handles an entry host's renewal. `now` is a monotonic time at which leadership was confirmed
    /// after the renewal arrived.
    pub fn renew_entry(
        &mut self,
        now: Timestamp,
        hello: &EntryHello,
        report: &EntryReport,
    ) -> RenewStep {
        let Some(leader) = &mut self.leader else {
            return RenewStep::Held;
        };
        let known = self.cell.entries.get(&hello.entry);
        let Some(record) = known.filter(|entry| entry.process == hello.process) else {
            return self.entry_joins(hello, report);
        };
        if !leader
            .entries
            .renew(&hello.entry, hello.process, now, ENTRY_LEASE)
        {
            return RenewStep::Held;
        }
        leader
            .in_force
            .insert(hello.entry.clone(), (report.in_force, now));
        let leaving = record.leaving;
        let commands = self.entry_commands(hello, report, leaving);
        match commands.is_empty() {
            true => RenewStep::Granted(ENTRY_LEASE),
            false => RenewStep::Propose(commands),
        }
    }

    /// Lets a new process join only after an earlier process of the same name has lost its lease,
    /// since both would send requests to the same minions.
    fn entry_joins(&self, hello: &EntryHello, report: &EntryReport) -> RenewStep {
        let held = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.process_of_entry(&hello.entry).is_some());
        if self.cell.entries.contains_key(&hello.entry) || held || report.leaving {
            return RenewStep::Held;
        }
        RenewStep::Propose(vec![Command::EntryUp(hello.clone())])
    }

    fn entry_commands(
        &mut self,
        hello: &EntryHello,
        report: &EntryReport,
        leaving: bool,
    ) -> Vec<Command> {
        let entry = &hello.entry;
        let mut commands = Vec::new();
        let released = report.released.iter().filter(|id| {
            let minion = self.cell.minions.get(*id);
            minion.is_some_and(|m| m.release && m.owner.as_ref() == Some(entry))
        });
        let released: Vec<_> = released.cloned().collect();
        if !released.is_empty() {
            commands.push(Command::ReleaseMinions {
                entry: entry.clone(),
                minions: released,
            });
        }
        if report.leaving && !leaving {
            commands.push(Command::EntryLeaving(entry.clone()));
        }
        if commands.is_empty() && report.leaving && self.cell.owned_by(entry) == 0 {
            if let Some(leader) = &mut self.leader {
                leader.entries.release(entry, hello.process);
            }
            commands.push(Command::EntryDown {
                entry: entry.clone(),
                process: hello.process,
            });
        }
        commands
    }

    /// Handles a minion's announcement. `now` is a monotonic time at which leadership was
    /// confirmed after the announcement arrived.
    pub fn announce(&mut self, now: Timestamp, minion: &MinionAnnouncement) -> RenewStep {
        let minion = clamp_ttl(minion);
        let ttl = minion.ttl;
        let known = self.cell.minions.get(&minion.id);
        if known.is_none_or(|record| record.announced != minion) {
            // Unlike a worker's, a minion's process may be replaced without waiting for a lease:
            // only the owning entry host sends it requests, and it gets the change in its feed.
            if let Some(leader) = &mut self.leader {
                leader.minions.remove(&minion.id);
            }
            return RenewStep::Propose(vec![Command::AnnounceMinion(minion)]);
        }
        let Some(leader) = &mut self.leader else {
            return RenewStep::Held;
        };
        match leader.minions.renew(&minion.id, minion.process, now, ttl) {
            true => RenewStep::Granted(ttl),
            false => RenewStep::Held,
        }
    }

    /// The document revision that each entry host reported to have in force, and the time since
    /// that report; `None` if it has not reported to this leader.
    pub fn revisions_in_force(
        &self,
        now: Timestamp,
    ) -> Vec<(EntryId, Option<(Revision, Duration)>)> {
        let leader = self.leader.as_ref();
        let entries = self.cell.entries.keys().map(|id| {
            let report = leader.and_then(|leader| leader.in_force.get(id));
            let report = report.map(|(revision, at)| (*revision, now.saturating_sub(*at)));
            (id.clone(), report)
        });
        entries.collect()
    }
}

fn clamp_ttl(minion: &MinionAnnouncement) -> MinionAnnouncement {
    let (shortest, longest) = ANNOUNCEMENT_TTL;
    let ttl = minion.ttl.clamp(shortest, longest);
    MinionAnnouncement {
        ttl,
        ..minion.clone()
    }
}
