//! One connection to one control replica.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::entry::link::Pending;
use crate::error::{Error, Result, Step};
use crate::wire::{
    Answer, Call, CallId, CellKeys, EntryHello, Feed, FrameReader, FrameWriter, FromControl,
    ToControl, dial, split_client,
};

/// Time for connecting and for the handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which sent bytes may stay unacknowledged.
pub(super) const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without any word after a call before the connection counts as silent.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time between two looks at deadlines and silence.
const SWEEP: Duration = Duration::from_millis(50);
/// Frames read ahead.
const READ_AHEAD: usize = 64;

/// Why a connection ended.
pub(super) enum Lost {
    /// The replica does not lead.
    NotLeader(Option<SocketAddr>),
    /// It broke or went silent.
    Broken,
    /// The link itself ended.
    Stopped,
}

/// An open connection.
pub(super) struct Connection {
    peer: String,
    writer: FrameWriter,
    frames: mpsc::Receiver<FromControl>,
    calls: HashMap<CallId, (Pending, Instant)>,
    next_id: CallId,
    heard: Instant,
}

impl Connection {
    pub(super) async fn open(
        addr: SocketAddr,
        keys: &CellKeys,
        hello: &EntryHello,
    ) -> Result<Self> {
        let open = async {
            let (reader, mut writer) = split_client(dial(addr, USER_TIMEOUT).await?, keys).await?;
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
            heard: Instant::now(),
        })
    }

    pub(super) fn peer(&self) -> &str {
        &self.peer
    }

    /// Carries calls until the connection ends; gives back those without an answer.
    pub(super) async fn serve(
        mut self,
        queue: &mut mpsc::Receiver<Pending>,
        waiting: Vec<Pending>,
        feed: &watch::Sender<Arc<Feed>>,
    ) -> (Lost, Vec<Pending>) {
        for pending in waiting {
            self.queue(pending);
        }
        let lost = match self.writer.flush().await {
            Ok(()) => self.carry(queue, feed).await,
            Err(_) => Lost::Broken,
        };
        let calls = self.calls.into_values().map(|(pending, _)| pending);
        (lost, calls.collect())
    }

    async fn carry(
        &mut self,
        queue: &mut mpsc::Receiver<Pending>,
        feed: &watch::Sender<Arc<Feed>>,
    ) -> Lost {
        let mut sweep = tokio::time::interval(SWEEP);
        loop {
            tokio::select! {
                pending = queue.recv() => {
                    let Some(pending) = pending else { return Lost::Stopped };
                    self.queue(pending);
                    while let Ok(more) = queue.try_recv() {
                        self.queue(more);
                    }
                    if self.writer.flush().await.is_err() {
                        return Lost::Broken;
                    }
                }
                frame = self.frames.recv() => {
                    let Some(frame) = frame else { return Lost::Broken };
                    self.heard = Instant::now();
                    if let Some(lost) = self.take_in(frame, feed) {
                        return lost;
                    }
                }
                _ = sweep.tick() => {
                    self.expire();
                    if self.is_silent() {
                        metrics::counter!("yuccahold_entry_control_silent_total").increment(1);
                        return Lost::Broken;
                    }
                }
            }
        }
    }

    fn queue(&mut self, mut pending: Pending) {
        let id = self.next_id;
        self.next_id += 1;
        let message = ToControl::Call {
            id,
            call: pending.call.clone(),
        };
        match self.writer.queue(&message) {
            Ok(()) => {
                pending.sent = true;
                self.calls.insert(id, (pending, Instant::now()));
            }
            Err(e) => drop(pending.reply.send(Err(e))),
        }
    }

    fn take_in(&mut self, frame: FromControl, feed: &watch::Sender<Arc<Feed>>) -> Option<Lost> {
        match frame {
            FromControl::Answer { id, answer } => {
                // An answer to a call given up before matches nothing and is dropped.
                let (mut pending, sent) = self.calls.remove(&id)?;
                if let Answer::NotLeader(leader) = answer {
                    pending.sent = false;
                    self.calls.insert(id, (pending, sent));
                    return Some(Lost::NotLeader(leader));
                }
                let _ = pending.reply.send(Ok(answer));
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
        let late = self
            .calls
            .iter()
            .filter(|(_, (pending, _))| pending.deadline <= now);
        let ids: Vec<_> = late.map(|(id, _)| *id).collect();
        for id in ids {
            if let Some((pending, _)) = self.calls.remove(&id) {
                pending.expire();
            }
        }
    }

    /// Whether a call that is answered at once has waited too long with no word at all.
    fn is_silent(&self) -> bool {
        let prompt = |call: &Call| !matches!(call, Call::PollWorker(_));
        let waits = |(pending, sent): &(Pending, Instant)| {
            prompt(&pending.call) && self.heard.max(*sent).elapsed() > SILENCE
        };
        self.calls.values().any(waits)
    }
}

async fn read_frames(mut reader: FrameReader, frames: mpsc::Sender<FromControl>) {
    while let Ok(Some(frame)) = reader.read().await {
        if frames.send(frame).await.is_err() {
            return;
        }
    }
}

/// Keeps the document of an update that leaves it out because it did not change. An older
/// revision than the one held never replaces it.
fn merge(feed: &watch::Sender<Arc<Feed>>, mut update: Feed) {
    feed.send_modify(|held| {
        if update.revision < held.revision || update.document.is_none() {
            update.revision = held.revision;
            update.document.clone_from(&held.document);
        }
        *held = Arc::new(update);
    });
}
