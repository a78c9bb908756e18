//! The command line: arguments become one `Config`, and each command runs from it.

mod check;
mod client;
mod completions;
mod config;
mod dev;
mod documents;
mod drains;
mod files;
mod help;
mod jobs;
mod output;
mod parse;
mod parse_tools;
mod report;
mod specs;
mod tools;

use std::ffi::OsString;

pub use config::{Command, Config, Format, Shell};
pub use parse::{Parsed, UsageError, parse};

use crate::ExitCode;
use crate::error::{Error, Step};

/// Runs the program with its arguments, without its own name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match parse(args) {
        Ok(Parsed::Help(page)) => {
            output::print(&page);
            ExitCode::Success
        }
        Ok(Parsed::Version) => {
            output::print(&format!("yuccahold {}\n", env!("CARGO_PKG_VERSION")));
            ExitCode::Success
        }
        Ok(Parsed::Run(config)) => run(&config),
        Err(e) => {
            output::complain(&e.to_string());
            ExitCode::Usage
        }
    }
}

fn run(config: &Config) -> ExitCode {
    // A cell needs all processors and ends by its own planned stop.
    if matches!(config.command, Command::Dev { .. }) {
        return dev::dev(config);
    }
    let mut builder = match config.command {
        // The load tool needs threads beside the one that waits.
        Command::Load { .. } => tokio::runtime::Builder::new_multi_thread(),
        _ => tokio::runtime::Builder::new_current_thread(),
    };
    let runtime = builder
        .enable_all()
        .build()
        .map_err(|e| Error::caused(Step::Listen, "starting the runtime", e));
    let ended = runtime.map_err(Failure::from).and_then(|rt| {
        rt.block_on(async {
            tokio::select! {
                ended = command(config) => ended,
                _ = tokio::signal::ctrl_c() => Ok(ExitCode::Interrupted),
            }
        })
    });
    ended.unwrap_or_else(|failure| {
        output::complain(&failure.message);
        failure.code
    })
}

async fn command(config: &Config) -> Result<ExitCode, Failure> {
    match &config.command {
        Command::Dev { .. } => Ok(dev::dev(config)),
        Command::Check { paths, kind } => check::check(config, paths, *kind),
        Command::Apply { path, base, yes } => documents::apply(config, path, *base, *yes).await,
        Command::Show { revision } => documents::show(config, *revision).await,
        Command::History => documents::history(config).await,
        Command::Rollback { revision, yes } => documents::rollback(config, *revision, *yes).await,
        Command::Submit { job } => jobs::submit(config, job).await,
        Command::Status { job, watch } => jobs::status(config, job.as_deref(), *watch).await,
        Command::Cancel { job } => jobs::cancel(config, job).await,
        Command::Drain { drain, undo, yes } => drains::drain(config, drain, *undo, *yes).await,
        Command::ReportBurn { html } => report::burn(config, html.as_deref()).await,
        Command::Explore {
            from,
            seeds,
            threads,
        } => tools::explore(config, *from, *seeds, *threads),
        Command::Replay { args } => Ok(crate::replay::command(args, std::io::stdout().lock())?),
        Command::Token { operator } => tools::token(config, operator),
        Command::Load {
            options,
            html,
            against,
        } => tools::load(config, options, html.as_deref(), against.as_deref()).await,
        Command::StandInMinion { options } => tools::minion(options).await,
        Command::StandInWorker { options } => tools::worker(options).await,
        Command::Completions { shell } => {
            output::print(&completions::script(*shell));
            Ok(ExitCode::Success)
        }
    }
}

/// Why a command ended without success.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) code: ExitCode,
    pub(crate) message: String,
}

impl Failure {
    pub(crate) fn new(code: ExitCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

impl From<Error> for Failure {
    fn from(e: Error) -> Self {
        Self::new(ExitCode::GeneralError, e.to_string())
    }
}

impl From<crate::document::Problems> for Failure {
    fn from(problems: crate::document::Problems) -> Self {
        Self::new(ExitCode::Invalid, output::problems_text(&problems))
    }
}
