//! Calls to minions and to the policy service, and parsers of their answers and of minions' reports.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use http::StatusCode;
use metrics::counter;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

use super::client::{Client, Failure};
use super::rows::rows;
use super::settings::Boot;
use crate::batch::dispatch::{
    Advice, AdviceQuestion, Answer, CallFailure, HoldAnswer, HoldOrder, ListedEnd, ListedRun,
    Listing, ORDER_TIMEOUT, StartOrder, StartRefusal, Target,
};
use crate::batch::driver::{Minions, Policy};
use crate::batch::link::AgentCalls;
use crate::batch::machine::parse_job_id;
use crate::batch::model::{EndKind, MinionReport, Readiness, RunNumber, StepId, TaskId};
use crate::ids::Term;
use crate::resources::Resources;

/// Time for the policy service's answer, in addition to the expected cost of the question: other
/// questions from the same host may be queued before it.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2500);

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run: RunNumber,
    spec: &'a str,
    deadline_ms: u64,
    fencing_token: Term,
    #[serde(skip_serializing_if = "str::is_empty")]
    last_checkpoint: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    run: RunNumber,
    fencing_token: Term,
}

#[derive(Serialize)]
struct PaceBody {
    task: String,
    run: RunNumber,
    percent: u32,
    fencing_token: Term,
}

#[derive(Serialize)]
struct HoldBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: Term,
    acked_upto: u64,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

fn is_zero(ms: &u64) -> bool {
    *ms == 0
}

#[derive(Deserialize)]
struct OrderReply {
    clock_ms: Option<f64>,
    #[serde(default)]
    reason: CompactString,
}

#[derive(Deserialize)]
struct HoldReply {
    /// Unix time in ms at which the minion started; absent from minions that don't send it.
    #[serde(default)]
    born: Option<u64>,
    clock_ms: f64,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    ended: Vec<EndedRow>,
}

/// Row of a running task: task name, run, checkpoint, percent done, and approximate load.
#[derive(Deserialize)]
struct RunningRow(
    CompactString,
    RunNumber,
    CompactString,
    f64,
    #[serde(default)] f64,
);

/// Row of an ended run: sequence number, task name, run, how it ended, and checkpoint.
#[derive(Deserialize)]
struct EndedRow(u64, CompactString, RunNumber, CompactString, CompactString);

#[derive(Serialize)]
struct AdviseBody<'a> {
    step: String,
    workers: &'a [CompactString],
}

/// Sends orders and holds to minions over pooled connections.
#[derive(Clone)]
pub(super) struct MinionClient(pub(super) Client);

impl MinionClient {
    async fn order(&self, to: &Target, path: &str, body: &impl Serialize) -> Answer {
        let call = self
            .0
            .post(to.addr, path, Some(&to.id), body, ORDER_TIMEOUT);
        let (status, body) = match call.await {
            Ok(answered) => answered,
            Err(failure) => return Answer::Silent(to_call_failure(failure)),
        };
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Answer::OtherIncarnation;
        }
        let reply: Option<OrderReply> = serde_json::from_slice(&body).ok();
        let clock = reply.as_ref().and_then(|r| r.clock_ms).map(ms);
        if status.is_success() {
            return Answer::Done { clock };
        }
        let reason = reply.map(|r| r.reason).unwrap_or_default();
        let why = match reason.as_str() {
            "fence" => StartRefusal::Fenced,
            "old" => StartRefusal::Superseded,
            "late" => StartRefusal::Late,
            "room" => StartRefusal::InsufficientResources,
            "ticket" => StartRefusal::Ticket,
            _ => StartRefusal::Unhealthy,
        };
        Answer::Refused { clock, why }
    }
}

fn to_call_failure(failure: Failure) -> CallFailure {
    match failure {
        Failure::Refused => CallFailure::Refused,
        Failure::Lost => CallFailure::Lost,
        Failure::Broken => CallFailure::Broken,
    }
}

