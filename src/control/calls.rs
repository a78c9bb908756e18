//! Answers the calls of entry hosts through the replication group.

use std::marker::PhantomData;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::watch;
use tokio::time::Instant;

use super::entries::RenewStep;
use super::group::Group;
use super::machine::{Command, Machine};
use super::polls::{PollMode, PollStep};
use crate::ids::JobName;
use crate::placement::Placer;
use crate::replication::{ProposeError, ReadError};
use crate::state::Reply;
use crate::wire::{
    Answer, Call, EntryHello, EntryReport, JobSubmission, KeyClaim, KeySettlement,
    MinionAnnouncement, Refusal, RefusalKind, WorkerPoll,
};

/// Maximum time that a poll may wait for an answer, whatever the worker requests.
const MAX_POLL_WAIT: Duration = Duration::from_secs(20);

/// Maximum time for a command to be committed; long enough to outlast an election.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum rounds of proposals for one call. Joining, reporting and leaving take one each; the
/// rest is spare.
const MAX_ROUNDS: usize = 8;

/// Time after which a caller should retry when refused for overload or a held lease.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Name in the audit log for callers of entry hosts, who don't sign in.
const CALLER: &str = "caller";

/// Answers calls by proposing commands to a replication group and reading its state.
pub struct Calls<G, P> {
    pub(super) group: G,
    placer: PhantomData<fn() -> P>,
}

impl<G: Clone, P> Clone for Calls<G, P> {
    fn clone(&self) -> Self {
        Self::new(self.group.clone())
    }
}

impl<G, P> Calls<G, P> {
    /// Creates the answering side for this group.
    pub const fn new(group: G) -> Self {
        Self {
            group,
            placer: PhantomData,
        }
    }
}

