//! One connection through a proxy: both directions with their delays, silences and cuts.

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

const PIECE: usize = 16 * 1024;
/// Pieces of one direction that wait for their delay to pass.
const PIECES_DELAYED: usize = 64;

/// Why a connection through the proxy ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Closed,
    Reset,
}

pub(super) async fn carry(id: u64, mut client: TcpStream, shared: Arc<Shared>) {
    let mut rules = shared.rules.subscribe();
    let opened = tokio::select! {
        opened = open_upstream(id, &shared) => opened,
        _ = ended_by_rule(id, &mut rules) => None,
    };
    let Some(mut server) = opened else {
        let _ = client.set_zero_linger();
        return;
    };
    let ending = {
        let (client_rx, client_tx) = client.split();
        let (server_rx, server_tx) = server.split();
        let up = Pump::new(id, Direction::ToServer, &shared).run(client_rx, server_tx);
        let down = Pump::new(id, Direction::ToClient, &shared).run(server_rx, client_tx);
        tokio::select! {
            ending = ended_by_rule(id, &mut rules) => ending,
            ending = both(up, down) => ending,
        }
    };
    if ending == Ending::Reset {
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

async fn ended_by_rule(id: u64, rules: &mut watch::Receiver<Rules>) -> Ending {
    let ends = |rules: &Rules| id < rules.reset_below || id < rules.closed_below;
    match rules.wait_for(ends).await {
        Ok(rules) if id < rules.reset_below => Ending::Reset,
        _ => Ending::Closed,
    }
}

/// Runs both directions until each has closed in its turn, or one broke.
async fn both(
    up: impl Future<Output = Result<(), Ending>>,
    down: impl Future<Output = Result<(), Ending>>,
) -> Ending {
    match tokio::try_join!(up, down) {
        Ok(_) => Ending::Closed,
        Err(ending) => ending,
    }
}

/// What a direction carries, in order.
enum Piece {
    Data(Instant, Bytes),
    End,
    Broken,
}

/// One direction of one connection.
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

    async fn run(self, rx: ReadHalf<'_>, tx: WriteHalf<'_>) -> Result<(), Ending> {
        let (pieces_tx, pieces_rx) = mpsc::channel(PIECES_DELAYED);
        let writer = Writer {
            id: self.id,
            direction: self.direction,
            shared: self.shared,
            rules: self.shared.rules.subscribe(),
            truncation: None,
        };
        let (written, ()) = tokio::join!(writer.run(tx, pieces_rx), self.read_all(rx, pieces_tx));
        written
    }

    async fn read_all(mut self, mut rx: ReadHalf<'_>, pieces: mpsc::Sender<Piece>) {
        let mut last = Instant::now();
        loop {
            let mut buf = BytesMut::with_capacity(PIECE);
            let piece = match rx.read_buf(&mut buf).await {
                Ok(0) => Piece::End,
                Ok(_) => {
                    last = last.max(Instant::now() + self.delay());
                    Piece::Data(last, buf.freeze())
                }
                Err(_) => Piece::Broken,
            };
            let more = matches!(piece, Piece::Data(..));
            if pieces.send(piece).await.is_err() || !more {
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
        mut pieces: mpsc::Receiver<Piece>,
    ) -> Result<(), Ending> {
        while let Some(piece) = pieces.recv().await {
            match piece {
                Piece::Data(at, data) => {
                    tokio::time::sleep_until(at).await;
                    self.unless_silent().await;
                    self.deliver(&mut tx, data).await?;
                }
                Piece::End => {
                    self.unless_silent().await;
                    return tx.shutdown().await.map_err(|_| Ending::Reset);
                }
                Piece::Broken => {
                    self.unless_silent().await;
                    return Err(Ending::Reset);
                }
            }
        }
        Ok(())
    }

    async fn unless_silent(&mut self) {
        let (id, direction) = (self.id, self.direction);
        let _ = self
            .rules
            .wait_for(|rules| !rules.silent(id, direction))
            .await;
    }

    async fn deliver(&mut self, tx: &mut WriteHalf<'_>, mut data: Bytes) -> Result<(), Ending> {
        let limit = self.limit();
        let cut = limit.is_some_and(|left| data.len() as u64 > left);
        if let Some(left) = limit.filter(|_| cut) {
            data.truncate(left as usize);
        }
        tx.write_all(&data).await.map_err(|_| Ending::Reset)?;
        self.count(data.len() as u64);
        if cut {
            let _ = tx.shutdown().await;
            return Err(Ending::Closed);
        }
        Ok(())
    }

    /// Bytes that may still be carried, when a truncation is in force.
    fn limit(&mut self) -> Option<u64> {
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
