//! Confirmation of leadership, by the leader lease or by a heartbeat round, and the reads that wait
//! for it.

use super::{Core, Effect, ReadId, Refused};
use crate::ids::{LogIndex, Term, Timestamp};

/// Length of the leader lease as a share of the election timeout, counted from the send time of an
/// answered heartbeat. The rest allows for clocks that run at different rates.
const LEASE_SHARE: f64 = 0.9;

/// A read that waits for a heartbeat round.
pub(super) struct Read {
    id: ReadId,
    /// Heartbeat round that a majority must answer first.
    round: u64,
    /// Entry that must be applied first.
    index: LogIndex,
}

impl Core {
    /// Starts a read, which may run after a `ReadsReady` with its number or a higher one.
    pub(crate) fn read(&mut self, now: Timestamp) -> Result<ReadId, Refused> {
        self.check_leadership(now);
        let acked = self.acked_round();
        let read_now = !self.cfg.safeguards.read_after_round;
        let commit = self.commit;
        let Some(leading) = &mut self.leading else {
            return Err(Refused::NotLeader);
        };
        if leading.transfer.is_some() {
            return Err(Refused::NotLeader);
        }
        leading.last_read += 1;
        let id = leading.last_read;
        let idle = leading.reads.is_empty() || acked >= leading.round;
        let round = if read_now { 0 } else { leading.round + 1 };
        leading.reads.push_back(Read {
            id,
            round,
            index: commit.max(leading.first_index),
        });
        if idle {
            self.start_heartbeat_round(now);
        }
        self.release_reads(now);
        Ok(id)
    }

    /// Whether this replica may act as the leader at `now`: it holds the leader lease, and
    /// `Effect::Leadership` of this term has been executed on its state machine. A committed entry
    /// is not enough: until the effects are executed, the state lacks entries that earlier leaders
    /// have acknowledged.
    pub(crate) fn is_confirmed(&self, now: Timestamp) -> bool {
        self.leading.as_ref().is_some_and(|l| l.machine_leads)
            && (!self.cfg.safeguards.check_quorum || now < self.lease_until(now))
    }

    /// End of the leader lease: until then, a majority does not vote for another leader.
    pub(super) fn lease_until(&self, now: Timestamp) -> Timestamp {
        let sent_at = self
            .members
            .quorum_value(|id| self.progress(id).map_or(now, |p| p.mark.sent_at));
        sent_at + self.cfg.election_timeout.mul_f64(LEASE_SHARE)
    }

    fn acked_round(&self) -> u64 {
        self.members
            .quorum_value(|id| self.progress(id).map_or(u64::MAX, |p| p.mark.round))
    }

    /// Once the first entry of this leadership is committed, requests that the state machine is told.
    pub(super) fn note_first_commit(&mut self) {
        let (commit, term) = (self.commit, self.hard.term);
        let act_at_once = !self.cfg.safeguards.apply_before_acting;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if !leading.first_entry_committed && commit >= leading.first_index {
            leading.first_entry_committed = true;
            leading.machine_leads = act_at_once;
            self.effects.push(Effect::Leadership(Some(term)));
        }
    }

    /// Reports that `Effect::Leadership` of `term` is executed. Another term may have begun since.
    pub(crate) fn leadership_applied(&mut self, now: Timestamp, term: Term) {
        self.check_leadership(now);
        if term != self.hard.term {
            return;
        }
        if let Some(leading) = &mut self.leading {
            leading.machine_leads = true;
        }
        self.release_reads(now);
    }

    /// Releases the reads whose heartbeat round a majority has answered and whose entries are
    /// handed over in an earlier `Effect::Apply`.
    pub(super) fn release_reads(&mut self, now: Timestamp) {
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
            self.start_heartbeat_round(now);
        }
    }
}
