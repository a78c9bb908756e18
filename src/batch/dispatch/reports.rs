//! Reports that minions send about themselves.

use super::Dispatcher;
use super::minion::{Minion, ends_after};
use crate::batch::event::Event;
use crate::batch::model::{MinionNumber, MinionReport, Readiness};
use crate::ids::{MinionId, Timestamp};
use crate::resources::Resources;

impl Dispatcher {
    /// Handles a minion's report: its address, capacity, labels and readiness.
    ///
    /// A report of a service that is not configured may come from another program under the id or
    /// the address of a minion. It must not change what is known of that minion: a high sequence
    /// number in it would make all further reports of the minion count as outdated.
    pub fn report(&mut self, now: Timestamp, report: MinionReport) {
        let foreign = self.is_foreign(&report.service);
        if let Some(number) = self.by_id.get(&report.id).copied() {
            if foreign && self.minions.get(&number).is_some_and(|m| !m.foreign) {
                return;
            }
            self.update_report(now, number, report);
            return;
        }
        // The minion known at this address may have ended; the next call to it will show.
        let at_addr = self.by_addr.get(&report.addr).filter(|_| !foreign);
        for number in at_addr.into_iter().flatten() {
            if let Some(old) = self.minions.get_mut(number) {
                old.mark_displaced(now);
                self.changed_minions.insert(*number);
            }
        }
        self.emit(Event::MinionJoined {
            minion: report.id.clone(),
            started: report.started,
        });
        self.add_incarnation(Minion::new(self.next_minion, report, now));
    }

    fn update_report(&mut self, now: Timestamp, number: MinionNumber, report: MinionReport) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        match (report.started, minion.report.started) {
            (Some(reported), Some(known)) if reported > known => {
                self.restarted(now, number, now, report);
                return;
            }
            (Some(reported), Some(known)) if reported < known => {
                // The report is from an earlier incarnation, or from a new one whose host's clock
                // was set back. The next call will show which.
                minion.mark_displaced(now);
                self.changed_minions.insert(number);
                return;
            }
            _ => {}
        }
        minion.reported = now;
        self.changed_minions.insert(number);
        if report.sequence < minion.report.sequence {
            return;
        }
        let draining = report.readiness != Readiness::Ready;
        minion.ends_after = ends_after(&report, now);
        let (id, sequence) = (report.id.clone(), report.sequence);
        let capacity_changed =
            (report.capacity != minion.report.capacity).then_some(report.capacity);
        let is_first = !minion.report.has_resources() && report.has_resources();
        let started = report.started.or(minion.report.started);
        let addr_before = (minion.report.addr != report.addr).then_some(minion.report.addr);
        minion.report = MinionReport { started, ..report };
        if draining {
            minion.ready_since = None;
        }
        let is_back = !draining && minion.is_back(now);
        if draining && !minion.draining {
            minion.draining = true;
            self.batch.draining.push(number);
            self.emit(Event::MinionDraining {
                minion: id,
                sequence,
            });
        }
        if let Some(before) = addr_before {
            self.addr_changed(number, before);
        }
        self.index_room(number);
        if is_back {
            self.minion_back(number);
        }
        if is_first {
            self.first_report(number);
        } else if let Some(capacity) = capacity_changed {
            self.capacity_changed(number, capacity);
        }
    }

    fn minion_back(&mut self, number: MinionNumber) {
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        minion.mark_back();
        let report = minion.report.clone();
        self.emit(Event::MinionBack {
            minion: report.id.clone(),
        });
        self.batch.draining.retain(|n| *n != number);
        self.batch.joined.push((number, report));
        self.utilizations.changed();
        self.placement_requested = true;
    }

    fn capacity_changed(&mut self, number: MinionNumber, capacity: Resources) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let minion = minion.report.id.clone();
        self.emit(Event::MinionResized { minion, capacity });
        self.batch.resized.push((number, capacity));
        self.utilizations.changed();
        self.forget_releases(number);
        self.placement_requested = true;
    }

    /// Handles a minion's message that it is about to end.
    pub fn minion_left(&mut self, now: Timestamp, id: &MinionId) {
        let Some(minion) = self.by_id.get(id).and_then(|n| self.minions.get_mut(n)) else {
            return;
        };
        if !minion.draining {
            self.batch.draining.push(minion.number);
        }
        minion.mark_leaving(now);
        self.changed_minions.insert(minion.number);
        let event = Event::MinionLeft {
            minion: id.clone(),
            runs: minion.runs.len(),
        };
        self.emit(event);
    }
}
