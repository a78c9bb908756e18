//! Invariants that are checked at each start.

use std::time::Duration;

use yuccahold::batch::dispatch::{MinionOrder, StartOrder};

use super::{Cell, LEADER_SETTLE_TIME};

impl Cell {
    /// Checks that the leader sends no start of a task of which an end as done is committed.
    pub(super) fn check_sent(&mut self, order: &MinionOrder) {
        if let MinionOrder::Start(start) = order
            && self.done.contains(&start.task)
        {
            let (task, run) = (start.task, start.run);
            self.violations
                .push(format!("{task} run {run} sent after it was done"));
        }
    }

    /// Checks a start that a host has executed. `other_ports` are those on which its task ran
    /// before. Two runs of a task are allowed where its step allows copies, on different hosts.
    pub(super) fn check_start(
        &mut self,
        now: Duration,
        port: u16,
        start: &StartOrder,
        other_ports: &[u16],
    ) {
        let (task, run) = (start.task, start.run);
        *self.starts.entry(task).or_default() += 1;
        self.check_attempts(port, task, run);
        let leader_settled = now >= self.leader_since + LEADER_SETTLE_TIME;
        if leader_settled && self.crashes.get(&task).is_some_and(|n| *n >= 3) {
            *self.excess_starts.entry(task).or_default() += 1;
        }
        let incarnations = self.hosts.values().filter_map(|host| host.inc.as_ref());
        self.violations
            .extend(self.limits.exceeded(now, task, incarnations));
        let spec = &self.specs[&task.step.job][usize::from(task.step.step)];
        let most = usize::from(spec.copies_allowed);
        if other_ports.len() > most || other_ports.contains(&port) {
            let text = format!("{task} run {run} on {port} beside one on {other_ports:?}");
            self.violations.push(text);
        }
        // With two runs, an order that was sent before the first end may be carried out after it.
        if self.done.contains(&task) && !spec.copies_allowed {
            self.violations
                .push(format!("{task} run {run} after it was done"));
        }
        let host = &self.hosts[&port];
        let used = host.inc.as_ref().expect("it is up").used();
        if !used.fits_in(&host.capacity) {
            let capacity = host.capacity;
            self.violations
                .push(format!("{task} brings {port} to {used:?} of {capacity:?}"));
        }
    }
}
