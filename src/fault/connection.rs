//! Forwards one TCP connection in both directions and applies delay, silence, truncation, reset
//! and close.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::rules::{Direction, Rules, Truncation};
use super::tcp::Shared;

const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks per direction that wait for their delay to pass. At this number the
/// proxy stops reading.
const MAX_DELAYED_CHUNKS: usize = 64;

/// How to end a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseKind {
    Closed,
    Reset,
}

pub(super) async fn forward(id: u64, mut client: TcpStream, shared: Arc<Shared>) {
    let mut rules = shared.rules.subscribe();
    let opened = tokio::select! {
        opened = open_upstream(id, &shared) => opened,
        _ = wait_for_close(id, &mut rules) => None,
    };
    let Some(mut server) = opened else {
        let _ = client.set_zero_linger();
        return;
    };
    let close_kind = {
        let (client_rx, client_tx) = client.split();
        let (server_rx, server_tx) = server.split();
        let up = Pump::new(id, Direction::ToServer, &shared).run(client_rx, server_tx);
        let down = Pump::new(id, Direction::ToClient, &shared).run(server_rx, client_tx);
        tokio::select! {
            close_kind = wait_for_close(id, &mut rules) => close_kind,
            close_kind = run_directions(up, down) => close_kind,
        }
    };
    if close_kind == CloseKind::Reset {
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

async fn open_upstream(id: u64, shared: &Shared) -> Option<TcpStream> {
    let mut rules = shared.rules.subscribe();
    let open = |rules: &Rules| !rules.silent(id, Direction::ToServer);
    rules.wait_for(open).await.ok()?;
    let mut upstream = shared.upstream.clone();
    let addr = (*upstream.wait_for(Option::is_some).await.ok()?)?;
    let stream = TcpStream::connect(addr).await.ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

async fn wait_for_close(id: u64, rules: &mut watch::Receiver<Rules>) -> CloseKind {
    let ends = |rules: &Rules| id < rules.reset_below || id < rules.closed_below;
    match rules.wait_for(ends).await {
        Ok(rules) if id < rules.reset_below => CloseKind::Reset,
        _ => CloseKind::Closed,
    }
}

/// Runs both directions until both have closed or one has failed.
async fn run_directions(
    up: impl Future<Output = Result<(), CloseKind>>,
    down: impl Future<Output = Result<(), CloseKind>>,
) -> CloseKind {
    match tokio::try_join!(up, down) {
        Ok(_) => CloseKind::Closed,
        Err(close_kind) => close_kind,
    }
}

/// Input of a direction's writer, in order of arrival.
enum Chunk {
    /// Bytes and the earliest time to deliver them.
    Data(Instant, Bytes),
    End,
    /// The read failed.
    Failed,
}

/// Reader and writer of one direction of one connection.
struct Pump<'a> {
    id: u64,
    direction: Direction,
    shared: &'a Shared,
    rng: ChaCha8Rng,
}

impl<'a> Pump<'a> {
    fn new(id: u64, direction: Direction, shared: &'a Shared) -> Self {
        let stream = id * 2 + u64::from(direction == Direction::ToClient);
        let mut rng = ChaCha8Rng::seed_from_u64(shared.seed);
        rng.set_stream(stream);
        Self {
            id,
            direction,
            shared,
            rng,
        }
    }

    async fn run(self, rx: ReadHalf<'_>, tx: WriteHalf<'_>) -> Result<(), CloseKind> {
        let (chunks_tx, chunks_rx) = mpsc::channel(MAX_DELAYED_CHUNKS);
        let writer = Writer {
            id: self.id,
            direction: self.direction,
            shared: self.shared,
            rules: self.shared.rules.subscribe(),
            truncation: None,
        };
        let (written, ()) = tokio::join!(writer.run(tx, chunks_rx), self.read_all(rx, chunks_tx));
        written
    }

    async fn read_all(mut self, mut rx: ReadHalf<'_>, chunks: mpsc::Sender<Chunk>) {
        let mut last = Instant::now();
        loop {
            let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
            let chunk = match rx.read_buf(&mut buf).await {
                Ok(0) => Chunk::End,
                Ok(_) => {
                    last = last.max(Instant::now() + self.delay());
                    Chunk::Data(last, buf.freeze())
                }
                Err(_) => Chunk::Failed,
            };
            let more = matches!(chunk, Chunk::Data(..));
            if chunks.send(chunk).await.is_err() || !more {
                return;
            }
        }
    }

    fn delay(&mut self) -> Duration {
        let delay = self.shared.rules.borrow().delay_of(self.direction);
        delay.map_or(Duration::ZERO, |(fixed, jitter)| {
            fixed + jitter.mul_f64(self.rng.random())
        })
    }
}

/// Writes the chunks of one direction when their delay has passed.
struct Writer<'a> {
    id: u64,
    direction: Direction,
    shared: &'a Shared,
    rules: watch::Receiver<Rules>,
    truncation: Option<(Truncation, u64)>,
}

impl Writer<'_> {
    async fn run(
        mut self,
        mut tx: WriteHalf<'_>,
        mut chunks: mpsc::Receiver<Chunk>,
    ) -> Result<(), CloseKind> {
        while let Some(chunk) = chunks.recv().await {
            match chunk {
                Chunk::Data(at, data) => {
                    tokio::time::sleep_until(at).await;
                    self.wait_while_silent().await;
                    self.deliver(&mut tx, data).await?;
                }
                Chunk::End => {
                    self.wait_while_silent().await;
                    return tx.shutdown().await.map_err(|_| CloseKind::Reset);
                }
                Chunk::Failed => {
                    self.wait_while_silent().await;
                    return Err(CloseKind::Reset);
                }
            }
        }
        Ok(())
    }

    async fn wait_while_silent(&mut self) {
        let (id, direction) = (self.id, self.direction);
        let _ = self
            .rules
            .wait_for(|rules| !rules.silent(id, direction))
            .await;
    }

    async fn deliver(&mut self, tx: &mut WriteHalf<'_>, mut data: Bytes) -> Result<(), CloseKind> {
        let remaining_bytes = self.remaining_bytes();
        let cut = remaining_bytes.is_some_and(|left| data.len() as u64 > left);
        if let Some(left) = remaining_bytes.filter(|_| cut) {
            data.truncate(left as usize);
        }
        tx.write_all(&data).await.map_err(|_| CloseKind::Reset)?;
        self.count(data.len() as u64);
        if cut {
            let _ = tx.shutdown().await;
            return Err(CloseKind::Closed);
        }
        Ok(())
    }

    /// Number of bytes that may still be delivered; absent without a truncation. A new truncation
    /// restarts the count.
    fn remaining_bytes(&mut self) -> Option<u64> {
        let rule = self.rules.borrow().truncate;
        let rule = rule.filter(|rule| rule.direction.covers(self.direction));
        if self.truncation.map(|(rule, _)| rule) != rule {
            self.truncation = rule.map(|rule| (rule, rule.after));
        }
        self.truncation.map(|(_, left)| left)
    }

    fn count(&mut self, n: u64) {
        if let Some((_, left)) = &mut self.truncation {
            *left -= n;
        }
        self.shared
            .counts
            .send_modify(|counts| match self.direction {
                Direction::ToServer => counts.bytes_to_server += n,
                _ => counts.bytes_to_client += n,
            });
    }
}
