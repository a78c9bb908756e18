//! Parses and validates jobs from callers' JSON, and encodes job states for them.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::batch::model::{Grouping, JobSpec, JobState, Lifetime, StepSpec, Timetable};
use crate::resources::Resources;

/// Longest payload in bytes, set by the platform's contract; other texts are limited alike.
const MAX_PAYLOAD: usize = 4000;
/// Most tasks in a job. The contract sets no limit; the users' largest jobs have 50 tasks, and
/// each task takes 100 bytes of memory on every replica.
const MAX_TASKS: u32 = 20_000;
/// Most steps in a job, limited for the same reason.
const MAX_STEPS: usize = 200;
/// Longest accepted duration in ms: a hundred years.
const MAX_MS: f64 = 3.2e12;

#[derive(Deserialize)]
struct JobBody {
    #[serde(default)]
    spec: CompactString,
    #[serde(deserialize_with = "bounded_steps")]
    steps: Vec<StepBody>,
    #[serde(default)]
    times: u32,
    #[serde(default)]
    start_time_ms: f64,
    #[serde(default)]
    interval_ms: f64,
}

/// Callers leave out fields whose value is zero, false or empty.
#[derive(Deserialize)]
struct StepBody {
    #[serde(default)]
    count: u32,
    /// Millicores.
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    /// Accelerators.
    #[serde(default)]
    gpu: u32,
    #[serde(default)]
    est_ms: f64,
    #[serde(default)]
    depends_on: Vec<u16>,
    #[serde(default)]
    saves_progress: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    rack_local: bool,
    #[serde(default)]
    required_label: CompactString,
    #[serde(default)]
    data_rack: CompactString,
    #[serde(default)]
    max_per_server: u32,
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    runs_forever: bool,
    #[serde(default)]
    image: CompactString,
    #[serde(default)]
    target_ms: f64,
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    may_miss: u32,
}

/// Reads no more steps than allowed: the parsed form of an empty one takes a hundred times its text.
fn bounded_steps<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<StepBody>, D::Error> {
    struct Steps;

    impl<'de> Visitor<'de> for Steps {
        type Value = Vec<StepBody>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "1 to {MAX_STEPS} steps")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut rows: A) -> Result<Self::Value, A::Error> {
            let mut steps = Vec::new();
            while let Some(step) = rows.next_element()? {
                if steps.len() == MAX_STEPS {
                    return Err(de::Error::custom(too_many_steps()));
                }
                steps.push(step);
            }
            Ok(steps)
        }
    }

    from.deserialize_seq(Steps)
}

fn too_many_steps() -> String {
    format!("a job has 1 to {MAX_STEPS} steps")
}

/// Parses and validates a job; the error is one sentence for the caller.
pub fn decode(body: &[u8]) -> Result<Arc<JobSpec>, String> {
    let job: JobBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if job.spec.len() > MAX_PAYLOAD {
        return Err(format!("spec is longer than {MAX_PAYLOAD} bytes"));
    }
    if job.steps.is_empty() || job.steps.len() > MAX_STEPS {
        return Err(too_many_steps());
    }
    let steps = job.steps.into_iter().enumerate().map(|(i, s)| step(i, s));
    let steps = steps.collect::<Result<Vec<_>, _>>()?;
    if steps.iter().map(|s| s.count).sum::<u32>() > MAX_TASKS {
        return Err(format!("a job has at most {MAX_TASKS} tasks"));
    }
    let timetable = if job.times > 0 {
        Some(Timetable {
            occurrences: job.times,
            first: duration("start_time_ms", job.start_time_ms)?,
            interval: duration("interval_ms", job.interval_ms)?,
        })
    } else {
        None
    };
    Ok(Arc::new(JobSpec {
        payload: job.spec,
        steps,
        timetable,
    }))
}

fn step(index: usize, body: StepBody) -> Result<StepSpec, String> {
    if body.count == 0 || body.count > MAX_TASKS {
        return Err(format!(
            "step {index}: count is not within 1 to {MAX_TASKS}"
        ));
    }
    if let Some(bad) = body.depends_on.iter().find(|s| usize::from(**s) >= index) {
        return Err(format!(
            "step {index}: depends_on names step {bad}, which is not earlier"
        ));
    }
    let texts = [
        ("image", &body.image),
        ("required_label", &body.required_label),
        ("data_rack", &body.data_rack),
    ];
    if let Some((name, _)) = texts.iter().find(|(_, text)| text.len() > MAX_PAYLOAD) {
        return Err(format!(
            "step {index}: {name} is longer than {MAX_PAYLOAD} bytes"
        ));
    }
    let nonzero = |number: u32| (number > 0).then_some(number);
    let text = |text: CompactString| (!text.is_empty()).then_some(text);
    Ok(StepSpec {
        count: body.count,
        need: Resources {
            millicores: body.cpu,
            memory_mb: body.mem_mb,
            accelerators: body.gpu,
        },
        estimate: duration("est_ms", body.est_ms)?,
        after: body.depends_on,
        saves_progress: body.saves_progress,
        grouping: if body.gang {
            Grouping::Gang
        } else {
            Grouping::Single
        },
        one_rack: body.rack_local,
        label: text(body.required_label),
        data_rack: text(body.data_rack),
        max_per_minion: nonzero(body.max_per_server),
        copies_allowed: body.speculative,
        lifetime: if body.runs_forever {
            Lifetime::Lasting
        } else {
            Lifetime::Finite
        },
        image: body.image,
        latency_target: Some(duration("target_ms", body.target_ms)?).filter(|t| !t.is_zero()),
        uses_idle_cpu: body.fills,
        disruption_budget: nonzero(body.may_miss),
    })
}

fn duration(name: &str, ms: f64) -> Result<Duration, String> {
    if !(0.0..=MAX_MS).contains(&ms) {
        return Err(format!("{name} is not a time"));
    }
    Ok(Duration::from_secs_f64(ms / 1000.0))
}

#[derive(Serialize)]
pub(super) struct StateBody {
    state: &'static str,
}

#[derive(Serialize)]
pub(super) struct PendingBody {
    pub(super) pending: u64,
}

pub(super) fn state(state: JobState) -> StateBody {
    let state = match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Canceled => "canceled",
    };
    StateBody { state }
}