impl Minions for MinionClient {
    async fn start(&self, to: &Target, order: &StartOrder) -> Answer {
        let body = StartBody {
            task: order.task.to_string(),
            run: order.run,
            spec: &order.payload,
            deadline_ms: whole_ms(order.deadline),
            fencing_token: order.token,
            last_checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
        };
        self.order(to, "/yuccahold/run-start", &body).await
    }

    async fn stop(&self, to: &Target, task: TaskId, run: RunNumber, token: Term) -> Answer {
        let body = StopBody {
            task: task.to_string(),
            run,
            fencing_token: token,
        };
        self.order(to, "/yuccahold/run-stop", &body).await
    }

    async fn pace(
        &self,
        to: &Target,
        task: TaskId,
        run: RunNumber,
        percent: u32,
        token: Term,
    ) -> Answer {
        let body = PaceBody {
            task: task.to_string(),
            run,
            percent,
            fencing_token: token,
        };
        self.order(to, "/yuccahold/pace", &body).await
    }

    async fn hold(&self, to: &Target, order: &HoldOrder) -> HoldAnswer {
        let body = HoldBody {
            deadline_ms: order.deadline.map(whole_ms),
            fencing_token: order.token,
            acked_upto: order.acked,
            wait_ms: whole_ms(order.wait),
        };
        let call = self.0.post(
            to.addr,
            "/yuccahold/hold",
            Some(&to.id),
            &body,
            order.timeout(),
        );
        let (status, body) = match call.await {
            Ok(answered) => answered,
            Err(failure) => return HoldAnswer::Silent(to_call_failure(failure)),
        };
        if status == StatusCode::MISDIRECTED_REQUEST {
            return HoldAnswer::OtherIncarnation;
        }
        if !status.is_success() {
            return HoldAnswer::Refused;
        }
        decode_listing(&body).map_or(HoldAnswer::Refused, HoldAnswer::Listing)
    }
}

/// Parses a minion's answer to a hold, its list of running and ended runs; `None` when the body is
/// not such an answer. Unreadable rows are left out and counted.
pub fn decode_listing(body: &[u8]) -> Option<Listing> {
    if let Ok(reply) = serde_json::from_slice::<HoldReply>(body) {
        return Some(listing(reply, 0));
    }
    let mut body: Value = serde_json::from_slice(body).ok()?;
    let clock_ms = body.get("clock_ms")?.as_f64()?;
    let running = rows::<RunningRow>(&mut body, "running")?;
    let ended = rows::<EndedRow>(&mut body, "ended")?;
    let unreadable = running.unreadable + ended.unreadable;
    let reply = HoldReply {
        born: body.get("born").and_then(Value::as_u64),
        clock_ms,
        running: running.read,
        ended: ended.read,
    };
    Some(listing(reply, unreadable))
}

fn listing(reply: HoldReply, mut unreadable: u32) -> Listing {
    let rows = reply.running.len() + reply.ended.len();
    let running: Vec<_> = reply.running.into_iter().filter_map(listed_run).collect();
    let ended: Vec<_> = reply.ended.into_iter().filter_map(listed_end).collect();
    unreadable += (rows - running.len() - ended.len()) as u32;
    Listing {
        started: reply.born.map(Duration::from_millis),
        clock: ms(reply.clock_ms),
        running,
        ended,
        unreadable,
    }
}

fn listed_run(row: RunningRow) -> Option<ListedRun> {
    Some(ListedRun {
        task: parse_task(&row.0)?,
        run: row.1,
        checkpoint: row.2,
        percent: row.3.max(0.0) as u32,
        load: row.4.max(0.0) as u32,
    })
}

fn listed_end(row: EndedRow) -> Option<ListedEnd> {
    Some(ListedEnd {
        number: row.0,
        task: parse_task(&row.1)?,
        run: row.2,
        kind: match row.3.as_str() {
            "done" => EndKind::Done,
            "failed" => EndKind::Failed,
            "stopped" => EndKind::Stopped,
            "broken" => EndKind::GangMemberLost,
            "alone" => EndKind::GangIncomplete,
            // The run has ended for an unknown reason; it is not certain that an attempt was used.
            _ => EndKind::Lapsed,
        },
        checkpoint: row.4,
    })
}

