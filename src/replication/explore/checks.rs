//! Properties that are checked at every step.

use std::collections::HashMap;
use std::collections::hash_map::Entry as Slot;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::Check;
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};
use crate::replication::core::{Core, Entry, Payload};

/// A property found broken, with what was seen.
pub(super) type Broken = (Check, String);

/// What has been seen of all replicas so far.
#[derive(Default)]
pub(super) struct Checks {
    leaders: HashMap<Term, ReplicaId>,
    /// Content and the term before it, of each entry ever appended.
    appended: HashMap<(LogIndex, Term), (u64, Option<Term>)>,
    /// Term and content of each entry ever committed, from index 1, and the term in which it was.
    committed: Vec<((Term, u64), Term)>,
    last_at: Timestamp,
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
    pub(super) fn leads(&mut self, core: &Core) -> Result<(), Broken> {
        let (term, id) = (core.term(), core.id());
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            let detail = format!("replicas {first} and {id} lead in term {term}");
            return Err((Check::ElectionSafety, detail));
        }
        // A candidate may learn late that it had won an earlier term; it need not hold what was
        // committed since.
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

    pub(super) fn appends(&mut self, core: &Core, entry: &Entry) -> Result<(), Broken> {
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
                    "replica {} holds entry {} of term {} after term {before:?}, another after \
                     {earlier:?}",
                    core.id(),
                    entry.index,
                    entry.term
                );
                Err((Check::LogMatching, detail))
            }
        }
    }

    pub(super) fn applies(&mut self, core: &Core, entry: &Entry) -> Result<(), Broken> {
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
        if matches!(entry.payload, Payload::Members(_)) {
            self.membership_changes += 1;
        }
        if entry.at < self.last_at {
            let detail = format!("entry {} is at {:?}", entry.index, entry.at);
            return Err((Check::TimeForward, detail));
        }
        self.last_at = entry.at;
        Ok(())
    }

    pub(super) fn committed(&self) -> LogIndex {
        self.committed.len() as LogIndex
    }
}
