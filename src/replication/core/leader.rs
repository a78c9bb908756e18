//! The leader's side: proposals, replication, commits and leadership transfer.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use super::progress::{MAX_IN_FLIGHT, Mode, Progress};
use super::reads::Read;
use super::{Body, Core, Entry, HeartbeatMark, Payload, ReadId, Refused, Role};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// State that exists only while this replica leads.
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    pub(super) began_at: Timestamp,
    /// Index of the no-op entry with which this leadership started.
    pub(super) first_index: LogIndex,
    /// That entry is committed. The state machine may not have applied it yet.
    pub(super) first_entry_committed: bool,
    /// The state machine has applied everything up to that entry and knows that it leads.
    pub(super) machine_leads: bool,
    /// Number of the latest heartbeat round.
    pub(super) round: u64,
    pub(super) next_heartbeat_at: Timestamp,
    pub(super) reads: VecDeque<Read>,
    /// Number of the latest read.
    pub(super) last_read: ReadId,
    pub(super) transfer: Option<LeadershipTransfer>,
}

pub(super) struct LeadershipTransfer {
    to: ReplicaId,
    until: Timestamp,
}

impl Core {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        let last = self.log.last_index();
        self.leading = Some(LeaderState {
            progress: BTreeMap::new(),
            began_at: now,
            first_index: last + 1,
            first_entry_committed: false,
            machine_leads: false,
            round: 0,
            next_heartbeat_at: now,
            reads: VecDeque::new(),
            last_read: 0,
            transfer: None,
        });
        self.track_members(now);
        self.append(Payload::Noop, self.log.last_at());
        self.start_heartbeat_round(now);
        self.advance_commit(now);
    }

    pub(super) fn append(&mut self, payload: Payload, at: Timestamp) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.append_entry(Entry {
            index,
            term: self.hard.term,
            at: if self.cfg.safeguards.time_forward {
                at.max(self.log.last_at())
            } else {
                at
            },
            payload,
        });
        index
    }

    /// Appends a command. `unix` is the current Unix time.
    pub(crate) fn propose(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        command: impl Into<Bytes>,
    ) -> Result<LogIndex, Refused> {
        self.check_leadership(now);
        if self.disk_full {
            return Err(Refused::DiskFull);
        }
        if self.leading.as_ref().is_none_or(|l| l.transfer.is_some()) {
            return Err(Refused::NotLeader);
        }
        Ok(self.append(Payload::Command(command.into()), unix))
    }

    /// Sends the entries appended since the last call. Separate from `propose` so that several
    /// proposals are sent in one message.
    pub(crate) fn replicate(&mut self, now: Timestamp) {
        for id in self.other_members() {
            self.replicate_to(id, now);
        }
    }

    pub(super) fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        self.leading.as_ref()?.progress.get(&id)
    }

    /// Steps down once the leader lease has expired.
    ///
    /// Every event calls this first, with the time of the event. A replica that resumes after a
    /// pause thus steps down before it sends any message that it prepared as leader, as another
    /// replica may lead by now.
    pub(super) fn check_leadership(&mut self, now: Timestamp) {
        let Some(leading) = &self.leading else { return };
        if !self.cfg.safeguards.check_quorum {
            return;
        }
        let grace_until = leading.began_at + self.cfg.election_timeout;
        if now >= self.lease_until(now) && now >= grace_until {
            self.step_down(now, None);
        }
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now >= leading.next_heartbeat_at {
            self.start_heartbeat_round(now);
        }
        self.change_membership(now);
        self.hand_over_as_learner(now);
        self.continue_transfer(now);
    }

    /// Starts a heartbeat round: every member gets entries or a heartbeat.
    ///
    /// Entries and parts of a snapshot that await a reply are not repeated; the reply to the heartbeat
    /// shows where to continue. A repetition would be up to a megabyte in each round to a member that
    /// is lost for good.
    pub(super) fn start_heartbeat_round(&mut self, now: Timestamp) {
        let heartbeat = self.cfg.heartbeat;
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.round += 1;
        leading.next_heartbeat_at = now + heartbeat;
        for id in self.other_members() {
            if !self.replicate_to(id, now) {
                self.send_heartbeat(id, now);
            }
        }
        self.release_reads(now);
    }

    pub(super) fn other_members(&self) -> Vec<ReplicaId> {
        let own = self.cfg.id;
        self.members.ids().filter(|id| *id != own).collect()
    }

    fn heartbeat_mark(&self, now: Timestamp) -> HeartbeatMark {
        HeartbeatMark {
            round: self.leading.as_ref().map_or(0, |l| l.round),
            sent_at: now,
        }
    }

    /// Sends a member the entries or snapshot parts that it lacks, and returns whether anything was
    /// sent.
    fn replicate_to(&mut self, id: ReplicaId, now: Timestamp) -> bool {
        let mut sent = false;
        while self.send_next_to(id, now) {
            sent = true;
        }
        sent
    }

    fn send_next_to(&mut self, id: ReplicaId, now: Timestamp) -> bool {
        let mark = self.heartbeat_mark(now);
        let Some(leading) = &mut self.leading else {
            return false;
        };
        let Some(progress) = leading.progress.get_mut(&id) else {
            return false;
        };
        if progress.next <= self.log.base().0 && !matches!(progress.mode, Mode::Snapshot { .. }) {
            progress.mode = Mode::Snapshot {
                index: self.log.snapshot().index,
                offset: 0,
            };
            progress.awaiting_reply = false;
        }
        let may_send = match progress.mode {
            Mode::Stream => progress.in_flight.len() < MAX_IN_FLIGHT,
            Mode::Probe | Mode::Snapshot { .. } => !progress.awaiting_reply,
        };
        if !may_send {
            return false;
        }
        if matches!(progress.mode, Mode::Snapshot { .. }) {
            progress.awaiting_reply = true;
            self.send_chunk(id, mark);
            return true;
        }
        if progress.next > self.log.last_index() {
            return false;
        }
        let entries = self.log.slice(progress.next, self.cfg.append_bytes);
        let prev_index = progress.next - 1;
        let last = prev_index + entries.len() as u64;
        match progress.mode {
            Mode::Stream => {
                progress.next = last + 1;
                progress.in_flight.push_back(last);
            }
            _ => progress.awaiting_reply = true,
        }
        self.send_append(id, prev_index, entries, mark);
        true
    }

    fn send_append(
        &mut self,
        id: ReplicaId,
        prev_index: LogIndex,
        entries: Vec<Entry>,
        mark: HeartbeatMark,
    ) {
        let prev_term = if prev_index == 0 {
            0
        } else {
            let Some(term) = self.log.term_at(prev_index) else {
                return;
            };
            term
        };
        let commit = self.commit;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            mark,
        };
        self.send(id, body);
    }

    fn send_heartbeat(&mut self, id: ReplicaId, now: Timestamp) {
        let mark = self.heartbeat_mark(now);
        let Some(progress) = self.progress(id) else {
            return;
        };
        let prev_index = match progress.mode {
            // Every log matches there.
            Mode::Snapshot { .. } => 0,
            _ => progress.next - 1,
        };
        self.send_append(id, prev_index, Vec::new(), mark);
    }

    fn send_chunk(&mut self, id: ReplicaId, mark: HeartbeatMark) {
        let snapshot = self.log.snapshot().clone();
        let size = self.cfg.chunk_bytes;
        let Some(progress) = self.leading.as_mut().and_then(|l| l.progress.get_mut(&id)) else {
            return;
        };
        let Mode::Snapshot { index, offset } = &mut progress.mode else {
            return;
        };
        if *index != snapshot.index {
            // A newer snapshot has replaced the one being sent: start over with the new one.
            *index = snapshot.index;
            *offset = 0;
        }
        let offset = *offset;
        let from = (offset as usize).min(snapshot.data.len());
        let to = (from + size).min(snapshot.data.len());
        let body = Body::Chunk {
            index: snapshot.index,
            snapshot_term: snapshot.term,
            at: snapshot.at,
            members: snapshot.members.clone(),
            offset,
            total: snapshot.data.len() as u64,
            data: snapshot.data.slice(from..to),
            mark,
        };
        self.send(id, body);
    }

    pub(super) fn on_follower_reply(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        body: Body,
    ) {
        if term != self.hard.term {
            return;
        }
        let Some(progress) = self
            .leading
            .as_mut()
            .and_then(|l| l.progress.get_mut(&from))
        else {
            return;
        };
        progress.active_at = now;
        let mark = match body {
            Body::Accepted { matched, mark } => {
                progress.accepted(matched);
                mark
            }
            Body::Rejected {
                prev_index,
                hint,
                mark,
            } => {
                progress.rejected(prev_index, hint);
                mark
            }
            Body::ChunkWanted {
                index,
                offset: wanted,
                mark,
            } => {
                if let Mode::Snapshot { index: i, offset } = &mut progress.mode
                    && *i == index
                {
                    *offset = wanted;
                    progress.awaiting_reply = false;
                }
                mark
            }
            _ => return,
        };
        progress.mark = progress.mark.max(mark);
        self.advance_commit(now);
        self.replicate_to(from, now);
        self.release_reads(now);
        self.continue_transfer(now);
    }

    /// Commits the entries that a majority has synced.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        if self.leading.is_none() {
            return;
        }
        let stable = match self.cfg.safeguards.sync_before_commit {
            true => self.stable,
            false => self.log.last_index(),
        };
        let reached = if self.cfg.safeguards.commit_majority {
            self.members
                .quorum_value(|id| self.progress(id).map_or(stable, |p| p.matched))
        } else {
            stable
        };
        // An entry of an earlier term may be on a majority of replicas and still be overwritten by
        // a later leader that lacks it. It is safe only once an entry of this term after it is on
        // a majority.
        let own_term = self.log.term_at(reached) == Some(self.hard.term)
            || !self.cfg.safeguards.commit_own_term;
        if reached > self.commit && own_term {
            self.commit = reached;
            self.apply_committed();
            self.note_first_commit();
            self.release_reads(now);
        }
    }

    /// Lets a voter lead in place of a learner, which no membership change would promote.
    fn hand_over_as_learner(&mut self, now: Timestamp) {
        let leading = self.leading.as_ref();
        let ready = leading.is_some_and(|l| l.first_entry_committed && l.transfer.is_none());
        if ready && !self.is_voter() {
            self.transfer_leadership(now);
        }
    }

    /// Starts a transfer of leadership to the active voter with the most entries; of equals to the one
    /// with the next id in turn, so that repeated transfers reach every voter. No proposal or read is
    /// accepted until the transfer succeeds or one election timeout has passed.
    pub(crate) fn transfer_leadership(&mut self, now: Timestamp) {
        let until = now + self.cfg.election_timeout;
        let own = self.cfg.id;
        let voters = self.members.voters.keys().filter(|id| **id != own);
        let active = voters.filter(|id| self.is_active(**id, now));
        let matched = |id: &ReplicaId| self.progress(*id).map(|p| p.matched);
        let best = active.max_by_key(|id| (matched(id), **id > own, Reverse(**id)));
        let Some(to) = best.copied() else { return };
        if let Some(leading) = &mut self.leading {
            leading.transfer = Some(LeadershipTransfer { to, until });
        }
        self.continue_transfer(now);
    }

    fn continue_transfer(&mut self, now: Timestamp) {
        let last = self.log.last_index();
        let all_committed = self.commit == last;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(LeadershipTransfer { to, until }) = leading.transfer else {
            return;
        };
        if now >= until {
            leading.transfer = None;
            return;
        }
        let complete = leading.progress.get(&to).is_some_and(|p| p.matched == last);
        if complete && all_committed {
            leading.transfer = None;
            // Steps down before the message can be sent: voters ignore this leader's lease in the
            // receiver's election.
            self.send(to, Body::TimeoutNow);
            if self.cfg.safeguards.step_down_before_transfer {
                self.step_down(now, None);
            }
        }
    }
}
