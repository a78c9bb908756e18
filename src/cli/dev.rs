//! `yuccahold dev`: the options, the logger and the runtime of a cell in one process.

use std::io::IsTerminal;

use slog::Level;

use super::config::{Command, Config, Format};
use super::output;
use crate::ExitCode;
use crate::dev::DevOptions;
use crate::error::{Error, Result, Step};
use crate::telemetry::{LogFormat, logger};

/// Runs the cell until it is stopped, or the demonstration until it ends.
pub(super) fn dev(config: &Config) -> ExitCode {
    let ended = options(config).map_or(Ok(ExitCode::Usage), run);
    ended.unwrap_or_else(|e| {
        output::complain(&e.to_string());
        ExitCode::GeneralError
    })
}

fn options(config: &Config) -> Option<DevOptions> {
    let Command::Dev {
        document,
        data,
        demo,
    } = &config.command
    else {
        return None;
    };
    let json = config.format == Format::Json;
    Some(DevOptions {
        document: document.clone(),
        data: data.clone(),
        demo: *demo,
        live: !json && std::io::stdout().is_terminal(),
        json,
    })
}

fn run(options: DevOptions) -> Result<ExitCode> {
    let (log, _guard) = logger("dev", LogFormat::Auto, Level::Warning);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::caused(Step::Listen, "starting the runtime", e))?;
    runtime.block_on(crate::dev::run(options, &log))
}
