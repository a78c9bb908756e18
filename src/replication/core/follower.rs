//! The follower's side of replication: entries and snapshots from a leader.

use std::sync::Arc;

use bytes::BytesMut;

use super::{Body, Core, Effect, Entry, HardState, HeartbeatMark, Role, Snapshot};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// A snapshot being received in parts.
pub(super) struct IncomingSnapshot {
    index: LogIndex,
    term: Term,
    data: BytesMut,
}

impl Core {
    /// Handles a leader's message. A leader of an older term gets a rejection, which carries the
    /// current term.
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
                mark: HeartbeatMark::default(),
            };
            self.send_after_sync(from, reply);
            return;
        }
        if self.leading.is_some() {
            return;
        }
        if self.role != self.non_leader_role() || self.leader != Some(from) {
            self.step_down(now, Some(from));
        }
        self.leader_heard_at = now;
        self.postpone_election(now);
        match body {
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                mark,
            } => self.on_append(from, (prev_index, prev_term), entries, commit, mark),
            Body::Chunk { .. } => self.on_chunk(from, body),
            _ => {}
        }
        self.role = self.non_leader_role();
    }

    fn on_append(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        mark: HeartbeatMark,
    ) {
        if !self.log_matches(prev_index, prev_term) {
            let hint = self.last_possible_match(prev_index);
            let reply = Body::Rejected {
                prev_index,
                hint,
                mark,
            };
            self.send_after_sync(from, reply);
            return;
        }
        let is_heartbeat = entries.is_empty();
        let matched = prev_index + entries.len() as u64;
        self.merge_entries(entries);
        let matched = matched.min(self.log.last_index());
        self.commit = self.commit.max(commit.min(matched));
        self.apply_committed();
        if is_heartbeat {
            // Replies at once with the last synced entry, so that a slow disk does not make the
            // follower look lost.
            let matched = matched.min(self.stable);
            self.send(from, Body::Accepted { matched, mark });
        } else {
            self.send_after_sync(from, Body::Accepted { matched, mark });
        }
    }

    fn log_matches(&self, prev_index: LogIndex, prev_term: Term) -> bool {
        // Committed entries are the same in every leader's log.
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

    fn merge_entries(&mut self, entries: Vec<Entry>) {
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
            mark,
        } = body
        else {
            return;
        };
        if index <= self.commit {
            let matched = self.commit;
            self.send_after_sync(from, Body::Accepted { matched, mark });
            return;
        }
        let incoming = self.incoming_snapshot(index, snapshot_term);
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(&data);
        }
        let received = incoming.data.len() as u64;
        if received < total {
            let reply = Body::ChunkWanted {
                index,
                offset: received,
                mark,
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
                mark,
            },
        );
    }

    fn incoming_snapshot(&mut self, index: LogIndex, term: Term) -> &mut IncomingSnapshot {
        let same = self
            .incoming
            .as_ref()
            .is_some_and(|i| i.index == index && i.term == term);
        if !same {
            self.incoming = None;
        }
        self.incoming.get_or_insert_with(|| IncomingSnapshot {
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

    /// Makes this replica the only voter, for an operator to recover from a permanent loss of the
    /// quorum. Entries that only the lost replicas held are lost.
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
