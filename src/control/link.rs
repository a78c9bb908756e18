//! Connections of entry hosts: their calls, and the feed that flows back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::api::problem;
use super::calls::Calls;
use super::group::Group;
use super::http::own_answer;
use super::machine::Machine;
use crate::error::{Error, Result, Step};
use crate::ids::Revision;
use crate::placement::Placer;
use crate::wire::{
    Answer, Call, CallId, CellKeys, EntryHello, Feed, FeedDelta, FrameReader, FrameWriter,
    FromControl, HttpCall, ToControl, accept, connect,
};

/// Longest time a stranger may take to prove the cell key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Messages that may wait for a connection's writer.
const SEND_QUEUE: usize = 4_096;

/// Calls of one connection that may be in work at once.
const CALLS_IN_WORK: usize = 2_048;

/// Time in which changes are gathered into one feed.
const FEED_GATHER: Duration = Duration::from_millis(10);

/// Time between two tries to feed while this replica does not lead.
const FEED_RETRY: Duration = Duration::from_millis(250);

/// Longest time for an operator's request to travel to the leader and back.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);

/// What every connection of entry hosts shares.
pub(super) struct Link<G, P> {
    pub(super) calls: Calls<G, P>,
    pub(super) keys: CellKeys,
    pub(super) feed: watch::Receiver<u64>,
    /// Whether operators sign in.
    pub(super) signed_in: bool,
    /// Where this daemon answers HTTP itself.
    pub(super) http: SocketAddr,
    pub(super) client: reqwest::Client,
    pub(super) log: Logger,
}

impl<G, P> Link<G, P>
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    /// Serves connections until the listener's task is dropped.
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(Arc::clone(&self).connection(stream));
                    }
                    Err(e) => {
                        warn!(self.log, "accepting a connection failed"; "step" => %Step::Listen, "error" => %e);
                        tokio::time::sleep(FEED_RETRY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let peer = stream.peer_addr();
        let shaken = timeout(HANDSHAKE_TIMEOUT, accept(stream, &self.keys)).await;
        let (rx, tx) = match shaken {
            Ok(Ok(halves)) => halves,
            Ok(Err(e)) => {
                metrics::counter!("yuccahold_wire_strangers_refused_total").increment(1);
                return warn!(self.log, "refused a connection"; "error" => %e);
            }
            Err(_) => {
                metrics::counter!("yuccahold_wire_strangers_refused_total").increment(1);
                return warn!(self.log, "a handshake took too long"; "peer" => ?peer);
            }
        };
        let ended = Arc::clone(&self).converse(rx, tx).await;
        if let Err(e) = ended {
            debug!(self.log, "a connection ended"; "error" => %e);
        }
    }

    async fn converse(self: Arc<Self>, mut rx: FrameReader, tx: FrameWriter) -> Result<()> {
        let (sender, queue) = mpsc::channel(SEND_QUEUE);
        let mut tasks = JoinSet::new();
        tasks.spawn(write_all(tx, queue));
        let mut hello: Option<Arc<EntryHello>> = None;
        while let Some(message) = rx.read::<ToControl>().await? {
            while tasks.try_join_next().is_some() {}
            match message {
                ToControl::Hello(introduced) => {
                    let held = introduced.in_force;
                    hello = Some(Arc::new(introduced));
                    tasks.spawn(Arc::clone(&self).feed(held, sender.clone()));
                }
                ToControl::Call { id, call } => {
                    if tasks.len() > CALLS_IN_WORK {
                        tasks.join_next().await;
                    }
                    let task = Arc::clone(&self).call(hello.clone(), id, call, sender.clone());
                    tasks.spawn(task);
                }
            }
        }
        Ok(())
    }

    async fn call(
        self: Arc<Self>,
        hello: Option<Arc<EntryHello>>,
        id: CallId,
        call: Call,
        sender: mpsc::Sender<FromControl>,
    ) {
        let answer = match call {
            Call::Http(_) if hello.is_some() && !self.signed_in => not_served(),
            Call::Http(call) => self.operate(call).await,
            call => self.calls.answer(hello.as_deref(), call).await,
        };
        let _ = sender.send(FromControl::Answer { id, answer }).await;
    }

    async fn operate(&self, call: HttpCall) -> Answer {
        let leads = self.calls.read(|_, _| ()).await;
        match leads {
            Ok(()) => own_answer(&self.client, self.http, call).await,
            Err(not_leader) => not_leader,
        }
    }

    /// Sends the whole feed first, then what changes, from confirmed reads only: a replica that
    /// was cut off must not hand out an older document.
    async fn feed(self: Arc<Self>, held: Revision, sender: mpsc::Sender<FromControl>) {
        let mut changes = self.feed.clone();
        let mut sent: Option<Arc<Feed>> = None;
        loop {
            changes.mark_unchanged();
            let Ok(latest) = self.calls.read(|m, _| m.latest_feed()).await else {
                tokio::time::sleep(FEED_RETRY).await;
                continue;
            };
            if let Some(message) = feed_message(sent.as_deref(), &latest, held)
                && sender.send(message).await.is_err()
            {
                return;
            }
            sent = Some(latest);
            if changes.changed().await.is_err() {
                return;
            }
            tokio::time::sleep(FEED_GATHER).await;
        }
    }
}

/// What to send to a connection that was sent one feed and must hold another; `held` is the
/// revision of the document it held before the connection.
fn feed_message(sent: Option<&Feed>, latest: &Feed, held: Revision) -> Option<FromControl> {
    let Some(sent) = sent else {
        let mut whole = latest.clone();
        whole.document = whole.document.filter(|_| latest.revision != held);
        return Some(FromControl::Feed(whole));
    };
    let delta = FeedDelta::between(sent, latest);
    (!delta.is_empty(sent.revision)).then(|| FromControl::Change(Box::new(delta)))
}

/// While sign-in is off, only loopback may change the cell. An entry host takes requests from
/// anywhere, so what it carries would let every caller in.
fn not_served() -> Answer {
    let message = "sign-in is off; ask a control replica on its loopback address";
    Answer::Http(problem(403, message))
}

async fn write_all(mut tx: FrameWriter, mut queue: mpsc::Receiver<FromControl>) {
    while let Some(message) = queue.recv().await {
        if tx.queue(&message).is_err() {
            return;
        }
        while let Ok(message) = queue.try_recv() {
            if tx.queue(&message).is_err() {
                return;
            }
        }
        if tx.flush().await.is_err() {
            return;
        }
    }
}

/// Carries an operator's request to the leader.
pub(super) async fn forward(leader: SocketAddr, keys: &CellKeys, call: HttpCall) -> Result<Answer> {
    let exchange = async {
        let (mut rx, mut tx) = connect(leader, keys).await?;
        let call = Call::Http(call);
        tx.write(&ToControl::Call { id: 0, call }).await?;
        loop {
            match rx.read::<FromControl>().await? {
                Some(FromControl::Answer { answer, .. }) => return Ok(answer),
                Some(FromControl::Feed(_) | FromControl::Change(_)) => {}
                None => {
                    let e = Error::new(Step::Transfer, "the leader closed the connection");
                    return Err(e.with_peer(leader));
                }
            }
        }
    };
    match timeout(FORWARD_TIMEOUT, exchange).await {
        Ok(answered) => answered,
        Err(_) => {
            let e = Error::new(Step::Transfer, "the leader did not answer in time");
            Err(e.with_peer(leader))
        }
    }
}
