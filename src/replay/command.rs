//! Implementation of the `replay` command; its arguments are parsed elsewhere.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use super::outcome::Outcome;
use super::report::{self, Row};
use super::trace::{self, Trace};
use super::{engine, scenarios};
use crate::error::{Error, Result, Step};
use crate::exit_codes::ExitCode;
use crate::placement::{FirstFit, RandomOfK, Scheduler};

/// Number of workers that the random baseline samples for a task.
const RANDOM_CANDIDATES: usize = 2;
/// Number of times the random baseline samples again.
const RANDOM_RETRIES: usize = 8;

/// Arguments of the `replay` command.
#[derive(Clone, Debug, Default)]
pub struct ReplayArgs {
    /// Trace files. The required outcome is read from the file of the same name with the extension
    /// `.yaml`, if it exists.
    pub traces: Vec<PathBuf>,
    /// Names of traces to generate; `all` selects every one.
    pub generate: Vec<String>,
    /// Seed of generated traces, of the scheduler and of the random baseline.
    pub seed: u64,
    /// Folder into which generated traces are written instead of being replayed.
    pub write: Option<PathBuf>,
    /// Whether to replay with the baseline placers as well.
    pub baselines: bool,
    /// Weight of short waiting against tight packing; replaces the one in the trace header.
    pub waiting_weight: Option<u32>,
    /// File for the HTML report with plots.
    pub html: Option<PathBuf>,
}

/// Replays traces and prints a table of the results. Returns `ExitCode::OutcomeMissed` if the
/// scheduler missed a required outcome; the results of the baselines do not affect the exit code.
pub fn command(args: &ReplayArgs, mut output: impl Write) -> Result<ExitCode> {
    let mut rows = Vec::new();
    for name in expand_names(&args.generate) {
        let trace = scenarios::generate(name, args.seed)?;
        match &args.write {
            Some(folder) => write_trace(folder, name, &trace)?,
            None => replay(args, trace, None, &mut rows)?,
        }
    }
    for path in &args.traces {
        let trace = read_trace(path)?;
        let outcome = read_outcome(path)?;
        replay(args, trace, outcome, &mut rows)?;
    }
    let print = |e| Error::caused(Step::Replay, "printing the table", e);
    if !rows.is_empty() {
        output
            .write_all(report::to_text(&rows).as_bytes())
            .map_err(print)?;
    }
    if let Some(path) = &args.html {
        let page = report::to_html(&rows)?;
        std::fs::write(path, page).map_err(|e| file_error(path, "writing the report", e))?;
    }
    let missed = rows
        .iter()
        .any(|row| row.placer == SCHEDULER && row.missed.as_ref().is_some_and(|m| !m.is_empty()));
    Ok(if missed {
        ExitCode::OutcomeMissed
    } else {
        ExitCode::Success
    })
}

const SCHEDULER: &str = "scheduler";

fn expand_names(requested: &[String]) -> impl Iterator<Item = &str> {
    requested.iter().flat_map(|name| {
        let all = scenarios::NAMES.iter().map(|(known, _)| *known);
        let one = (name != "all").then_some(name.as_str());
        one.into_iter().chain(all.filter(move |_| name == "all"))
    })
}

fn replay(
    args: &ReplayArgs,
    mut trace: Trace,
    outcome: Option<Outcome>,
    rows: &mut Vec<Row>,
) -> Result<()> {
    if let Some(weight) = args.waiting_weight {
        trace.header.waiting_weight = weight;
    }
    // Without a required outcome, as for generated traces, only the invariants are checked.
    let outcome = outcome.unwrap_or_else(Outcome::unbounded);
    let mut add = |placer, measured| {
        let missed = Some(outcome.missed(&measured));
        rows.push(Row {
            placer,
            measured,
            missed,
        });
    };
    add(
        SCHEDULER,
        engine::run(&trace, || Scheduler::new(args.seed))?,
    );
    if args.baselines {
        add("first-fit", engine::run(&trace, FirstFit::new)?);
        let random = || RandomOfK::new(args.seed, RANDOM_CANDIDATES, RANDOM_RETRIES);
        add("random-of-2", engine::run(&trace, random)?);
    }
    Ok(())
}

fn file_error(path: &Path, what: &str, e: impl std::error::Error + Send + Sync + 'static) -> Error {
    Error::caused(Step::Replay, what, e).with_peer(path.display())
}

fn read_trace(path: &Path) -> Result<Trace> {
    let file = File::open(path).map_err(|e| file_error(path, "opening the trace", e))?;
    trace::read(&path.display().to_string(), BufReader::new(file))
}

fn write_trace(folder: &Path, name: &str, trace: &Trace) -> Result<()> {
    let path = folder.join(format!("{name}.jsonl"));
    let file = File::create(&path).map_err(|e| file_error(&path, "creating the trace", e))?;
    trace::write(trace, BufWriter::new(file))
}

fn read_outcome(path: &Path) -> Result<Option<Outcome>> {
    let path = path.with_extension("yaml");
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(file_error(&path, "reading the outcome", e)),
    };
    let name = path.display().to_string();
    let outcome = Outcome::read(&name, &text);
    let refuse = |problems: crate::schema::Problems| {
        Error::new(Step::Replay, problems.to_text()).with_peer(&name)
    };
    outcome.map(Some).map_err(refuse)
}
