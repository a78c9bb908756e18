//! What a host could run, seen from outside.

use yuccahold::batch::model::TaskId;
use yuccahold::resources::Resources;

use super::Cell;

impl Cell {
    /// Whether the minion at a port is up, connected, and stays.
    pub fn is_sound(&self, port: u16) -> bool {
        let host = &self.hosts[&port];
        host.inc.is_some() && host.departure.is_none() && !self.cut.contains_key(&port)
    }

    /// Resources that the runs on a host leave free; `None` while it is down.
    pub fn free_on(&self, port: u16) -> Option<Resources> {
        let host = &self.hosts[&port];
        let used = host.inc.as_ref()?.used();
        Some(host.capacity.saturating_sub(&used))
    }

    /// Name of the present or the last minion at a port.
    pub fn name_of(&self, port: u16) -> &str {
        &self.hosts[&port].name
    }

    /// All ports.
    pub fn ports(&self) -> Vec<u16> {
        self.hosts.keys().copied().collect()
    }

    /// Millicores that the runs of a workspace use.
    pub fn millicores_of_owner(&self, owner: &str) -> u32 {
        let is_owned = |task: &TaskId| self.limits.owners.get(&task.step.job) == Some(&owner);
        let incarnations = self.hosts.values().filter_map(|host| host.inc.as_ref());
        incarnations.map(|inc| inc.millicores_of(is_owned)).sum()
    }
}
