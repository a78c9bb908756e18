//! The state machine of the replicated log: the ledger and, while this replica leads, the
//! dispatcher.

use std::sync::Arc;

use tokio::sync::mpsc::UnboundedSender;

use super::agents::Unanswered;
use super::calls::{ClientAction, ClientCall, ClientReply, OperatorReply, RETRY_AFTER};
use super::dispatch::{
    Advice, DispatchConfig, Dispatcher, MinionAnswer, Order, OrderKind, QuestionId, Submission,
    Verdict,
};
use super::drain_times::DrainTimes;
use super::ledger::{Command, Ledger, Reply};
use super::model::{ConfigVersion, JobId, MinionNumber, MinionReport};
use crate::error::Result;
use crate::ids::{LogIndex, MinionId, Term, Timestamp};
use crate::replication::{StateMachine, monotonic_now, unix_now};

/// Length of a job id in bytes.
const JOB_ID_LENGTH: usize = 16;
/// Reason for which a request to a queue is invalid.
const NO_JOB_ID: &str = "no job id of 16 hexadecimal digits follows the prefix of the queue";

/// The replicated ledger and the leader's volatile state.
pub struct Machine {
    pub(crate) ledger: Ledger,
    cfg: DispatchConfig,
    term: Term,
    /// `Some` while this replica leads.
    dispatcher: Option<Dispatcher>,
    /// Encoded batches of this leader that the log rejected, oldest first; proposed again. If they
    /// were dropped, the ends in them would never be committed, and since they still count as in
    /// flight, no further batches would be proposed.
    rejected_batches: Vec<Vec<u8>>,
    drain_times: DrainTimes,
    /// Number of processes that can send orders and ask questions on the leader's behalf.
    agents: usize,
    /// Orders to the driver. The channel needs no bound: the dispatcher limits the orders in
    /// flight.
    orders: UnboundedSender<Vec<Order>>,
}

/// An order to a minion and its answer, or what stands for a missing one.
pub struct OrderOutcome {
    /// Minion that the order was for.
    pub minion: MinionNumber,
    /// Kind of the order, with the run that it was for.
    pub order: OrderKind,
    /// When the order was sent, by the leader's monotonic clock.
    pub sent: Timestamp,
    /// The minion's answer, or what stands for a missing one.
    pub answer: MinionAnswer,
}

/// How a caller's request is to be served.
#[derive(Debug)]
pub enum Admission {
    /// Answered immediately from the ledger.
    Answer(ClientReply),
    /// Answered after this command is committed.
    Propose(Box<Command>),
}

impl Machine {
    /// Creates a follower with an empty ledger that sends its orders to `orders` once it leads.
    pub fn new(cfg: DispatchConfig, orders: UnboundedSender<Vec<Order>>) -> Self {
        Self {
            ledger: Ledger::default(),
            cfg,
            term: 0,
            dispatcher: None,
            rejected_batches: Vec::new(),
            drain_times: DrainTimes::default(),
            agents: 0,
            orders,
        }
    }

