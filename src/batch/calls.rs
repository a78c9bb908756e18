//! Messages between entry hosts, followers and the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dispatch::{
    Advice, AdviceQuestion, ConfigOrder, MinionAnswer, MinionOrder, QuestionId, Target,
};
use super::hello::AgentHello;
use super::model::{JobSpec, JobState, MinionReport};
use super::workspaces::KeyHash;
use crate::ids::{MinionId, Term};

/// Delay after which a caller should retry a request that cannot be served now. A failed leader is
/// replaced in about this time.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of a call, unique on its connection.
pub type CallNumber = u64;

/// Operation on a queue or on a job in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientAction {
    /// Submits a job.
    Submit(Arc<JobSpec>),
    /// Reads the state of a job.
    State,
    /// Cancels a job.
    Cancel,
    /// Reads the number of jobs in the queue of which no task has started.
    PendingCount,
}

impl ClientAction {
    /// Whether it changes a job.
    pub fn is_change(&self) -> bool {
        match self {
            Self::Submit(_) | Self::Cancel => true,
            Self::State | Self::PendingCount => false,
        }
    }
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientCall {
    /// Host of the request; selects the queue together with the path.
    pub host: CompactString,
    /// Path of the request: the queue's prefix and, for most actions, a job id.
    pub path: CompactString,
    /// Hash of the API key in the request; `None` when it had none.
    pub key: Option<KeyHash>,
    /// Requested operation.
    pub action: ClientAction,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientReply {
    /// The submission or the cancellation is committed.
    Accepted,
    /// State of the job.
    State(JobState),
    /// Number of jobs in the queue of which no task has started.
    PendingCount(u64),
    /// The job does not exist, ended too long ago, or is not visible to the caller.
    NotFound,
    /// No queue matches the request.
    NoQueue,
    /// The queue requires a key, and the request has no valid one.
    Unauthenticated,
    /// Another job already has this id.
    IdTaken,
    /// The request is malformed, for this reason.
    Invalid(CompactString),
    /// Not accepted and guaranteed not to be executed; the caller may retry after this time.
    Unavailable(Duration),
    /// The request may or may not have been accepted.
    InDoubt,
    /// The job was not accepted, for lack of capacity, and never runs.
    Refused {
        /// Time after which capacity is expected for this caller.
        after: Duration,
        /// Whether the job would still be in its useful time then.
        useful: bool,
    },
}

/// Answer to an operator or a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The configuration is committed, or was not newer than the one in force; or the minion's
    /// message was received.
    Accepted,
    /// Text of the configuration in force.
    Document(Bytes),
    /// There is no configuration yet, or the outcome is not known; retry later.
    Unavailable,
}

impl ClientReply {
    /// Name for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) | Self::PendingCount(_) => "read",
            Self::NotFound => "unknown job",
            Self::NoQueue => "unknown queue",
            Self::Unauthenticated => "unknown key",
            Self::IdTaken | Self::Invalid(_) => "invalid",
            Self::Unavailable(_) => "not run",
            Self::InDoubt => "in doubt",
            Self::Refused { .. } => "refused",
        }
    }
}

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller's request.
    Client(ClientCall),
    /// A minion's periodic report.
    Report(Box<MinionReport>),
    /// A minion announces its exit.
    Left(MinionId),
    /// An operator replaces the configuration.
    PutConfig(ConfigOrder),
    /// An operator reads the configuration.
    GetConfig,
    /// Periodic reports of several minions.
    Reports(Vec<MinionReport>),
}

impl Call {
    /// Whether it changes nothing, so that it can be refused although it may have been sent.
    pub fn is_read(&self) -> bool {
        match self {
            Self::Client(call) => !call.action.is_change(),
            Self::GetConfig => true,
            Self::Report(_) | Self::Reports(_) | Self::Left(_) | Self::PutConfig(_) => false,
        }
    }
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// Answer to `Call::Client`.
    Client(ClientReply),
    /// Answer to every other call.
    Operator(OperatorReply),
    /// Nothing was done: this replica does not lead. Address of the leader if known.
    NotLeader(Option<SocketAddr>),
}

/// What an answer says about the copy of the call that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyOutcome {
    /// The copy was executed, or an earlier one with the same effect: the answer holds for all.
    Executed,
    /// The copy was not executed. Another one may have been, even if this one was rejected for
    /// good: keys, queues and jobs change in between.
    NotExecuted,
    /// The copy may or may not have been executed.
    Unknown,
}

impl ClientReply {
    fn copy_outcome(&self) -> CopyOutcome {
        match self {
            Self::Accepted | Self::State(_) | Self::PendingCount(_) => CopyOutcome::Executed,
            Self::NotFound
            | Self::NoQueue
            | Self::Unauthenticated
            | Self::IdTaken
            | Self::Invalid(_)
            | Self::Unavailable(_)
            | Self::Refused { .. } => CopyOutcome::NotExecuted,
            Self::InDoubt => CopyOutcome::Unknown,
        }
    }
}

impl CallReply {
    /// What became of the copy with this answer.
    pub(crate) fn copy_outcome(&self) -> CopyOutcome {
        match self {
            Self::Client(reply) => reply.copy_outcome(),
            Self::Operator(OperatorReply::Accepted | OperatorReply::Document(_)) => {
                CopyOutcome::Executed
            }
            Self::Operator(OperatorReply::Unavailable) => CopyOutcome::Unknown,
            Self::NotLeader(_) => CopyOutcome::NotExecuted,
        }
    }

    /// Name for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Client(reply) => reply.as_str(),
            Self::Operator(_) => "operator's answer",
            Self::NotLeader(_) => "no leader",
        }
    }
}

/// Number of an order that an agent sends on the leader's behalf.
pub type OrderNumber = u64;

/// Messages from entry hosts and followers to a control daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Sent first by processes that act as agents.
    Hello(AgentHello),
    /// Answers of minions to forwarded orders.
    OrderAnswers(Vec<(OrderNumber, MinionAnswer)>),
    /// A call to the leader.
    Call(CallNumber, Call),
    /// Answer to a forwarded question; `None` when the policy service gave none.
    Advice(QuestionId, Option<Advice>),
    /// Checks the connection; answered by a `Pong` with the same number.
    Ping(u64),
    /// Sent by agents that pass on requests of others: the address for these.
    RelayAt(SocketAddr),
    /// A request that the receiver passes on to the leader but not to another relay, with the time
    /// left for its answer.
    Relayed(CallNumber, ClientCall, Duration),
}

/// Messages from a control daemon to entry hosts and followers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerMessage {
    /// Sent first and on every change: the leader and the members of the group.
    Lead {
        /// Whether the sender leads.
        is_leader: bool,
        /// Current term of the sender.
        term: Term,
        /// Address at which the leader answers calls; `None` while there is no known leader.
        leader: Option<SocketAddr>,
        /// Addresses at which the members answer calls.
        members: Vec<SocketAddr>,
    },
    /// Answer to a call.
    Reply(CallNumber, CallReply),
    /// Orders that the receiver forwards to minions.
    Orders(Vec<(OrderNumber, Target, MinionOrder)>),
    /// A question that the receiver forwards to the policy service.
    Advise(AdviceQuestion),
    /// Answer to a ping, with its number.
    Pong(u64),
    /// Addresses of agents that pass on requests.
    Relays(Vec<SocketAddr>),
}
