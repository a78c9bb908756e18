//! Start and planned shutdown of the entry daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::entry::access::AccessLog;
use crate::entry::burn::{BurnTally, report_burn};
use crate::entry::control::{Control, ControlStatus};
use crate::entry::core::Core;
use crate::entry::http::filter;
use crate::entry::keys::ActiveKeys;
use crate::entry::link::{ControlLink, RemoteLink};
use crate::entry::minion_client::MinionClients;
use crate::entry::peer_dialer::PeerLinks;
use crate::entry::peer_server;
use crate::error::{Error, Result, Step};
use crate::ids::{ProcessId, ServiceName};
use crate::routing::{Event, LeastBusy, Router, RouterConfig};
use crate::settings::EntrySettings;
use crate::telemetry::{MetricsPage, install_metrics};
use crate::wire::{CellKeys, EntryHello};

/// Interval between router ticks while requests are in progress.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Interval between router ticks without requests.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Interval between maintenance runs of metrics and idle connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between checks whether a planned shutdown is complete.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by the HTTP handlers.
pub(super) struct Context<L> {
    pub(super) settings: EntrySettings,
    pub(super) process: ProcessId,
    pub(super) core: Arc<Core>,
    pub(super) link: Arc<L>,
    pub(super) keys: ActiveKeys,
    pub(super) access: AccessLog,
    pub(super) burn: Arc<BurnTally>,
    pub(super) log: slog::Logger,
    control_status: Arc<ControlStatus>,
    stopping: AtomicBool,
    metrics: MetricsPage,
}

impl<L> Context<L> {
    pub(super) fn metrics_page(&self) -> String {
        self.metrics.render()
    }

    pub(super) fn has_document(&self) -> bool {
        self.control_status.has_feed.load(Ordering::Relaxed)
    }

    /// Why the load balancer should not send requests here; none when ready.
    pub(super) fn not_ready(&self) -> Option<&'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("the entry host stops");
        }
        if !self.has_document() {
            return Some("no document has come from control yet");
        }
        let leased = self.core.read(|router, now| router.is_leased(now));
        (!leased).then_some("the lease from control has lapsed")
    }

    /// The service of the route with the longest matching prefix, and the length of that prefix.
    pub(super) fn route(&self, path: &str) -> Option<(ServiceName, usize)> {
        let document = self.core.read(|router, _| router.document().clone());
        let matches = document.routes.iter().filter(|route| {
            let prefix = route.prefix.trim_end_matches('/');
            let rest = path.strip_prefix(prefix);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        });
        let longest = matches.max_by_key(|route| route.prefix.len())?;
        let prefix = longest.prefix.trim_end_matches('/').len();
        Some((longest.service.clone(), prefix))
    }
}

/// The entry daemon, which serves callers' HTTP requests.
pub struct Entry;

/// A running entry daemon. Dropping this doesn't stop it; it then runs until its runtime ends.
pub struct EntryHandle {
    http_addr: SocketAddr,
    peer_addr: SocketAddr,
    process: ProcessId,
    stop: CancellationToken,
    ended: JoinHandle<()>,
}

impl Entry {
    /// Starts the daemon on the current runtime, with a separate thread for the control plane.
    pub async fn start(
        settings: EntrySettings,
        keys: CellKeys,
        log: slog::Logger,
    ) -> Result<EntryHandle> {
        let (control, link_keys) = (settings.control.clone(), keys.clone());
        let link_log = log.clone();
        let make = move |hello| RemoteLink::start(hello, control, link_keys, link_log);
        Self::start_with(settings, keys, log, make).await
    }

    /// Like [`Entry::start`] with the link made by `link`, which is called on the control thread.
    pub async fn start_with<L: ControlLink>(
        settings: EntrySettings,
        keys: CellKeys,
        log: slog::Logger,
        link: impl FnOnce(EntryHello) -> L + Send + 'static,
    ) -> Result<EntryHandle> {
        let process: ProcessId = rand::random();
        let metrics = install_metrics()?;
        let http = bind(settings.listen).await?;
        let peer = bind(settings.peer_listen).await?;
        let (http_addr, peer_addr) = (local_addr(&http)?, local_addr(&peer)?);
        let core = Arc::new(make_core(&settings, process, &keys)?);
        let control_status = Arc::new(ControlStatus::default());
        let hello = EntryHello {
            entry: settings.id.clone(),
            process,
            zone: settings.zone.clone(),
            peer_addr: settings.peer_advertise.unwrap_or(peer_addr),
            in_force: 0,
        };
        let control_end = CancellationToken::new();
        let link = start_control(hello, link, &core, &control_status, control_end.clone()).await?;
        let context = Arc::new(Context {
            settings,
            process,
            core,
            link,
            keys: ActiveKeys::default(),
            access: AccessLog::default(),
            burn: Arc::default(),
            log,
            control_status,
            stopping: AtomicBool::new(false),
            metrics,
        });
        let stop = CancellationToken::new();
        let running = Running {
            context,
            http,
            peer,
            keys,
            _control: control_end.drop_guard(),
        };
        let ended = tokio::spawn(running.run(stop.clone()));
        Ok(EntryHandle {
            http_addr,
            peer_addr,
            process,
            stop,
            ended,
        })
    }
}

