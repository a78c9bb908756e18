//! The follower's side: taking entries and snapshots from a leader.

use std::sync::Arc;

use bytes::BytesMut;

use super::{Beat, Body, Core, Effect, Entry, HardState, Role, Snapshot};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// A snapshot that arrives in parts.
pub(super) struct Incoming {
    index: LogIndex,
    term: Term,
    data: BytesMut,
}

impl Core {
    /// Takes a leader's message; one of an older term is told the present one.
    pub(super) fn on_leader_message(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        body: Body,
    ) {
        if term < self.hard.term {
            let reply = Body::Rejected {
                prev_index: 0,
                hint: 0,
                beat: Beat::default(),
            };
            self.send_after_sync(from, reply);
            return;
        }
        if self.leading.is_some() {
            return;
        }
        if self.role != self.resting_role() || self.leader != Some(from) {
            self.rest(now, Some(from));
        }
        self.heard_at = now;
        self.postpone_election(now);
        match body {
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                beat,
            } => self.on_append(from, (prev_index, prev_term), entries, commit, beat),
            Body::Chunk { .. } => self.on_chunk(from, body),
            _ => {}
        }
        self.role = self.resting_role();
    }

    fn on_append(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        beat: Beat,
    ) {
        if !self.agrees(prev_index, prev_term) {
            let hint = self.last_possible_match(prev_index);
            let reply = Body::Rejected {
                prev_index,
                hint,
                beat,
            };
            self.send_after_sync(from, reply);
            return;
        }
        let is_heartbeat = entries.is_empty();
        let matched = prev_index + entries.len() as u64;
        self.take_entries(entries);
        let matched = matched.min(self.log.last_index());
        self.commit = self.commit.max(commit.min(matched));
        self.apply_committed();
        if is_heartbeat {
            // Answered at once, for what is synced: a slow disk must not look like a lost
            // follower.
            let matched = matched.min(self.stable);
            self.send(from, Body::Accepted { matched, beat });
        } else {
            self.send_after_sync(from, Body::Accepted { matched, beat });
        }
    }

    fn agrees(&self, prev_index: LogIndex, prev_term: Term) -> bool {
        // What is committed agrees with every leader's log.
        if prev_index <= self.commit {
            return true;
        }
        match self.log.term_at(prev_index) {
            Some(term) => term == prev_term || !self.cfg.safeguards.check_previous,
            None => false,
        }
    }

    fn last_possible_match(&self, prev_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let Some(term) = self.log.term_at(prev_index) else {
            return self.commit;
        };
        let mut hint = prev_index - 1;
        while hint > self.commit && self.log.term_at(hint) == Some(term) {
            hint -= 1;
        }
        hint
    }

    fn take_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.base().0 || entry.index <= self.commit {
                continue;
            }
            match self.log.get(entry.index) {
                Some(own) if own.term == entry.term => continue,
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            if entry.index == self.log.last_index() + 1 {
                self.append_entry(entry);
            }
        }
    }

    fn on_chunk(&mut self, from: ReplicaId, body: Body) {
        let Body::Chunk {
            index,
            snapshot_term,
            at,
            members,
            offset,
            total,
            data,
            beat,
        } = body
        else {
            return;
        };
        if index <= self.commit {
            let matched = self.commit;
            self.send_after_sync(from, Body::Accepted { matched, beat });
            return;
        }
        let incoming = self.incoming_part(index, snapshot_term);
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(&data);
        }
        let have = incoming.data.len() as u64;
        if have < total {
            let reply = Body::ChunkWanted {
                index,
                offset: have,
                beat,
            };
            self.send(from, reply);
            return;
        }
        let data = self.incoming.take().map(|i| i.data.freeze());
        self.install(Snapshot {
            index,
            term: snapshot_term,
            at,
            members,
            data: data.unwrap_or_default(),
        });
        self.send_after_sync(
            from,
            Body::Accepted {
                matched: index,
                beat,
            },
        );
    }

    fn incoming_part(&mut self, index: LogIndex, term: Term) -> &mut Incoming {
        let same = self
            .incoming
            .as_ref()
            .is_some_and(|i| i.index == index && i.term == term);
        if !same {
            self.incoming = None;
        }
        self.incoming.get_or_insert_with(|| Incoming {
            index,
            term,
            data: BytesMut::new(),
        })
    }

    fn install(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.log.install(snapshot.clone());
        let last = self.log.last_index();
        self.stable = self.stable.min(last);
        for (_, saving) in &mut self.saving {
            *saving = (*saving).min(last);
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        (self.members_index, self.members) = self.log.members(LogIndex::MAX);
        self.save_whole_log();
        self.effects.push(Effect::Restore(snapshot));
    }

    /// Makes this replica the only voter. The operator's last resort: entries that only the lost
    /// replicas held are gone.
    pub(crate) fn force_group_of_one(&mut self, now: Timestamp) {
        self.set_hard(HardState {
            term: self.hard.term + 1,
            voted_for: Some(self.cfg.id),
        });
        let members = super::Membership::of_one(self.cfg.id, self.cfg.member.clone());
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard.term,
            at: self.log.last_at(),
            payload: super::Payload::Members(members),
        };
        self.append_entry(entry);
        self.role = Role::Follower;
        self.election_at = now;
    }
}
