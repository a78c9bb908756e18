//! What a process uses, from `/proc`.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result, Step};

/// Clock ticks a second in `/proc/PID/stat`; fixed for programs on Linux.
const TICKS: u64 = 100;

/// Counters of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUse {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Memory now, in bytes.
    pub memory: u64,
    /// Most memory ever, in bytes.
    pub most_memory: u64,
    /// Bytes written to disks since its start.
    pub disk_written: u64,
}

/// Use of a process over a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Name of the process.
    pub name: CompactString,
    /// Processor time as a share of one core, in percent.
    pub cpu_percent: f64,
    /// Memory at the end, in bytes.
    pub memory: u64,
    /// Most memory ever, in bytes.
    pub most_memory: u64,
    /// Bytes written to disks a second.
    pub disk_per_second: f64,
    /// Bytes of frames between daemons sent a second; none without a metrics page.
    pub sent_per_second: Option<f64>,
    /// Bytes of frames between daemons received a second; none without a metrics page.
    pub received_per_second: Option<f64>,
}

/// Reads the counters of a process.
pub fn read_use(pid: u32) -> Result<ProcessUse> {
    let stat = read(pid, "stat")?;
    let status = read(pid, "status")?;
    let io = read(pid, "io").unwrap_or_default();
    Ok(ProcessUse {
        cpu: cpu(&stat).ok_or_else(|| malformed(pid, "stat"))?,
        memory: field(&status, "VmRSS:").ok_or_else(|| malformed(pid, "status"))? * 1024,
        most_memory: field(&status, "VmHWM:").unwrap_or_default() * 1024,
        disk_written: field(&io, "write_bytes:").unwrap_or_default(),
    })
}

fn read(pid: u32, file: &str) -> Result<String> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path)
        .map_err(|e| Error::caused(Step::Storage, "reading a process's use", e).with_peer(path))
}

fn malformed(pid: u32, file: &str) -> Error {
    Error::new(Step::Codec, "a process's use has an unknown form")
        .with_peer(format!("/proc/{pid}/{file}"))
}

/// User and system time. The name before them may hold spaces, but ends with the last bracket.
fn cpu(stat: &str) -> Option<Duration> {
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1000 / TICKS))
}

fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Counters of a process with its frames, at one moment.
pub(crate) struct Reading {
    at: Instant,
    used: ProcessUse,
    frames: Option<(f64, f64)>,
}

/// Reads a process; `page` is the text of its metrics.
pub(crate) fn take(pid: u32, page: Option<&str>, at: Instant) -> Result<Reading> {
    Ok(Reading {
        at,
        used: read_use(pid)?,
        frames: page.map(|text| {
            let sum = |name| metric(text, name);
            (
                sum("yuccahold_wire_sent_bytes_total"),
                sum("yuccahold_wire_received_bytes_total"),
            )
        }),
    })
}

/// Adds up a counter over its labels in a Prometheus page.
fn metric(page: &str, name: &str) -> f64 {
    let mut sum = 0.0;
    for line in page.lines() {
        let Some(rest) = line.strip_prefix(name) else {
            continue;
        };
        let labelled = rest.starts_with('{') || rest.starts_with(' ');
        let value = rest
            .rsplit(' ')
            .next()
            .and_then(|text| text.parse::<f64>().ok());
        sum += value.filter(|_| labelled).unwrap_or_default();
    }
    sum
}

/// Use between two readings.
pub(crate) fn between(name: &str, before: &Reading, after: &Reading) -> Usage {
    let seconds = (after.at - before.at).as_secs_f64().max(f64::MIN_POSITIVE);
    let cpu = after.used.cpu.saturating_sub(before.used.cpu).as_secs_f64();
    let disk = after
        .used
        .disk_written
        .saturating_sub(before.used.disk_written);
    let frames = before.frames.zip(after.frames);
    Usage {
        name: name.into(),
        cpu_percent: 100.0 * cpu / seconds,
        memory: after.used.memory,
        most_memory: after.used.most_memory,
        disk_per_second: disk as f64 / seconds,
        sent_per_second: frames.map(|(old, new)| (new.0 - old.0) / seconds),
        received_per_second: frames.map(|(old, new)| (new.1 - old.1) / seconds),
    }
}
