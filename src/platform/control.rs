//! The control daemon in platform mode: a replica of the scheduler's state that can lead.

use std::ffi::OsString;
use std::process::ExitCode as ProcessExitCode;
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::{mpsc, watch};

use super::client::Client;
use super::connections::{ConnectionLimits, Connections};
use super::daemon::{
    Signals, bind, drain_time, open_cell_keys, run_daemon, serve_metrics, wait_for_end,
};
use super::http;
use super::minions::{self, MinionClient};
use super::operator::{ControlHandler, MAX_BODY};
use super::settings::Boot;
use crate::batch::agents::Agents;
use crate::batch::dispatch::{Mechanism, Mechanisms};
use crate::batch::driver;
use crate::batch::link::LeaderLink;
use crate::batch::machine::Machine;
use crate::batch::model::Limits;
use crate::batch::report_batch::ReportBatcher;
use crate::batch::server::{CallServer, LeaderClient, MinVoters};
use crate::error::{Error, Result, Step};
use crate::exit_codes::ExitCode;
use crate::replication::{Formation, Replica, ReplicaConfig, log_status};

/// Shortest time without a message from the leader before a replica starts an election. A disk
/// that is thirty times slower than usual still syncs within this time.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of the leader's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(80);
/// Time after which an unreachable voter is replaced by a learner. It is shorter than the time the
/// platform allows a new replica to become a voter, and longer than a restart takes.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);
/// Log size that triggers a snapshot; a tenth of the disk holds several snapshots.
const SNAPSHOT_BYTES: u64 = 6 * 1024 * 1024;
/// Voters without which no configuration is accepted: with three, the loss of any one disk loses
/// nothing.
const MIN_VOTERS: usize = 3;
/// Target number of voters; the group has fewer while fewer replicas exist.
const VOTERS: usize = 5;

/// Voters that a configuration needs. The first one needs as many as keep it while the hosts are lost
/// whose loss must be borne: it is acknowledged while the group still grows.
fn min_voters(boot: &Boot) -> MinVoters {
    let seeds = boot.seed_replicas().len();
    if seeds < MIN_VOTERS {
        // A small installation, all of whose hosts are seeds.
        return MinVoters::all(seeds);
    }
    let majority_left = 2 * boot.host_losses + 1;
    MinVoters {
        first: majority_left.clamp(MIN_VOTERS, VOTERS),
        later: MIN_VOTERS,
    }
}

/// Runs the control daemon until SIGTERM. `args` are the arguments after `--platform`.
pub fn run(args: impl Iterator<Item = OsString>) -> ProcessExitCode {
    let mechanisms = match parse_args(args) {
        Ok(mechanisms) => mechanisms,
        Err(message) => {
            eprintln!("yuccahold-control: {message}");
            return ExitCode::Usage.into();
        }
    };
    run_daemon("yuccahold-control", |mut boot, signals, log| {
        boot.dispatch.mechanisms = mechanisms;
        serve(boot, signals, log)
    })
}

/// Parses `--without NAME,...`, which switches off scheduling mechanisms, and `--admission`, which
/// switches on the one that is off by default; the error is one sentence.
pub fn parse_args(args: impl Iterator<Item = OsString>) -> Result<Mechanisms, String> {
    let mut mechanisms = Mechanisms::default();
    let mut admission = false;
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            lexopt::Arg::Long("without") => {
                let names = parser.value().map_err(|e| e.to_string())?;
                mechanisms = Mechanisms::without(&names.to_string_lossy())?;
            }
            lexopt::Arg::Long("admission") => admission = true,
            other => return Err(other.unexpected().to_string()),
        }
    }
    if !admission {
        mechanisms.switch_off(Mechanism::Admission);
    }
    Ok(mechanisms)
}

async fn serve(boot: Boot, signals: Signals, log: Logger) -> Result<()> {
    let data = boot
        .data
        .clone()
        .ok_or_else(|| Error::new(Step::Settings, "data_dir is missing"))?;
    serve_metrics(&boot, &log).await?;
    for mechanism in boot.dispatch.mechanisms.off() {
        info!(log, "mechanism switched off"; "name" => mechanism.as_str());
    }
    let keys = open_cell_keys()?;
    let control = bind(boot.control, "operators and minions").await?;
    let calls = bind(Some(boot.call_addr()), "calls").await?;
    let (orders_tx, orders) = mpsc::unbounded_channel();
    let machine = Machine::new(boot.dispatch.clone(), orders_tx);
    let cfg = ReplicaConfig {
        data,
        keys: keys.clone(),
        zone: boot.zone.clone(),
        replica_listen: boot.replica_addr(),
        replica_advertise: None,
        call_addr: boot.call_addr(),
        peers: boot.seed_replicas(),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat: HEARTBEAT,
        snapshot_bytes: SNAPSHOT_BYTES,
        replace_after: REPLACE_AFTER,
        target_voters: Some(VOTERS),
        form: if boot.forms_group() {
            Formation::FormIfEmpty
        } else {
            Formation::Join
        },
        on_disk_failure: ReplicaConfig::end_process,
    };
    let replica = Replica::start(cfg, machine)?;
    let client = Client::default();
    let agents = Agents::default();
    tokio::spawn(driver::run(
        orders,
        replica.clone(),
        MinionClient(client.clone()),
        agents.clone(),
        log.clone(),
    ));
    let calls_out = minions::calls(&boot, client);
    let link = LeaderLink::start(boot.seed_calls(), keys.clone(), calls_out, log.clone());
    let server = CallServer::new(replica.clone(), keys, agents, boot.ip, log.clone());
    let server = server.require_voters(min_voters(&boot));
    tokio::spawn(server.clone().serve(calls));
    let (_stop, stopping) = watch::channel(false);
    let leader = LeaderClient {
        local: server,
        link: link.clone(),
    };
    let handler = ControlHandler {
        reports: ReportBatcher::start(leader.clone()),
        leader,
        log: log.clone(),
    };
    let crowd = ConnectionLimits::of_process(boot.memory, boot.descriptors, MAX_BODY);
    let connections = Connections::new(crowd);
    let limits = Limits::default();
    tokio::spawn(http::serve(control, handler, limits, connections, stopping));
    tokio::spawn(log_status(replica.status(), log.clone()));
    let reloaded = |boot: &Boot| {
        link.set_seeds(boot.seed_calls());
        replica.set_peers(boot.seed_replicas());
    };
    wait_for_end(signals, &log, reloaded).await;
    info!(log, "stopping"; "farewell_ms" => drain_time(&boot).as_millis() as u64);
    replica.transfer_leadership().await;
    tokio::time::sleep(drain_time(&boot) / 2).await;
    replica.abort().await;
    Ok(())
}
