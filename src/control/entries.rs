//! An entry host's lease and what it reports with it; announcements of minions.

use std::time::Duration;

use super::machine::{Command, ENTRY_LEASE, Machine};
use crate::ids::{EntryId, Revision, Timestamp};
use crate::placement::Placer;
use crate::wire::{EntryHello, EntryReport, MinionAnnouncement};

/// Shortest and longest time for which an announcement of a minion may hold.
const ANNOUNCEMENT_TTL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// What comes next for a renewal or an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewStep {
    /// These commands must be agreed first; then it is looked at again.
    Propose(Vec<Command>),
    /// Granted for this long, counted by the holder from when it asked.
    Granted(Duration),
    /// Another process of that name may still hold the lease; ask again.
    Held,
}

impl<P: Placer + Send + 'static> Machine<P> {
    /// Looks at an entry host's renewal at `now`, a monotonic time at which leadership was
    /// confirmed after the renewal arrived.
    pub fn renew_entry(
        &mut self,
        now: Timestamp,
        hello: &EntryHello,
        report: &EntryReport,
    ) -> RenewStep {
        let Some(lead) = &mut self.lead else {
            return RenewStep::Held;
        };
        let known = self.cell.entries.get(&hello.entry);
        let Some(record) = known.filter(|entry| entry.process == hello.process) else {
            return self.entry_joins(hello, report);
        };
        if !lead
            .entries
            .renew(&hello.entry, hello.process, now, ENTRY_LEASE)
        {
            return RenewStep::Held;
        }
        lead.in_force
            .insert(hello.entry.clone(), (report.in_force, now));
        let leaving = record.leaving;
        let commands = self.entry_commands(hello, report, leaving);
        match commands.is_empty() {
            true => RenewStep::Granted(ENTRY_LEASE),
            false => RenewStep::Propose(commands),
        }
    }

    /// An earlier process of the same name must have lost its lease before a new one joins:
    /// both would use the same minions.
    fn entry_joins(&self, hello: &EntryHello, report: &EntryReport) -> RenewStep {
        let held = self
            .lead
            .as_ref()
            .is_some_and(|lead| lead.process_of_entry(&hello.entry).is_some());
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
            if let Some(lead) = &mut self.lead {
                lead.entries.give_up(entry, hello.process);
            }
            commands.push(Command::EntryDown {
                entry: entry.clone(),
                process: hello.process,
            });
        }
        commands
    }

    /// Looks at a minion's announcement at a time of confirmed leadership.
    pub fn announce(&mut self, now: Timestamp, minion: &MinionAnnouncement) -> RenewStep {
        let minion = clamped(minion);
        let ttl = minion.ttl;
        let known = self.cell.minions.get(&minion.id);
        if known.is_none_or(|record| record.announced != minion) {
            // The replacement of a process is agreed at once: its owner, unlike a worker's
            // lease holder, is an entry host, which hears of it in order.
            if let Some(lead) = &mut self.lead {
                lead.minions.forget(&minion.id);
            }
            return RenewStep::Propose(vec![Command::AnnounceMinion(minion)]);
        }
        let Some(lead) = &mut self.lead else {
            return RenewStep::Held;
        };
        match lead.minions.renew(&minion.id, minion.process, now, ttl) {
            true => RenewStep::Granted(ttl),
            false => RenewStep::Held,
        }
    }

    /// The revision each entry host says it has in force, and how long ago it said so.
    pub fn revisions_in_force(
        &self,
        now: Timestamp,
    ) -> Vec<(EntryId, Option<(Revision, Duration)>)> {
        let lead = self.lead.as_ref();
        let entries = self.cell.entries.keys().map(|id| {
            let report = lead.and_then(|lead| lead.in_force.get(id));
            let report = report.map(|(revision, at)| (*revision, now.saturating_sub(*at)));
            (id.clone(), report)
        });
        entries.collect()
    }
}

fn clamped(minion: &MinionAnnouncement) -> MinionAnnouncement {
    let (shortest, longest) = ANNOUNCEMENT_TTL;
    let ttl = minion.ttl.clamp(shortest, longest);
    MinionAnnouncement {
        ttl,
        ..minion.clone()
    }
}
