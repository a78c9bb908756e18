//! Type aliases for the identifiers and counters that cross module borders.

use std::time::Duration;

use compact_str::CompactString;

/// Name of the one cell that a group of control replicas holds.
pub type CellName = CompactString;
/// Name of an availability zone, such as `bern-a`.
pub type ZoneName = CompactString;
/// Name of a rack within an availability zone.
pub type RackName = CompactString;
/// Name of a worker, the host that runs tasks.
pub type WorkerId = CompactString;
/// Name of a minion, the back end that answers quick requests.
pub type MinionId = CompactString;
/// Name of an entry host's traffic daemon.
pub type EntryId = CompactString;
/// Name of a service whose requests are routed to minions.
pub type ServiceName = CompactString;
/// Name of a job kind declared in the document.
pub type KindName = CompactString;
/// Name of a job; unique in the cell.
pub type JobName = CompactString;
/// Name of a workspace on the platform, whose callers share keys and a limit.
pub type WorkspaceName = CompactString;
/// Name of a team that owns work and quotas.
pub type TeamName = CompactString;
/// Type name of an accelerator, such as `a10`.
pub type AcceleratorName = CompactString;
/// Key under which a caller may resend a request without running it twice.
pub type IdempotencyKey = CompactString;
/// Random number a control replica draws once for its data folder.
pub type ReplicaId = u64;
/// Random number a daemon draws at each start, to tell two processes of one name apart.
pub type ProcessId = u64;
/// Number of an election period of the replicated log.
pub type Term = u64;
/// Position in the replicated log, from 1.
pub type LogIndex = u64;
/// Number of an accepted document, from 1; 0 before the first.
pub type Revision = u64;
/// Number of a task's start, from 1; also the fencing token of that start.
pub type Attempt = u32;
/// Position of a task within its job, from 0.
pub type TaskIndex = u32;

/// A point in time as the distance from an epoch that its holder states.
///
/// Replicated state uses the Unix epoch and the leader's clock; process-local decisions use
/// the process's monotonic clock. The two are never mixed in one machine.
pub type Timestamp = Duration;
