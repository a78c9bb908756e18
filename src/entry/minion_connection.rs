//! HTTP connections to minions, and the pool of idle ones.
//!
//! A request is checked again right before its first byte is written, not when it is passed to the
//! connection: opening the connection may take long, and the process may have been paused until
//! after its lease expired.

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

/// Timeout of opening a connection to a minion.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged.
pub(super) const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before TCP keepalive probes, and the interval between them.
const KEEPALIVE: Duration = Duration::from_secs(15);
/// Idle time after which a connection is closed; below the usual keep-alive timeout of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum idle connections kept to one minion.
const IDLE_PER_MINION: usize = 8;

/// Called before a request's first byte is written: whether it may still be sent.
pub(super) type Check = Arc<dyn Fn() -> bool + Send + Sync>;

/// Why a request got no response.
pub(super) enum SendError {
    /// No connection was opened.
    Unreachable,
    /// The check failed before any byte was written.
    Refused,
    /// The connection failed, and the request may have reached the minion.
    Broken(hyper::Error),
}

/// Idle connections to one minion.
#[derive(Default)]
pub(super) struct IdleConnections(Mutex<Vec<(Instant, Connection)>>);

/// An HTTP/1 connection.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    write_check: Arc<WriteCheck>,
}

/// The check of the current request, shared by a connection and its stream.
#[derive(Default)]
struct WriteCheck {
    /// None once the first byte of the request was written.
    check: Mutex<Option<Check>>,
    refused: AtomicBool,
}

/// A connection's stream, which runs the check before it writes.
struct CheckedStream {
    stream: TokioIo<TcpStream>,
    write_check: Arc<WriteCheck>,
}

impl IdleConnections {
    fn take(&self) -> Option<Connection> {
        let (since, connection) = lock(&self.0).pop()?;
        (since.elapsed() < IDLE_TIMEOUT).then_some(connection)
    }

    /// Keeps a connection whose last response was read completely.
    pub(super) fn put(&self, connection: Connection) {
        let mut idle = lock(&self.0);
        if idle.len() < IDLE_PER_MINION {
            idle.push((Instant::now(), connection));
        }
    }

    /// Closes connections that were idle for too long.
    pub(super) fn close_idle(&self) {
        lock(&self.0).retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
    }
}

/// Sends a request on an idle connection, or else on a new one. If the minion has closed an idle
/// one and the request was not written, it is sent on another.
pub(super) async fn send(
    addr: SocketAddr,
    idle: Option<&IdleConnections>,
    mut request: Request<Full<Bytes>>,
    check: Check,
) -> Result<(Connection, Response<Incoming>), SendError> {
    while let Some(mut connection) = idle.and_then(IdleConnections::take) {
        if connection.sender.ready().await.is_err() {
            continue;
        }
        match connection.send(request, check.clone()).await {
            Ok(response) => return Ok((connection, response)),
            Err((_, Some(unsent))) => request = unsent,
            Err((error, None)) => return Err(error),
        }
    }
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, Connection::open(addr)).await;
    let Ok(Some(mut connection)) = opened else {
        return Err(SendError::Unreachable);
    };
    match connection.send(request, check).await {
        Ok(response) => Ok((connection, response)),
        Err((error, _)) => Err(error),
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
        let write_check = Arc::new(WriteCheck::default());
        let checked = CheckedStream {
            stream: TokioIo::new(stream),
            write_check: write_check.clone(),
        };
        let (sender, connection) = handshake(checked).await.ok()?;
        tokio::spawn(connection);
        Some(Self {
            sender,
            write_check,
        })
    }

    /// Sends one request. Returns it with the error if no byte of it was written, unless the check
    /// failed.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        check: Check,
    ) -> Result<Response<Incoming>, (SendError, Option<Request<Full<Bytes>>>)> {
        *lock(&self.write_check.check) = Some(check);
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut e| {
            if self.write_check.refused.load(Ordering::Acquire) {
                return (SendError::Refused, None);
            }
            let unsent = e.take_message();
            (SendError::Broken(e.into_error()), unsent)
        })
    }
}

impl CheckedStream {
    /// Runs the check if no byte of the request was written yet; an error if it fails.
    fn check_before_write(&self) -> IoResult<()> {
        let check = lock(&self.write_check.check).clone();
        if check.is_none_or(|check| check()) {
            return Ok(());
        }
        self.write_check.refused.store(true, Ordering::Release);
        Err(IoError::new(ErrorKind::ConnectionAborted, "not sent"))
    }

    fn clear_check_after_write(&self, written: &Poll<IoResult<usize>>) {
        if written.is_ready() {
            *lock(&self.write_check.check) = None;
        }
    }
}

impl Write for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        self.check_before_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.clear_check_after_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        self.check_before_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.clear_check_after_write(&written);
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

impl Read for CheckedStream {
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
