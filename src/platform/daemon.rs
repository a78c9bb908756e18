//! What both daemons share in platform mode: startup, signals, reload of the settings, metrics.

use std::net::SocketAddr;
use std::process::ExitCode as ProcessExitCode;
use std::time::Duration;

use slog::{Logger, crit, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use super::connections::{Connections, OWN_CLIENTS};
use super::front::MetricsHandler;
use super::http;
use super::settings::{Boot, PATH_VARIABLE};
use crate::batch::model::Limits;
use crate::error::{Error, Result, Step};
use crate::exit_codes::ExitCode;
use crate::telemetry;
use crate::wire::{CellKey, CellKeys};

/// Cell key of the daemons. The platform provides no secret, so the key proves no identity; it only
/// rejects processes of other versions and connections made by mistake. Only hosts of the system
/// can reach the ports.
const OPEN_CELL_KEY: &str = "open cell on a closed network";
/// Interval at which histogram samples are folded into buckets; without it they would use more and
/// more memory while the metrics page is not read.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the settings file is checked for changes; new seeds are first used when the
/// daemon next searches for a leader.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Part of the time between SIGTERM and SIGKILL that is reserved for the process to exit.
const GRACE_RESERVE: Duration = Duration::from_millis(800);

pub(super) fn open_cell_keys() -> Result<CellKeys> {
    CellKeys::new([CellKey::from_text(OPEN_CELL_KEY)])
}

/// Signals that a daemon handles. They are installed before the settings are read: a start may wait
/// for a slow disk, and SIGHUP ends a process that has no handler for it.
pub(super) struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

fn runtime_with_signals() -> std::io::Result<(Runtime, Signals)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let entered = runtime.enter();
    let signals = Signals::install()?;
    drop(entered);
    Ok((runtime, signals))
}

/// Sets up the log and the settings and runs `body` on a single-threaded runtime.
pub(super) fn run_daemon<F>(
    name: &'static str,
    body: impl FnOnce(Boot, Signals, Logger) -> F,
) -> ProcessExitCode
where
    F: Future<Output = Result<()>>,
{
    let runtime = runtime_with_signals();
    let (log, guard) = match telemetry::stdout_logger(name) {
        Ok(made) => made,
        Err(e) => {
            eprintln!("{name}: the log thread cannot be started: {e}");
            return ExitCode::GeneralError.into();
        }
    };
    let boot = match Boot::from_environment() {
        Ok(boot) => boot,
        Err(e) => {
            crit!(log, "the daemon cannot run"; "error" => %e);
            drop(guard);
            return ExitCode::Invalid.into();
        }
    };
    info!(log, "starting"; "version" => env!("CARGO_PKG_VERSION"), "node" => boot.node.as_str(),
        "zone" => boot.zone.as_str(), "first_start" => boot.first_start,
        "seeds" => format!("{:?}", boot.seed_calls()));
    warn_unreadable_seeds(&boot, &log);
    let done = match runtime {
        Ok((runtime, signals)) => runtime.block_on(body(boot, signals, log.clone())),
        Err(e) => Err(Error::caused(Step::Listen, "starting a runtime", e)),
    };
    let code = match done {
        Ok(()) => {
            info!(log, "stopped");
            ExitCode::Success
        }
        Err(e) => {
            crit!(log, "the daemon cannot run"; "error" => %e);
            ExitCode::GeneralError
        }
    };
    drop(guard);
    code.into()
}

fn warn_unreadable_seeds(boot: &Boot, log: &Logger) {
    if !boot.unreadable_seeds.is_empty() {
        warn!(log, "seeds that are not addresses are ignored";
            "entries" => boot.unreadable_seeds.join(", "));
    }
}

pub(super) async fn bind(addr: Option<SocketAddr>, what: &str) -> Result<TcpListener> {
    let addr = addr.ok_or_else(|| {
        Error::new(
            Step::Settings,
            format!("no address to listen on for {what}"),
        )
    })?;
    TcpListener::bind(addr).await.map_err(|e| {
        Error::caused(Step::Listen, format!("listening for {what}"), e).with_peer(addr)
    })
}

/// Waits for SIGTERM. Meanwhile it reloads the settings on SIGHUP or when the file changes, and
/// passes them to `reloaded`.
pub(super) async fn wait_for_end(mut signals: Signals, log: &Logger, reloaded: impl Fn(&Boot)) {
    let mut loaded = settings_modified_at();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.reload.recv() => {}
            // The file may also change without a signal.
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
                if settings_modified_at() == loaded {
                    continue;
                }
            }
        }
        loaded = settings_modified_at();
        match Boot::from_environment() {
            Ok(boot) => {
                info!(log, "settings reloaded"; "seeds" => format!("{:?}", boot.seed_calls()));
                warn_unreadable_seeds(&boot, log);
                reloaded(&boot);
            }
            Err(e) => warn!(log, "changed settings are invalid; the old ones stay in use";
                "error" => %e),
        }
    }
}

/// Modification time of the settings file; `None` when it cannot be read.
fn settings_modified_at() -> Option<std::time::SystemTime> {
    let path = std::env::var_os(PATH_VARIABLE)?;
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Serves the metrics page. A daemon whose metrics port is in use runs without it.
pub(super) async fn serve_metrics(boot: &Boot, log: &Logger) -> Result<()> {
    let page = telemetry::install_metrics()?;
    match bind(Some(boot.metrics_addr()), "metrics").await {
        Ok(listener) => {
            let (_, stopping) = watch::channel(false);
            let handler = MetricsHandler(page.clone());
            tokio::spawn(async move {
                loop {
                    tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
                    page.upkeep();
                }
            });
            let (limits, connections) = (Limits::default(), Connections::new(OWN_CLIENTS));
            tokio::spawn(http::serve(
                listener,
                handler,
                limits,
                connections,
                stopping,
            ));
        }
        Err(e) => warn!(log, "metrics are not served"; "error" => %e),
    }
    Ok(())
}

/// Time after SIGTERM during which the process still answers requests.
pub(super) fn drain_time(boot: &Boot) -> Duration {
    boot.grace.saturating_sub(GRACE_RESERVE)
}
