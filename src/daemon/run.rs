//! Runs a daemon's process: arguments, logger, runtime, signals, exit code.

use std::future::Future;
use std::path::Path;
use std::process::ExitCode as ProcessExitCode;

use slog::{Logger, crit, info};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::args::{Action, DaemonArgs, Program, parse_args};
use crate::exit_codes::ExitCode;
use crate::schema::Problems;
use crate::telemetry;
use crate::wire::CellKeys;

/// Runs a daemon's body on a new runtime and returns the process's exit code.
///
/// The body returns after a graceful stop. It should wait for [`stop_signals`], which exits the
/// process on a second signal.
pub fn run<F>(
    program: &'static Program,
    body: impl FnOnce(DaemonArgs, Logger) -> F,
) -> ProcessExitCode
where
    F: Future<Output = ExitCode>,
{
    let args = match parse_args(program, std::env::args_os().skip(1)) {
        Ok(Action::Run(args)) => args,
        Ok(Action::Print(text)) => {
            print!("{text}");
            return ExitCode::Success.into();
        }
        Err(message) => {
            eprintln!("{}: {message}", program.name);
            return ExitCode::Usage.into();
        }
    };
    let (log, guard) = telemetry::logger(program.name, args.log_format, args.level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(body(args, log)),
        Err(e) => {
            crit!(log, "no runtime could be started"; "error" => %e);
            ExitCode::GeneralError
        }
    };
    drop(guard);
    code.into()
}

/// Logs a fatal error and returns `code`.
pub fn fail(log: &Logger, e: &crate::Error, code: ExitCode) -> ExitCode {
    crit!(log, "the daemon cannot run"; "step" => %e.step, "peer" => e.peer.as_deref(), "error" => %e);
    code
}

/// Unwraps a daemon's settings and loads its cell key. Problems in the settings are printed to
/// standard error, an unreadable key is logged.
pub fn prepare<T>(
    loaded: Result<T, Problems>,
    cell_key: impl Fn(&T) -> &Path,
    log: &Logger,
) -> Result<(T, CellKeys), ExitCode> {
    let cfg = loaded.map_err(|problems| {
        eprintln!("{:?}", miette::Report::new(problems));
        ExitCode::Invalid
    })?;
    let keys = CellKeys::load(cell_key(&cfg)).map_err(|e| fail(log, &e, ExitCode::Invalid))?;
    Ok((cfg, keys))
}

/// Waits for the first SIGTERM or SIGINT. A second one then exits the process immediately.
pub async fn stop_signals(log: &Logger) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    either_signal(&mut terminate, &mut interrupt).await;
    info!(log, "planned stop; a second signal ends at once");
    let log = log.clone();
    tokio::spawn(async move {
        either_signal(&mut terminate, &mut interrupt).await;
        info!(log, "ended at once by a second signal");
        std::process::exit(ExitCode::Interrupted as i32);
    });
    Ok(())
}

async fn either_signal(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}
