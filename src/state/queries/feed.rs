//! The feed that control sends to entry hosts.

use crate::state::Cell;
use crate::wire::{Feed, OwnedMinion, PeerEntry};

impl Cell {
    /// The complete feed: the document in force, the entry hosts that aren't leaving, and all
    /// minions with their owners.
    pub fn feed(&self) -> Feed {
        let revision = self.revision();
        let entries = self.entries.iter().filter(|(_, entry)| !entry.leaving);
        Feed {
            revision,
            document: (revision > 0).then(|| self.document()),
            entries: entries
                .map(|(id, entry)| {
                    let peer = PeerEntry {
                        zone: entry.zone.clone(),
                        peer_addr: entry.peer_addr,
                        process: entry.process,
                    };
                    (id.clone(), peer)
                })
                .collect(),
            minions: self
                .minions
                .iter()
                .map(|(id, minion)| {
                    let owned = OwnedMinion {
                        minion: minion.announced.clone(),
                        owner: minion.owner.clone(),
                        epoch: minion.epoch,
                        leaving: minion.leaving || minion.is_expired(),
                        release: minion.release,
                        lapsed: minion.lapsed,
                    };
                    (id.clone(), owned)
                })
                .collect(),
        }
    }
}
