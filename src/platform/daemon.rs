//! What both daemons share on the platform: the process around them, signals, metrics.

use std::net::SocketAddr;
use std::process::ExitCode as ProcessExitCode;
use std::time::Duration;

use slog::{Logger, crit, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::front::MetricsFront;
use super::http;
use super::settings::{Boot, PATH_VARIABLE};
use crate::batch::link::LeaderLink;
use crate::batch::model::Limits;
use crate::error::{Error, Result, Step};
use crate::exit_codes::ExitCode;
use crate::telemetry;
use crate::wire::{CellKey, CellKeys};

/// Key between the daemons. The platform gives no secret, so this proves no identity; it keeps
/// processes of other versions and stray connections apart. Only machines of the system can reach
/// the ports.
const OPEN_CELL: &str = "open cell on a closed network";
/// Time between two foldings of the histograms, which would grow while nobody reads the page.
const METRICS_UPKEEP: Duration = Duration::from_secs(5);
/// Time between two looks at the settings file: a change matters when the next leader is sought.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Part of the time before SIGKILL that is left for the process to end by itself.
const GRACE_RESERVE: Duration = Duration::from_millis(800);

pub(super) fn open_cell_keys() -> Result<CellKeys> {
    CellKeys::new([CellKey::from_text(OPEN_CELL)])
}

/// Runs a daemon's body on a runtime of one thread.
pub(super) fn run_daemon<F>(
    name: &'static str,
    body: impl FnOnce(Boot, Logger) -> F,
) -> ProcessExitCode
where
    F: Future<Output = Result<()>>,
{
    let (log, guard) = match telemetry::stdout_logger(name) {
        Ok(made) => made,
        Err(e) => {
            eprintln!("{name}: no thread for the log: {e}");
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
    warn_of_seeds(&boot, &log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(body(boot, log.clone())),
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

fn warn_of_seeds(boot: &Boot, log: &Logger) {
    if !boot.unreadable_seeds.is_empty() {
        warn!(log, "seeds that are no addresses are passed over";
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

/// Waits for the order to end; takes new seeds into use when the settings change meanwhile.
pub(super) async fn wait_for_end(link: &LeaderLink, log: &Logger) -> Result<()> {
    let failed = |e| Error::caused(Step::Listen, "receiving signals", e);
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut reload = signal(SignalKind::hangup()).map_err(failed)?;
    let mut seen = settings_changed_at();
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = reload.recv() => {}
            // The file may also change without a signal.
            () = tokio::time::sleep(SETTINGS_LOOK) => {
                if settings_changed_at() == seen {
                    continue;
                }
            }
        }
        seen = settings_changed_at();
        match Boot::from_environment() {
            Ok(boot) => {
                info!(log, "settings read again"; "seeds" => format!("{:?}", boot.seed_calls()));
                warn_of_seeds(&boot, log);
                link.set_seeds(boot.seed_calls());
            }
            Err(e) => warn!(log, "changed settings are refused; the old ones stay";
                "error" => %e),
        }
    }
}

/// When the settings file was last written; none when that cannot be told, which is no change.
fn settings_changed_at() -> Option<std::time::SystemTime> {
    let path = std::env::var_os(PATH_VARIABLE)?;
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Serves the metrics page. A daemon whose metrics port is taken does its work all the same.
pub(super) async fn serve_metrics(boot: &Boot, log: &Logger) -> Result<()> {
    let page = telemetry::install_metrics()?;
    match bind(Some(boot.metrics_addr()), "metrics").await {
        Ok(listener) => {
            let (_, stopping) = watch::channel(false);
            let pages = MetricsFront(page.clone());
            tokio::spawn(async move {
                loop {
                    tokio::time::sleep(METRICS_UPKEEP).await;
                    page.upkeep();
                }
            });
            tokio::spawn(http::serve(listener, pages, Limits::default(), stopping));
        }
        Err(e) => warn!(log, "metrics are not served"; "error" => %e),
    }
    Ok(())
}

/// Time for which a process that was told to end still answers.
pub(super) fn farewell(boot: &Boot) -> Duration {
    boot.grace.saturating_sub(GRACE_RESERVE)
}
