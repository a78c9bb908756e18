//! `token`, `load`, `stand-in`: commands for setting up, trying out and measuring.

use std::path::Path;
use std::sync::Arc;

use serde_json::json;
use slog::Level;

use super::config::{Config, Format, NewOperator};
use super::{Failure, output};
use crate::ExitCode;
use crate::console::{Role, new_token};
use crate::error::{Error, Step};
use crate::load::{self, LoadOptions, LoadReport};
use crate::replication::explore;
use crate::schema::Choice;
use crate::stand_in::{Ledger, MinionOptions, WorkerOptions, start_minion, start_worker};
use crate::telemetry::{self, LogFormat};

pub(super) fn token(config: &Config, operator: &NewOperator) -> Result<ExitCode, Failure> {
    let made = new_token(&operator.name)?;
    let role = Role::WORDS.iter().find(|(_, role)| *role == operator.role);
    let role = role.map_or("view", |(word, _)| word);
    let json = json!({
        "operator": operator.name, "role": role, "teams": operator.teams,
        "token": made.token, "token_hash": made.hash,
    });
    output::result(config, &json, || {
        let teams = match operator.teams.as_slice() {
            [] => String::new(),
            teams => format!("    teams: [{}]\n", teams.join(", ")),
        };
        format!(
            "token, shown only now: {}\n\nfor the file of operators:\n\noperators:\n  {}:\n    \
             role: {role}\n{teams}    token_hash: \"{}\"\n",
            made.token, operator.name, made.hash
        )
    });
    Ok(ExitCode::Success)
}

pub(super) async fn load(
    config: &Config,
    options: &LoadOptions,
    html: Option<&Path>,
    against: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let before = against.map(read_report).transpose()?;
    let report = load::run(options.clone()).await?;
    match config.format {
        Format::Json => output::print(&format!("{}\n", load::render_json(&report)?)),
        Format::Text => output::print(&load::render_table(&report)),
    }
    if let Some(path) = html {
        let page = load::render_html(&report)?;
        std::fs::write(path, page).map_err(|e| file_error(path, "writing the report", e))?;
    }
    if let Some(before) = before {
        output::complain(&load::compare(&before, &report).to_string());
    }
    Ok(ExitCode::Success)
}

fn read_report(path: &Path) -> Result<LoadReport, Failure> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| file_error(path, "reading the earlier report", e))?;
    serde_json::from_str(&text).map_err(|e| {
        let e = Error::caused(Step::Codec, "reading the earlier report", e);
        Failure::from(e.with_peer(path.display()))
    })
}

fn file_error(path: &Path, what: &str, e: std::io::Error) -> Failure {
    Error::caused(Step::Storage, what, e)
        .with_peer(path.display())
        .into()
}

pub(super) async fn minion(options: &MinionOptions) -> Result<ExitCode, Failure> {
    let minion = start_minion(options.clone()).await?;
    output::complain(&format!(
        "minion {} listens on {}",
        options.id,
        minion.addr()
    ));
    std::future::pending::<()>().await;
    Ok(ExitCode::Success)
}

pub(super) async fn worker(options: &WorkerOptions) -> Result<ExitCode, Failure> {
    let (log, _guard) = telemetry::logger("stand-in", LogFormat::Auto, Level::Info);
    let client = reqwest::Client::new();
    let ledger = Arc::new(Ledger::default());
    let _worker = start_worker(options.clone(), client, ledger, &log);
    output::complain(&format!("worker {} polls", options.spec.id));
    std::future::pending::<()>().await;
    Ok(ExitCode::Success)
}

/// Runs schedules of the replicated log under faults; the first broken property ends with its
/// seed.
pub(super) fn explore(
    config: &Config,
    from: u64,
    seeds: u64,
    threads: usize,
) -> Result<ExitCode, Failure> {
    let range = from..from.saturating_add(seeds);
    let coverage = explore::explore(range, None, threads.max(1))
        .map_err(|violation| Failure::new(ExitCode::OutcomeMissed, violation.to_string()))?;
    let json = json!({
        "schedules": coverage.schedules, "events": coverage.events,
        "elections": coverage.elections, "writes": coverage.writes, "reads": coverage.reads,
        "crashes": coverage.crashes, "power_losses": coverage.power_losses,
        "pauses": coverage.pauses, "wipes": coverage.wipes,
        "moves": coverage.moves, "retired": coverage.retired,
        "peer_changes": coverage.peer_changes, "peers_corrected": coverage.peers_corrected,
        "leased_reads": coverage.leased_reads,
        "membership_changes": coverage.membership_changes,
        "snapshots_installed": coverage.snapshots_installed,
        "quorums_lost": coverage.quorums_lost,
    });
    output::result(config, &json, || {
        format!(
            "{} schedules, {} events, {} elections, {} membership changes: no property broken\n\
             {} schedules lost a majority of disks for good\n",
            coverage.schedules,
            coverage.events,
            coverage.elections,
            coverage.membership_changes,
            coverage.quorums_lost
        )
    });
    Ok(ExitCode::Success)
}
