//! The leader's side: proposals, replication, commitment and reads.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use super::progress::{MAX_IN_FLIGHT, Mode, Progress};
use super::{Beat, Body, Core, Effect, Entry, Payload, ReadId, Refused, Role};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

/// Share of the election timeout for which a heartbeat's answer confirms leadership. The rest
/// covers clocks that run at different rates.
const CONFIRMED_SHARE: f64 = 0.9;

/// State that exists only while this replica leads.
pub(super) struct Leading {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    began_at: Timestamp,
    /// The entry that opened this term.
    first_index: LogIndex,
    /// That entry is committed.
    pub(super) established: bool,
    round: u64,
    pub(super) beat_at: Timestamp,
    reads: VecDeque<Read>,
    next_read: ReadId,
    handing_over: Option<HandOver>,
}

struct Read {
    id: ReadId,
    round: u64,
    index: LogIndex,
}

struct HandOver {
    to: ReplicaId,
    until: Timestamp,
}

impl Core {
    pub(super) fn begin_leading(&mut self, now: Timestamp) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        let last = self.log.last_index();
        self.leading = Some(Leading {
            progress: BTreeMap::new(),
            began_at: now,
            first_index: last + 1,
            established: false,
            round: 0,
            beat_at: now,
            reads: VecDeque::new(),
            next_read: 0,
            handing_over: None,
        });
        self.track_members(now);
        self.append(Payload::Noop, self.log.last_at());
        self.beat(now);
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