    /// Decides how to serve a caller's request at `now`, in monotonic time. Call it only while
    /// leadership is confirmed: on a deposed leader the ledger may be stale.
    pub fn admit(&mut self, now: Timestamp, call: ClientCall) -> Admission {
        let Some(config) = &self.ledger.config else {
            return Admission::Answer(ClientReply::Unavailable(RETRY_AFTER));
        };
        let Some((queue, rest)) = config.parsed.route(&call.host, &call.path) else {
            return Admission::Answer(ClientReply::NoQueue);
        };
        let Some(caller) = config.parsed.caller(queue, call.key.as_ref()) else {
            return Admission::Answer(ClientReply::Unauthenticated);
        };
        let job = match (&call.action, parse_job_id(rest)) {
            (ClientAction::PendingCount | ClientAction::State, None) if rest.is_empty() => {
                let pending = self.ledger.pending(&queue.host, &queue.prefix);
                return Admission::Answer(ClientReply::PendingCount(pending as u64));
            }
            // Entry hosts of earlier versions send this for any request whose path they could not
            // split, changes included. One of this version may get the next attempt.
            (ClientAction::PendingCount, Some(_)) => {
                return Admission::Answer(ClientReply::Unavailable(RETRY_AFTER));
            }
            (_, Some(job)) => job,
            (_, None) => return Admission::Answer(ClientReply::Invalid(NO_JOB_ID.into())),
        };
        let existing = self.ledger.jobs.get(&job);
        let cancels = &self.ledger.early_cancels;
        let visible = existing.filter(|j| j.is_in(queue) && caller.may_access(j.owner.as_ref()));
        match call.action {
            ClientAction::Submit(_) if visible.is_some() => {
                Admission::Answer(ClientReply::Accepted)
            }
            ClientAction::Submit(_) if existing.is_some() => {
                Admission::Answer(ClientReply::IdTaken)
            }
            ClientAction::Submit(spec) => {
                let new = Submission {
                    job,
                    queue: Arc::new(queue.clone()),
                    owner: caller.into_owner(),
                    spec,
                };
                // It takes no capacity: it is recorded as cancelled.
                if cancels.covers(job, &queue.key(), new.owner.as_ref()) {
                    return propose_submission(new);
                }
                admit_job(self.dispatcher.as_mut(), now, &self.ledger, new)
            }
            ClientAction::State => Admission::Answer(match visible {
                Some(visible) => ClientReply::State(visible.state),
                None => ClientReply::NotFound,
            }),
            ClientAction::Cancel => match visible {
                None => {
                    let (key, owner) = (queue.key(), caller.into_owner());
                    if cancels.is_recent(job, &key, owner.as_ref()) {
                        return Admission::Answer(ClientReply::NotFound);
                    }
                    if !cancels.has_room(owner.as_ref()) {
                        return Admission::Answer(ClientReply::Unavailable(RETRY_AFTER));
                    }
                    Admission::Propose(Box::new(Command::CancelUnknown {
                        job,
                        queue: key,
                        owner,
                    }))
                }
                Some(visible) if visible.state.is_final() => {
                    Admission::Answer(ClientReply::Accepted)
                }
                Some(_) => Admission::Propose(Box::new(Command::Cancel { job })),
            },
            ClientAction::PendingCount => Admission::Answer(ClientReply::NoQueue),
        }
    }

    /// The configuration in force, as the operator sent it.
    pub(crate) fn config_document(&self) -> OperatorReply {
        match &self.ledger.config {
            Some(config) => OperatorReply::Document(config.document.clone()),
            None => OperatorReply::Unavailable,
        }
    }

    /// Whether there is a configuration.
    pub(crate) fn has_config(&self) -> bool {
        self.ledger.config.is_some()
    }

    /// Whether a configuration of this version would take effect.
    pub(crate) fn is_newer(&self, version: ConfigVersion) -> bool {
        self.ledger.is_newer(version)
    }

    /// Passes a minion's report to the dispatcher. Ignored on a replica that does not lead.
    pub(crate) fn report(&mut self, now: Timestamp, report: MinionReport) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.report(now, report);
        }
    }

    /// Records that a minion announced its exit. Ignored on a replica that does not lead.
    pub(crate) fn minion_left(&mut self, now: Timestamp, id: &MinionId) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.minion_left(now, id);
        }
    }

    /// Passes the outcomes of orders to the dispatcher. Ignored on a replica that does not lead.
    pub(crate) fn orders_answered(&mut self, now: Timestamp, outcomes: Vec<OrderOutcome>) {
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        for o in outcomes {
            dispatcher.order_answered(now, o.minion, &o.order, o.sent, o.answer, &self.ledger);
        }
    }

    /// Passes orders and questions that will not be answered to the dispatcher.
    pub(crate) fn unanswered(&mut self, now: Timestamp, unanswered: Unanswered) {
        self.orders_answered(now, unanswered.orders);
        for question in unanswered.questions {
            self.advice_received(now, question, None);
        }
    }

    /// Sets the number of connected agents. Kept for the time when this replica leads.
    pub(crate) fn set_agents(&mut self, agents: usize) {
        self.agents = agents;
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.set_agents(agents);
        }
    }

    /// Passes the answer to a question to the dispatcher; `None` when no answer came.
    pub(crate) fn advice_received(
        &mut self,
        now: Timestamp,
        question: QuestionId,
        advice: Option<Advice>,
    ) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.advice_received(now, question, advice);
        }
    }

    /// Whether applying a command changes the ledger; passed to the dispatcher afterwards.
    fn has_effect(&self, command: &Command) -> bool {
        match command {
            Command::PutConfig { version, .. } => self.is_newer(*version),
            Command::Submit { job, .. } => !self.ledger.jobs.contains_key(job),
            Command::Cancel { job } => {
                let state = self.ledger.job_state(*job);
                state.is_some_and(|state| !state.is_final())
            }
            Command::CancelUnknown { job, .. } => {
                let state = self.ledger.job_state(*job);
                state.is_some_and(|state| !state.is_final())
            }
            Command::Batch(_) => true,
        }
    }
}

