//! Orders that the dispatcher issues, and the answers to them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::batch::event::Event;
use crate::batch::hello::AgentSkill;
use crate::batch::model::{Checkpoint, EndKind, MinionNumber, RunNumber, StepId, TaskId};
use crate::ids::{MinionId, Term, Timestamp, ZoneName};

/// Time for a start or a stop to be answered: a round trip across availability zones takes 2 ms,
/// and a minion answers immediately. Orders are idempotent, so a slow one may safely be retried.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the answer to a hold, in addition to the wait that the hold asks for.
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);

/// Recipient of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Number of this incarnation in the ledger.
    pub minion: MinionNumber,
    /// Identity of the incarnation; any other one refuses the order.
    pub id: MinionId,
    /// Address of its HTTP server.
    pub addr: SocketAddr,
    /// Availability zone that the minion reports.
    pub zone: ZoneName,
}

/// Starts a run. A repetition for the same task and run has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskId,
    /// Number of this run of the task.
    pub run: RunNumber,
    /// Opaque payload from the job's submission.
    pub payload: CompactString,
    /// On the minion's clock: latest start of the run. The lease is extended to it at least.
    pub deadline: Duration,
    /// Fencing token: the leader's term. A minion refuses lower ones than it has seen.
    pub token: Term,
    /// Checkpoint to resume from; empty for a start from scratch.
    pub checkpoint: Checkpoint,
    /// Ticket of the policy service; `None` where the queue has no policy.
    pub ticket: Option<CompactString>,
}

/// Renews a minion's lease, acknowledges ends and requests the list of runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldOrder {
    /// End of the lease on the minion's clock; `None` while its clock is not known.
    pub deadline: Option<Duration>,
    /// Fencing token: the leader's term.
    pub token: Term,
    /// Number of the last end that is committed; the minion drops all ends up to it.
    pub acked: u64,
    /// Longest time for which the minion may delay its answer to wait for a new end.
    pub wait: Duration,
}

/// An order to a minion. All are idempotent, and any process may send them on the leader's behalf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MinionOrder {
    /// Order to start a run.
    Start(Box<StartOrder>),
    /// Order to stop a run. Afterwards the minion refuses to start it.
    Stop {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Fencing token: the leader's term.
        token: Term,
    },
    /// Order to renew the lease and to list the runs.
    Hold(HoldOrder),
    /// Order to set the speed of a run.
    Pace {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Share of its full speed, from 0 to 100.
        percent: u32,
        /// Fencing token: the leader's term.
        token: Term,
    },
}

/// Outcome of an order to a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MinionAnswer {
    /// Outcome of a start or a stop.
    Order(Answer),
    /// Outcome of a hold.
    Hold(HoldAnswer),
}

impl MinionOrder {
    /// The outcome to record when the process that should have sent the order did not.
    pub fn not_called(&self) -> MinionAnswer {
        match self {
            Self::Hold(_) => MinionAnswer::Hold(HoldAnswer::Silent(CallFailure::NotCalled)),
            _ => MinionAnswer::Order(Answer::Silent(CallFailure::NotCalled)),
        }
    }

    /// What an agent must know to send the order.
    pub fn skill(&self) -> AgentSkill {
        match self {
            Self::Start(_) | Self::Stop { .. } | Self::Hold(_) => AgentSkill::Basic,
            Self::Pace { .. } => AgentSkill::Pacing,
        }
    }

    /// Time after which the caller gives up on the minion's answer.
    pub fn timeout(&self) -> Duration {
        match self {
            Self::Hold(order) => order.timeout(),
            _ => ORDER_TIMEOUT,
        }
    }
}

impl HoldOrder {
    /// Time after which the caller gives up on the minion's answer.
    pub fn timeout(&self) -> Duration {
        self.wait + HOLD_TIMEOUT
    }
}

/// Kind of an order, used to match its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Start of this run.
    Start(TaskId, RunNumber),
    /// Stop of this run.
    Stop(TaskId, RunNumber),
    /// Renewal of the lease.
    Hold,
    /// Change of the speed of this run, to this percentage.
    Pace(TaskId, RunNumber, u32),
}

impl MinionOrder {
    /// The kind of this order, with the run that it is for.
    pub fn kind(&self) -> OrderKind {
        match self {
            Self::Start(order) => OrderKind::Start(order.task, order.run),
            Self::Stop { task, run, .. } => OrderKind::Stop(*task, *run),
            Self::Hold(_) => OrderKind::Hold,
            Self::Pace {
                task, run, percent, ..
            } => OrderKind::Pace(*task, *run, *percent),
        }
    }
}