/// Parses a task name: job, occurrence, step and index, separated by dots.
fn parse_task(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    let step = StepId {
        job: parse_job_id(parts.next()?)?,
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
    };
    let index = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(TaskId { step, index })
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e12) / 1000.0)
}

fn whole_ms(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// The calls that a daemon in platform mode can make on behalf of the leader.
pub(super) fn calls(boot: &Boot, client: Client) -> AgentCalls<MinionClient, PolicyClient> {
    AgentCalls {
        minions: MinionClient(client.clone()),
        policy: PolicyClient {
            client,
            addr: boot.policy,
        },
        zone: boot.zone.clone(),
        relay_addr: None,
    }
}

/// Asks the policy service which minions may run a step; without an address it gives no advice.
#[derive(Clone)]
pub(super) struct PolicyClient {
    client: Client,
    addr: Option<SocketAddr>,
}

impl Policy for PolicyClient {
    async fn advise(&self, question: &AdviceQuestion) -> Option<Advice> {
        let body = AdviseBody {
            step: question.id.step.to_string(),
            workers: &question.minions,
        };
        let timeout = question.cost + ADVICE_TIMEOUT;
        let call = self
            .client
            .post(self.addr?, "/yuccahold/advise", None, &body, timeout);
        let (status, body) = call.await.ok()?;
        if !status.is_success() {
            return None;
        }
        decode_advice(&body)
    }
}

/// Parses an answer of the policy service; `None` when the body is not such an answer. The minion
/// of an unreadable row may not run the step.
pub fn decode_advice(body: &[u8]) -> Option<Advice> {
    let mut body: Value = serde_json::from_slice(body).ok()?;
    body.get("good")?;
    let rows = rows::<(CompactString, CompactString)>(&mut body, "good")?;
    if rows.unreadable > 0 {
        counter!("yuccahold_platform_unreadable_rows_total", "list" => "advice")
            .increment(u64::from(rows.unreadable));
    }
    Some(Advice { good: rows.read })
}

#[derive(Deserialize)]
struct ReportBody {
    service: CompactString,
    addr: SocketAddr,
    zone: CompactString,
    #[serde(rename = "version")]
    _version: CompactString,
    #[serde(rename = "slots")]
    _slots: u32,
    #[serde(rename = "cold_left_ms")]
    _cold_left_ms: f64,
    state: CompactString,
    capacity: CapacityBody,
    labels: Vec<CompactString>,
    #[serde(default)]
    remaining_ms: Option<f64>,
    clock_ms: f64,
    /// Unix time in ms at which the minion started.
    #[serde(default, deserialize_with = "some_u64")]
    born: Option<u64>,
    seq: u64,
}

#[derive(Deserialize)]
struct CapacityBody {
    /// Millicores.
    cpu: u32,
    mem_mb: u32,
    /// Accelerators.
    #[serde(default)]
    gpu: u32,
}

/// A value that may be left out but must not be null.
fn some_u64<'de, D: Deserializer<'de>>(input: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(input).map(Some)
}

/// Parses a minion's report of its state; the error is one sentence.
///
/// A report that lacks a field of the contract, or has one of another type, comes from a program
/// that is not a minion. With zero as a default the scheduler would still send holds and orders to
/// it.
pub fn decode_report(id: &str, body: &[u8]) -> Result<MinionReport, String> {
    let report: ReportBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let readiness = match report.state.as_str() {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining {
            remaining: report.remaining_ms.map(ms),
        },
        other => return Err(format!("unknown state {other:?}")),
    };
    Ok(MinionReport {
        id: id.into(),
        started: report.born.map(Duration::from_millis),
        service: report.service,
        addr: report.addr,
        zone: report.zone,
        capacity: Resources {
            millicores: report.capacity.cpu,
            memory_mb: report.capacity.mem_mb,
            accelerators: report.capacity.gpu,
        },
        labels: report.labels,
        readiness,
        clock: ms(report.clock_ms),
        sequence: report.seq,
    })
}
