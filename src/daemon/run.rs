//! The process around a daemon: arguments, logger, runtime, signals, exit code.

use std::future::Future;
use std::path::Path;
use std::process::ExitCode as ProcessExitCode;

use slog::{Logger, crit, info};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::args::{Asked, DaemonArgs, Program, parse_args};
use crate::exit_codes::ExitCode;
use crate::schema::Problems;
use crate::telemetry;
use crate::wire::CellKeys;

/// Runs a daemon's body on a runtime of its own and gives the process's exit code.
///
/// The body ends after a planned stop; a second signal while it stops ends the process at once.
pub fn run<F>(
    program: &'static Program,
    body: impl FnOnce(DaemonArgs, Logger) -> F,
) -> ProcessExitCode
where
    F: Future<Output = ExitCode>,
{
    let args = match parse_args(program, std::env::args_os().skip(1)) {
        Ok(Asked::Run(args)) => args,
        Ok(Asked::Print(text)) => {
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

/// Logs an error and gives the code to end with.
pub fn fail(log: &Logger, e: &crate::Error, code: ExitCode) -> ExitCode {
    crit!(log, "the daemon cannot run"; "step" => %e.step, "peer" => e.peer.as_deref(), "error" => %e);
    code
}

/// Takes a daemon's settings and its cell key, or says on standard error why it cannot start.
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

/// Waits for the first TERM or INT. From then on a second one ends the process at once.
pub async fn stop_signals(log: &Logger) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    either(&mut terminate, &mut interrupt).await;
    info!(log, "planned stop; a second signal ends at once");
    let log = log.clone();
    tokio::spawn(async move {
        either(&mut terminate, &mut interrupt).await;
        info!(log, "ended at once by a second signal");
        std::process::exit(ExitCode::Interrupted as i32);
    });
    Ok(())
}

async fn either(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}
