//! Properties that are checked after every event.

use std::collections::HashMap;
use std::collections::hash_map::Entry as Slot;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::Check;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};
use crate::replication::core::{Core, Entry, Membership, Payload};

/// The violated property, and a description of the observed state.
pub(super) type CheckFailure = (Check, String);

/// Observations of all replicas so far.
#[derive(Default)]
pub(super) struct Checks {
    leaders: HashMap<Term, ReplicaId>,
    /// Digest of each entry ever appended, and the term of the entry before it if it was known.
    appended: HashMap<(LogIndex, Term), (u64, Option<Term>)>,
    /// Term and digest of each entry ever committed, from index 1, and the term of the replica that
    /// first applied it.
    committed: Vec<((Term, u64), Term)>,
    /// Time of the last committed entry.
    last_at: Timestamp,
    /// Last committed membership, with the index of its entry; the initial one before any.
    pub(super) members: (LogIndex, Membership),
    pub(super) membership_changes: u64,
}

fn digest(payload: &Payload) -> u64 {
    let mut hasher = DefaultHasher::new();
    match payload {
        Payload::Noop => 0_u8.hash(&mut hasher),
        Payload::Command(command) => command.hash(&mut hasher),
        Payload::Members(members) => {
            members.voters.keys().collect::<Vec<_>>().hash(&mut hasher);
            members
                .learners
                .keys()
                .collect::<Vec<_>>()
                .hash(&mut hasher);
        }
    }
    hasher.finish()
}

impl Checks {
    pub(super) fn check_leader(&mut self, core: &Core) -> Result<(), CheckFailure> {
        let (term, id) = (core.term(), core.id());
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            let detail = format!("replicas {first} and {id} lead in term {term}");
            return Err((Check::ElectionSafety, detail));
        }
        // A candidate may learn late that it has won an earlier term; it may lack the entries
        // committed in later terms.
        let before = self.committed.iter().enumerate();
        let before = before.filter(|(_, (_, in_term))| *in_term < term);
        for (i, ((committed, _), _)) in before {
            let index = i as LogIndex + 1;
            let held = core.log().term_at(index);
            let cut = index <= core.log().base().0;
            if !cut && held != Some(*committed) {
                let detail = format!("leader {id} of term {term} lacks committed entry {index}");
                return Err((Check::CommittedKept, detail));
            }
        }
        Ok(())
    }

    pub(super) fn check_append(&mut self, core: &Core, entry: &Entry) -> Result<(), CheckFailure> {
        let before = core.log().term_at(entry.index - 1);
        let seen = (digest(&entry.payload), before);
        match self.appended.entry((entry.index, entry.term)) {
            Slot::Vacant(slot) => {
                slot.insert(seen);
                Ok(())
            }
            Slot::Occupied(mut slot) => {
                let (content, earlier) = *slot.get();
                if content == seen.0 && (earlier == before || earlier.is_none() || before.is_none())
                {
                    if earlier.is_none() {
                        slot.insert(seen);
                    }
                    return Ok(());
                }
                let detail = format!(
                    "replica {} holds entry {} of term {} after term {before:?}, another replica \
                     after {earlier:?}, or with other content",
                    core.id(),
                    entry.index,
                    entry.term
                );
                Err((Check::LogMatching, detail))
            }
        }
    }

    pub(super) fn check_apply(&mut self, core: &Core, entry: &Entry) -> Result<(), CheckFailure> {
        let id = core.id();
        let seen = (entry.term, digest(&entry.payload));
        let at = entry.index as usize - 1;
        match self.committed.get(at) {
            Some((known, _)) if *known == seen => return Ok(()),
            None if at == self.committed.len() => {}
            known => {
                let detail = format!(
                    "replica {id} applies entry {} of term {}; committed was {known:?}",
                    entry.index, entry.term
                );
                return Err((Check::CommittedKept, detail));
            }
        }
        self.committed.push((seen, core.term()));
        if let Payload::Members(members) = &entry.payload {
            self.members = (entry.index, members.clone());
            self.membership_changes += 1;
        }
        if entry.at < self.last_at {
            let detail = format!(
                "entry {} has the time {:?}, lower than the one before",
                entry.index, entry.at
            );
            return Err((Check::TimeForward, detail));
        }
        self.last_at = entry.at;
        Ok(())
    }

    pub(super) fn committed_term(&self, index: LogIndex) -> Option<Term> {
        let at = index.checked_sub(1)? as usize;
        self.committed.get(at).map(|((term, _), _)| *term)
    }

    pub(super) fn committed(&self) -> LogIndex {
        self.committed.len() as LogIndex
    }
}
