//! The state machine above the replicated log: the ledger, and beside it, only while this replica
//! leads, the dispatcher.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::mpsc::UnboundedSender;

use super::calls::{ClientAction, ClientCall, ClientReply, OperatorReply, RETRY_AFTER};
use super::dispatch::{
    Advice, DispatchConfig, Dispatcher, MinionAnswer, Order, OrderKind, QuestionId,
};
use super::ledger::{Batch, Command, Ledger, Reply};
use super::model::{ConfigVersion, JobId, MinionNumber, MinionReport};
use crate::error::Result;
use crate::ids::{LogIndex, MinionId, Term, Timestamp};
use crate::replication::{StateMachine, monotonic_now, unix_now};

/// The replicated ledger and the volatile state of its leader.
pub struct Machine {
    pub(crate) ledger: Ledger,
    cfg: DispatchConfig,
    term: Term,
    lead: Option<Dispatcher>,
    /// Batches of this leader that the log did not take, oldest first. Dropped, their ends would
    /// never be agreed and their number would keep all later ones from being proposed.
    not_taken: Vec<Vec<u8>>,
    /// When this replica learnt that a minion leaves, by its own steady clock. Not part of the
    /// replicated state: a replica that does not know assumes the longest lease.
    leaving_since: BTreeMap<MinionNumber, Timestamp>,
    /// Processes that can send orders and ask questions for the leader.
    agents: usize,
    /// Orders leave through here; the receiver is bounded by what the dispatcher keeps in flight.
    orders: UnboundedSender<Vec<Order>>,
}

/// What came of an order to a minion.
pub(crate) struct Answered {
    pub(crate) minion: MinionNumber,
    pub(crate) order: OrderKind,
    /// When it was handed out.
    pub(crate) sent: Timestamp,
    pub(crate) answer: MinionAnswer,
}

/// What a caller's request comes down to.
#[derive(Debug)]
pub enum Admission {
    /// It is answered from the ledger.
    Answer(ClientReply),
    /// It is answered once this command is agreed.
    Propose(Box<Command>),
}

impl Machine {
    /// An empty ledger.
    pub fn new(cfg: DispatchConfig, orders: UnboundedSender<Vec<Order>>) -> Self {
        Self {
            ledger: Ledger::default(),
            cfg,
            term: 0,
            lead: None,
            not_taken: Vec::new(),
            leaving_since: BTreeMap::new(),
            agents: 0,
            orders,
        }
    }

