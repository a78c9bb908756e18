//! One HTTP connection to a minion, and the kept ones.
//!
//! A request is checked once more when its first byte is about to be written, not when it is
//! handed over: until then the connection may have taken its time to open, and the process may
//! have stood still past its lease.

use std::io::{Error as IoError, ErrorKind, IoSlice, Result as IoResult};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::wire::dial;

/// Time for opening a connection to a minion.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which sent bytes may stay unacknowledged.
pub(super) const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without traffic after which the system asks whether the other end is still there.
const KEEPALIVE: Duration = Duration::from_secs(15);
/// Idle time after which a connection is closed; below the usual keep-alive of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle connections kept to one minion.
const IDLE_PER_MINION: usize = 8;

/// Says at the last moment whether a request may still be sent.
pub(super) type Check = Arc<dyn Fn() -> bool + Send + Sync>;

/// Why a request has no answer.
pub(super) enum Unanswered {
    /// No connection was opened.
    Unreachable,
    /// The check said no before any byte was written.
    Refused,
    /// It may have reached the minion.
    Broken(hyper::Error),
}

/// Idle connections to one minion.
#[derive(Default)]
pub(super) struct Kept(Mutex<Vec<(Instant, Connection)>>);

/// One connection.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<Gate>,
}

/// Stands before the connection's writes.
#[derive(Default)]
struct Gate {
    check: Mutex<Option<Check>>,
    refused: AtomicBool,
}

/// A connection's stream behind its gate.
struct Gated {
    stream: TokioIo<TcpStream>,
    gate: Arc<Gate>,
}

impl Kept {
    fn take(&self) -> Option<Connection> {
        let (since, connection) = lock(&self.0).pop()?;
        (since.elapsed() < IDLE_TIMEOUT).then_some(connection)
    }

    /// Keeps a connection whose last answer was read whole.
    pub(super) fn put(&self, connection: Connection) {
        let mut kept = lock(&self.0);
        if kept.len() < IDLE_PER_MINION {
            kept.push((Instant::now(), connection));
        }
    }

    /// Closes those that were idle for too long.
    pub(super) fn close_idle(&self) {
        lock(&self.0).retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
    }
}

/// Sends a request on a kept connection, or else on a new one. A kept one may have been closed
/// by the minion; then the request was not written, and goes on another.
pub(super) async fn send(
    addr: SocketAddr,
    kept: Option<&Kept>,
    mut request: Request<Full<Bytes>>,
    check: Check,
) -> Result<(Connection, Response<Incoming>), Unanswered> {
    while let Some(mut connection) = kept.and_then(Kept::take) {
        if connection.sender.ready().await.is_err() {
            continue;
        }
        match connection.send(request, check.clone()).await {
            Ok(response) => return Ok((connection, response)),
            Err((_, Some(unsent))) => request = unsent,
            Err((unanswered, None)) => return Err(unanswered),
        }
    }
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, Connection::open(addr)).await;
    let Ok(Some(mut connection)) = opened else {
        return Err(Unanswered::Unreachable);
    };
    match connection.send(request, check).await {
        Ok(response) => Ok((connection, response)),
        Err((unanswered, _)) => Err(unanswered),
    }
}

impl Connection {
    async fn open(addr: SocketAddr) -> Option<Self> {
        let stream = dial(addr, USER_TIMEOUT).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive).ok()?;
        let gate = Arc::new(Gate::default());
        let gated = Gated {
            stream: TokioIo::new(stream),
            gate: gate.clone(),
        };
        let (sender, connection) = handshake(gated).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender, gate })
    }

    /// Sends one request; gives it back if no byte of it was written for another reason than the
    /// check's.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        check: Check,
    ) -> Result<Response<Incoming>, (Unanswered, Option<Request<Full<Bytes>>>)> {
        *lock(&self.gate.check) = Some(check);
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut e| {
            if self.gate.refused.load(Ordering::Acquire) {
                return (Unanswered::Refused, None);
            }
            let unsent = e.take_message();
            (Unanswered::Broken(e.into_error()), unsent)
        })
    }
}

impl Gated {
    /// Asks the check of a request whose first byte was not written yet.
    fn pass(&self) -> IoResult<()> {
        let check = lock(&self.gate.check).clone();
        if check.is_none_or(|check| check()) {
            return Ok(());
        }
        self.gate.refused.store(true, Ordering::Release);
        Err(IoError::new(ErrorKind::ConnectionAborted, "not sent"))
    }

    fn passed(&self, written: &Poll<IoResult<usize>>) {
        if written.is_ready() {
            *lock(&self.gate.check) = None;
        }
    }
}

impl Write for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        self.pass()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.passed(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        self.pass()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.passed(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Read for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
