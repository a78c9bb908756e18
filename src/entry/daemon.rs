//! Start and planned stop of the traffic daemon.

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
use crate::entry::burn::{BurnTally, hand_over};
use crate::entry::control::{Control, Standing};
use crate::entry::core::Core;
use crate::entry::http::filter;
use crate::entry::keys::KeyTable;
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

/// Time between two looks at deadlines while requests are under way.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Time between two looks at deadlines otherwise.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Time between two rounds of upkeep of the metrics and of idle connections.
const UPKEEP: Duration = Duration::from_secs(5);
/// Time between two looks at whether a planned stop is complete.
const STOP_POLL: Duration = Duration::from_millis(10);

/// What the HTTP handlers share.
pub(super) struct Context<L> {
    pub(super) settings: EntrySettings,
    pub(super) process: ProcessId,
    pub(super) core: Arc<Core>,
    pub(super) link: Arc<L>,
    pub(super) keys: KeyTable,
    pub(super) access: AccessLog,
    pub(super) burn: Arc<BurnTally>,
    pub(super) log: slog::Logger,
    standing: Arc<Standing>,
    stopping: AtomicBool,
    metrics: MetricsPage,
}

impl<L> Context<L> {
    pub(super) fn metrics_page(&self) -> String {
        self.metrics.render()
    }

    pub(super) fn has_document(&self) -> bool {
        self.standing.fed.load(Ordering::Relaxed)
    }

    /// Why the balancer should not send callers here; none when it should.
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

    /// The service that a declared route leads to, with the length of its prefix.
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

/// The traffic daemon.
pub struct Entry;

/// A running traffic daemon. It goes on when this is dropped, until its runtime ends.
pub struct EntryHandle {
    http_addr: SocketAddr,
    peer_addr: SocketAddr,
    process: ProcessId,
    stop: CancellationToken,
    ended: JoinHandle<()>,
}

impl Entry {
    /// Starts the daemon on the current runtime, with a thread of its own towards control.
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

    /// Starts the daemon with a link of the caller's. `link` is called on the control thread.
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
        let standing = Arc::new(Standing::default());
        let hello = EntryHello {
            entry: settings.id.clone(),
            process,
            zone: settings.zone.clone(),
            peer_addr: settings.peer_advertise.unwrap_or(peer_addr),
            in_force: 0,
        };
        let control_end = CancellationToken::new();
        let link = start_control(hello, link, &core, &standing, control_end.clone()).await?;
        let context = Arc::new(Context {
            settings,
            process,
            core,
            link,
            keys: KeyTable::default(),
            access: AccessLog::default(),
            burn: Arc::default(),
            log,
            standing,
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
    /// Where HTTP is answered.
    pub const fn http_addr(&self) -> SocketAddr {
        self.http_addr
    }

    /// Where peers are answered.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Number of this process.
    pub const fn process(&self) -> ProcessId {
        self.process
    }

    /// Stops as planned: turns not ready, waits for the balancer, lets requests end, hands the
    /// minions over.
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

/// Starts the thread that holds the state towards control, and gives back its link.
async fn start_control<L: ControlLink>(
    hello: EntryHello,
    link: impl FnOnce(EntryHello) -> L + Send + 'static,
    core: &Arc<Core>,
    standing: &Arc<Standing>,
    end: CancellationToken,
) -> Result<Arc<L>> {
    let (core, standing, traffic) = (core.clone(), standing.clone(), Handle::current());
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
            Control::start(link.clone(), core, traffic, standing);
            let _ = tx.send(link);
            end.cancelled().await;
        });
    };
    thread.spawn(run).map_err(failed)?;
    rx.await
        .map_err(|e| Error::caused(Step::Listen, "starting the control thread", e))
}

/// A daemon between start and end.
struct Running<L> {
    context: Arc<Context<L>>,
    http: TcpListener,
    peer: TcpListener,
    keys: CellKeys,
    /// Ends the control thread when this daemon ends, also when its runtime is shut down.
    _control: DropGuard,
}

impl<L: ControlLink> Running<L> {
    async fn run(self, stop: CancellationToken) {
        let context = self.context;
        let core = context.core.clone();
        let load = core.load_changed.subscribe();
        let peers = tokio::spawn(peer_server::serve(self.peer, core.clone(), self.keys, load));
        let ticks = tokio::spawn(tick(core.clone()));
        let upkeep = tokio::spawn(keep_up(context.metrics.clone(), core.clone()));
        let burn = tokio::spawn(hand_over(context.burn.clone(), context.link.clone()));
        let close = CancellationToken::new();
        let server = warp::serve(filter(context.clone()))
            .incoming(self.http)
            .graceful(close.clone().cancelled_owned())
            .run();
        let server = tokio::spawn(server);
        stop.cancelled().await;
        stop_as_planned(&context, &close, server).await;
        core.peers.stop();
        peers.abort();
        ticks.abort();
        upkeep.abort();
        burn.abort();
    }
}

async fn stop_as_planned<L: ControlLink>(
    context: &Context<L>,
    close: &CancellationToken,
    server: JoinHandle<()>,
) {
    slog::info!(context.log, "stopping: not ready from now on");
    context.stopping.store(true, Ordering::Relaxed);
    tokio::time::sleep(context.settings.stop_delay).await;
    let end = Instant::now() + context.settings.stop_grace;
    context.standing.leaving.store(true, Ordering::Relaxed);
    context.core.handle(Event::Leaving);
    context.core.released.notify_one();
    close.cancel();
    let until = tokio::time::Instant::from_std(end);
    let _ = tokio::time::timeout_at(until, server).await;
    while !is_handed_over(context) && Instant::now() < end {
        tokio::time::sleep(STOP_POLL).await;
    }
    slog::info!(context.log, "stopped"; "handed_over" => is_handed_over(context));
}

/// Whether no minion and no request is left here.
fn is_handed_over<L>(context: &Context<L>) -> bool {
    context
        .core
        .read(|router, _| router.live() == 0 && router.owned() == 0)
}

/// Folds in what histograms collected, so that they stay small when nobody reads the page, and
/// closes connections that nobody uses.
async fn keep_up(metrics: MetricsPage, core: Arc<Core>) {
    loop {
        tokio::time::sleep(UPKEEP).await;
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
