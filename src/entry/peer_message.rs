//! Messages between entry hosts, and the sending side of a connection.
//!
//! The entry host that connects sends requests; the other one answers them by stream number and
//! reports its load. Bodies larger than one chunk follow in chunks with credit-based flow control,
//! so that a large body neither fills the connection nor delays small messages.

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

/// Identifies a forwarded request on a connection; the attempt's number at the sender.
pub(super) type StreamId = u64;

/// Maximum bytes of a body in one message.
pub(super) const CHUNK: usize = 64 * 1024;
/// Chunks of one body that may be sent without further credit.
const CREDIT_WINDOW: usize = 4;
/// Maximum messages queued for the connection.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// A message in either direction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// First message of the entry host that connects.
    Hello {
        entry: EntryId,
        process: ProcessId,
    },
    /// Load of the entry host that accepted the connection.
    Load(Vec<ServiceLoad>),
    /// A request with the first chunk of its body.
    Request {
        stream: StreamId,
        head: RequestHead,
        body_len: u32,
        first: Bytes,
    },
    /// A further chunk of a request's or response's body.
    Body {
        stream: StreamId,
        data: Bytes,
    },
    /// Permission to send one more chunk.
    Credit {
        stream: StreamId,
    },
    /// The request is cancelled: its result is no longer needed.
    Cancel {
        stream: StreamId,
    },
    /// A response with the first chunk of its body.
    Answer {
        stream: StreamId,
        head: AnswerHead,
        body_len: u32,
        first: Bytes,
    },
    /// The request certainly did not run.
    NotRun {
        stream: StreamId,
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        stream: StreamId,
    },
    /// Requests a [`PeerMessage::Pong`], to detect a dead connection.
    Ping,
    Pong,
}

/// A forwarded request without its body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RequestHead {
    pub(super) service: ServiceName,
    pub(super) team: TeamName,
    pub(super) priority: QueuePriority,
    pub(super) idempotent: bool,
    /// Time left to the deadline; a duration, because clocks of two hosts are never compared.
    pub(super) left: Duration,
    pub(super) method: CompactString,
    pub(super) path: String,
    pub(super) headers: Headers,
}

/// A response without its body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    pub(super) headers: Headers,
    pub(super) minion: MinionId,
    pub(super) zone: ZoneName,
    pub(super) service_time: Duration,
}

/// HTTP headers in serializable form.
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

/// Sending side of a connection.
pub(super) struct Outbox {
    tx: mpsc::Sender<PeerMessage>,
    /// One permit for each chunk that may be sent, by stream with a body in transfer.
    credits: Mutex<HashMap<StreamId, Arc<Semaphore>>>,
}

impl Outbox {
    pub(super) fn new() -> (Self, mpsc::Receiver<PeerMessage>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let outbox = Self {
            tx,
            credits: Mutex::default(),
        };
        (outbox, rx)
    }

    /// Queues a message, waiting for room; false when the connection has ended.
    pub(super) async fn send(&self, message: PeerMessage) -> bool {
        self.tx.send(message).await.is_ok()
    }

    /// Queues a message; false when the queue is full or the connection has ended.
    pub(super) fn try_send(&self, message: PeerMessage) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Sends the body after its first chunk, as the receiver grants credit.
    pub(super) async fn send_rest(&self, stream: StreamId, mut rest: Bytes) {
        if rest.is_empty() {
            return;
        }
        let credit = Arc::new(Semaphore::new(CREDIT_WINDOW));
        let _open = CreditGuard::new(self, stream, credit.clone());
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

/// Removes a stream's credit when its sender ends or is dropped.
struct CreditGuard<'a> {
    outbox: &'a Outbox,
    stream: StreamId,
}

impl<'a> CreditGuard<'a> {
    fn new(outbox: &'a Outbox, stream: StreamId, credit: Arc<Semaphore>) -> Self {
        outbox.credits().insert(stream, credit);
        Self { outbox, stream }
    }
}

impl Drop for CreditGuard<'_> {
    fn drop(&mut self) {
        self.outbox.credits().remove(&self.stream);
    }
}

/// Splits a body into the chunk that is sent with the head, and the rest.
pub(super) fn split_first_chunk(body: &Bytes) -> (Bytes, Bytes) {
    let cut = body.len().min(CHUNK);
    (body.slice(..cut), body.slice(cut..))
}

/// Writes queued messages in batches. `sent` is called with each before any of it is written.
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
