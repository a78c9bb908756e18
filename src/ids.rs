//! Type aliases for identifiers and counters used by several modules.

use std::time::Duration;

use compact_str::CompactString;

/// Name of a cell: the hosts managed by one group of control replicas.
pub type CellName = CompactString;
/// Name of an availability zone, such as `bern-a`.
pub type ZoneName = CompactString;
/// Name of a rack within an availability zone.
pub type RackName = CompactString;
/// Name of a worker: a host that runs tasks.
pub type WorkerId = CompactString;
/// Name of a minion: a backend server that answers requests to a service.
pub type MinionId = CompactString;
/// Name of an entry host: a host whose daemon accepts requests and routes them to minions.
pub type EntryId = CompactString;
/// Name of a service whose requests are routed to minions.
pub type ServiceName = CompactString;
/// Name of a job kind declared in the document.
pub type KindName = CompactString;
/// Name of a job, unique in the cell.
pub type JobName = CompactString;
/// Name of a workspace on the platform; its callers share API keys and limits.
pub type WorkspaceName = CompactString;
/// Name of a team: the owner of jobs and services, to which quotas apply.
pub type TeamName = CompactString;
/// Type name of an accelerator, such as `a10`.
pub type AcceleratorName = CompactString;
/// Key chosen by a caller, under which a request can be resent without running twice.
pub type IdempotencyKey = CompactString;
/// Random number that a control replica draws once for its data folder. A replica that lost its
/// data folder gets a new one.
pub type ReplicaId = u64;
/// Random number that a process draws at each start, to distinguish two processes of one name.
pub type ProcessId = u64;
/// Term of the replicated log; increases with each election.
pub type Term = u64;
/// Position in the replicated log, starting at 1.
pub type LogIndex = u64;
/// Number of an accepted document, starting at 1; 0 before the first.
pub type Revision = u64;
/// Number of a task's start, starting at 1; also the fencing token of that start.
pub type Attempt = u32;
/// Position of a task within its job, starting at 0.
pub type TaskIndex = u32;

/// A point in time, as the duration since an epoch that depends on the user of the type.
///
/// Replicated state uses the Unix epoch and the leader's clock; process-local decisions use the
/// process's monotonic clock. A state machine never mixes the two without conversion.
pub type Timestamp = Duration;