    /// Decides on a caller's request. Only a leader whose leadership is confirmed may ask.
    pub fn admit(&self, call: ClientCall) -> Admission {
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
            (ClientAction::Pending, _) => {
                let pending = self.ledger.pending(&queue.host, &queue.prefix);
                return Admission::Answer(ClientReply::Pending(pending as u64));
            }
            (_, Some(job)) => job,
            (_, None) => return Admission::Answer(ClientReply::NoQueue),
        };
        let held = self.ledger.jobs.get(&job);
        let known = held.filter(|j| j.is_in(queue) && caller.may_see(j.owner.as_ref()));
        match call.action {
            ClientAction::Submit(_) if known.is_some() => Admission::Answer(ClientReply::Accepted),
            ClientAction::Submit(_) if held.is_some() => Admission::Answer(ClientReply::IdTaken),
            ClientAction::Submit(spec) => Admission::Propose(Box::new(Command::Submit {
                job,
                queue: Arc::new(queue.clone()),
                owner: caller.into_owner(),
                spec,
            })),
            ClientAction::State => Admission::Answer(match known {
                Some(known) => ClientReply::State(known.state),
                None => ClientReply::Gone,
            }),
            ClientAction::Cancel => match known {
                None => Admission::Answer(ClientReply::Gone),
                Some(known) if known.state.is_final() => Admission::Answer(ClientReply::Accepted),
                Some(_) => Admission::Propose(Box::new(Command::Cancel { job })),
            },
            ClientAction::Pending => Admission::Answer(ClientReply::NoQueue),
        }
    }

    /// The configuration in force, as its operator sent it.
    pub(crate) fn config_document(&self) -> OperatorReply {
        match &self.ledger.config {
            Some(config) => OperatorReply::Document(config.document.clone()),
            None => OperatorReply::Unavailable,
        }
    }

    /// Whether a configuration of this version would change anything.
    pub(crate) fn is_newer(&self, version: ConfigVersion) -> bool {
        self.ledger.is_newer(version)
    }

    /// Takes a minion's report.
    pub(crate) fn report(&mut self, now: Timestamp, report: MinionReport) {
        if let Some(lead) = &mut self.lead {
            lead.report(now, report);
        }
    }

    /// A minion has said that it ends.
    pub(crate) fn left(&mut self, now: Timestamp, id: &MinionId) {
        if let Some(lead) = &mut self.lead {
            lead.left(now, id);
        }
    }

    /// Takes what came of orders to minions.
    pub(crate) fn answered(&mut self, now: Timestamp, answers: Vec<Answered>) {
        let Some(lead) = &mut self.lead else { return };
        for a in answers {
            lead.answered(now, a.minion, &a.order, a.sent, a.answer, &self.ledger);
        }
    }

    /// Notes how many agents there are.
    pub(crate) fn set_agents(&mut self, agents: usize) {
        self.agents = agents;
        if let Some(lead) = &mut self.lead {
            lead.set_agents(agents);
        }
    }

    pub(crate) fn advised(&mut self, now: Timestamp, question: QuestionId, advice: Option<Advice>) {
        if let Some(lead) = &mut self.lead {
            lead.advised(now, question, advice);
        }
    }

    fn note_leaving(&mut self, now: Timestamp, batch: &Batch) {
        for number in &batch.draining {
            self.leaving_since.entry(*number).or_insert(now);
        }
        for number in &batch.gone {
            self.leaving_since.remove(number);
        }
    }

    /// Whether a command changes anything; told to the dispatcher after it is applied.
    fn is_fresh(&self, command: &Command) -> bool {
        match command {
            Command::PutConfig { version, .. } => self.is_newer(*version),
            Command::Submit { job, .. } => !self.ledger.jobs.contains_key(job),
            Command::Cancel { job } => {
                let state = self.ledger.job_state(*job);
                state.is_some_and(|state| !state.is_final())
            }
            Command::Batch(_) => true,
        }
    }
}

/// Reads a job's id: sixteen hexadecimal digits.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| JobId::from_str_radix(text, 16).ok())?
}

impl StateMachine for Machine {
    type Reply = Reply;

    fn apply(&mut self, _: LogIndex, at: Timestamp, command: &[u8]) -> Reply {
        let command = match Command::from_bytes(command) {
            Ok(command) => command,
            // Every replica of this version passes over it alike, so they stay equal.
            Err(_) => return Reply::Unknown,
        };
        let fresh = self.lead.is_some() && self.is_fresh(&command);
        let reply = self.ledger.apply(at, &command);
        if let Command::Batch(batch) = &command {
            self.note_leaving(monotonic_now(), batch);
        }
        if let Some(lead) = &mut self.lead {
            lead.applied(monotonic_now(), &self.ledger, &command, fresh);
        }
        reply
    }

    fn term_began(&mut self, term: Term) {
        self.term = term;
    }

    fn leadership_changed(&mut self, leading: bool, now: Timestamp) {
        self.not_taken.clear();
        self.lead = leading.then(|| {
            let mut lead = Dispatcher::new(self.cfg.clone(), self.term, &self.ledger, now);
            lead.assume_leaving(now, &self.leaving_since);
            lead.set_agents(self.agents);
            lead
        });
    }

    fn lead(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let batch = lead.decide(now, unix_now(), &self.ledger);
        if lead.has_orders() {
            // The receiver lives as long as the process.
            let _ = self.orders.send(lead.take_orders());
        }
        let mut commands = std::mem::take(&mut self.not_taken);
        let command = batch.map(Command::Batch);
        commands.extend(command.and_then(|c| c.to_bytes().ok()));
        commands
    }

    fn not_taken(&mut self, command: Vec<u8>) {
        self.not_taken.push(command);
    }

    fn snapshot(&self) -> Vec<u8> {
        // An empty snapshot would be refused by its missing version instead of being believed.
        self.ledger.to_bytes().unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<()> {
        self.ledger = Ledger::from_bytes(snapshot)?;
        // A snapshot may pass over the batch that told that a minion is gone.
        let known = &self.ledger.minions;
        self.leaving_since
            .retain(|number, _| known.contains_key(number));
        Ok(())
    }
}
