//! Loss of power of all hosts at the same moment, some of which lose their disks with it.

use super::{Event, FAULT_PERIOD, Simulation};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ids::LogIndex;
use crate::replication::explore::Check;
use crate::replication::explore::checks::CheckFailure;
use crate::replication::explore::host::Input;

/// Stream of a seed's random numbers that only power losses use, so that a schedule is the same up to
/// its power loss as without one.
const STREAM: u64 = 1;
/// Share of schedules with a power loss.
const SHARE: f64 = 0.5;
/// Earliest power loss. In some schedules the group is forming then.
const EARLIEST: Duration = Duration::from_millis(50);
/// Share of hosts on which none of the writes that were not synced is kept.
const NOTHING_KEPT_SHARE: f64 = 0.7;
/// Share of power losses that take the disks with the newest committed entry before others.
const NEWEST_SHARE: f64 = 0.7;

/// When all hosts lose power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    Never,
    /// At the time of `Event::PowerLoss`; with `true`, right after the next acknowledged write.
    Scheduled(bool),
    /// Right after the next acknowledged write, when so many have been.
    AfterWrites(u64),
}

/// The power loss of a schedule.
pub(super) struct PowerLoss {
    rng: ChaCha8Rng,
    due: Due,
    /// Disks that are lost with it, as far as every membership keeps a majority.
    disks: usize,
}

impl PowerLoss {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(STREAM);
        let due = match rng.random_bool(SHARE) {
            true => Due::Scheduled(rng.random_bool(0.7)),
            false => Due::Never,
        };
        let disks = rng.random_range(0..=2);
        Self { rng, due, disks }
    }
}

impl Simulation {
    pub(super) fn schedule_power_loss(&mut self) {
        if self.power.due == Due::Never {
            return;
        }
        let latest = FAULT_PERIOD - Duration::from_millis(1);
        let at = match self.power.rng.random_bool(0.3) {
            true => latest,
            false => self.power.rng.random_range(EARLIEST..latest),
        };
        self.schedule(at, Event::PowerLoss);
    }

    pub(super) fn power_loss_due(&mut self) -> Result<(), CheckFailure> {
        match self.power.due {
            Due::Scheduled(true) => {
                self.power.due = Due::AfterWrites(self.coverage.writes + 1);
                Ok(())
            }
            Due::Scheduled(false) => self.lose_power(),
            _ => Ok(()),
        }
    }

    /// Lets all hosts lose power if a write was acknowledged that this has waited for.
    pub(super) fn check_power(&mut self) -> Result<(), CheckFailure> {
        match self.power.due {
            Due::AfterWrites(writes) if self.coverage.writes >= writes => self.lose_power(),
            _ => Ok(()),
        }
    }

    /// Lets all hosts lose power if this still waits for an acknowledged write.
    pub(super) fn end_power_loss(&mut self) -> Result<(), CheckFailure> {
        match self.power.due {
            Due::AfterWrites(_) => self.lose_power(),
            _ => Ok(()),
        }
    }

    fn lose_power(&mut self) -> Result<(), CheckFailure> {
        self.power.due = Due::Never;
        self.coverage.power_losses += 1;
        let lost = self.disks_to_lose();
        // Connections end, so nothing that was sent before arrives later.
        self.events.retain(|_, event| {
            let input = match event {
                Event::Input { input, .. } => Some(input),
                _ => None,
            };
            !matches!(input, Some(Input::Message(..)))
        });
        for host in self.unretired().collect::<Vec<_>>() {
            self.lose_power_of(host);
            if lost.contains(&host) {
                self.wipe(host);
            } else if self.hosts[host].running.is_none() {
                let down = Duration::from_millis(self.power.rng.random_range(5..100));
                let incarnation = self.hosts[host].incarnation;
                self.schedule(down, Event::Restart(host, incarnation));
            }
        }
        self.check_committed_kept()
    }

    fn lose_power_of(&mut self, host: usize) {
        let Some(running) = &self.hosts[host].running else {
            return;
        };
        let written = running.unsynced.len();
        let (kept, keeps_snapshot) = match self.power.rng.random_bool(NOTHING_KEPT_SHARE) {
            true => (0, false),
            false => (
                self.power.rng.random_range(0..=written),
                self.power.rng.random(),
            ),
        };
        self.coverage.crashes += 1;
        self.hosts[host].crash(kept, keeps_snapshot);
    }

    fn disks_to_lose(&mut self) -> Vec<usize> {
        let mut hosts: Vec<_> = self.unretired().collect();
        hosts.shuffle(&mut self.power.rng);
        if self.power.rng.random_bool(NEWEST_SHARE) {
            let newest = self.checks.committed();
            hosts.sort_by_key(|host| !self.is_voter_with(*host, newest));
        }
        let mut lost = Vec::new();
        for host in hosts {
            if lost.len() == self.power.disks {
                break;
            }
            lost.push(host);
            if !self.keeps_majorities(&lost) {
                lost.pop();
            }
        }
        lost
    }

    fn is_voter_with(&self, host: usize, index: LogIndex) -> bool {
        let disk = &self.hosts[host].disk;
        self.checks.members.1.voters.contains_key(&disk.id) && disk.last_index() >= index
    }

    /// Checks that the voters that are left without the newest committed entry are no majority: they
    /// could elect a leader without it, by chance or not.
    fn check_committed_kept(&self) -> Result<(), CheckFailure> {
        let members = &self.checks.members.1;
        let committed = self.checks.committed();
        let Some(term) = self.checks.committed_term(committed) else {
            return Ok(());
        };
        let left = self.unretired().map(|host| &self.hosts[host].disk);
        let left = left.filter(|disk| members.voters.contains_key(&disk.id));
        let (with, without): (Vec<_>, Vec<_>) = left.partition(|disk| disk.holds(committed, term));
        if without.len() < members.quorum() {
            return Ok(());
        }
        let detail = format!(
            "committed entry {committed} is on {} of {} disks left after a power loss; {} of {} voters \
             elect a leader",
            with.len(),
            with.len() + without.len(),
            members.quorum(),
            members.voters.len()
        );
        Err((Check::CommittedKept, detail))
    }
}
