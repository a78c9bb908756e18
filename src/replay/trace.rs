//! The trace format: one JSON object a line, the first of which is the header.

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

/// Version of the format.
pub const FORMAT: u32 = 1;
/// Most lines of one trace.
pub const MAX_LINES: usize = 200_000;
/// Most bytes of one trace.
pub const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Most tasks of one trace.
pub const MAX_TASKS: u64 = 1_000_000;

/// A trace: what happens to a cell, with the truth that decisions do not see.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// What holds from the start.
    pub header: Header,
    /// What happens, by rising time.
    pub lines: Vec<Line>,
}

/// First line of a trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub format: u32,
    /// Name of the trace.
    pub trace: CompactString,
    /// Seed of its generator.
    pub seed: u64,
    /// Time at which the replay ends, also when work is left.
    pub until_ms: u64,
    /// Weight of short waiting against tight packing, 0 to 100.
    pub waiting_weight: u32,
    /// Teams with quotas.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamLine>,
    /// Job kinds.
    pub kinds: BTreeMap<KindName, KindLine>,
}

/// A team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLine {
    /// Guaranteed share.
    pub quota: Resources,
    /// Weight among teams that borrow.
    pub weight: u32,
}

/// A job kind as declared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindLine {
    /// Team that is charged.
    pub team: TeamName,
    /// How the tasks live and start.
    #[serde(default)]
    pub class: WorkClass,
    /// Priority band.
    #[serde(default)]
    pub band: Band,
    /// Declared need of one task.
    pub need: Resources,
    /// Accelerator type required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerator: Option<AcceleratorName>,
    /// Declared run time of one task.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether a task that may have run can be started again.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a task can be checkpointed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Starts allowed for one task; 3 when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Failure domain to spread over.
    #[serde(default)]
    pub spread: Spread,
    /// Availability zones allowed; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneName>,
    /// Rule for a gang that loses a worker.
    #[serde(default)]
    pub on_member_loss: MemberLoss,
    /// Tasks that may be away at once.
    #[serde(default)]
    pub max_unavailable: u32,
}

/// One line after the header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When it happens, from the start of the trace.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub change: Change,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A worker joins, or comes back empty.
    Worker(WorkerLine),
    /// A worker and everything on it is gone without a word.
    Lost(WorkerId),
    /// All workers of an availability zone are gone without a word.
    LostZone(ZoneName),
    /// A worker is cut off: it runs on until its lease lapses, and is back later.
    Cut {
        /// The worker.
        worker: WorkerId,
        /// When it is heard again.
        back_ms: u64,
    },
    /// Every run on the worker fails from now on.
    Breaks(WorkerId),
    /// Runs on the worker succeed again.
    Mends(WorkerId),
    /// The worker reports usage that is so many hundredths of the true one.
    Lies {
        /// The worker.
        worker: WorkerId,
        /// 100 is the truth.
        percent: u32,
    },
    /// A job arrives.
    Job(JobLine),
    /// A job is cancelled.
    Cancel(JobName),
    /// A long-running job's number of tasks changes.
    Resize {
        /// The job.
        job: JobName,
        /// Tasks wanted.
        tasks: u32,
    },
    /// A worker is to be empty within a time.
    Drain {
        /// The worker.
        worker: WorkerId,
        /// Time it has.
        within_ms: u64,
    },
    /// A worker takes work again.
    Undrain(WorkerId),
    /// The weight of short waiting changes.
    Weight(u32),
    /// The next so many starts are refused.
    Refuse(u32),
    /// The control leader dies; a new one builds its placer from what is recorded.
    Failover,
}

/// A worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerLine {
    /// Name.
    pub id: WorkerId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// What it holds.
    pub capacity: Resources,
    /// Type of its accelerators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerator: Option<AcceleratorName>,
}

/// A job, with the truth about its tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobLine {
    /// Name.
    pub name: JobName,
    /// Kind.
    pub kind: KindName,
    /// Number of tasks; 1 when absent.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub tasks: u32,
    /// Team, when it differs from the kind's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// True run time of one task with all it uses; the declared one when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub true_run_ms: Option<u64>,
    /// What a task truly uses; the declared need when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub true_use: Option<Resources>,
    /// Whether every run fails.
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
    /// The worker as it announces itself.
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
    /// The policy that holds from the start.
    pub fn policy(&self) -> Policy {
        Policy {
            waiting_weight: self.waiting_weight,
            quarantine_trial: Duration::from_secs(120),
            ..Policy::default()
        }
    }

    /// The teams as the document would declare them.
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

    /// The job as the scheduler sees it.
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
    /// When it happens.
    pub const fn at(&self) -> Timestamp {
        Duration::from_millis(self.at_ms)
    }
}

/// Reads a trace; `name` is told in errors.
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
        let text = text.map_err(|e| Error::caused(Step::Replay, "reading", e).with_peer(name))?;
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
            return Err(refuse(n, "the time goes back".to_owned()));
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

/// Writes a trace.
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