/// An action that the caller of the dispatcher has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send an order to a minion.
    Minion(Target, MinionOrder),
    /// Ask the policy service which minions may run a step.
    Advise(AdviceQuestion),
    /// Log a decision and its inputs.
    Event(Box<Event>),
}

/// Identifies a question to the policy service, to match its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuestionId {
    /// Step that the question is about.
    pub step: StepId,
    /// Sequence number of the question, from 1 under each leader.
    pub number: u64,
}

/// A question to the policy service: which of these minions may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceQuestion {
    /// Returned with the answer.
    pub id: QuestionId,
    /// Candidate incarnations.
    pub minions: Vec<MinionId>,
    /// Expected response time, used to balance questions among the processes that send them.
    pub cost: Duration,
}

/// Minions that may run a step, each with its ticket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Permitted incarnations with their tickets.
    pub good: Vec<(MinionId, CompactString)>,
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallFailure {
    /// The connection was refused: nothing listens on the address.
    Refused,
    /// The call timed out: the request or its answer may be lost.
    Lost,
    /// The process that should have made the call is stuck or has ended. This is no evidence about
    /// the minion.
    NotCalled,
    /// The connection was closed or failed before the answer arrived.
    Broken,
}

/// Why a minion refused to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// A run of the task with the same or a higher number has ended or was stopped there.
    Superseded,
    /// The deadline had passed.
    Late,
    /// The minion's free resources are too small.
    InsufficientResources,
    /// The ticket is missing or has expired.
    Ticket,
    /// The minion is unhealthy or can't parse the order.
    Unhealthy,
}

impl StartRefusal {
    /// The name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Superseded => "superseded",
            Self::Late => "late",
            Self::InsufficientResources => "no-room",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
        }
    }
}

/// Answer to a start or a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The order was carried out.
    Done {
        /// The minion's clock, where its answer has it.
        clock: Option<Duration>,
    },
    /// The order was refused and had no effect.
    Refused {
        /// The minion's clock, where its answer has it.
        clock: Option<Duration>,
        /// Reason that the minion gave.
        why: StartRefusal,
    },
    /// Another incarnation listens on the address: the addressed one has ended for good.
    OtherIncarnation,
    /// No answer: the order may have been carried out, or may be carried out later.
    Silent(CallFailure),
}

/// A current run in a minion's listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest checkpoint; empty when there is none.
    pub checkpoint: Checkpoint,
    /// Completed share of its work in percent; 100 while a lasting task is up.
    pub percent: u32,
    /// Tail latency in ms for a task that serves requests, otherwise its CPU usage in millicores.
    pub load: u32,
}

/// An unacknowledged end of a run in a minion's listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// Sequence number of the end, from 1 in each incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Result of the run.
    pub kind: EndKind,
    /// Last checkpoint; empty when there is none.
    pub checkpoint: Checkpoint,
}

/// The runs and unacknowledged ends of a minion, in its answer to a hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Start time of the minion process; `None` when the answer doesn't have it.
    pub started: Option<Timestamp>,
    /// The minion's clock.
    pub clock: Duration,
    /// All current runs.
    pub running: Vec<ListedRun>,
    /// Unacknowledged ends, oldest first; truncated at a limit that the minion sets.
    pub ended: Vec<ListedEnd>,
    /// Number of rows in both lists that could not be parsed.
    pub unreadable: u32,
}

/// Answer to a hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldAnswer {
    /// The minion renewed its lease and lists its runs.
    Listing(Listing),
    /// The minion refused, because it has seen a higher fencing token or for another reason.
    Refused,
    /// Another incarnation listens on the address.
    OtherIncarnation,
    /// No answer: the lease may have been renewed.
    Silent(CallFailure),
}

impl HoldAnswer {
    /// The name used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Listing(_) => "lists",
            Self::Refused => "a refusal",
            Self::OtherIncarnation => "another incarnation",
            Self::Silent(CallFailure::Refused) => "a refused connection",
            Self::Silent(CallFailure::Lost) => "nothing",
            Self::Silent(CallFailure::NotCalled) => "no call",
            Self::Silent(CallFailure::Broken) => "a broken connection",
        }
    }
}

/// A configuration from an operator, as text and parsed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigOrder {
    /// Version that the operator gave it.
    pub version: crate::batch::model::ConfigVersion,
    /// Text as received.
    pub document: Bytes,
    /// The parsed text.
    pub parsed: std::sync::Arc<crate::batch::model::Configuration>,
}