    /// Appends a command; `unix` is the present Unix time.
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
        if self
            .leading
            .as_ref()
            .is_none_or(|l| l.handing_over.is_some())
        {
            return Err(Refused::NotLeader);
        }
        Ok(self.append(Payload::Command(command.into()), unix))
    }

    /// Sends what was proposed since the last call. Separate from `propose` so that a burst of
    /// proposals travels together.
    pub(crate) fn replicate(&mut self, now: Timestamp) {
        for id in self.other_members() {
            self.feed(id, now);
        }
    }

    /// Starts a read; `ReadsReady` with its number or a later one tells that it may run.
    pub(crate) fn read(&mut self, now: Timestamp) -> Result<ReadId, Refused> {
        self.check_leadership(now);
        let acked = self.acked_round();
        let read_now = !self.cfg.safeguards.read_after_round;
        let commit = self.commit;
        let Some(leading) = &mut self.leading else {
            return Err(Refused::NotLeader);
        };
        if leading.handing_over.is_some() {
            return Err(Refused::NotLeader);
        }
        leading.next_read += 1;
        let id = leading.next_read;
        let idle = leading.reads.is_empty() || acked >= leading.round;
        let round = if read_now { 0 } else { leading.round + 1 };
        leading.reads.push_back(Read {
            id,
            round,
            index: commit.max(leading.first_index),
        });
        if idle {
            self.beat(now);
        }
        self.release_reads(now);
        Ok(id)
    }

    /// Whether this replica may act as the leader at `now`.
    pub(crate) fn is_confirmed(&self, now: Timestamp) -> bool {
        self.leading.as_ref().is_some_and(|l| l.established)
            && (!self.cfg.safeguards.check_quorum || now < self.confirmed_until(now))
    }

    /// End of the time for which a majority has promised not to elect another leader.
    fn confirmed_until(&self, now: Timestamp) -> Timestamp {
        let heard = self
            .members
            .quorum_value(|id| self.progress(id).map_or(now, |p| p.beat.sent_at));
        heard + self.cfg.election_timeout.mul_f64(CONFIRMED_SHARE)
    }

    pub(super) fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        self.leading.as_ref()?.progress.get(&id)
    }

    fn acked_round(&self) -> u64 {
        self.members
            .quorum_value(|id| self.progress(id).map_or(u64::MAX, |p| p.beat.round))
    }

    /// Gives leadership up once a majority has been silent for too long.
    ///
    /// Called first on every event with the time of that event: a replica that wakes from a
    /// pause finds here that another may lead by now, before anything of what it held leaves.
    pub(super) fn check_leadership(&mut self, now: Timestamp) {
        let Some(leading) = &self.leading else { return };
        if !self.cfg.safeguards.check_quorum {
            return;
        }
        let grace = leading.began_at + self.cfg.election_timeout;
        if now >= self.confirmed_until(now) && now >= grace {
            self.rest(now, None);
        }
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now >= leading.beat_at {
            for progress in leading.progress.values_mut() {
                progress.waits = false;
            }
            self.beat(now);
        }
        self.change_membership(now);
        self.continue_hand_over(now);
    }

    /// Starts a heartbeat round.
    fn beat(&mut self, now: Timestamp) {
        let heartbeat = self.cfg.heartbeat;
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.round += 1;
        leading.beat_at = now + heartbeat;
        for id in self.other_members() {
            if !self.feed(id, now) {
                self.send_heartbeat(id, now);
            }
        }
        self.release_reads(now);
    }

    pub(super) fn other_members(&self) -> Vec<ReplicaId> {
        let own = self.cfg.id;
        self.members.ids().filter(|id| *id != own).collect()
    }

    fn beat_mark(&self, now: Timestamp) -> Beat {
        Beat {
            round: self.leading.as_ref().map_or(0, |l| l.round),
            sent_at: now,
        }
    }

    /// Sends a member what it lacks; whether anything was sent.
    fn feed(&mut self, id: ReplicaId, now: Timestamp) -> bool {
        let mut sent = false;
        while self.feed_once(id, now) {
            sent = true;
        }
        sent
    }

    fn feed_once(&mut self, id: ReplicaId, now: Timestamp) -> bool {
        let beat = self.beat_mark(now);
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
            progress.waits = false;
        }
        let room = match progress.mode {
            Mode::Stream => progress.in_flight.len() < MAX_IN_FLIGHT,
            Mode::Probe | Mode::Snapshot { .. } => !progress.waits,
        };
        if !room {
            return false;
        }
        if matches!(progress.mode, Mode::Snapshot { .. }) {
            progress.waits = true;
            self.send_chunk(id, beat);
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
            _ => progress.waits = true,
        }
        self.send_append(id, prev_index, entries, beat);
        true
    }

    fn send_append(
        &mut self,
        id: ReplicaId,
        prev_index: LogIndex,
        entries: Vec<Entry>,
        beat: Beat,
    ) {
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        let commit = self.commit;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            beat,
        };
        self.send(id, body);
    }

    fn send_heartbeat(&mut self, id: ReplicaId, now: Timestamp) {
        let beat = self.beat_mark(now);
        let Some(progress) = self.progress(id) else {
            return;
        };
        let prev_index = match progress.mode {
            Mode::Snapshot { .. } => return,
            _ => progress.next - 1,
        };
        self.send_append(id, prev_index, Vec::new(), beat);
    }

    fn send_chunk(&mut self, id: ReplicaId, beat: Beat) {
        let snapshot = self.log.snapshot().clone();
        let size = self.cfg.chunk_bytes;
        let Some(progress) = self.leading.as_mut().and_then(|l| l.progress.get_mut(&id)) else {
            return;
        };
        let Mode::Snapshot { index, offset } = &mut progress.mode else {
            return;
        };
        if *index != snapshot.index {
            // A newer snapshot took its place: begin again with that.
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
            beat,
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
        let beat = match body {
            Body::Accepted { matched, beat } => {
                progress.accepted(matched);
                beat
            }
            Body::Rejected {
                prev_index,
                hint,
                beat,
            } => {
                progress.rejected(prev_index, hint);
                beat
            }
            Body::ChunkWanted {
                index,
                offset: wanted,
                beat,
            } => {
                if let Mode::Snapshot { index: i, offset } = &mut progress.mode
                    && *i == index
                {
                    *offset = wanted;
                    progress.waits = false;
                }
                beat
            }
            _ => return,
        };
        progress.beat = progress.beat.max(beat);
        self.advance_commit(now);
        self.feed(from, now);
        self.release_reads(now);
        self.continue_hand_over(now);
    }

    /// Commits what a majority has synced.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        if self.leading.is_none() {
            return;
        }
        let stable = self.stable;
        let reached = if self.cfg.safeguards.commit_majority {
            self.members
                .quorum_value(|id| self.progress(id).map_or(stable, |p| p.matched))
        } else {
            stable
        };
        // An entry of an earlier term may be held by a majority and still be overwritten by a
        // leader that never saw it; it is safe only under an entry of this term.
        let own_term = self.log.term_at(reached) == Some(self.hard.term)
            || !self.cfg.safeguards.commit_own_term;
        if reached > self.commit && own_term {
            self.commit = reached;
            self.apply_committed();
            self.establish();
            self.release_reads(now);
        }
    }

    fn establish(&mut self) {
        let commit = self.commit;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if !leading.established && commit >= leading.first_index {
            leading.established = true;
            self.effects.push(Effect::Leadership(true));
        }
    }

    /// Lets reads run whose round a majority has answered and whose entries are applied.
    fn release_reads(&mut self, now: Timestamp) {
        let acked = self.acked_round();
        let applied = self.applied;
        if !self.is_confirmed(now) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut ready = None;
        while let Some(read) = leading.reads.front()
            && read.round <= acked
            && read.index <= applied
        {
            ready = Some(read.id);
            leading.reads.pop_front();
        }
        let waiting = leading
            .reads
            .back()
            .is_some_and(|r| r.round > leading.round);
        let idle = acked >= leading.round;
        if let Some(id) = ready {
            self.effects.push(Effect::ReadsReady(id));
        }
        if waiting && idle {
            self.beat(now);
        }
    }

    /// Starts handing leadership to the voter that holds most of the log.
    pub(crate) fn hand_over(&mut self, now: Timestamp) {
        let until = now + self.cfg.election_timeout;
        let own = self.cfg.id;
        let voters = self.members.voters.keys().filter(|id| **id != own);
        let active = voters.filter(|id| self.is_active(**id, now));
        let best = active.max_by_key(|id| self.progress(**id).map(|p| p.matched));
        let Some(to) = best.copied() else { return };
        if let Some(leading) = &mut self.leading {
            leading.handing_over = Some(HandOver { to, until });
        }
        self.continue_hand_over(now);
    }

    fn continue_hand_over(&mut self, now: Timestamp) {
        let last = self.log.last_index();
        let all_committed = self.commit == last;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(HandOver { to, until }) = leading.handing_over else {
            return;
        };
        if now >= until {
            leading.handing_over = None;
            return;
        }
        let complete = leading.progress.get(&to).is_some_and(|p| p.matched == last);
        if complete && all_committed {
            leading.handing_over = None;
            // Leadership ends here, before the message can leave: the receiver's election is
            // not held back by the promise that followers gave to this leader.
            self.send(to, Body::TimeoutNow);
            if self.cfg.safeguards.hand_over_ends {
                self.rest(now, None);
            }
        }
    }
}
