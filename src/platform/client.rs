//! One HTTP client for all calls that the scheduler makes, over kept connections.

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

/// Names the incarnation that a call is meant for.
const EXPECT_INSTANCE: &str = "Yuccahold-Expect-Instance";
/// Connections kept to one address: one that waits in a hold, others for orders.
const KEPT: usize = 4;
/// Largest answer taken; a list of 500 ends takes 50 KB.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// Time for a connection to open, as part of a call's.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nobody listens there.
    Refused,
    /// No answer in time.
    Lost,
    /// The connection broke.
    Broken,
}

type Sender = SendRequest<Full<Bytes>>;

/// A pool of connections; cheap to clone.
#[derive(Clone, Default)]
pub(super) struct Client(Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>);

impl Client {
    /// Posts a body and waits for the whole answer.
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
            req = req.header(EXPECT_INSTANCE, instance);
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::Lost)?;
        // A connection whose call had no answer is dropped with it: it may have fallen silent.
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
        let mut sender = match self.idle(addr) {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let reply = sender.send_request(req).await;
        let reply = reply.map_err(|_| Failure::Broken)?;
        let status = reply.status();
        let body = Limited::new(reply.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|_| Failure::Broken)?.to_bytes();
        self.keep(addr, sender);
        Ok((status, body))
    }

    fn idle(&self, addr: SocketAddr) -> Option<Sender> {
        let mut pool = self.0.lock().expect("no holder panics");
        let idle = pool.get_mut(&addr)?;
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, addr: SocketAddr, sender: Sender) {
        let mut pool = self.0.lock().expect("no holder panics");
        let idle = pool.entry(addr).or_default();
        if idle.len() < KEPT && !sender.is_closed() {
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
        // Its end shows in the sender.
        let _ = connection.await;
    });
    Ok(sender)
}
