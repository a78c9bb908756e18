//! Which part of the document belongs to which teams.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::document::{Document, JobKind, Service};
use crate::ids::TeamName;

/// Says what a change touches outside the teams' own part; nothing if it keeps within.
pub(super) fn outside(old: &Document, new: &Document, teams: &[TeamName]) -> Option<String> {
    let own = |team: &TeamName| teams.contains(team);
    let services = |s: &Service| own(&s.team);
    let kinds = |k: &JobKind| own(&k.team);
    let shared_as_before = Document {
        services: old.services.clone(),
        kinds: old.kinds.clone(),
        workloads: old.workloads.clone(),
        ..new.clone()
    };
    if shared_as_before != *old {
        return Some("parts of the document that belong to no team".to_owned());
    }
    let of_kind = |d: &Document, kind: &CompactString| d.kinds.get(kind).is_some_and(kinds);
    foreign("services", &old.services, &new.services, services, services)
        .or_else(|| foreign("kinds", &old.kinds, &new.kinds, kinds, kinds))
        .or_else(|| {
            let before = |w: &crate::document::Workload| of_kind(old, &w.kind);
            let after = |w: &crate::document::Workload| of_kind(new, &w.kind);
            foreign("workloads", &old.workloads, &new.workloads, before, after)
        })
}

/// The first changed entry that is another team's, before or after the change.
fn foreign<T: PartialEq>(
    section: &str,
    old: &BTreeMap<CompactString, T>,
    new: &BTreeMap<CompactString, T>,
    own_before: impl Fn(&T) -> bool,
    own_after: impl Fn(&T) -> bool,
) -> Option<String> {
    let names = old.keys().chain(new.keys());
    let mut changed = names.filter(|name| old.get(*name) != new.get(*name));
    let is_foreign = |name: &&CompactString| {
        let before = old.get(*name).is_some_and(|t| !own_before(t));
        let after = new.get(*name).is_some_and(|t| !own_after(t));
        before || after
    };
    changed
        .find(is_foreign)
        .map(|name| format!("`{section}.{name}`, which is another team's"))
}
