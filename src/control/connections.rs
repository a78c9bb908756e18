//! Connections of entry hosts: answers their calls and sends them the feed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::api::error_answer;
use super::calls::Calls;
use super::group::Group;
use super::http::answer_locally;
use super::machine::Machine;
use crate::error::{Error, Result, Step};
use crate::ids::Revision;
use crate::placement::Placer;
use crate::wire::{
    Answer, Call, CallId, CellKeys, EntryHello, Feed, FeedDelta, FrameReader, FrameWriter,
    FromControl, HttpCall, ToControl, accept, connect,
};

/// Maximum time for a new connection to prove that it holds the cell key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Capacity of a connection's send queue, in messages.
const SEND_QUEUE: usize = 4_096;

/// Maximum number of calls of one connection in progress; further ones are read only as these
/// finish.
const MAX_CALLS_IN_FLIGHT: usize = 2_048;

/// Time for which changes are collected before they are sent as one message.
const FEED_BATCH_DELAY: Duration = Duration::from_millis(10);

/// Time between attempts to read the feed while this replica can't confirm leadership, and after
/// a failed accept.
const FEED_RETRY: Duration = Duration::from_millis(250);

/// Maximum time for a request forwarded to the leader, including the answer.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by all connections of entry hosts and by the HTTP server.
pub(super) struct ControlServer<G, P> {
    pub(super) calls: Calls<G, P>,
    pub(super) keys: CellKeys,
    pub(super) feed: watch::Receiver<u64>,
    /// Whether operators have to sign in.
    pub(super) signed_in: bool,
    /// Address of this daemon's own HTTP server, which answers forwarded requests.
    pub(super) http: SocketAddr,
    pub(super) client: reqwest::Client,
    pub(super) log: Logger,
}

impl<G, P> ControlServer<G, P>
where
    P: Placer + Send + 'static,
    G: Group<Machine<P>>,
{
    /// Accepts connections until its task is aborted; that also ends the connections.
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(Arc::clone(&self).serve_connection(stream));
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

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let peer = stream.peer_addr();
        let handshake = timeout(HANDSHAKE_TIMEOUT, accept(stream, &self.keys)).await;
        let (rx, tx) = match handshake {
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
        let ended = Arc::clone(&self).serve_messages(rx, tx).await;
        if let Err(e) = ended {
            debug!(self.log, "a connection ended"; "error" => %e);
        }
    }

    async fn serve_messages(self: Arc<Self>, mut rx: FrameReader, tx: FrameWriter) -> Result<()> {
        let (sender, queue) = mpsc::channel(SEND_QUEUE);
        let mut tasks = JoinSet::new();
        tasks.spawn(write_queued(tx, queue));
        let mut hello: Option<Arc<EntryHello>> = None;
        let feed_sent = watch::Sender::new(0);
        while let Some(message) = rx.read::<ToControl>().await? {
            while tasks.try_join_next().is_some() {}
            match message {
                ToControl::Hello(received) => {
                    let held = received.in_force;
                    hello = Some(Arc::new(received));
                    let sent = feed_sent.clone();
                    tasks.spawn(Arc::clone(&self).feed(held, sender.clone(), sent));
                }
                ToControl::Call { id, call } => {
                    if tasks.len() > MAX_CALLS_IN_FLIGHT {
                        tasks.join_next().await;
                    }
                    let (server, sender) = (Arc::clone(&self), sender.clone());
                    let feed_sent = feed_sent.subscribe();
                    tasks.spawn(server.answer_call(hello.clone(), feed_sent, id, call, sender));
                }
            }
        }
        Ok(())
    }

    async fn answer_call(
        self: Arc<Self>,
        hello: Option<Arc<EntryHello>>,
        feed_sent: watch::Receiver<u64>,
        id: CallId,
        call: Call,
        sender: mpsc::Sender<FromControl>,
    ) {
        let answer = match call {
            Call::Http(_) if hello.is_some() && !self.signed_in => sign_in_required(),
            Call::Http(call) => self.operate(call).await,
            call => self.calls.answer(hello.as_deref(), feed_sent, call).await,
        };
        let _ = sender.send(FromControl::Answer { id, answer }).await;
    }

    async fn operate(&self, call: HttpCall) -> Answer {
        let confirmed = self.calls.read(|_, _| ()).await;
        match confirmed {
            Ok(()) => answer_locally(&self.client, self.http, call).await,
            Err(not_leader) => not_leader,
        }
    }

    /// Sends the complete feed first, then its changes. Only reads with confirmed leadership are
    /// used, because a replica that is cut off from the group could send an outdated document.
    /// Reports the number of changes that have been sent.
    async fn feed(
        self: Arc<Self>,
        held: Revision,
        sender: mpsc::Sender<FromControl>,
        feed_sent: watch::Sender<u64>,
    ) {
        let mut changes = self.feed.clone();
        let mut sent: Option<Arc<Feed>> = None;
        loop {
            changes.mark_unchanged();
            let read = |m: &mut Machine<P>, _| (m.latest_feed(), m.cell().feed_changes());
            let Ok((latest, covered)) = self.calls.read(read).await else {
                tokio::time::sleep(FEED_RETRY).await;
                continue;
            };
            if let Some(message) = feed_message(sent.as_deref(), &latest, held)
                && sender.send(message).await.is_err()
            {
                return;
            }
            sent = Some(latest);
            feed_sent.send_replace(covered);
            if changes.changed().await.is_err() {
                return;
            }
            tokio::time::sleep(FEED_BATCH_DELAY).await;
        }
    }
}

/// The message that brings a connection from the feed sent last to the latest one; `None` if they
/// are equal. `held` is the document revision that the entry host had before it connected; that
/// document isn't sent again.
fn feed_message(sent: Option<&Feed>, latest: &Feed, held: Revision) -> Option<FromControl> {
    let Some(sent) = sent else {
        let mut whole = latest.clone();
        whole.document = whole.document.filter(|_| latest.revision != held);
        return Some(FromControl::Feed(whole));
    };
    let delta = FeedDelta::between(sent, latest);
    (!delta.is_empty(sent.revision)).then(|| FromControl::Change(Box::new(delta)))
}

/// Refuses operators' requests through entry hosts while sign-in is off. Only loopback may change
/// the cell then, but an entry host accepts requests from any address.
fn sign_in_required() -> Answer {
    let message = "sign-in is off; ask a control replica on its loopback address";
    Answer::Http(error_answer(403, message))
}

/// Writes queued messages until the queue or the connection closes, and flushes when the queue is
/// empty.
async fn write_queued(mut tx: FrameWriter, mut queue: mpsc::Receiver<FromControl>) {
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

/// Forwards an operator's request to the leader and returns its answer.
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
