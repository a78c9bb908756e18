//! What an entry host must hold.

use std::sync::Arc;

use crate::ids::Revision;
use crate::state::Cell;
use crate::wire::{Feed, OwnedMinion, PeerEntry};

impl Cell {
    /// The feed for an entry host that holds the document of revision `held`.
    pub fn feed(&self, held: Revision) -> Feed {
        let revision = self.revision();
        let document = (revision != held).then(|| self.document());
        let entries = self.entries.iter().filter(|(_, entry)| !entry.leaving);
        Feed {
            revision,
            document: document.map(|document| Arc::clone(&document)),
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
                        leaving: minion.leaving,
                        release: minion.release,
                        lapsed: minion.lapsed,
                    };
                    (id.clone(), owned)
                })
                .collect(),
        }
    }
}
