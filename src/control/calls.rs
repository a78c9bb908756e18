//! Answers to the calls of entry hosts.

use std::marker::PhantomData;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::entries::RenewStep;
use super::group::Group;
use super::machine::{Command, Machine};
use super::polls::{Patience, PollStep};
use crate::ids::JobName;
use crate::placement::Placer;
use crate::replication::{ProposeError, ReadError};
use crate::state::Reply;
use crate::wire::{
    Answer, Call, EntryHello, EntryReport, JobSubmission, KeyClaim, KeySettlement,
    MinionAnnouncement, Refusal, RefusalKind, WorkerPoll,
};

/// Longest time for which a poll's answer is held back, whatever the worker asks for.
const MAX_POLL_WAIT: Duration = Duration::from_secs(20);

/// Longest time for a command to be agreed; an election takes a small part of it.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Rounds of proposals one call may need: join, report, leave, and spare.
const MAX_ROUNDS: usize = 8;

/// When a caller should come back after a refusal for overload or a held lease.
const COME_BACK: Duration = Duration::from_millis(500);

/// Name in the audit log for callers at an entry host, who do not sign in.
const CALLER: &str = "caller";

/// Answers calls through the group.
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
    /// Answers calls through this group.
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
    /// Answers one call. `hello` is the entry host's introduction on this connection.
    pub async fn answer(&self, hello: Option<&EntryHello>, call: Call) -> Answer {
        let answered = match call {
            Call::Renew(report) => match hello {
                Some(hello) => self.renew(hello.clone(), report).await,
                None => Ok(refusal(
                    RefusalKind::Invalid,
                    "a renewal needs a hello first",
                )),
            },
            Call::AnnounceMinion(minion) => self.announce(minion).await,
            Call::LeaveMinion(minion) => self.agree(Command::LeaveMinion(minion)).await,
            Call::PollWorker(poll) => self.poll(poll).await,
            Call::SubmitJob(submission) => self.submit(submission, CALLER.into()).await,
            Call::QueryJob(job) => self.query(job).await,
            Call::CancelJob(job) => self.cancel(job, CALLER.into()).await,
            Call::ClaimKey(claim) => self.claim(claim).await,
            Call::SettleKey(settlement) => self.settle(settlement).await,
            Call::Burn(delta) => self.agree(Command::Burn(delta)).await,
            Call::Http(_) => Ok(refusal(
                RefusalKind::Invalid,
                "operators' requests are answered by the daemon itself",
            )),
        };
        answered.unwrap_or_else(|failed| failed)
    }

    async fn poll(&self, poll: WorkerPoll) -> Result<Answer, Answer> {
        let deadline = Instant::now() + poll.wait.min(MAX_POLL_WAIT);
        let mut rounds = 0;
        loop {
            let patience = match Instant::now() < deadline {
                true => Patience::Hold,
                false => Patience::AnswerNow,
            };
            let asked = poll.clone();
            let step = self.read(move |m, now| m.poll_worker(now, &asked, patience));
            match step.await? {
                PollStep::Answer(tasks) => return Ok(Answer::Tasks(tasks)),
                PollStep::Propose(commands) => self.round(commands, &mut rounds).await?,
                PollStep::Hold(mut changed) => {
                    let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
                }
            }
        }
    }

    async fn renew(&self, hello: EntryHello, report: EntryReport) -> Result<Answer, Answer> {
        self.renewal(move |m, now| m.renew_entry(now, &hello, &report))
            .await
    }

    async fn announce(&self, minion: MinionAnnouncement) -> Result<Answer, Answer> {
        self.renewal(move |m, now| m.announce(now, &minion)).await
    }

    async fn renewal(
        &self,
        look: impl Fn(&mut Machine<P>, Duration) -> RenewStep + Clone + Send + 'static,
    ) -> Result<Answer, Answer> {
        let mut rounds = 0;
        loop {
            let look = look.clone();
            match self.read(move |m, now| look(m, now)).await? {
                RenewStep::Granted(ttl) => return Ok(Answer::Lease(ttl)),
                RenewStep::Propose(commands) => self.round(commands, &mut rounds).await?,
                RenewStep::Held => {
                    let message = "another process of this name may still hold the lease";
                    return Ok(come_back(RefusalKind::Conflict, message));
                }
            }
        }
    }

    async fn round(&self, commands: Vec<Command>, rounds: &mut usize) -> Result<(), Answer> {
        *rounds += 1;
        if *rounds > MAX_ROUNDS {
            let message = "the call did not settle; ask again";
            return Err(come_back(RefusalKind::Overloaded, message));
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
        self.agree(Command::SubmitJob { submission, who }).await
    }

    pub(super) async fn cancel(&self, job: JobName, who: CompactString) -> Result<Answer, Answer> {
        self.agree(Command::CancelJob { job, who }).await
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
        self.agree(Command::ClaimKey(claim)).await
    }

    async fn settle(&self, settlement: KeySettlement) -> Result<Answer, Answer> {
        self.agree(Command::SettleKey(settlement)).await
    }

    async fn agree(&self, command: Command) -> Result<Answer, Answer> {
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
        let agreed = tokio::time::timeout(PROPOSE_TIMEOUT, self.group.propose(bytes)).await;
        // A proposal that waits without end keeps its caller waiting without end. The command
        // may still be agreed, so its outcome is unknown and the key tells it later.
        let Ok(agreed) = agreed else {
            return Err(Answer::Unknown);
        };
        agreed.map_err(|e| match e {
            ProposeError::NotLeader { leader } => Answer::NotLeader(leader),
            ProposeError::Overloaded(message) => come_back(RefusalKind::Overloaded, message),
            ProposeError::Unknown => Answer::Unknown,
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

fn come_back(kind: RefusalKind, message: impl Into<String>) -> Answer {
    Answer::Refused(Refusal {
        kind,
        message: message.into(),
        retry_after: Some(COME_BACK),
    })
}
