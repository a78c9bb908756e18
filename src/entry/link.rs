//! The link to control: one connection to the leader, calls matched by id, the feed merged.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::entry::link_connection::{Connection, Lost};
use crate::error::{Error, Result, Step};
use crate::ids::Revision;
use crate::wire::{Answer, Call, CellKeys, EntryHello, Feed};

/// Calls that may wait for the connection.
const QUEUE: usize = 4096;
/// Time before the next replica is tried.
const RETRY: Duration = Duration::from_millis(100);

/// How an entry host asks control.
pub trait ControlLink: Send + Sync + 'static {
    /// Asks and waits for the answer. An error means that nothing was sent; a call that was sent
    /// and got no answer in time gives [`Answer::Unknown`].
    fn call(&self, call: Call, timeout: Duration) -> impl Future<Output = Result<Answer>> + Send;

    /// The latest feed, with the document always present once there is one.
    fn feed(&self) -> watch::Receiver<Arc<Feed>>;
}

/// One call on its way.
pub(super) struct Pending {
    pub(super) call: Call,
    pub(super) deadline: Instant,
    pub(super) sent: bool,
    pub(super) reply: oneshot::Sender<Result<Answer>>,
}

impl Pending {
    /// Whether it may be sent again after the connection was lost with no answer.
    fn resendable(&self) -> bool {
        match &self.call {
            // Without a name or key, a second submission would be a second job.
            Call::SubmitJob(job) => job.name.is_some() || job.key.is_some(),
            // A second claim would find the first one in progress.
            Call::ClaimKey(_) | Call::Http(_) => false,
            // Counted twice, it would raise a false alert.
            Call::Burn(_) => false,
            _ => true,
        }
    }

    pub(super) fn expire(self) {
        let answer = if self.sent {
            Ok(Answer::Unknown)
        } else {
            Err(Error::new(Step::Connect, "no control replica leads"))
        };
        let _ = self.reply.send(answer);
    }
}

/// The real link, over TCP.
#[derive(Clone)]
pub struct RemoteLink {
    calls: mpsc::Sender<Pending>,
    feed: watch::Receiver<Arc<Feed>>,
}

impl ControlLink for RemoteLink {
    async fn call(&self, call: Call, timeout: Duration) -> Result<Answer> {
        let (reply, answer) = oneshot::channel();
        let pending = Pending {
            call,
            deadline: Instant::now() + timeout,
            sent: false,
            reply,
        };
        let busy = |_| Error::new(Step::Connect, "too many calls wait for control");
        self.calls.try_send(pending).map_err(busy)?;
        let ended = |_| Error::new(Step::Connect, "the link to control has ended");
        answer.await.map_err(ended)?
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
        let (calls, queue) = mpsc::channel(QUEUE);
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

/// Finds the leader.
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
                slog::debug!(self.log, "control is not reached"; "error" => %e);
                None
            }
        }
    }
}

async fn run(
    mut dialer: Dialer,
    mut queue: mpsc::Receiver<Pending>,
    feed: watch::Sender<Arc<Feed>>,
) {
    let mut waiting: Vec<Pending> = Vec::new();
    loop {
        let in_force = feed.borrow().revision;
        let Some(connection) = dialer.connect(in_force).await else {
            if !wait_out(&mut queue, &mut waiting).await {
                return;
            }
            continue;
        };
        slog::debug!(dialer.log, "connected to control"; "peer" => %connection.peer());
        let (lost, calls) = connection.serve(&mut queue, waiting, &feed).await;
        metrics::counter!("yuccahold_entry_control_connections_lost_total").increment(1);
        waiting = keep_resendable(calls);
        match lost {
            Lost::Stopped => return,
            Lost::NotLeader(leader) => dialer.leader = leader,
            Lost::Broken => {}
        }
        if dialer.leader.is_none() && !wait_out(&mut queue, &mut waiting).await {
            return;
        }
    }
}

/// Lets time pass while calls arrive and expire; false when the link has ended.
async fn wait_out(queue: &mut mpsc::Receiver<Pending>, waiting: &mut Vec<Pending>) -> bool {
    let until = Instant::now() + RETRY;
    loop {
        match tokio::time::timeout_at(until, queue.recv()).await {
            Ok(Some(pending)) => waiting.push(pending),
            Ok(None) => return false,
            Err(_) => break,
        }
    }
    let now = Instant::now();
    let (live, expired): (Vec<_>, Vec<_>) = waiting.drain(..).partition(|p| p.deadline > now);
    *waiting = live;
    expired.into_iter().for_each(Pending::expire);
    true
}

fn keep_resendable(calls: Vec<Pending>) -> Vec<Pending> {
    let (keep, give_up): (Vec<_>, Vec<_>) =
        calls.into_iter().partition(|p| !p.sent || p.resendable());
    give_up.into_iter().for_each(Pending::expire);
    keep
}
