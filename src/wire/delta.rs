//! Deltas between two feeds, so that an update has the size of the change and not of the whole feed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::calls::{Feed, OwnedMinion, PeerEntry};
use crate::document::{Document, JobKind, Service, Team, Workload};
use crate::ids::{EntryId, KindName, MinionId, Revision, ServiceName, TeamName};

/// Changes from one feed to the next on the same connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedDelta {
    /// Revision of the document after the change.
    pub revision: Revision,
    /// Changes to the document; absent when it is the same.
    pub document: Option<DocumentDelta>,
    /// New, changed and removed entry hosts.
    pub entries: MapDelta<EntryId, PeerEntry>,
    /// New, changed and removed minions.
    pub minions: MapDelta<MinionId, OwnedMinion>,
}

/// Changes from one document to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The new document without the maps below; absent when nothing in it changed.
    pub rest: Option<Box<Document>>,
    /// New, changed and removed teams.
    pub teams: MapDelta<TeamName, Team>,
    /// New, changed and removed services.
    pub services: MapDelta<ServiceName, Service>,
    /// New, changed and removed job kinds.
    pub kinds: MapDelta<KindName, JobKind>,
    /// New, changed and removed workloads.
    pub workloads: MapDelta<compact_str::CompactString, Workload>,
}

/// Changes from one map to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Serialize + Ord, V: Serialize",
    deserialize = "K: Deserialize<'de> + Ord, V: Deserialize<'de>"
))]
pub struct MapDelta<K, V> {
    /// New and changed entries, with their new values.
    pub set: BTreeMap<K, V>,
    /// Keys of removed entries.
    pub removed: Vec<K>,
}

impl<K, V> Default for MapDelta<K, V> {
    fn default() -> Self {
        Self {
            set: BTreeMap::new(),
            removed: Vec::new(),
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> MapDelta<K, V> {
    /// Computes the delta that turns `old` into `new`.
    pub fn between(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let changed = new
            .iter()
            .filter(|(key, value)| old.get(*key) != Some(*value));
        let removed = old.keys().filter(|key| !new.contains_key(*key));
        Self {
            set: changed.map(|(k, v)| (k.clone(), v.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Applies the delta to the map that it was computed from.
    pub fn apply(self, map: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            map.remove(key);
        }
        map.extend(self.set);
    }

    /// Whether no entry changed.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

impl FeedDelta {
    /// Computes the delta that turns `old` into `new`.
    pub fn between(old: &Feed, new: &Feed) -> Self {
        Self {
            revision: new.revision,
            document: match (&old.document, &new.document) {
                (Some(old), Some(new)) if !Arc::ptr_eq(old, new) => {
                    Some(DocumentDelta::between(old, new))
                }
                (None, Some(new)) => Some(DocumentDelta::between(&Document::default(), new)),
                _ => None,
            },
            entries: MapDelta::between(&old.entries, &new.entries),
            minions: MapDelta::between(&old.minions, &new.minions),
        }
    }

    /// Applies the delta to the feed that it was computed from.
    pub fn apply(self, feed: &mut Feed) {
        feed.revision = self.revision;
        if let Some(delta) = self.document {
            let mut document = feed.document.take().unwrap_or_default();
            delta.apply(Arc::make_mut(&mut document));
            feed.document = Some(document);
        }
        self.entries.apply(&mut feed.entries);
        self.minions.apply(&mut feed.minions);
    }

    /// Whether nothing changed since a feed with the document revision `old`.
    pub fn is_empty(&self, old: Revision) -> bool {
        self.revision == old
            && self.document.is_none()
            && self.entries.is_empty()
            && self.minions.is_empty()
    }
}

impl DocumentDelta {
    /// Computes the delta that turns `old` into `new`.
    pub fn between(old: &Document, new: &Document) -> Self {
        let (old_rest, new_rest) = (rest(old), rest(new));
        Self {
            rest: (old_rest != new_rest).then(|| Box::new(new_rest)),
            teams: MapDelta::between(&old.teams, &new.teams),
            services: MapDelta::between(&old.services, &new.services),
            kinds: MapDelta::between(&old.kinds, &new.kinds),
            workloads: MapDelta::between(&old.workloads, &new.workloads),
        }
    }

    /// Applies the delta to the document that it was computed from.
    pub fn apply(self, document: &mut Document) {
        if let Some(rest) = self.rest {
            *document = Document {
                teams: std::mem::take(&mut document.teams),
                services: std::mem::take(&mut document.services),
                kinds: std::mem::take(&mut document.kinds),
                workloads: std::mem::take(&mut document.workloads),
                ..*rest
            };
        }
        self.teams.apply(&mut document.teams);
        self.services.apply(&mut document.services);
        self.kinds.apply(&mut document.kinds);
        self.workloads.apply(&mut document.workloads);
    }
}

/// Copies a document without the maps that have a delta of their own.
fn rest(document: &Document) -> Document {
    Document {
        format: document.format,
        cell: document.cell.clone(),
        region: document.region.clone(),
        zones: document.zones.clone(),
        routes: document.routes.clone(),
        objectives: document.objectives.clone(),
        policy: document.policy.clone(),
        drains: document.drains.clone(),
        ..Document::default()
    }
}
