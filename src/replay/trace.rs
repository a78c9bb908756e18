//! The trace format: one JSON object on each line; the first line is the header.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::document::{Policy, Team};
use crate::error::{Error, Result, Step};
use crate::ids::{
    AcceleratorName, JobName, KindName, RackName, TeamName, Timestamp, WorkerId, ZoneName,
};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, MemberLoss, Spread, WorkClass, WorkerSpec};

/// Version of the trace format; traces of other versions are refused.
pub const FORMAT: u32 = 1;
/// Maximum number of lines of a trace, including the header.
pub const MAX_LINES: usize = 200_000;
/// Maximum size of a trace in bytes.
pub const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of tasks of all jobs in a trace.
pub const MAX_TASKS: u64 = 1_000_000;

/// A trace of the events in a cell. It contains actual run times, resource usage and failures, which
/// the placer cannot see.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Settings, teams and kinds that apply from the start.
    pub header: Header,
    /// Events in the order of their times.
    pub lines: Vec<Line>,
}

/// First line of a trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the trace format; has to be `FORMAT`.
    pub format: u32,
    /// Name of the trace, shown in reports.
    pub trace: CompactString,
    /// Seed from which the trace was generated; not used in a replay.
    pub seed: u64,
    /// Time at which the replay ends, even if there are unfinished tasks.
    pub until_ms: u64,
    /// Weight of short waiting against tight packing, 0 to 100.
    pub waiting_weight: u32,
    /// Teams that have a quota or a weight.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamLine>,
    /// Kinds that the jobs of the trace refer to.
    pub kinds: BTreeMap<KindName, KindLine>,
}

/// Quota and weight of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLine {
    /// Resources guaranteed to the team.
    pub quota: Resources,
    /// Weight of the team in the division of the resources beyond the quotas.
    pub weight: u32,
}

/// Declaration of a job kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindLine {
    /// Team whose quota is charged, unless the job names another one.
    pub team: TeamName,
    /// Whether tasks are long-running, and whether they start together.
    #[serde(default)]
    pub class: WorkClass,
    /// Priority band of the tasks.
    #[serde(default)]
    pub band: Band,
    /// Declared need of one task.
    pub need: Resources,
    /// Required type of accelerator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerator: Option<AcceleratorName>,
    /// Declared run time of one task; 0 for long-running ones.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether a task that may have run can be started again.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a task can be checkpointed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Maximum number of attempts for one task; 3 when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Failure domain over which the tasks are spread.
    #[serde(default)]
    pub spread: Spread,
    /// Allowed availability zones; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneName>,
    /// What happens to a gang when one of its members is lost.
    #[serde(default)]
    pub on_member_loss: MemberLoss,
    /// Maximum number of tasks that may be unavailable at the same time.
    #[serde(default)]
    pub max_unavailable: u32,
}

/// A line after the header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time of the event since the start of the trace.
    pub at_ms: u64,
    /// The event, written as one more key of the line.
    #[serde(flatten)]
    pub change: Change,
}

/// An event of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A worker joins, or rejoins without runs.
    Worker(WorkerLine),
    /// A worker and all its runs are lost without notice.
    Lost(WorkerId),
    /// All workers of an availability zone are lost without notice.
    LostZone(ZoneName),
    /// A network partition separates a worker from control. Its runs continue until its lease
    /// expires.
    Cut {
        /// The partitioned worker.
        worker: WorkerId,
        /// Time since the start of the trace at which the partition ends.
        back_ms: u64,
    },
    /// Every run on the worker fails from now on.
    Breaks(WorkerId),
    /// Runs on the worker succeed again.
    Mends(WorkerId),
    /// The worker reports false usage from now on.
    Lies {
        /// The reporting worker.
        worker: WorkerId,
        /// Reported usage in percent of the actual usage.
        percent: u32,
    },
    /// A job arrives.
    Job(JobLine),
    /// A job is cancelled.
    Cancel(JobName),
    /// The number of tasks of a long-running job changes.
    Resize {
        /// Job to resize.
        job: JobName,
        /// New number of tasks.
        tasks: u32,
    },
    /// A drain starts: the worker gets no new runs and has to be empty at the deadline.
    Drain {
        /// Worker to drain.
        worker: WorkerId,
        /// Time from now to the deadline.
        within_ms: u64,
    },
    /// The drain of a worker ends, so that it gets new runs again.
    Undrain(WorkerId),
    /// The weight of short waiting against tight packing changes.
    Weight(u32),
    /// This many of the next starts are refused.
    Refuse(u32),
    /// The control leader fails; the new one restores its placer from the recorded state.
    Failover,
}

/// Declaration of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerLine {
    /// ID by which later lines refer to the worker.
    pub id: WorkerId,
    /// Availability zone, a failure domain for spreading.
    pub zone: ZoneName,
    /// Rack within the zone, a failure domain for spreading.
    pub rack: RackName,
    /// Resources available to runs.
    pub capacity: Resources,
    /// Type of the accelerators, if the worker has any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerator: Option<AcceleratorName>,
}

