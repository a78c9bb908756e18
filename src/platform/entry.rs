//! The entry daemon in platform mode: takes callers' requests and forwards them to the leader.

use std::process::ExitCode as ProcessExitCode;

use slog::{Logger, info};
use tokio::sync::watch;

use super::client::Client;
use super::connections::{ConnectionLimits, Connections, OWN_CLIENTS};
use super::daemon::{
    Signals, bind, drain_time, open_cell_keys, run_daemon, serve_metrics, wait_for_end,
};
use super::front::{CallerHandler, ReadinessHandler};
use super::http;
use super::minions::calls;
use super::settings::Boot;
use super::unanswered::UnansweredLog;
use crate::batch::link::LeaderLink;
use crate::batch::model::Limits;
use crate::batch::relay::RelayServer;
use crate::error::Result;

/// Runs the entry daemon until SIGTERM.
pub fn run() -> ProcessExitCode {
    run_daemon("yuccahold-entry", serve)
}

async fn serve(boot: Boot, signals: Signals, log: Logger) -> Result<()> {
    serve_metrics(&boot, &log).await?;
    let front = bind(boot.front, "callers").await?;
    let ready = bind(boot.ready, "the balancer").await?;
    let relay = bind(Some(boot.call_addr()), "requests of other entry hosts").await?;
    let mut calls = calls(&boot, Client::default());
    calls.relay_addr = Some(boot.call_addr());
    let keys = open_cell_keys()?;
    let link = LeaderLink::start(boot.seed_calls(), keys.clone(), calls, log.clone());
    tokio::spawn(RelayServer::new(link.clone(), keys, log.clone()).serve(relay));
    let (stop, stopping) = watch::channel(false);
    let limits = Limits::default();
    let callers = CallerHandler {
        link: link.clone(),
        limits,
        unanswered: UnansweredLog::new(log.clone()),
        log: log.clone(),
    };
    let body_bytes = limits.body_bytes as usize;
    let crowd = ConnectionLimits::of_process(boot.memory, boot.descriptors, body_bytes);
    let connections = Connections::new(crowd);
    tokio::spawn(http::serve(
        front,
        callers,
        limits,
        connections,
        stopping.clone(),
    ));
    let balancer = ReadinessHandler {
        link: link.clone(),
        stopping: stopping.clone(),
    };
    let connections = Connections::new(OWN_CLIENTS);
    tokio::spawn(http::serve(ready, balancer, limits, connections, stopping));
    wait_for_end(signals, &log, |boot| link.set_seeds(boot.seed_calls())).await;
    info!(log, "stopping"; "farewell_ms" => drain_time(&boot).as_millis() as u64);
    stop.send_replace(true);
    tokio::time::sleep(drain_time(&boot)).await;
    Ok(())
}
