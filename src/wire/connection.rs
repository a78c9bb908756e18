//! Authenticated connections: a handshake, then length-prefixed frames that each end in a tag.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, ReadHalf, WriteHalf};
use tokio::net::TcpStream;

use super::auth::{CellKeys, KeyId, Nonce, SessionKey, TAG_LEN};
use super::{MAX_FRAME, WIRE_VERSION};
use crate::error::{Error, Result, Step};

/// Length in bytes of a hello: wire version, key id and nonce.
const HELLO_LEN: usize = 2 + 8 + 32;
const TO_SERVER: u8 = 0;
const TO_CLIENT: u8 = 1;

/// Receiving half of an authenticated connection.
pub struct FrameReader {
    stream: BufReader<ReadHalf<TcpStream>>,
    key: SessionKey,
    peer: String,
    received: metrics::Counter,
}

/// Sending half of an authenticated connection.
pub struct FrameWriter {
    stream: WriteHalf<TcpStream>,
    key: SessionKey,
    buf: Vec<u8>,
    peer: String,
    sent: metrics::Counter,
}

/// Connects to a peer and runs the client side of the handshake.
pub async fn connect(
    addr: std::net::SocketAddr,
    keys: &CellKeys,
) -> Result<(FrameReader, FrameWriter)> {
    let stream = TcpStream::connect(addr)
        .await
        .map_err(|e| Error::caused(Step::Connect, "opening a connection", e).with_peer(addr))?;
    client_handshake(stream, keys).await
}

/// Opens a TCP connection that fails when sent bytes stay unacknowledged for `user_timeout`.
///
/// A middlebox such as a NAT gateway may drop its state for a connection without notifying either
/// end. Data sent afterwards is lost, and the default timeout is many minutes.
pub(crate) async fn dial(addr: std::net::SocketAddr, user_timeout: Duration) -> Result<TcpStream> {
    let failed = |e| Error::caused(Step::Connect, "opening a connection", e).with_peer(addr);
    let stream = TcpStream::connect(addr).await.map_err(failed)?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(user_timeout))
        .map_err(failed)?;
    Ok(stream)
}

/// Runs the server side of the handshake on an accepted connection.
pub async fn accept(stream: TcpStream, keys: &CellKeys) -> Result<(FrameReader, FrameWriter)> {
    server_handshake(stream, keys).await
}

/// Runs the client side of the handshake and splits the stream into its halves.
pub async fn client_handshake(
    mut stream: TcpStream,
    keys: &CellKeys,
) -> Result<(FrameReader, FrameWriter)> {
    let peer = peer_name(&stream);
    let _ = stream.set_nodelay(true);
    let key = keys.first().clone();
    let nonce: Nonce = rand::random();
    write_hello(&mut stream, key.id(), &nonce, &peer).await?;
    let (_, peer_nonce) = read_hello(&mut stream, &peer).await?;
    let mut tx_key = key.session(&nonce, &peer_nonce, TO_SERVER);
    let mut rx_key = key.session(&nonce, &peer_nonce, TO_CLIENT);
    send_proof(&mut stream, &mut tx_key, &peer).await?;
    check_proof(&mut stream, &mut rx_key, &peer).await?;
    Ok(into_halves(stream, rx_key, tx_key, peer))
}

/// Runs the server side of the handshake and splits the stream into its halves. Nothing is sent to
/// a peer whose key id is unknown.
pub async fn server_handshake(
    mut stream: TcpStream,
    keys: &CellKeys,
) -> Result<(FrameReader, FrameWriter)> {
    let peer = peer_name(&stream);
    let _ = stream.set_nodelay(true);
    let (id, peer_nonce) = read_hello(&mut stream, &peer).await?;
    let Some(key) = keys.find(&id).cloned() else {
        return Err(
            Error::new(Step::Handshake, "the peer's key is not one of this cell").with_peer(peer),
        );
    };
    let nonce: Nonce = rand::random();
    write_hello(&mut stream, id, &nonce, &peer).await?;
    let mut rx_key = key.session(&peer_nonce, &nonce, TO_SERVER);
    let mut tx_key = key.session(&peer_nonce, &nonce, TO_CLIENT);
    check_proof(&mut stream, &mut rx_key, &peer).await?;
    send_proof(&mut stream, &mut tx_key, &peer).await?;
    Ok(into_halves(stream, rx_key, tx_key, peer))
}

fn peer_name(stream: &TcpStream) -> String {
    stream
        .peer_addr()
        .map_or_else(|_| "unknown peer".to_owned(), |addr| addr.to_string())
}

fn into_halves(
    stream: TcpStream,
    rx: SessionKey,
    tx: SessionKey,
    peer: String,
) -> (FrameReader, FrameWriter) {
    let (read, write) = tokio::io::split(stream);
    let reader = FrameReader {
        stream: BufReader::new(read),
        key: rx,
        peer: peer.clone(),
        received: metrics::counter!("yuccahold_wire_received_bytes_total"),
    };
    (
        reader,
        FrameWriter {
            stream: write,
            key: tx,
            buf: Vec::new(),
            peer,
            sent: metrics::counter!("yuccahold_wire_sent_bytes_total"),
        },
    )
}

