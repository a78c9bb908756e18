//! The consensus core (Raft): one replica as a pure state machine. It takes events and the current
//! time, and returns effects in the order in which they must be executed.

mod config;
mod effect;
mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod membership_changes;
mod message;
mod progress;
mod reads;
mod recovered;

use std::collections::{BTreeSet, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::machine::{Announcement, ReplicaStatus, Role};
use crate::ids::{LogIndex, ReplicaId, Term, Timestamp};

pub(crate) use config::{CoreConfig, Safeguards};
pub(crate) use effect::{Effect, Refused};
pub use effect::{Save, SaveSnapshot};
pub use log::{Entry, HardState, Payload, Snapshot};
pub use membership::{Member, Membership};
pub use message::{Body, HeartbeatMark, Message};
pub(crate) use recovered::LogState;
pub use recovered::Recovered;

use follower::IncomingSnapshot;
use leader::LeaderState;
pub(crate) use log::Log;

/// Number of a read in one leadership, in the order of the calls.
pub(crate) type ReadId = u64;
/// Number of a save, in the order in which saves must reach the disk.
pub(crate) type SaveSeq = u64;

/// Time to the next pre-vote after a leader's message, a vote or a candidacy, in election timeouts.
/// Others grant it only after a whole timeout, and the random part keeps candidates apart.
const ELECTION_PAUSE: Range<f64> = 1.0..2.0;
/// Time between two pre-votes, in election timeouts. A round trip and a sync take a tenth of a
/// timeout, and two simultaneous candidates should differ by more.
///
/// Replicas that have just started refuse for one election timeout, as they may have heard a leader
/// before. After a power loss they start one after the other, so the first pre-votes come too early;
/// with a whole timeout between two, a leader was elected only 0.9 s after the third of five had
/// started. A pre-vote changes no term, so frequent ones are safe.
const PRE_VOTE_PAUSE: Range<f64> = 0.15..0.4;
/// Time from a start to the first pre-vote, in election timeouts: just after replicas that started
/// at about the same time can grant it. An active leader is heard long before.
const FIRST_PRE_VOTE: Range<f64> = 1.075..1.2;

/// State of one replica.
pub(crate) struct Core {
    cfg: CoreConfig,
    rng: ChaCha8Rng,
    hard: HardState,
    log: Log,
    members: Membership,
    members_index: LogIndex,
    commit: LogIndex,
    /// Last entry handed over in `Effect::Apply` or `Effect::Restore`; applied once that is executed.
    applied: LogIndex,
    role: Role,
    leader: Option<ReplicaId>,
    /// Time of the last message from a leader; before any, of the start of this process.
    leader_heard_at: Timestamp,
    election_at: Timestamp,
    votes: BTreeSet<ReplicaId>,
    leading: Option<LeaderState>,
    incoming: Option<IncomingSnapshot>,
    disk_full: bool,
    announced_at: Option<Timestamp>,
    /// The last announcement of another replica that arrived.
    announcement: Option<Announcement>,
    taking_snapshot: bool,
    // Saves not yet synced, and the messages that wait for them.
    save: Save,
    last_seq: SaveSeq,
    synced_seq: SaveSeq,
    saving: VecDeque<(SaveSeq, LogIndex)>,
    /// Last synced entry.
    stable: LogIndex,
    awaiting_sync: VecDeque<(SaveSeq, Message)>,
    effects: Vec<Effect>,
}

impl Core {
    pub(crate) fn new(cfg: CoreConfig, seed: u64, now: Timestamp, found: Recovered) -> Self {
        let snapshot = Arc::new(found.snapshot);
        let log = Log::new(snapshot.clone(), found.base, found.entries);
        let (members_index, members) = log.members(LogIndex::MAX);
        let mut core = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            hard: found.hard,
            members,
            members_index,
            commit: snapshot.index,
            applied: snapshot.index,
            role: Role::Learner,
            leader: None,
            leader_heard_at: if cfg.safeguards.no_vote_after_restart {
                now
            } else {
                Timestamp::ZERO
            },
            election_at: now,
            votes: BTreeSet::new(),
            leading: None,
            incoming: None,
            disk_full: false,
            announced_at: None,
            announcement: None,
            taking_snapshot: false,
            save: Save::default(),
            last_seq: 0,
            synced_seq: 0,
            saving: VecDeque::new(),
            stable: log.last_index(),
            awaiting_sync: VecDeque::new(),
            effects: Vec::new(),
            log,
            cfg,
        };
        if snapshot.index > 0 {
            core.effects.push(Effect::Restore(snapshot));
        }
        core.role = core.non_leader_role();
        core.schedule_pre_vote(now, FIRST_PRE_VOTE);
        if core.members.voters.len() == 1 && core.is_voter() {
            core.election_at = now;
        }
        core
    }

    /// Runs the timers of leader, follower or learner; called regularly.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.check_leadership(now);
        if self.leading.is_some() {
            self.tick_leader(now);
            return;
        }
        self.announce_if_needed(now);
        if now >= self.election_at && self.is_voter() && !self.disk_full {
            self.start_pre_vote(now);
        }
    }

    /// Handles a message from another replica.
    pub(crate) fn receive(&mut self, now: Timestamp, message: Message) {
        self.check_leadership(now);
        if let Body::Announce(member) = &message.body {
            let member = member.clone();
            self.on_announce(now, message, member);
            return;
        }
        if message.to != self.cfg.id {
            return;
        }
        if message.term > self.hard.term && !self.accepts_term(now, &message) {
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVote {
                last_index,
                last_term,
            } => self.on_pre_vote(now, from, term, (last_term, last_index)),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, from, term, granted),
            Body::Vote {
                last_index,
                last_term,
                transfer,
            } => self.on_vote(now, from, term, (last_term, last_index), transfer),
            Body::VoteReply { granted } => self.on_vote_reply(now, from, term, granted),
            Body::TimeoutNow => self.on_timeout_now(now, term),
            Body::Append { .. } | Body::Chunk { .. } => {
                self.on_leader_message(now, from, term, body);
            }
            Body::Accepted { .. } | Body::Rejected { .. } | Body::ChunkWanted { .. } => {
                self.on_follower_reply(now, from, term, body);
            }
            Body::Announce(_) => {}
        }
    }

    /// Reports that all saves up to `seq` are synced.
    pub(crate) fn saved(&mut self, now: Timestamp, seq: SaveSeq) {
        self.check_leadership(now);
        self.synced_seq = self.synced_seq.max(seq);
        while let Some((s, last)) = self.saving.front().copied()
            && s <= self.synced_seq
        {
            self.saving.pop_front();
            self.stable = self.stable.max(last);
        }
        while self
            .awaiting_sync
            .front()
            .is_some_and(|(s, _)| *s <= self.synced_seq)
        {
            let (_, message) = self.awaiting_sync.pop_front().expect("checked above");
            self.deliver(now, message);
        }
        self.advance_commit(now);
    }

    /// Reports whether the disk is full.
    pub(crate) fn disk_full(&mut self, now: Timestamp, full: bool) {
        self.disk_full = full;
        if full {
            // A leader with a full disk would refuse every proposal; another replica may have space.
            self.step_down(now, None);
        }
    }

    /// Stores the state machine's snapshot of the state applied up to `index`.
    pub(crate) fn snapshot_taken(&mut self, index: LogIndex, data: impl Into<bytes::Bytes>) {
        self.taking_snapshot = false;
        if index <= self.log.snapshot().index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let at = self.log.get(index).map_or(self.log.snapshot().at, |e| e.at);
        let (_, members) = self.log.members(index);
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            at,
            members,
            data: data.into(),
        });
        let keep_after = self.log.index_keeping(self.cfg.snapshot_bytes / 4, index);
        self.log.cut(snapshot, keep_after);
        self.save_whole_log();
    }

    /// Returns the effects to execute, in order.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        self.flush_save();
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn status(&self, now: Timestamp) -> ReplicaStatus {
        let leader = self.leader;
        ReplicaStatus {
            id: self.cfg.id,
            role: self.role,
            term: self.hard.term,
            leader,
            leader_addr: leader.and_then(|id| self.members.get(id).map(|m| m.call_addr)),
            committed: self.commit,
            applied: self.applied,
            voters: self.members.voters.keys().copied().collect(),
            learners: self.members.learners.keys().copied().collect(),
            call_addrs: self.members.call_addrs(),
            silent_voters: self.silent_voters(now),
            announcement: self.announcement,
        }
    }

    /// Last entry known to be committed.
    pub(crate) fn committed(&self) -> LogIndex {
        self.commit
    }

    pub(crate) fn members(&self) -> &Membership {
        &self.members
    }

    pub(crate) fn id(&self) -> ReplicaId {
        self.cfg.id
    }

    pub(crate) fn own_addr(&self) -> std::net::SocketAddr {
        self.cfg.member.addr
    }

    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    pub(crate) fn term(&self) -> Term {
        self.hard.term
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.leading.is_some()
    }

    fn is_voter(&self) -> bool {
        self.members.voters.contains_key(&self.cfg.id)
    }

    fn non_leader_role(&self) -> Role {
        if self.is_voter() {
            Role::Follower
        } else {
            Role::Learner
        }
    }

    fn postpone_election(&mut self, now: Timestamp) {
        self.schedule_pre_vote(now, ELECTION_PAUSE);
    }

    /// Sets the time of the next pre-vote to a random point in a range of election timeouts.
    fn schedule_pre_vote(&mut self, now: Timestamp, timeouts: Range<f64>) {
        let factor = self.rng.random_range(timeouts);
        self.election_at = now + self.cfg.election_timeout.mul_f64(factor);
    }

    fn set_hard(&mut self, hard: HardState) {
        if self.hard != hard {
            self.hard = hard;
            self.save.hard = Some(hard);
        }
    }

    fn append_entry(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.log.append(entry.clone());
        self.save.entries.push(entry);
    }

    fn truncate_log(&mut self, from: LogIndex) {
        self.log.truncate(from);
        self.save.entries.retain(|e| e.index < from);
        self.stable = self.stable.min(from - 1);
        for (_, last) in &mut self.saving {
            *last = (*last).min(from - 1);
        }
        (self.members_index, self.members) = self.log.members(LogIndex::MAX);
    }

    fn save_whole_log(&mut self) {
        let last = self.log.last_index();
        let base = self.log.base();
        let kept = self.log.range(base.0 + 1, last);
        // `kept` includes every entry that was still to be saved.
        self.save.entries.clear();
        self.save.hard = None;
        self.save.snapshot = Some(SaveSnapshot {
            snapshot: self.log.snapshot().clone(),
            hard: self.hard,
            base,
            kept,
        });
    }

    fn has_unsaved(&self) -> bool {
        self.save.hard.is_some() || !self.save.entries.is_empty() || self.save.snapshot.is_some()
    }

    fn flush_save(&mut self) {
        if !self.has_unsaved() {
            return;
        }
        self.last_seq += 1;
        let mut save = std::mem::take(&mut self.save);
        save.seq = self.last_seq;
        self.saving.push_back((save.seq, self.log.last_index()));
        self.effects.push(Effect::Save(save));
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            from: self.cfg.id,
            to,
            term: self.hard.term,
            body,
        }
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.effects.push(Effect::Send(message));
    }

    /// Sends the message once all state changes so far are synced.
    ///
    /// After a crash, the replica would not remember a vote or reply that it had sent earlier: it
    /// could vote twice, or a committed entry would be missing from its majority.
    fn send_after_sync(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        let needed = if self.has_unsaved() {
            self.last_seq + 1
        } else {
            self.last_seq
        };
        if needed <= self.synced_seq || !self.cfg.safeguards.sync_before_answer {
            self.effects.push(Effect::Send(message));
        } else {
            self.awaiting_sync.push_back((needed, message));
        }
    }

    /// Sends a message that waited for a sync. The replica's vote for itself is counted here.
    fn deliver(&mut self, now: Timestamp, message: Message) {
        if message.to != self.cfg.id {
            self.effects.push(Effect::Send(message));
        } else if let Body::VoteReply { granted } = message.body {
            self.on_vote_reply(now, message.from, message.term, granted);
        }
    }

    /// Hands over committed entries to be applied, and requests a snapshot once the log exceeds its size limit.
    fn apply_committed(&mut self) {
        if self.commit > self.applied {
            let entries = self.log.range(self.applied + 1, self.commit);
            self.applied = self.commit;
            self.effects.push(Effect::Apply(entries));
        }
        let newer = self.applied - self.log.snapshot().index;
        if self.log.bytes() > self.cfg.snapshot_bytes && newer > 0 && !self.taking_snapshot {
            self.taking_snapshot = true;
            self.effects.push(Effect::TakeSnapshot(self.applied));
        }
    }

    /// Whether a leader's message has arrived within the last election timeout.
    fn hears_leader(&self, now: Timestamp) -> bool {
        self.leader.is_some() && now < self.leader_heard_at + self.cfg.election_timeout
    }

    fn announce_if_needed(&mut self, now: Timestamp) {
        let is_member = self.members.get(self.cfg.id) == Some(&self.cfg.member);
        let due = self
            .announced_at
            .is_none_or(|at| now >= at + self.cfg.election_timeout);
        if (is_member && self.hears_leader(now)) || !due {
            return;
        }
        self.announced_at = Some(now);
        let message = self.message(0, Body::Announce(self.cfg.member.clone()));
        self.effects.push(Effect::Announce(message));
        if !self.is_voter() && self.role == Role::Learner {
            self.postpone_election(now);
        }
    }
}
