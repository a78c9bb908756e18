//! What the console and the operators' HTTP interface ask of control: queries that change
//! nothing, and commands that are agreed by the replicas before they are answered.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::ids::{
    AcceleratorName, EntryId, IdempotencyKey, JobName, MinionId, RackName, ReplicaId, Revision,
    ServiceName, TeamName, Timestamp, WorkerId, ZoneName,
};
use crate::replication::Role;
use crate::resources::Resources;
use crate::wire::{JobSubmission, JobView, Refusal};

/// Name of a person or program that signs in.
pub type OperatorName = CompactString;

/// Why control did not answer a query or take a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateError {
    /// Another replica leads; its HTTP address, if known. Nothing was changed.
    NotLeader(Option<SocketAddr>),
    /// Refused; nothing was changed.
    Refused(Refusal),
    /// Someone else changed the document meanwhile; nothing was changed.
    Conflict {
        /// Revision in force.
        revision: Revision,
        /// Document in force.
        document: Arc<Document>,
        /// Who changed it.
        by: OperatorName,
    },
    /// Leadership was lost on the way; the command may or may not have taken effect.
    Unknown,
}

/// Result of a query or command.
pub type StateResult<T> = Result<T, StateError>;

/// A new document and the revision it was made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentChange {
    /// The whole new document, already validated.
    pub document: Document,
    /// Revision the change was made from; 0 for the first document.
    pub base: Revision,
    /// Who changes it.
    pub by: OperatorName,
    /// A resend under the same key gets the first answer.
    pub key: Option<IdempotencyKey>,
}

/// A document with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revised {
    /// Its number.
    pub revision: Revision,
    /// The document.
    pub document: Arc<Document>,
}

/// One accepted document in the history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRow {
    /// Its number.
    pub revision: Revision,
    /// When it was accepted, since the Unix epoch.
    pub at: Timestamp,
    /// Who changed it.
    pub who: OperatorName,
}

/// A worker as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Its name.
    pub id: WorkerId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// What it holds in all.
    pub capacity: Resources,
    /// Type of its accelerators.
    pub accelerator: Option<AcceleratorName>,
    /// What control has granted there.
    pub granted: Resources,
    /// Runs it holds.
    pub runs: u32,
    /// `ready`, `draining`, `quarantined` or `gone`.
    pub state: CompactString,
    /// Time since its last poll.
    pub silent: Duration,
}

/// A minion as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRow {
    /// Its name.
    pub id: MinionId,
    /// Service it answers.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests it works on at once.
    pub slots: u32,
    /// Entry host that owns it.
    pub owner: Option<EntryId>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// An entry host as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Its name.
    pub id: EntryId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where peers forward to it.
    pub peer_addr: SocketAddr,
    /// Document revision in force there.
    pub in_force: Revision,
    /// Minions it owns.
    pub minions: u32,
    /// Time since its last renewal.
    pub silent: Duration,
}

/// A control replica as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Its number.
    pub id: ReplicaId,
    /// Availability zone, if known.
    pub zone: ZoneName,
    /// Where other replicas reach it, if known.
    pub addr: Option<SocketAddr>,
    /// Its part.
    pub role: Role,
    /// Last entry it is known to hold.
    pub matched: u64,
}

/// A team's use against its quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Its name.
    pub name: TeamName,
    /// Guaranteed share.
    pub quota: Resources,
    /// What its tasks hold.
    pub used: Resources,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait.
    pub waiting: u32,
}

/// One change in the audit log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// When, since the Unix epoch.
    pub at: Timestamp,
    /// Who.
    pub who: OperatorName,
    /// What, in one sentence without secrets.
    pub what: String,
}

/// Control as the console and the operators' HTTP interface see it.
///
/// Every query is answered from state whose leadership was confirmed after the call began.
pub trait ConsoleState: Clone + Send + Sync + 'static {
    /// The document in force or an earlier one; none when there is no such revision.
    fn document(
        &self,
        revision: Option<Revision>,
    ) -> impl Future<Output = StateResult<Option<Revised>>> + Send;

    /// Accepted documents, the latest first, as far as they are kept.
    fn history(&self) -> impl Future<Output = StateResult<Vec<RevisionRow>>> + Send;

    /// All jobs kept.
    fn jobs(&self) -> impl Future<Output = StateResult<Vec<JobView>>> + Send;

    /// One job.
    fn job(&self, name: JobName) -> impl Future<Output = StateResult<Option<JobView>>> + Send;

    /// Workers.
    fn workers(&self) -> impl Future<Output = StateResult<Vec<WorkerRow>>> + Send;

    /// Minions.
    fn minions(&self) -> impl Future<Output = StateResult<Vec<MinionRow>>> + Send;

    /// Entry hosts.
    fn entries(&self) -> impl Future<Output = StateResult<Vec<EntryRow>>> + Send;

    /// Control replicas.
    fn replicas(&self) -> impl Future<Output = StateResult<Vec<ReplicaRow>>> + Send;

    /// Teams.
    fn teams(&self) -> impl Future<Output = StateResult<Vec<TeamRow>>> + Send;

    /// The audit log, the latest first, as far as it is kept.
    fn audit(&self) -> impl Future<Output = StateResult<Vec<AuditRow>>> + Send;

    /// Replaces the document if its revision is still the change's base.
    fn submit_document(
        &self,
        change: DocumentChange,
    ) -> impl Future<Output = StateResult<Revision>> + Send;

    /// Accepts a job.
    fn submit_job(
        &self,
        job: JobSubmission,
        by: OperatorName,
    ) -> impl Future<Output = StateResult<JobView>> + Send;

    /// Cancels a job.
    fn cancel_job(
        &self,
        name: JobName,
        by: OperatorName,
    ) -> impl Future<Output = StateResult<JobView>> + Send;
}
