//! The traffic daemon of an entry host: `yuccahold-entry SETTINGS`.

use std::path::PathBuf;

use tokio::signal::unix::{Signal, SignalKind, signal};
use yuccahold::entry::Entry;
use yuccahold::telemetry::{LogFormat, logger};
use yuccahold::wire::CellKeys;
use yuccahold::{Error, ExitCode, Step, settings};

const USAGE: &str = "Usage: yuccahold-entry SETTINGS\n\nRuns the traffic daemon with the settings file SETTINGS (YAML).\n";

fn main() -> std::process::ExitCode {
    let path = match parse_args() {
        Ok(Some(path)) => path,
        Ok(None) => {
            print!("{USAGE}");
            return ExitCode::Success.into();
        }
        Err(e) => {
            eprintln!("{e}\n\n{USAGE}");
            return ExitCode::Usage.into();
        }
    };
    let settings = match settings::load_entry(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{:?}", miette::Report::new(e));
            return ExitCode::Invalid.into();
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::Success.into(),
        Err(e) => {
            eprintln!("{:?}", miette::Report::new(e));
            ExitCode::GeneralError.into()
        }
    }
}

fn parse_args() -> Result<Option<PathBuf>, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut path = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(None),
            Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            _ => return Err(arg.unexpected()),
        }
    }
    path.map(Some)
        .ok_or_else(|| "the settings file is missing".into())
}

fn run(settings: settings::EntrySettings) -> yuccahold::Result<()> {
    let keys = CellKeys::load(&settings.cell_key)?;
    let (log, _guard) = logger("yuccahold-entry", LogFormat::Auto, slog::Level::Info);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| Error::caused(Step::Listen, "starting the runtime", e))?;
    runtime.block_on(async move {
        let mut term = listen(SignalKind::terminate())?;
        let mut interrupt = listen(SignalKind::interrupt())?;
        let entry = Entry::start(settings, keys, log.clone()).await?;
        slog::info!(log, "ready to take connections"; "listen" => %entry.http_addr());
        next(&mut term, &mut interrupt).await;
        // A second signal ends the process at once, for operators who can't wait.
        tokio::select! {
            () = entry.stop() => {}
            () = next(&mut term, &mut interrupt) => slog::warn!(log, "ended at once"),
        }
        Ok(())
    })
}

async fn next(term: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn listen(kind: SignalKind) -> yuccahold::Result<Signal> {
    signal(kind).map_err(|e| Error::caused(Step::Listen, "listening for signals", e))
}
