//! Tables that combine the replicated state with the leader's volatile state.

use std::time::Duration;

use super::machine::Machine;
use crate::ids::Timestamp;
use crate::placement::Placer;
use crate::state::{EntryRow, MinionRow, WorkerRow};

impl<P: Placer + Send + 'static> Machine<P> {
    /// Workers with the time since each one's last lease renewal; zero on a replica that isn't the
    /// leader.
    pub fn worker_rows(&self, now: Timestamp) -> Vec<WorkerRow> {
        let leader = self.leader.as_ref();
        self.cell.worker_rows(|number| {
            let silent = leader.and_then(|leader| leader.workers.time_since_renewal(&number, now));
            silent.unwrap_or(Duration::ZERO)
        })
    }

    /// Entry hosts with the document revision that each reported to have in force.
    pub fn entry_rows(&self, now: Timestamp) -> Vec<EntryRow> {
        let reports = self.revisions_in_force(now).into_iter();
        let rows = reports.filter_map(|(id, report)| {
            let entry = self.cell.entries.get(&id)?;
            let (in_force, silent) = report.unwrap_or_default();
            Some(EntryRow {
                zone: entry.zone.clone(),
                peer_addr: entry.peer_addr,
                in_force,
                silent,
                minions: self.cell.owned_by(&id) as u32,
                id,
            })
        });
        rows.collect()
    }

    /// Minions with the entry hosts that own them.
    pub fn minion_rows(&self) -> Vec<MinionRow> {
        let minions = self.cell.minions.iter();
        let rows = minions.map(|(id, minion)| MinionRow {
            id: id.clone(),
            service: minion.announced.service.clone(),
            zone: minion.announced.zone.clone(),
            addr: minion.announced.addr,
            slots: minion.announced.slots,
            owner: minion.owner.clone(),
            leaving: minion.leaving || minion.is_expired(),
        });
        rows.collect()
    }
}
