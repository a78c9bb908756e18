//! Messages of peers that are never silent for long.
//!
//! A process that was stopped or suspended finds messages in its sockets that arrived any time ago,
//! before it notices the silence by its own timers.

use serde::de::DeserializeOwned;

use crate::error::{Error, Result, Step};
use crate::ids::Timestamp;
use crate::replication::monotonic_now;
use crate::wire::FrameReader;

/// Time without a message after which a connection is closed. A healthy peer sends a ping after at
/// most 2 s without other messages, and answers a forwarded hold within 2.3 s.
pub(super) const PEER_TIMEOUT: Timestamp = Timestamp::from_secs(5);

/// Reads messages that have arrived within `PEER_TIMEOUT`.
pub(super) struct RecentReader {
    reader: FrameReader,
    /// When the last message was read; the next one arrived after it.
    last: Timestamp,
}

impl RecentReader {
    /// Wraps the reader of a connection whose handshake began at `began`.
    pub(super) fn new(began: Timestamp, reader: FrameReader) -> Self {
        Self {
            reader,
            last: began,
        }
    }

    /// Address of the peer, for logs and errors.
    pub(super) fn peer(&self) -> &str {
        self.reader.peer()
    }

    /// Waits for the next message; `None` when the peer closed the connection. Fails if the message
    /// may have arrived longer ago than `PEER_TIMEOUT`.
    pub(super) async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let message = self.reader.read().await?;
        let now = monotonic_now();
        let since = std::mem::replace(&mut self.last, now);
        if now.saturating_sub(since) > PEER_TIMEOUT {
            metrics::counter!("yuccahold_batch_connections_stale_total").increment(1);
            let e = Error::new(Step::Transfer, "its messages may have waited for too long");
            return Err(e.with_peer(self.peer()));
        }
        Ok(message)
    }
}
