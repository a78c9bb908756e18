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
use super::model::{JobSpec, JobState, MinionReport};
use super::workspaces::KeyHash;
use crate::ids::{MinionId, Term, ZoneName};

/// When a caller may come back whose request cannot be served at the moment. A leader that is lost
/// is replaced in about this time.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of a call on its connection.
pub type CallNumber = u64;

/// What a caller wants of a queue or of a job in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientAction {
    /// Hands a job in.
    Submit(Arc<JobSpec>),
    /// Asks for its state.
    State,
    /// Cancels it.
    Cancel,
    /// Asks how many jobs of the queue have not begun.
    Pending,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientCall {
    /// Host that the caller named.
    pub host: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// Hash of the key that came with it.
    pub key: Option<KeyHash>,
    /// What it wants.
    pub action: ClientAction,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientReply {
    /// The job is stored, or its cancelling is.
    Accepted,
    /// The job's state.
    State(JobState),
    /// Jobs of the queue that have not begun.
    Pending(u64),
    /// There is no such job.
    Gone,
    /// There is no such queue.
    NoQueue,
    /// The queue asks for a key, and the request has none that is in force.
    Unauthenticated,
    /// The id is that of another job.
    IdTaken,
    /// The request makes no sense.
    Invalid(CompactString),
    /// Not accepted and never run; the caller may come back after this time.
    Unavailable(Duration),
    /// It may or may not have been accepted.
    InDoubt,
}

/// Answer to an operator or a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// Taken.
    Accepted,
    /// The configuration in force.
    Document(Bytes),
    /// Nobody can be sure at this moment.
    Unavailable,
}

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller's request.
    Client(ClientCall),
    /// A minion's report.
    Report(Box<MinionReport>),
    /// A minion ends.
    Left(MinionId),
    /// An operator's configuration.
    PutConfig(ConfigOrder),
    /// An operator's question for the configuration.
    GetConfig,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// To a caller.
    Client(ClientReply),
    /// To an operator or a minion.
    Operator(OperatorReply),
    /// Nothing was done: another replica leads.
    NotLeader(Option<SocketAddr>),
}

/// Number of an order that an agent sends on the leader's behalf.
pub type OrderNumber = u64;

/// What flows towards control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Up {
    /// Sent first: the availability zone of this process.
    Hello(ZoneName),
    /// What came of orders.
    Done(Vec<(OrderNumber, MinionAnswer)>),
    /// A call.
    Call(CallNumber, Call),
    /// Answer to a question that was passed on; `None` when none came.
    Advised(QuestionId, Option<Advice>),
    /// Asks whether the connection stands.
    Ping(u64),
}

/// What flows back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Down {
    /// Sent first and when it changes: who leads, and all that serve calls.
    Lead {
        /// Whether this replica leads.
        here: bool,
        /// Term of this replica.
        term: Term,
        /// Where the leader answers calls.
        leader: Option<SocketAddr>,
        /// Where the members answer calls.
        members: Vec<SocketAddr>,
    },
    /// Answer to a call.
    Reply(CallNumber, CallReply),
    /// Orders to minions, to be sent on the leader's behalf.
    Orders(Vec<(OrderNumber, Target, MinionOrder)>),
    /// A question for the policy service, asked on the leader's behalf.
    Advise(AdviceQuestion),
    /// Answer to a ping.
    Pong(u64),
}
