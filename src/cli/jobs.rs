//! `submit`, `status`, `cancel`.

use std::io::IsTerminal;
use std::time::Duration;

use serde_json::{Value, json};

use super::client::{Client, fresh_key, path_part};
use super::config::{Config, Format};
use super::{Failure, output};
use crate::ExitCode;
use crate::wire::{JobPhase, JobSubmission, JobView};

/// Time between two looks of `--watch`.
const WATCH_EVERY: Duration = Duration::from_millis(500);

pub(super) async fn submit(config: &Config, job: &JobSubmission) -> Result<ExitCode, Failure> {
    let key = match &job.key {
        Some(key) => key.to_string(),
        None => fresh_key(),
    };
    let job = JobSubmission {
        key: Some(key.as_str().into()),
        ..job.clone()
    };
    let answer = Client::new(config)?.post("/v1/jobs", &job, &key).await?;
    let view = job_view(&answer);
    output::result(config, &answer, || {
        format!(
            "accepted {}: {} of {}\nfollow it: yuccahold status {} --watch\n",
            view.name,
            tasks(view.tasks),
            view.kind,
            view.name
        )
    });
    Ok(ExitCode::Success)
}

pub(super) async fn cancel(config: &Config, job: &str) -> Result<ExitCode, Failure> {
    let path = format!("/v1/jobs/{}", path_part(job));
    let answer = Client::new(config)?.delete(&path).await?;
    let view = job_view(&answer);
    output::result(config, &answer, || job_lines(&view));
    Ok(ExitCode::Success)
}

pub(super) async fn status(
    config: &Config,
    job: Option<&str>,
    watch: bool,
) -> Result<ExitCode, Failure> {
    let client = Client::new(config)?;
    let mut shown = String::new();
    loop {
        let (json, text, code) = match job {
            Some(job) => job_status(&client, job).await?,
            None => cell_status(&client).await?,
        };
        let now = match config.format {
            Format::Json => format!("{json}\n"),
            Format::Text => text,
        };
        if now != shown {
            show(config, &now, watch);
            shown = now;
        }
        match code {
            Some(code) if job.is_some() && watch => return Ok(code),
            _ if !watch => return Ok(ExitCode::Success),
            _ => tokio::time::sleep(WATCH_EVERY).await,
        }
    }
}

/// On a terminal a watched page takes the place of the one before; in a pipe it follows it.
fn show(config: &Config, page: &str, watch: bool) {
    const CLEAR: &str = "\x1b[H\x1b[2J";
    let redraw = watch && config.format == Format::Text && std::io::stdout().is_terminal();
    let clear = if redraw { CLEAR } else { "" };
    output::print(&format!("{clear}{page}"));
}

type Page = (Value, String, Option<ExitCode>);

async fn job_status(client: &Client, job: &str) -> Result<Page, Failure> {
    let answer = client.get(&format!("/v1/jobs/{}", path_part(job))).await?;
    let view = job_view(&answer);
    let code = match view.phase {
        JobPhase::Waiting | JobPhase::Running => None,
        JobPhase::Done => Some(ExitCode::Success),
        JobPhase::Failed | JobPhase::Cancelled | JobPhase::Unknown => Some(ExitCode::OutcomeMissed),
    };
    Ok((answer, job_lines(&view), code))
}

async fn cell_status(client: &Client) -> Result<Page, Failure> {
    let mut all = serde_json::Map::new();
    for table in ["jobs", "workers", "minions", "entries", "replicas", "teams"] {
        all.insert(table.to_owned(), client.get(&format!("/v1/{table}")).await?);
    }
    let revision = client.document(None).await?.map(|d| d.revision);
    all.insert("revision".to_owned(), json!(revision));
    let all = Value::Object(all);
    let text = cell_lines(&all);
    Ok((all, text, None))
}

fn cell_lines(all: &Value) -> String {
    let count = |key: &str| all[key].as_array().map_or(0, Vec::len);
    let behind = |e: &&Value| e["in_force"] != all["revision"];
    let entries = all["entries"].as_array();
    let behind = entries.map_or(0, |rows| rows.iter().filter(behind).count());
    let revision = match all["revision"].as_u64() {
        Some(n) => format!("revision {n} is in force"),
        None => "no document is in force".to_owned(),
    };
    let mut out = format!(
        "{revision}; workers: {}, minions: {}, entry hosts: {} ({behind} not yet on it)\n",
        count("workers"),
        count("minions"),
        count("entries")
    );
    let views = all["jobs"].as_array().into_iter().flatten().map(job_view);
    let rows: Vec<_> = views
        .map(|v| {
            vec![
                v.name.to_string(),
                v.kind.to_string(),
                v.team.to_string(),
                v.phase.as_str().to_owned(),
                format!("{}/{}", v.done, v.tasks),
                v.reason,
            ]
        })
        .collect();
    if !rows.is_empty() {
        out.push('\n');
        out += &output::table(
            &["job", "kind", "team", "state", "done", "why it waits"],
            &rows,
        );
    }
    out
}

fn job_lines(v: &JobView) -> String {
    let mut out = format!(
        "{}: {} ({}, team {})\n  {}: {} waiting, {} running, {} done, {} failed, {} unknown; {} starts\n",
        v.name,
        v.phase.as_str(),
        v.kind,
        v.team,
        tasks(v.tasks),
        v.waiting,
        v.running,
        v.done,
        v.failed,
        v.unknown,
        v.starts
    );
    if let Some(waited) = v.waited {
        out += &format!("  waited {} ms for its first start\n", waited.as_millis());
    }
    if !v.workers.is_empty() {
        out += &format!("  runs on {}\n", v.workers.join(", "));
    }
    if !v.reason.is_empty() {
        out += &format!("  {}\n", v.reason);
    }
    out
}

fn tasks(n: u32) -> String {
    let plural = if n == 1 { "" } else { "s" };
    format!("{n} task{plural}")
}

/// A job out of an answer; rows of the list wrap it under `job`.
fn job_view(answer: &Value) -> JobView {
    let inner = answer.get("job").unwrap_or(answer);
    serde_json::from_value(inner.clone()).unwrap_or_default()
}
