//! HTTP client for every call that the scheduler makes to minions and to the policy service, with
//! a pool of idle connections per address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Header with the id of the minion instance that a call is meant for. A minion that has
/// restarted under another id refuses the call.
const EXPECT_INSTANCE_HEADER: &str = "Yuccahold-Expect-Instance";
/// Idle connections kept to one address: one for the hold, a long poll, the others for start and
/// stop orders.
const MAX_IDLE_PER_ADDR: usize = 4;
/// Longest accepted response; a list of 500 ended runs takes 50 KB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Longest time for opening a connection; it counts towards the call's own timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The peer refused the connection: the request was not sent.
    Refused,
    /// The connection could not be opened, or the call timed out.
    Lost,
    /// The connection failed while the request was in flight, or the response was too long.
    Broken,
}

type Sender = SendRequest<Full<Bytes>>;

/// Clones share one pool of idle connections.
#[derive(Clone, Default)]
pub(super) struct Client(Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>);

impl Client {
    /// Posts `body` as JSON and reads the whole response, within `within` in total.
    pub(super) async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        instance: Option<&str>,
        body: &impl Serialize,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let body = serde_json::to_vec(body).map_err(|_| Failure::Lost)?;
        let mut req = Request::post(path)
            .header(HOST, addr.to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(instance) = instance {
            req = req.header(EXPECT_INSTANCE_HEADER, instance);
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::Lost)?;
        // On a timeout the connection is dropped with the call: the peer may no longer answer on it.
        match timeout(within, self.exchange(addr, req)).await {
            Ok(done) => done,
            Err(_) => Err(Failure::Lost),
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let mut sender = match self.take_idle(addr) {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let reply = sender.send_request(req).await;
        let reply = reply.map_err(|_| Failure::Broken)?;
        let status = reply.status();
        let body = Limited::new(reply.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|_| Failure::Broken)?.to_bytes();
        self.put_back(addr, sender);
        Ok((status, body))
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Sender> {
        let mut pool = self.0.lock().expect("no holder panics");
        let idle = pool.get_mut(&addr)?;
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put_back(&self, addr: SocketAddr, sender: Sender) {
        let mut pool = self.0.lock().expect("no holder panics");
        let idle = pool.entry(addr).or_default();
        if idle.len() < MAX_IDLE_PER_ADDR && !sender.is_closed() {
            idle.push(sender);
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Sender, Failure> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused);
        }
        _ => return Err(Failure::Lost),
    };
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Failure::Lost)?;
    tokio::spawn(async move {
        // The sender reports the end of the connection, so its result is not needed here.
        let _ = connection.await;
    });
    Ok(sender)
}
