//! The traffic daemon on the platform.

use std::process::ExitCode as ProcessExitCode;

use slog::{Logger, info};
use tokio::sync::watch;

use super::client::Client;
use super::daemon::{bind, farewell, open_cell_keys, run_daemon, serve_metrics, wait_for_end};
use super::front::{Front, Ready};
use super::http;
use super::minions::calls;
use super::settings::Boot;
use crate::batch::link::LeaderLink;
use crate::batch::model::Limits;
use crate::error::Result;

/// Runs the traffic daemon until it is told to end.
pub fn run() -> ProcessExitCode {
    run_daemon("yuccahold-entry", serve)
}

async fn serve(boot: Boot, log: Logger) -> Result<()> {
    serve_metrics(&boot, &log).await?;
    let front = bind(boot.front, "callers").await?;
    let ready = bind(boot.ready, "the balancer").await?;
    let calls = calls(&boot, Client::default());
    let link = LeaderLink::start(boot.seed_calls(), open_cell_keys()?, calls, log.clone());
    let (stop, stopping) = watch::channel(false);
    let limits = Limits::default();
    let callers = Front {
        link: link.clone(),
        limits,
        log: log.clone(),
    };
    tokio::spawn(http::serve(front, callers, limits, stopping.clone()));
    let balancer = Ready {
        link: link.clone(),
        stopping: stopping.clone(),
    };
    tokio::spawn(http::serve(ready, balancer, limits, stopping));
    wait_for_end(&link, &log).await?;
    info!(log, "stopping"; "farewell_ms" => farewell(&boot).as_millis() as u64);
    stop.send_replace(true);
    tokio::time::sleep(farewell(&boot)).await;
    Ok(())
}
