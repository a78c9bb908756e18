//! What entry hosts say to each other, and the sending side of one connection.
//!
//! The host that dials sends requests; the other answers them by stream number and reports its
//! load. Bodies over one chunk follow in pieces under credit, so that a large one neither fills
//! the connection nor holds up the small ones.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, mpsc};

use crate::document::QueuePriority;
use crate::error::Result;
use crate::ids::{EntryId, MinionId, ProcessId, ServiceName, TeamName, ZoneName};
use crate::routing::ServiceLoad;
use crate::wire::FrameWriter;

/// Number of a forwarded request on one connection.
pub(super) type StreamId = u64;

/// Largest piece of a body in one message.
pub(super) const CHUNK: usize = 64 * 1024;
/// Pieces of one body that may be on the way.
const WINDOW: usize = 4;
/// Messages that may wait for the connection.
const OUTBOX: usize = 1024;

/// One message, in either direction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// First message of the host that dials.
    Hello { entry: EntryId, process: ProcessId },
    /// Load of the host that answers.
    Load(Vec<ServiceLoad>),
    /// A request with the first piece of its body.
    Request {
        stream: StreamId,
        head: RequestHead,
        body_len: u32,
        first: Bytes,
    },
    /// A further piece of a request's or answer's body.
    Body { stream: StreamId, data: Bytes },
    /// Room for one more piece.
    Credit { stream: StreamId },
    /// Nobody waits for this request any more.
    Cancel { stream: StreamId },
    /// A whole answer with the first piece of its body.
    Answer {
        stream: StreamId,
        head: AnswerHead,
        body_len: u32,
        first: Bytes,
    },
    /// Proved that nothing ran.
    NotRun {
        stream: StreamId,
        retry_after: Duration,
    },
    /// It may have run.
    Unknown { stream: StreamId },
    /// Asks for any word.
    Ping,
    /// A word.
    Pong,
}

/// A forwarded request without its body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RequestHead {
    pub(super) service: ServiceName,
    pub(super) team: TeamName,
    pub(super) priority: QueuePriority,
    pub(super) idempotent: bool,
    /// Time left; clocks of two hosts are never compared.
    pub(super) left: Duration,
    pub(super) method: CompactString,
    pub(super) path: String,
    pub(super) headers: Headers,
}

/// A whole answer without its body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    pub(super) headers: Headers,
    pub(super) minion: MinionId,
    pub(super) zone: ZoneName,
    pub(super) service_time: Duration,
}

/// Headers as sent to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Headers(Vec<(CompactString, Bytes)>);

impl From<&HeaderMap> for Headers {
    fn from(map: &HeaderMap) -> Self {
        let pairs = map.iter();
        let pairs = pairs.map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (CompactString::from(name.as_str()), value)
        });
        Self(pairs.collect())
    }
}

impl From<Headers> for HeaderMap {
    fn from(headers: Headers) -> Self {
        let mut map = Self::with_capacity(headers.0.len());
        for (name, value) in headers.0 {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
                map.append(name, value);
            }
        }
        map
    }
}

/// Sending side of one connection.
pub(super) struct Outbox {
    tx: mpsc::Sender<PeerMessage>,
    credits: Mutex<HashMap<StreamId, Arc<Semaphore>>>,
}

impl Outbox {
    pub(super) fn new() -> (Self, mpsc::Receiver<PeerMessage>) {
        let (tx, rx) = mpsc::channel(OUTBOX);
        let outbox = Self {
            tx,
            credits: Mutex::default(),
        };
        (outbox, rx)
    }

    /// Queues a message; false when the connection is gone.
    pub(super) async fn send(&self, message: PeerMessage) -> bool {
        self.tx.send(message).await.is_ok()
    }

    /// Queues a message if there is room at once.
    pub(super) fn try_send(&self, message: PeerMessage) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Sends what follows the first piece, as the other side gives credit.
    pub(super) async fn send_rest(&self, stream: StreamId, mut rest: Bytes) {
        if rest.is_empty() {
            return;
        }
        let credit = Arc::new(Semaphore::new(WINDOW));
        let _open = OpenStream::new(self, stream, credit.clone());
        while !rest.is_empty() {
            let Ok(permit) = credit.acquire().await else {
                return;
            };
            permit.forget();
            let data = rest.split_to(rest.len().min(CHUNK));
            if !self.send(PeerMessage::Body { stream, data }).await {
                return;
            }
        }
    }

    pub(super) fn credit(&self, stream: StreamId) {
        if let Some(credit) = self.credits().get(&stream) {
            credit.add_permits(1);
        }
    }

    fn credits(&self) -> MutexGuard<'_, HashMap<StreamId, Arc<Semaphore>>> {
        self.credits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forgets a stream's credit when its sender ends or is dropped.
struct OpenStream<'a> {
    outbox: &'a Outbox,
    stream: StreamId,
}

impl<'a> OpenStream<'a> {
    fn new(outbox: &'a Outbox, stream: StreamId, credit: Arc<Semaphore>) -> Self {
        outbox.credits().insert(stream, credit);
        Self { outbox, stream }
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.outbox.credits().remove(&self.stream);
    }
}

/// Splits off the piece that travels with the head.
pub(super) fn first_piece(body: &Bytes) -> (Bytes, Bytes) {
    let cut = body.len().min(CHUNK);
    (body.slice(..cut), body.slice(cut..))
}

/// Writes queued messages, many at a time. `sent` sees each before it can leave.
pub(super) async fn write_messages(
    mut writer: FrameWriter,
    mut rx: mpsc::Receiver<PeerMessage>,
    sent: impl Fn(&PeerMessage),
) -> Result<()> {
    const BATCH: usize = 32;
    let mut batch = Vec::with_capacity(BATCH);
    while rx.recv_many(&mut batch, BATCH).await > 0 {
        for message in batch.drain(..) {
            sent(&message);
            writer.queue(&message)?;
        }
        writer.flush().await?;
    }
    Ok(())
}
