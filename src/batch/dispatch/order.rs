//! What the dispatcher wants done, and what comes back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::batch::model::{Checkpoint, EndKind, MinionNumber, RunNumber, StepId, TaskId};
use crate::batch::note::Note;
use crate::ids::{MinionId, Term, Timestamp, ZoneName};

/// Where an order goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Number in the ledger.
    pub minion: MinionNumber,
    /// Incarnation meant; any other one refuses.
    pub id: MinionId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Starts a run. Idempotent by task and run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// The caller's payload.
    pub payload: CompactString,
    /// On the minion's clock: not begun later than this, and the least lease it asks for.
    pub deadline: Duration,
    /// Fencing token.
    pub token: Term,
    /// Progress to go on from; empty for none.
    pub checkpoint: Checkpoint,
    /// Ticket of the policy service, where its queue has one.
    pub ticket: Option<CompactString>,
}

/// Renews a minion's lease, acknowledges ends and asks what runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldOrder {
    /// Lease on the minion's clock; none while its clock is not known.
    pub deadline: Option<Duration>,
    /// Fencing token.
    pub token: Term,
    /// Last end that is agreed.
    pub acked: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// An order to a minion. Each is idempotent and may be sent by any process on the leader's behalf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MinionOrder {
    /// Starts a run.
    Start(Box<StartOrder>),
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Fencing token.
        token: Term,
    },
    /// Holds the minion.
    Hold(HoldOrder),
}

/// What came of an order to a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MinionAnswer {
    /// To a start or a stop.
    Order(Answer),
    /// To a hold.
    Hold(HoldAnswer),
}

impl MinionOrder {
    /// The answer that stands for none of a process that should have called.
    pub fn not_called(&self) -> MinionAnswer {
        match self {
            Self::Hold(_) => MinionAnswer::Hold(HoldAnswer::Silent(Silence::NotCalled)),
            _ => MinionAnswer::Order(Answer::Silent(Silence::NotCalled)),
        }
    }
}

/// What an order was, for following up its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// A start of this run.
    Start(TaskId, RunNumber),
    /// A stop of this run.
    Stop(TaskId, RunNumber),
    /// A hold.
    Hold,
}

impl MinionOrder {
    /// What it is.
    pub fn kind(&self) -> OrderKind {
        match self {
            Self::Start(order) => OrderKind::Start(order.task, order.run),
            Self::Stop { task, run, .. } => OrderKind::Stop(*task, *run),
            Self::Hold(_) => OrderKind::Hold,
        }
    }
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Sends an order to a minion.
    Minion(Target, MinionOrder),
    /// Asks which minions may run a step.
    Advise(AdviceQuestion),
    /// Tells what was decided, and from what.
    Note(Box<Note>),
}

/// Which question to the policy service an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuestionId {
    /// The step.
    pub step: StepId,
    /// Number of the question, from 1 under each leader.
    pub number: u64,
}

/// A question to the policy service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceQuestion {
    /// Which one it is.
    pub id: QuestionId,
    /// Incarnations asked about.
    pub minions: Vec<MinionId>,
    /// Expected time of the answer, for sharing questions among askers.
    pub cost: Duration,
}

/// Minions that may run a step, each with its ticket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Incarnation and ticket.
    pub good: Vec<(MinionId, CompactString)>,
}

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Silence {
    /// Nobody listens there.
    Refused,
    /// Nothing came in time.
    Lost,
    /// The process that should have called is stuck or gone: this says nothing of the minion.
    NotCalled,
    /// The connection broke while the answer was awaited.
    Broken,
}

/// Why a minion did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The run is not newer than one that ended or was stopped there.
    Superseded,
    /// The deadline had passed.
    Late,
    /// It does not fit.
    NoRoom,
    /// The ticket is missing or too old.
    Ticket,
    /// It is unhealthy or does not understand the order.
    Unhealthy,
}

impl StartRefusal {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Superseded => "superseded",
            Self::Late => "late",
            Self::NoRoom => "no-room",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
        }
    }
}

/// Answer to a start or a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Carried out.
    Done {
        /// The minion's clock.
        clock: Option<Duration>,
    },
    /// Refused; nothing was done.
    Refused {
        /// The minion's clock.
        clock: Option<Duration>,
        /// Why.
        why: StartRefusal,
    },
    /// Another incarnation listens there: the one meant is gone for good.
    OtherIncarnation,
    /// No answer; it may have been carried out, or may be later.
    Silent(Silence),
}

/// A run as its minion lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Saved progress.
    pub checkpoint: Checkpoint,
    /// Share of its work that is done, or 100 while a lasting task is at work.
    pub percent: u32,
    /// For a serving task its tail latency in ms, otherwise the thousandths of a core it uses.
    pub load: u32,
}

/// An end as its minion lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// Number of the end, from 1 in each incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Saved progress.
    pub checkpoint: Checkpoint,
}

/// What a minion answers to a hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// When it started; `None` when it does not say.
    pub started: Option<Timestamp>,
    /// Its clock.
    pub clock: Duration,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What ended and is not acknowledged, oldest first; cut at a limit of the minion's.
    pub ended: Vec<ListedEnd>,
    /// Rows of either list that could not be read.
    pub unreadable: u32,
}

/// Answer to a hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldAnswer {
    /// The lists.
    Listing(Listing),
    /// The minion has seen a higher token, or refuses for another reason.
    Refused,
    /// Another incarnation listens there.
    OtherIncarnation,
    /// No answer.
    Silent(Silence),
}

impl HoldAnswer {
    /// Name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Listing(_) => "lists",
            Self::Refused => "a refusal",
            Self::OtherIncarnation => "another incarnation",
            Self::Silent(Silence::Refused) => "a refused connection",
            Self::Silent(Silence::Lost) => "nothing",
            Self::Silent(Silence::NotCalled) => "no call",
            Self::Silent(Silence::Broken) => "a broken connection",
        }
    }
}

/// A configuration as an operator sends it, with its meaning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigOrder {
    /// Its version.
    pub version: crate::batch::model::ConfigVersion,
    /// The text.
    pub document: Bytes,
    /// What it means.
    pub parsed: std::sync::Arc<crate::batch::model::Configuration>,
}
