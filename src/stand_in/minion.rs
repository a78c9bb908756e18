//! A stand-in minion: announces itself to entry hosts, answers each request after a service time
//! and counts requests and connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::minion_state::{MinionBehaviour, MinionCounts, MinionState, RequestPlan};
use crate::error::{Error, Result, Step};
use crate::ids::{MinionId, ProcessId, ServiceName, ZoneName};

/// Request timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed announcement.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(100);
/// Announcements sent per time to live, so that one lost announcement does not expire the minion.
const ANNOUNCEMENTS_PER_TTL: u32 = 3;

/// Configuration of a stand-in minion.
#[derive(Clone, Debug)]
pub struct MinionOptions {
    /// Identifier under which the minion announces itself.
    pub id: MinionId,
    /// Service whose requests it handles.
    pub service: ServiceName,
    /// Availability zone it announces.
    pub zone: ZoneName,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address to announce instead of the listening one, for example that of a proxy.
    pub advertise: Option<SocketAddr>,
    /// Number of concurrent requests it announces; the minion itself does not enforce it.
    pub slots: u32,
    /// Number of connections it announces; the minion itself does not enforce it.
    pub connections: u32,
    /// HTTP addresses of entry hosts. A failed announcement is retried at the next one; with an
    /// empty list the minion does not announce itself.
    pub entries: Vec<SocketAddr>,
    /// Time to live of an announcement.
    pub ttl: Duration,
    /// Seed of the random choices of `behaviour`.
    pub seed: u64,
    /// Service times, failures and answer sizes.
    pub behaviour: MinionBehaviour,
}

impl Default for MinionOptions {
    fn default() -> Self {
        Self {
            id: MinionId::const_new("minion-1"),
            service: ServiceName::const_new("service"),
            zone: ZoneName::const_new("zone-a"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            slots: 8,
            connections: 64,
            entries: Vec::new(),
            ttl: Duration::from_secs(3),
            seed: 1,
            behaviour: MinionBehaviour::default(),
        }
    }
}

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    addr: SocketAddr,
    zone: &'a str,
    slots: u32,
    connections: u32,
    ttl_ms: u64,
    process: ProcessId,
}

#[derive(Serialize)]
struct Slots {
    slots: u32,
    in_use: u32,
}

#[derive(Serialize)]
struct WorkReply<'a> {
    key: &'a str,
    minion: &'a str,
    padding: String,
}

/// A running stand-in minion. Dropping it simulates a crash: connections close at once and no
/// departure is announced.
pub struct MinionHandle {
    addr: SocketAddr,
    process: ProcessId,
    state: Arc<MinionState>,
    slots: watch::Sender<u32>,
    leaving: CancellationToken,
    killed: CancellationToken,
    announce_task: JoinHandle<()>,
}

impl MinionHandle {
    /// Address it listens on, also when it announces another.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Random process id, part of each announcement.
    pub const fn process(&self) -> ProcessId {
        self.process
    }

    /// Counts since the start.
    pub fn counts(&self) -> MinionCounts {
        self.state.counts()
    }