/// Decides on a job that is not in the ledger.
fn admit_job(
    dispatcher: Option<&mut Dispatcher>,
    now: Timestamp,
    ledger: &Ledger,
    new: Submission,
) -> Admission {
    let verdict = dispatcher.map(|d| d.admit(now, unix_now(), ledger, &new));
    if let Some(Verdict::Refused { after, useful }) = verdict {
        return Admission::Answer(ClientReply::Refused { after, useful });
    }
    propose_submission(new)
}

fn propose_submission(new: Submission) -> Admission {
    Admission::Propose(Box::new(Command::Submit {
        job: new.job,
        queue: new.queue,
        owner: new.owner,
        spec: new.spec,
    }))
}

/// The job id at the end of a path, as far as the path alone tells: after a prefix that ends in
/// hexadecimal digits, the id may be missing.
pub fn trailing_job_id(path: &str) -> Option<JobId> {
    let from = path.len().checked_sub(JOB_ID_LENGTH)?;
    parse_job_id(path.get(from..)?)
}

/// Parses a job id; `None` unless the text is sixteen hexadecimal digits.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digits = text.len() == JOB_ID_LENGTH && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| JobId::from_str_radix(text, 16).ok())?
}

impl StateMachine for Machine {
    type Reply = Reply;

    fn apply(&mut self, _: LogIndex, at: Timestamp, command: &[u8]) -> Reply {
        let command = match Command::from_bytes(command) {
            Ok(command) => command,
            // Every replica of this version skips the same entry, so their ledgers stay equal.
            Err(_) => return Reply::Unknown,
        };
        let effective = self.dispatcher.is_some() && self.has_effect(&command);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.before_apply(&self.ledger, &command);
        }
        let reply = self.ledger.apply(at, &command);
        if let Command::Batch(batch) = &command {
            self.drain_times.record(monotonic_now(), batch);
        }
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.applied(monotonic_now(), &self.ledger, &command, effective);
        }
        reply
    }

    fn term_started(&mut self, term: Term) {
        self.term = term;
    }

    fn leadership_changed(&mut self, leading: bool, now: Timestamp) {
        self.rejected_batches.clear();
        self.dispatcher = leading.then(|| {
            let mut dispatcher = Dispatcher::new(self.cfg.clone(), self.term, &self.ledger, now);
            dispatcher.shorten_earlier_leases(now, &self.drain_times);
            dispatcher.set_agents(self.agents);
            dispatcher
        });
    }

    fn own_commands(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        let Some(dispatcher) = &mut self.dispatcher else {
            return Vec::new();
        };
        let batch = dispatcher.decide(now, unix_now(), &self.ledger);
        if dispatcher.has_orders() {
            // The receiver is dropped only when the process exits.
            let _ = self.orders.send(dispatcher.take_orders());
        }
        let mut commands = std::mem::take(&mut self.rejected_batches);
        let command = batch.map(Command::Batch);
        commands.extend(command.and_then(|c| c.to_bytes().ok()));
        commands
    }

    fn rejected(&mut self, command: Vec<u8>) {
        self.rejected_batches.push(command);
    }

    fn snapshot(&self) -> Vec<u8> {
        // After a failure to encode, the empty snapshot is rejected on restore: it has no version.
        self.ledger.to_bytes().unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<()> {
        self.ledger = Ledger::from_bytes(snapshot)?;
        self.drain_times.restored(monotonic_now(), &self.ledger);
        Ok(())
    }
}