impl<G, P> Calls<G, P>
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    /// Answers one call. `hello` is the first message of the entry host on this connection;
    /// renewals require it. `feed_sent` is the number of feed changes that the connection has sent.
    pub async fn answer(
        &self,
        hello: Option<&EntryHello>,
        feed_sent: watch::Receiver<u64>,
        call: Call,
    ) -> Answer {
        let answered = match call {
            Call::Renew(report) => match hello {
                Some(hello) => self.renew(hello.clone(), report, feed_sent).await,
                None => Ok(refusal(
                    RefusalKind::Invalid,
                    "a renewal needs a hello first",
                )),
            },
            Call::AnnounceMinion(minion) => self.announce(minion).await,
            Call::LeaveMinion(minion) => self.execute(Command::LeaveMinion(minion)).await,
            Call::PollWorker(poll) => self.poll(poll).await,
            Call::SubmitJob(submission) => self.submit(submission, CALLER.into()).await,
            Call::QueryJob(job) => self.query(job).await,
            Call::CancelJob(job) => self.cancel(job, CALLER.into()).await,
            Call::ClaimKey(claim) => self.claim(claim).await,
            Call::SettleKey(settlement) => self.settle(settlement).await,
            Call::Burn(delta) => self.execute(Command::Burn(delta)).await,
            Call::Http(_) => Ok(refusal(
                RefusalKind::Invalid,
                "operators' requests are answered by the daemon itself",
            )),
        };
        answered.unwrap_or_else(|error| error)
    }

    async fn poll(&self, poll: WorkerPoll) -> Result<Answer, Answer> {
        let deadline = Instant::now() + poll.wait.min(MAX_POLL_WAIT);
        let mut rounds = 0;
        loop {
            let mode = match Instant::now() < deadline {
                true => PollMode::Hold,
                false => PollMode::AnswerNow,
            };
            let req = poll.clone();
            let step = self.read(move |m, now| m.poll_worker(now, &req, mode));
            match step.await? {
                PollStep::Answer(tasks) => return Ok(Answer::Tasks(tasks)),
                PollStep::Propose(commands) => self.propose_round(commands, &mut rounds).await?,
                PollStep::Hold(mut changed) => {
                    let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
                }
            }
        }
    }

    /// Renews an entry host's lease. The answer follows the feed that the grant is based on:
    /// otherwise an entry host that joins again right after its lease expired would use minions
    /// under the new lease that its last feed still assigns to it, beside their new owners.
    async fn renew(
        &self,
        hello: EntryHello,
        report: EntryReport,
        mut feed_sent: watch::Receiver<u64>,
    ) -> Result<Answer, Answer> {
        let check = move |m: &mut Machine<P>, now| m.renew_entry(now, &hello, &report);
        let (ttl, changes) = self.grant_lease(check).await?;
        let sent = feed_sent.wait_for(|sent| *sent >= changes).await;
        sent.map_err(|_| Answer::Unknown)?;
        Ok(Answer::Lease(ttl))
    }

    async fn announce(&self, minion: MinionAnnouncement) -> Result<Answer, Answer> {
        let check = move |m: &mut Machine<P>, now| m.announce(now, &minion);
        let (ttl, _) = self.grant_lease(check).await?;
        Ok(Answer::Lease(ttl))
    }

    /// Grants a lease; returns its length and the number of feed changes at that time.
    async fn grant_lease(
        &self,
        check: impl Fn(&mut Machine<P>, Duration) -> RenewStep + Clone + Send + 'static,
    ) -> Result<(Duration, u64), Answer> {
        let mut rounds = 0;
        loop {
            let check = check.clone();
            let checked = move |m: &mut Machine<P>, now| (check(m, now), m.cell.feed_changes());
            let (step, changes) = self.read(checked).await?;
            match step {
                RenewStep::Granted(ttl) => return Ok((ttl, changes)),
                RenewStep::Propose(commands) => self.propose_round(commands, &mut rounds).await?,
                RenewStep::Held => {
                    let message = "another process of this name may still hold the lease";
                    return Err(refuse_with_retry(RefusalKind::Conflict, message));
                }
            }
        }
    }

    async fn propose_round(
        &self,
        commands: Vec<Command>,
        rounds: &mut usize,
    ) -> Result<(), Answer> {
        *rounds += 1;
        if *rounds > MAX_ROUNDS {
            let message = "the call did not settle; ask again";
            return Err(refuse_with_retry(RefusalKind::Overloaded, message));
        }
        for command in commands {
            self.propose(command).await?;
        }
        Ok(())
    }

    pub(super) async fn submit(
        &self,
        submission: JobSubmission,
        who: CompactString,
    ) -> Result<Answer, Answer> {
        self.execute(Command::SubmitJob { submission, who }).await
    }

    pub(super) async fn cancel(&self, job: JobName, who: CompactString) -> Result<Answer, Answer> {
        self.execute(Command::CancelJob { job, who }).await
    }

    pub(super) async fn query(&self, job: JobName) -> Result<Answer, Answer> {
        let name = job.clone();
        let view = self.read(move |m, now| m.job_view(now, &name)).await?;
        Ok(match view {
            Some(view) => Answer::Job(view),
            None => refusal(RefusalKind::NotFound, format!("there is no job {job}")),
        })
    }

    async fn claim(&self, claim: KeyClaim) -> Result<Answer, Answer> {
        self.execute(Command::ClaimKey(claim)).await
    }

    async fn settle(&self, settlement: KeySettlement) -> Result<Answer, Answer> {
        self.execute(Command::SettleKey(settlement)).await
    }

    async fn execute(&self, command: Command) -> Result<Answer, Answer> {
        let reply = self.propose(command).await?;
        Ok(match reply {
            Reply::Ok | Reply::Revision(_) | Reply::Stale(_) => Answer::Ok,
            Reply::Job(view) => Answer::Job(view),
            Reply::Key(state) => Answer::Key(state),
            Reply::Refused(refusal) => Answer::Refused(refusal),
        })
    }

    pub(super) async fn propose(&self, command: Command) -> Result<Reply, Answer> {
        let bytes = command
            .to_bytes()
            .map_err(|e| refusal(RefusalKind::Invalid, e.to_string()))?;
        let proposed = tokio::time::timeout(PROPOSE_TIMEOUT, self.group.propose(bytes)).await;
        // Without the timeout a proposal that is never committed would block its caller forever.
        // The command may still be committed later, so the outcome is unknown; a resend under
        // the same key returns it.
        let Ok(proposed) = proposed else {
            return Err(Answer::Unknown);
        };
        proposed.map_err(|e| match e {
            ProposeError::NotLeader { leader } => Answer::NotLeader(leader),
            ProposeError::Overloaded(message) => {
                refuse_with_retry(RefusalKind::Overloaded, message)
            }
            ProposeError::Expired | ProposeError::Unknown => Answer::Unknown,
            ProposeError::Stopping => Answer::NotLeader(None),
        })
    }

    pub(super) async fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&mut Machine<P>, Duration) -> R + Send + 'static,
    ) -> Result<R, Answer> {
        self.group.read(read).await.map_err(|e| match e {
            ReadError::NotLeader { leader } => Answer::NotLeader(leader),
            ReadError::Stopping => Answer::NotLeader(None),
        })
    }
}

fn refusal(kind: RefusalKind, message: impl Into<String>) -> Answer {
    Answer::Refused(Refusal {
        kind,
        message: message.into(),
        retry_after: None,
    })
}

fn refuse_with_retry(kind: RefusalKind, message: impl Into<String>) -> Answer {
    Answer::Refused(Refusal {
        kind,
        message: message.into(),
        retry_after: Some(RETRY_AFTER),
    })
}
