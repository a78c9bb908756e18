//! A connection to a control replica.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::entry::pending_call::PendingCall;
use crate::error::{Error, Result, Step};
use crate::wire::{
    Answer, Call, CallId, CellKeys, EntryHello, Feed, FrameReader, FrameWriter, FromControl,
    ToControl, client_handshake, dial,
};

/// Timeout of connecting and the handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged.
pub(super) const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without any frame received while an answer is due, after which the connection counts as
/// dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between checks for expired calls and a dead connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Frames read ahead of their handling.
const READ_AHEAD: usize = 64;

/// Why a connection ended.
pub(super) enum ConnectionEnd {
    /// The replica is not the leader; the address is the leader's, if the replica has one.
    NotLeader(Option<SocketAddr>),
    /// It broke or timed out.
    Broken,
    /// The link itself ended.
    Stopped,
}

/// An open connection to a control replica.
pub(super) struct Connection {
    peer: String,
    writer: FrameWriter,
    frames: mpsc::Receiver<FromControl>,
    calls: HashMap<CallId, PendingCall>,
    next_id: CallId,
    /// Since when an answer has been due and nothing was received; none while no answer is due.
    /// Calls may expire meanwhile, as renewals do.
    unanswered_since: Option<Instant>,
}

impl Connection {
    pub(super) async fn open(
        addr: SocketAddr,
        keys: &CellKeys,
        hello: &EntryHello,
    ) -> Result<Self> {
        let open = async {
            let (reader, mut writer) =
                client_handshake(dial(addr, USER_TIMEOUT).await?, keys).await?;
            writer.write(&ToControl::Hello(hello.clone())).await?;
            Ok((reader, writer))
        };
        let late = |_| Error::new(Step::Connect, "no answer in time").with_peer(addr);
        let (reader, writer) = tokio::time::timeout(CONNECT_TIMEOUT, open)
            .await
            .map_err(late)??;
        let (tx, frames) = mpsc::channel(READ_AHEAD);
        tokio::spawn(read_frames(reader, tx));
        Ok(Self {
            peer: writer.peer().to_owned(),
            writer,
            frames,
            calls: HashMap::new(),
            next_id: 1,
            unanswered_since: None,
        })
    }

    pub(super) fn peer(&self) -> &str {
        &self.peer
    }

    /// Sends calls until the connection ends; returns those without an answer.
    pub(super) async fn serve(
        mut self,
        queue: &mut mpsc::Receiver<PendingCall>,
        waiting: Vec<PendingCall>,
        feed: &watch::Sender<Arc<Feed>>,
    ) -> (ConnectionEnd, Vec<PendingCall>) {
        for pending in waiting {
            self.queue(pending);
        }
        let lost = match self.writer.flush().await {
            Ok(()) => self.run(queue, feed).await,
            Err(_) => ConnectionEnd::Broken,
        };
        (lost, self.calls.into_values().collect())
    }

    async fn run(
        &mut self,
        queue: &mut mpsc::Receiver<PendingCall>,
        feed: &watch::Sender<Arc<Feed>>,
    ) -> ConnectionEnd {
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                pending = queue.recv() => {
                    let Some(pending) = pending else { return ConnectionEnd::Stopped };
                    self.queue(pending);
                    while let Ok(more) = queue.try_recv() {
                        self.queue(more);
                    }
                    if self.writer.flush().await.is_err() {
                        return ConnectionEnd::Broken;
                    }
                }
                frame = self.frames.recv() => {
                    let Some(frame) = frame else { return ConnectionEnd::Broken };
                    if let Some(lost) = self.handle_message(frame, feed) {
                        return lost;
                    }
                    self.unanswered_since = self.awaits_answer().then(Instant::now);
                }
                _ = check.tick() => {
                    self.expire();
                    if self.is_silent() {
                        metrics::counter!("yuccahold_entry_control_silent_total").increment(1);
                        return ConnectionEnd::Broken;
                    }
                }
            }
        }
    }

    fn queue(&mut self, mut pending: PendingCall) {
        let id = self.next_id;
        self.next_id += 1;
        let message = ToControl::Call {
            id,
            call: pending.call().clone(),
        };
        match self.writer.queue(&message) {
            Ok(()) => {
                pending.sent();
                if is_prompt(pending.call()) {
                    self.unanswered_since.get_or_insert_with(Instant::now);
                }
                self.calls.insert(id, pending);
            }
            Err(e) => pending.fail(e),
        }
    }

    fn handle_message(
        &mut self,
        frame: FromControl,
        feed: &watch::Sender<Arc<Feed>>,
    ) -> Option<ConnectionEnd> {
        match frame {
            FromControl::Answer { id, answer } => {
                // The answer to an expired call matches no entry and is dropped.
                let mut pending = self.calls.remove(&id)?;
                if let Answer::NotLeader(leader) = answer {
                    pending.not_taken();
                    self.calls.insert(id, pending);
                    return Some(ConnectionEnd::NotLeader(leader));
                }
                pending.answer(answer);
            }
            FromControl::Feed(update) => merge(feed, update),
            FromControl::Change(delta) => feed.send_modify(|held| {
                delta.apply(Arc::make_mut(held));
            }),
        }
        None
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.calls.retain(|_, pending| !pending.is_expired(now));
    }

    fn awaits_answer(&self) -> bool {
        self.calls.values().any(|pending| is_prompt(pending.call()))
    }

    fn is_silent(&self) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| since.elapsed() > SILENCE_TIMEOUT)
    }
}

/// Whether control answers the call without waiting for an event.
fn is_prompt(call: &Call) -> bool {
    !matches!(call, Call::PollWorker(_))
}

async fn read_frames(mut reader: FrameReader, frames: mpsc::Sender<FromControl>) {
    while let Ok(Some(frame)) = reader.read().await {
        if frames.send(frame).await.is_err() {
            return;
        }
    }
}

/// Applies a feed update. An update without a document keeps the current one, which did not
/// change; an older revision never replaces a newer one.
fn merge(feed: &watch::Sender<Arc<Feed>>, mut update: Feed) {
    feed.send_modify(|held| {
        if update.revision < held.revision || update.document.is_none() {
            update.revision = held.revision;
            update.document.clone_from(&held.document);
        }
        *held = Arc::new(update);
    });
}