async fn write_hello(stream: &mut TcpStream, id: KeyId, nonce: &Nonce, peer: &str) -> Result<()> {
    let mut hello = Vec::with_capacity(HELLO_LEN);
    hello.extend_from_slice(&WIRE_VERSION.to_le_bytes());
    hello.extend_from_slice(&id);
    hello.extend_from_slice(nonce);
    stream
        .write_all(&hello)
        .await
        .map_err(|e| transfer(Step::Handshake, peer, e))
}

async fn read_hello(stream: &mut TcpStream, peer: &str) -> Result<(KeyId, Nonce)> {
    let mut hello = [0; HELLO_LEN];
    stream
        .read_exact(&mut hello)
        .await
        .map_err(|e| transfer(Step::Handshake, peer, e))?;
    let version = u16::from_le_bytes([hello[0], hello[1]]);
    if version != WIRE_VERSION {
        let message =
            format!("the peer speaks wire version {version}, this process {WIRE_VERSION}");
        return Err(Error::new(Step::Handshake, message).with_peer(peer));
    }
    let mut id = KeyId::default();
    id.copy_from_slice(&hello[2..10]);
    let mut nonce = Nonce::default();
    nonce.copy_from_slice(&hello[10..]);
    Ok((id, nonce))
}

/// Sends a tag that only a holder of the cell key can compute for this connection's nonces.
async fn send_proof(stream: &mut TcpStream, key: &mut SessionKey, peer: &str) -> Result<()> {
    stream
        .write_all(&key.next_tag(b"proof"))
        .await
        .map_err(|e| transfer(Step::Handshake, peer, e))
}

async fn check_proof(stream: &mut TcpStream, key: &mut SessionKey, peer: &str) -> Result<()> {
    let mut tag = [0; TAG_LEN];
    stream
        .read_exact(&mut tag)
        .await
        .map_err(|e| transfer(Step::Handshake, peer, e))?;
    if key.accepts(b"proof", &tag) {
        return Ok(());
    }
    Err(Error::new(Step::Handshake, "the peer does not hold the cell key").with_peer(peer))
}

fn transfer(step: Step, peer: &str, e: std::io::Error) -> Error {
    Error::caused(step, "the connection failed", e).with_peer(peer)
}

impl FrameReader {
    /// Address of the peer, for logs and errors.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Waits for the next message; `None` when the peer closed the connection.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let mut head = [0; 4];
        match self.stream.read_exact(&mut head).await {
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(e) => return Err(transfer(Step::Transfer, &self.peer, e)),
        }
        let len = u32::from_le_bytes(head) as usize;
        if len > MAX_FRAME {
            let message = format!("a frame of {len} bytes is over the limit of {MAX_FRAME}");
            return Err(Error::new(Step::Transfer, message).with_peer(&self.peer));
        }
        let mut payload = vec![0; len];
        let mut tag = [0; TAG_LEN];
        self.stream
            .read_exact(&mut payload)
            .await
            .map_err(|e| transfer(Step::Transfer, &self.peer, e))?;
        self.stream
            .read_exact(&mut tag)
            .await
            .map_err(|e| transfer(Step::Transfer, &self.peer, e))?;
        self.received.increment((head.len() + len + TAG_LEN) as u64);
        if !self.key.accepts(&payload, &tag) {
            metrics::counter!("yuccahold_wire_frames_refused_total").increment(1);
            return Err(
                Error::new(Step::Transfer, "a frame was forged, repeated or lost")
                    .with_peer(&self.peer),
            );
        }
        postcard::from_bytes(&payload)
            .map(Some)
            .map_err(|e| Error::caused(Step::Codec, "decoding a message", e).with_peer(&self.peer))
    }
}

impl FrameWriter {
    /// Address of the peer, for logs and errors.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Encodes a message into the buffer without sending it; `flush` sends the buffer.
    pub fn queue(&mut self, message: &impl Serialize) -> Result<()> {
        let payload = postcard::to_allocvec(message).map_err(|e| {
            Error::caused(Step::Codec, "encoding a message", e).with_peer(&self.peer)
        })?;
        if payload.len() > MAX_FRAME {
            let message = format!(
                "a frame of {} bytes is over the limit of {MAX_FRAME}",
                payload.len()
            );
            return Err(Error::new(Step::Transfer, message).with_peer(&self.peer));
        }
        let tag = self.key.next_tag(&payload);
        self.buf
            .extend_from_slice(&(payload.len() as u32).to_le_bytes());
        self.buf.extend_from_slice(&payload);
        self.buf.extend_from_slice(&tag);
        Ok(())
    }

    /// Sends all queued messages.
    pub async fn flush(&mut self) -> Result<()> {
        let sent = self.stream.write_all(&self.buf).await;
        self.sent.increment(self.buf.len() as u64);
        self.buf.clear();
        sent.map_err(|e| transfer(Step::Transfer, &self.peer, e))
    }

    /// Queues one message and flushes the buffer.
    pub async fn write(&mut self, message: &impl Serialize) -> Result<()> {
        self.queue(message)?;
        self.flush().await
    }
}