impl EntryHandle {
    /// Bound address for HTTP.
    pub const fn http_addr(&self) -> SocketAddr {
        self.http_addr
    }

    /// Bound address for connections from peers.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Random number that identifies this process; a restarted daemon has another.
    pub const fn process(&self) -> ProcessId {
        self.process
    }

    /// Shuts down as planned: becomes not ready, waits for the load balancer to notice, lets
    /// requests end and releases the minions.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.ended.await;
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let failed = |e| Error::caused(Step::Listen, "binding", e).with_peer(addr);
    TcpListener::bind(addr).await.map_err(failed)
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    let failed = |e| Error::caused(Step::Listen, "reading the bound address", e);
    listener.local_addr().map_err(failed)
}

fn make_core(settings: &EntrySettings, process: ProcessId, keys: &CellKeys) -> Result<Core> {
    let config = RouterConfig {
        entry: settings.id.clone(),
        zone: settings.zone.clone(),
        seed: process,
    };
    let failed = |e| Error::caused(Step::Http, "making the HTTP client", e);
    let clients = MinionClients::new(process).map_err(failed)?;
    let peers = PeerLinks::new(settings.id.clone(), process, keys.clone());
    let router = Router::new(config, LeastBusy);
    Ok(Core::new(router, Handle::current(), clients, peers))
}

/// Starts the thread that renews the lease and receives the feed, and returns its link.
async fn start_control<L: ControlLink>(
    hello: EntryHello,
    link: impl FnOnce(EntryHello) -> L + Send + 'static,
    core: &Arc<Core>,
    control_status: &Arc<ControlStatus>,
    end: CancellationToken,
) -> Result<Arc<L>> {
    let (core, control_status, request_runtime) =
        (core.clone(), control_status.clone(), Handle::current());
    let (tx, rx) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let failed = |e| Error::caused(Step::Listen, "starting the control thread", e);
    let runtime = runtime.map_err(failed)?;
    let thread = std::thread::Builder::new().name("control".to_owned());
    let run = move || {
        runtime.block_on(async move {
            let link = Arc::new(link(hello));
            Control::start(link.clone(), core, request_runtime, control_status);
            let _ = tx.send(link);
            end.cancelled().await;
        });
    };
    thread.spawn(run).map_err(failed)?;
    rx.await
        .map_err(|e| Error::caused(Step::Listen, "starting the control thread", e))
}

/// The parts of a started daemon that its main task owns.
struct Running<L> {
    context: Arc<Context<L>>,
    http: TcpListener,
    peer: TcpListener,
    keys: CellKeys,
    /// Ends the control thread when the daemon ends, also when its runtime is shut down.
    _control: DropGuard,
}

impl<L: ControlLink> Running<L> {
    async fn run(self, stop: CancellationToken) {
        let context = self.context;
        let core = context.core.clone();
        let load = core.load_changed.subscribe();
        let peers = tokio::spawn(peer_server::serve(self.peer, core.clone(), self.keys, load));
        let ticks = tokio::spawn(tick(core.clone()));
        let upkeep = tokio::spawn(maintain(context.metrics.clone(), core.clone()));
        let burn = tokio::spawn(report_burn(context.burn.clone(), context.link.clone()));
        let close = CancellationToken::new();
        let server = warp::serve(filter(context.clone()))
            .incoming(self.http)
            .graceful(close.clone().cancelled_owned())
            .run();
        let server = tokio::spawn(server);
        stop.cancelled().await;
        shut_down(&context, &close, server).await;
        core.peers.stop();
        peers.abort();
        ticks.abort();
        upkeep.abort();
        burn.abort();
    }
}

async fn shut_down<L: ControlLink>(
    context: &Context<L>,
    close: &CancellationToken,
    server: JoinHandle<()>,
) {
    slog::info!(context.log, "shutting down: not ready for new requests");
    context.stopping.store(true, Ordering::Relaxed);
    tokio::time::sleep(context.settings.stop_delay).await;
    let end = Instant::now() + context.settings.stop_grace;
    context
        .control_status
        .leaving
        .store(true, Ordering::Relaxed);
    context.core.handle(Event::Leaving);
    context.core.released.notify_one();
    close.cancel();
    let until = tokio::time::Instant::from_std(end);
    let _ = tokio::time::timeout_at(until, server).await;
    while !is_handed_over(context) && Instant::now() < end {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    slog::info!(context.log, "stopped"; "handed_over" => is_handed_over(context));
}

/// Whether no request is in progress and no minion is owned any more.
fn is_handed_over<L>(context: &Context<L>) -> bool {
    context
        .core
        .read(|router, _| router.live() == 0 && router.owned() == 0)
}

/// Merges histogram samples, which would otherwise accumulate until the metrics page is read, and
/// closes idle connections.
async fn maintain(metrics: MetricsPage, core: Arc<Core>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        metrics.upkeep();
        core.clients.close_idle();
    }
}

async fn tick(core: Arc<Core>) {
    loop {
        let busy = core.read(|router, _| router.live() > 0);
        let period = if busy { BUSY_TICK } else { IDLE_TICK };
        tokio::time::sleep(period).await;
        core.handle(Event::Tick);
    }
}