/// A job, with the actual behaviour of its tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobLine {
    /// Name by which later lines refer to the job.
    pub name: JobName,
    /// Kind, declared in the header.
    pub kind: KindName,
    /// Number of tasks; 1 when absent.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub tasks: u32,
    /// Team, if it differs from that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Actual run time of a task that is granted all it uses; the declared one when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub true_run_ms: Option<u64>,
    /// Actual resource usage of a task; the declared need when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub true_use: Option<Resources>,
    /// Whether every run of the job fails.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub fails: bool,
}

const fn one() -> u32 {
    1
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature serde calls"
)]
const fn is_one(n: &u32) -> bool {
    *n == 1
}

impl WorkerLine {
    /// The specification with which the worker registers.
    pub fn spec(&self) -> WorkerSpec {
        WorkerSpec {
            id: self.id.clone(),
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            capacity: self.capacity,
            accelerator: self.accelerator.clone(),
        }
    }
}

impl Header {
    /// The policy at the start of the trace.
    pub fn policy(&self) -> Policy {
        Policy {
            waiting_weight: self.waiting_weight,
            quarantine_trial: Duration::from_secs(120),
            ..Policy::default()
        }
    }

    /// The teams in the form of the configuration document.
    pub fn declared_teams(&self) -> BTreeMap<TeamName, Team> {
        let teams = self.teams.iter().map(|(name, line)| {
            let team = Team {
                quota: line.quota,
                weight: line.weight,
                ..Team::default()
            };
            (name.clone(), team)
        });
        teams.collect()
    }

    /// The job specification that the scheduler receives; `None` if the kind is not declared.
    pub fn spec(&self, job: &JobLine) -> Option<Arc<JobSpec>> {
        let kind = self.kinds.get(&job.kind)?;
        Some(Arc::new(JobSpec {
            name: job.name.clone(),
            kind: job.kind.clone(),
            team: job.team.clone().unwrap_or_else(|| kind.team.clone()),
            class: kind.class,
            band: kind.band,
            tasks: job.tasks,
            need: kind.need,
            accelerator: kind.accelerator.clone(),
            run_time: Duration::from_millis(kind.run_ms),
            idempotent: kind.idempotent,
            checkpoint: kind.checkpoint,
            max_attempts: kind.max_attempts.unwrap_or(3),
            spread: kind.spread,
            zones: kind.zones.clone(),
            on_member_loss: kind.on_member_loss,
            max_unavailable: kind.max_unavailable,
            payload: CompactString::default(),
        }))
    }
}

impl Line {
    /// Time of the event since the start of the trace.
    pub const fn at(&self) -> Timestamp {
        Duration::from_millis(self.at_ms)
    }
}

/// Reads a trace and checks its limits; errors name the source as `name` and give the line.
pub fn read(name: &str, input: impl BufRead) -> Result<Trace> {
    let refuse = |line: usize, what: String| {
        Error::new(Step::Replay, format!("line {line}: {what}")).with_peer(name)
    };
    let mut trace = Trace::default();
    let mut bytes = 0;
    let mut tasks = 0;
    let mut last = 0;
    for (i, text) in input.lines().enumerate() {
        let n = i + 1;
        let text =
            text.map_err(|e| Error::caused(Step::Replay, "reading the trace", e).with_peer(name))?;
        bytes += text.len() + 1;
        if bytes > MAX_BYTES || n > MAX_LINES {
            let limit = format!("a trace has at most {MAX_LINES} lines and {MAX_BYTES} bytes");
            return Err(refuse(n, limit));
        }
        if i == 0 {
            trace.header = serde_json::from_str(&text).map_err(|e| refuse(n, e.to_string()))?;
            if trace.header.format != FORMAT {
                return Err(refuse(n, format!("format {FORMAT} is expected")));
            }
            continue;
        }
        let line: Line = serde_json::from_str(&text).map_err(|e| refuse(n, e.to_string()))?;
        if line.at_ms < last {
            return Err(refuse(
                n,
                "at_ms is less than in the line before".to_owned(),
            ));
        }
        last = line.at_ms;
        if let Change::Job(job) = &line.change {
            tasks += u64::from(job.tasks);
            if !trace.header.kinds.contains_key(&job.kind) {
                return Err(refuse(n, format!("kind {} is not in the header", job.kind)));
            }
            if tasks > MAX_TASKS {
                return Err(refuse(n, format!("a trace has at most {MAX_TASKS} tasks")));
            }
        }
        trace.lines.push(line);
    }
    if trace.header.format != FORMAT {
        return Err(refuse(1, "the header is missing".to_owned()));
    }
    Ok(trace)
}

/// Writes a trace in the format that `read` reads.
pub fn write(trace: &Trace, mut output: impl Write) -> Result<()> {
    let failed = |e: std::io::Error| Error::caused(Step::Replay, "writing a trace", e);
    let encode = |e: serde_json::Error| Error::caused(Step::Replay, "encoding a trace", e);
    let header = serde_json::to_string(&trace.header).map_err(encode)?;
    writeln!(output, "{header}").map_err(failed)?;
    for line in &trace.lines {
        let text = serde_json::to_string(line).map_err(encode)?;
        writeln!(output, "{text}").map_err(failed)?;
    }
    output.flush().map_err(failed)
}
