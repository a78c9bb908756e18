//! Link to the control plane: one connection to the leader for calls and the feed.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::entry::link_connection::{Connection, ConnectionEnd};
use crate::entry::pending_call::PendingCall;
use crate::error::{Error, Result, Step};
use crate::ids::Revision;
use crate::wire::{Answer, Call, CellKeys, EntryHello, Feed};

/// Maximum calls queued for the connection.
const MAX_QUEUED_CALLS: usize = 4096;
/// Delay before connecting to the next replica.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Calls from an entry host to the control plane, and the feed in return.
pub trait ControlLink: Send + Sync + 'static {
    /// Sends a call and waits for its answer. An error means that no copy of it can be executed. A
    /// call with a copy that may have been executed gives [`Answer::Unknown`], unless a later copy
    /// succeeded.
    fn call(&self, call: Call, timeout: Duration) -> impl Future<Output = Result<Answer>> + Send;

    /// The latest feed, with the document always present once there is one.
    fn feed(&self) -> watch::Receiver<Arc<Feed>>;
}

/// Link to control replicas over TCP.
#[derive(Clone)]
pub struct RemoteLink {
    calls: mpsc::Sender<PendingCall>,
    feed: watch::Receiver<Arc<Feed>>,
}

impl ControlLink for RemoteLink {
    async fn call(&self, call: Call, timeout: Duration) -> Result<Answer> {
        let (reply, answer) = oneshot::channel();
        let pending = PendingCall::new(call, Instant::now(), timeout, reply);
        let busy = |_| Error::new(Step::Connect, "too many calls wait for control");
        self.calls.try_send(pending).map_err(busy)?;
        answer.await.unwrap_or(Ok(Answer::Unknown))
    }

    fn feed(&self) -> watch::Receiver<Arc<Feed>> {
        self.feed.clone()
    }
}

impl RemoteLink {
    /// Starts the link on the current runtime. It ends when the last clone is dropped.
    pub fn start(
        hello: EntryHello,
        control: Vec<SocketAddr>,
        keys: CellKeys,
        log: slog::Logger,
    ) -> Self {
        let (calls, queue) = mpsc::channel(MAX_QUEUED_CALLS);
        let (feed_tx, feed) = watch::channel(Arc::default());
        let dialer = Dialer {
            hello,
            control,
            keys,
            log,
            next: 0,
            leader: None,
        };
        tokio::spawn(run(dialer, queue, feed_tx));
        Self { calls, feed }
    }
}

/// Connects to the leader: to the address that a replica named, or else to each replica in turn.
struct Dialer {
    hello: EntryHello,
    control: Vec<SocketAddr>,
    keys: CellKeys,
    log: slog::Logger,
    next: usize,
    leader: Option<SocketAddr>,
}

impl Dialer {
    fn pick(&mut self) -> Option<SocketAddr> {
        if let Some(leader) = self.leader.take() {
            return Some(leader);
        }
        let len = self.control.len();
        let addr = *self.control.get(self.next.checked_rem(len)?)?;
        self.next += 1;
        Some(addr)
    }

    async fn connect(&mut self, in_force: Revision) -> Option<Connection> {
        let addr = self.pick()?;
        self.hello.in_force = in_force;
        match Connection::open(addr, &self.keys, &self.hello).await {
            Ok(connection) => Some(connection),
            Err(e) => {
                slog::debug!(self.log, "connecting to control failed"; "error" => %e);
                None
            }
        }
    }
}

async fn run(
    mut dialer: Dialer,
    mut queue: mpsc::Receiver<PendingCall>,
    feed: watch::Sender<Arc<Feed>>,
) {
    let mut waiting: Vec<PendingCall> = Vec::new();
    loop {
        let in_force = feed.borrow().revision;
        let Some(connection) = dialer.connect(in_force).await else {
            if !wait_before_retry(&mut queue, &mut waiting).await {
                return;
            }
            continue;
        };
        slog::debug!(dialer.log, "connected to control"; "peer" => %connection.peer());
        let (lost, calls) = connection.serve(&mut queue, waiting, &feed).await;
        metrics::counter!("yuccahold_entry_control_connections_lost_total").increment(1);
        waiting = calls;
        waiting.retain_mut(PendingCall::connection_lost);
        match lost {
            ConnectionEnd::Stopped => return,
            ConnectionEnd::NotLeader(leader) => dialer.leader = leader,
            ConnectionEnd::Broken => {}
        }
        if dialer.leader.is_none() && !wait_before_retry(&mut queue, &mut waiting).await {
            return;
        }
    }
}

/// Waits before the next connection, accepts and expires calls; false when the link has ended.
async fn wait_before_retry(
    queue: &mut mpsc::Receiver<PendingCall>,
    waiting: &mut Vec<PendingCall>,
) -> bool {
    let until = Instant::now() + RECONNECT_DELAY;
    loop {
        match tokio::time::timeout_at(until, queue.recv()).await {
            Ok(Some(pending)) => waiting.push(pending),
            Ok(None) => return false,
            Err(_) => break,
        }
    }
    let now = Instant::now();
    waiting.retain(|pending| !pending.is_expired(now));
    true
}
