//! Starting and stopping the control daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::calls::Calls;
use super::connections::ControlServer;
use super::group::Group;
use super::http::routes;
use super::machine::Machine;
use crate::console::Console;
use crate::error::{Error, Result, Step};
use crate::ids::Timestamp;
use crate::placement::Scheduler;
use crate::replication::{
    Formation, ProposeError, ReadError, Replica, ReplicaConfig, ReplicaHandle, ReplicaStatus,
};
use crate::settings::ControlSettings;
use crate::telemetry::install_metrics;
use crate::wire::CellKeys;

/// The state machine that the daemon replicates.
pub type CellMachine = Machine<Scheduler>;

/// A running control daemon.
pub struct ControlHandle {
    /// Bound address of the HTTP server for operators.
    pub http: SocketAddr,
    /// Bound address for the connections of entry hosts.
    pub calls: SocketAddr,
    replica: ReplicaHandle<CellMachine>,
    stopping: watch::Sender<bool>,
    server: JoinHandle<()>,
    connections: JoinHandle<()>,
}

impl Group<CellMachine> for ReplicaHandle<CellMachine> {
    async fn propose(
        &self,
        command: Vec<u8>,
    ) -> Result<<CellMachine as crate::replication::StateMachine>::Reply, ProposeError> {
        Self::propose(self, command).await
    }

    async fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&mut CellMachine, Timestamp) -> R + Send + 'static,
    ) -> Result<R, ReadError> {
        Self::read(self, read).await
    }

    fn status(&self) -> ReplicaStatus {
        Self::status(self).borrow().clone()
    }
}

/// Starts the daemon: opens the data folder, joins or forms the replication group, and serves
/// entry hosts and operators.
///
/// Returns once both addresses are bound, whether or not the group has a leader.
pub async fn start(
    cfg: ControlSettings,
    keys: CellKeys,
    form: Formation,
    log: &Logger,
) -> Result<ControlHandle> {
    let page = install_metrics()?;
    let (http_listener, http) = bind(cfg.listen).await?;
    let (call_listener, calls_addr) = bind(cfg.call_listen).await?;
    let machine = CellMachine::new(|| Scheduler::new(PLACER_SEED));
    let feed = machine.feed_changes();
    let replica = Replica::start(replica_config(&cfg, &keys, form, calls_addr), machine)?;
    let control = Arc::new(ControlServer {
        calls: Calls::new(replica.clone()),
        keys,
        feed,
        signed_in: cfg.operators.is_some(),
        http,
        client: reqwest::Client::new(),
        log: log.new(o!("part" => "link")),
    });
    let (stopping, stopped) = watch::channel(false);
    let console = Console::load(Arc::clone(&control), cfg.operators.as_deref())
        .map_err(|problems| Error::new(Step::Settings, problems.to_text()))?;
    let routes = routes(Arc::clone(&control), console, page);
    let server = serve_http(http_listener, routes, stopped);
    let connections = tokio::spawn(control.serve(call_listener));
    info!(log, "control daemon started"; "http" => %http, "calls" => %calls_addr);
    Ok(ControlHandle {
        http,
        calls: calls_addr,
        replica,
        stopping,
        server,
        connections,
    })
}

/// Seed for the placer's tie breaks. Decisions are replicated through the log, so replicas don't
/// have to use the same seed.
const PLACER_SEED: u64 = 1;

fn replica_config(
    cfg: &ControlSettings,
    keys: &CellKeys,
    form: Formation,
    call_addr: SocketAddr,
) -> ReplicaConfig {
    ReplicaConfig {
        data: cfg.data.clone(),
        keys: keys.clone(),
        zone: cfg.zone.clone(),
        replica_listen: cfg.replica_listen,
        replica_advertise: cfg.replica_advertise,
        call_addr: cfg.call_advertise.unwrap_or(call_addr),
        peers: cfg.replicas.clone(),
        election_timeout: cfg.election_timeout,
        heartbeat: cfg.heartbeat,
        snapshot_bytes: cfg.snapshot_bytes,
        replace_after: cfg.replace_after,
        target_voters: None,
        form,
        on_disk_failure: ReplicaConfig::end_process,
    }
}

async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let failed = |e| Error::caused(Step::Listen, "listening", e).with_peer(addr);
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

fn serve_http<F, R>(
    listener: TcpListener,
    routes: F,
    stopped: watch::Receiver<bool>,
) -> JoinHandle<()>
where
    F: warp::Filter<Extract = (R,), Error = warp::Rejection> + Clone + Send + Sync + 'static,
    R: warp::Reply + Send + 'static,
{
    let wait = async move {
        let mut stopped = stopped;
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let server = warp::serve(routes).incoming(listener).graceful(wait).run();
    tokio::spawn(server)
}

impl ControlHandle {
    /// Receiver of this replica's status, updated on each change.
    pub fn status(&self) -> watch::Receiver<ReplicaStatus> {
        self.replica.status()
    }

    /// Stops the daemon: transfers leadership, lets requests in flight finish for up to
    /// `HTTP_GRACE`, and closes the log's files.
    pub async fn stop(self) {
        self.replica.transfer_leadership().await;
        let _ = self.stopping.send(true);
        let _ = tokio::time::timeout(HTTP_GRACE, self.server).await;
        self.replica.stop().await;
        self.connections.abort();
    }
}

/// Maximum time to wait for operators' requests in flight when stopping.
const HTTP_GRACE: std::time::Duration = std::time::Duration::from_secs(5);