    /// Replaces the behaviour, starting with the next request.
    pub fn set_behaviour(&self, behaviour: MinionBehaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Changes the number of slots and announces it at once.
    pub fn resize(&self, slots: u32) {
        self.slots.send_replace(slots);
    }

    /// Leaves gracefully: deletes the announcement and sends no more of them. The minion still
    /// answers requests until the handle is dropped.
    pub async fn leave(mut self) -> Self {
        self.leaving.cancel();
        let _ = (&mut self.announce_task).await;
        self
    }
}

impl Drop for MinionHandle {
    fn drop(&mut self) {
        self.announce_task.abort();
        self.killed.cancel();
    }
}

/// Starts a minion on the current Tokio runtime.
pub async fn start_minion(options: MinionOptions) -> Result<MinionHandle> {
    let failed = |e| Error::caused(Step::Listen, "starting a stand-in minion", e);
    let listener = TcpListener::bind(options.listen).await.map_err(failed)?;
    let addr = listener.local_addr().map_err(failed)?;
    let process = rand::random();
    let state = MinionState::new(options.behaviour.clone(), options.seed);
    let state = Arc::new(state);
    let (slots, slots_rx) = watch::channel(options.slots);
    let (leaving, killed) = (CancellationToken::new(), CancellationToken::new());
    let server = Server {
        id: options.id.clone(),
        state: state.clone(),
        slots_rx: slots_rx.clone(),
        killed: killed.clone(),
    };
    tokio::spawn(server.accept_all(listener));
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(ANNOUNCE_TIMEOUT)
        .build();
    let client = client.map_err(|e| Error::caused(Step::Connect, "creating an HTTP client", e))?;
    let announcer = Announcer {
        addr: options.advertise.unwrap_or(addr),
        options,
        process,
        client,
        slots_rx,
        leaving: leaving.clone(),
        entry: 0,
    };
    Ok(MinionHandle {
        addr,
        process,
        state,
        slots,
        leaving,
        killed,
        announce_task: tokio::spawn(announcer.run()),
    })
}

#[derive(Clone)]
struct Server {
    id: MinionId,
    state: Arc<MinionState>,
    slots_rx: watch::Receiver<u32>,
    killed: CancellationToken,
}

impl Server {
    async fn accept_all(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.killed.cancelled() => return,
            };
            if let Ok((stream, _)) = accepted {
                tokio::spawn(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _connection = self.state.track_connection();
        let killed = self.killed.clone();
        let answer = service_fn(|req| self.answer(req));
        let builder = hyper::server::conn::http1::Builder::new();
        let connection = builder.serve_connection(TokioIo::new(stream), answer);
        tokio::select! {
            _ = connection => {}
            () = killed.cancelled() => {}
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let reply = match (req.method(), req.uri().path()) {
            (&Method::GET, "/slots") if self.state.reports_slots() => json(&Slots {
                slots: *self.slots_rx.borrow(),
                in_use: self.state.in_work(),
            }),
            (&Method::GET, "/slots") => plain(StatusCode::NOT_FOUND, "no such page"),
            (&Method::GET, "/counts") => json(&self.state.counts()),
            _ => self.work(req).await,
        };
        Ok(reply)
    }

    async fn work(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let key = request_key(&head.headers, &head.uri);
        let epoch = parse_header(&head.headers, "yuccahold-epoch");
        if !self.state.accepts_epoch(epoch) {
            let mut reply = plain(StatusCode::CONFLICT, "an older owner's request");
            let not_run = http::HeaderValue::from_static("not-run");
            reply.headers_mut().insert("yuccahold-outcome", not_run);
            return reply;
        }
        if body.collect().await.is_err() {
            return plain(StatusCode::BAD_REQUEST, "the body was cut");
        }
        let plan = self.state.begin_request(&key, epoch);
        let RequestPlan {
            work,
            time,
            status,
            answer_bytes,
        } = plan;
        // A separate task, so that the work continues after the connection closes, as in a server
        // that does not detect the disconnect.
        let killed = self.killed.clone();
        let working = tokio::spawn(async move {
            tokio::select! {
                () = tokio::time::sleep(time) => {}
                () = killed.cancelled() => {}
            }
            drop(work);
        });
        let _ = working.await;
        let mut reply = json(&WorkReply {
            key: &key,
            minion: &self.id,
            padding: "x".repeat(answer_bytes),
        });
        *reply.status_mut() = status;
        if let Some(id) = head.headers.get("yuccahold-request-id") {
            reply
                .headers_mut()
                .insert("yuccahold-request-id", id.clone());
        }
        reply
    }
}

/// Key under which a request is counted: its idempotency key, or else its path and query.
fn request_key(headers: &HeaderMap, uri: &http::Uri) -> String {
    let key = headers.get("idempotency-key").and_then(|v| v.to_str().ok());
    let path = uri.path_and_query().map_or("", |p| p.as_str());
    key.unwrap_or(path).to_owned()
}

fn parse_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn json(body: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, json);
    reply
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

struct Announcer {
    options: MinionOptions,
    addr: SocketAddr,
    process: ProcessId,
    client: reqwest::Client,
    slots_rx: watch::Receiver<u32>,
    leaving: CancellationToken,
    entry: usize,
}

impl Announcer {
    async fn run(mut self) {
        if self.options.entries.is_empty() {
            return;
        }
        loop {
            let announced = self.announce().await;
            let pause = if announced {
                self.options.ttl / ANNOUNCEMENTS_PER_TTL
            } else {
                self.entry += 1;
                ANNOUNCE_RETRY
            };
            let leaving = self.leaving.clone();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = self.slots_rx.changed() => {}
                () = leaving.cancelled() => return self.announce_leave().await,
            }
        }
    }

    fn url(&self) -> String {
        let entry = self.options.entries[self.entry % self.options.entries.len()];
        format!("http://{entry}/v1/minions/{}", self.options.id)
    }

    async fn announce(&mut self) -> bool {
        let slots = *self.slots_rx.borrow_and_update();
        let announcement = Announcement {
            service: &self.options.service,
            addr: self.addr,
            zone: &self.options.zone,
            slots,
            connections: self.options.connections,
            ttl_ms: u64::try_from(self.options.ttl.as_millis()).unwrap_or(u64::MAX),
            process: self.process,
        };
        let sent = self.client.put(self.url()).json(&announcement).send().await;
        sent.is_ok_and(|answer| answer.status().is_success())
    }

    /// Deletes the announcement, with up to three attempts per entry host.
    async fn announce_leave(mut self) {
        for _ in 0..self.options.entries.len() * 3 {
            let sent = self.client.delete(self.url()).send().await;
            if sent.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            self.entry += 1;
            tokio::time::sleep(ANNOUNCE_RETRY).await;
        }
    }
}
