//! Incoming connections from peers: receive forwarded requests, send responses and load reports.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::entry::core::Core;
use crate::entry::peer_message::{
    AnswerHead, Outbox, PeerMessage, RequestHead, StreamId, split_first_chunk, write_messages,
};
use crate::entry::service_request::{
    CompletedRequest, MinionResponse, RequestResult, ServiceRequest,
};
use crate::error::{Error, Result, Step};
use crate::ids::EntryId;
use crate::routing::{Event, Origin, RequestId, RouteError};
use crate::wire::{CellKeys, FrameReader, accept};

/// Timeout of the handshake, and again of the first message.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without any message received after which a connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum interval between load reports on one connection.
const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum time without a load report, besides the minimum interval.
const MAX_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum concurrent requests on one connection.
const MAX_STREAMS: usize = 4096;

/// A request whose body is still arriving.
struct PartialRequest {
    head: RequestHead,
    len: usize,
    body: BytesMut,
}

/// A connection from a peer.
struct Connection {
    core: Arc<Core>,
    peer: EntryId,
    outbox: Outbox,
    partial: Mutex<HashMap<StreamId, PartialRequest>>,
    /// Requests submitted to the router.
    active: Mutex<HashMap<StreamId, RequestId>>,
}

/// Accepts peers until the listener is dropped.
pub(super) async fn serve(
    listener: TcpListener,
    core: Arc<Core>,
    keys: CellKeys,
    load: watch::Receiver<u64>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Probably out of file descriptors; retrying immediately would be a busy loop.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (core, keys, load) = (core.clone(), keys.clone(), load.clone());
        tokio::spawn(async move {
            let _ = connection(stream, core, keys, load).await;
        });
    }
}

async fn connection(
    stream: TcpStream,
    core: Arc<Core>,
    keys: CellKeys,
    load: watch::Receiver<u64>,
) -> Result<()> {
    let late = |_| Error::new(Step::Handshake, "the handshake was not completed in time");
    let (mut reader, writer) = tokio::time::timeout(HANDSHAKE_TIMEOUT, accept(stream, &keys))
        .await
        .map_err(late)??;
    let hello = tokio::time::timeout(HANDSHAKE_TIMEOUT, reader.read())
        .await
        .map_err(late)??;
    let Some(PeerMessage::Hello { entry, .. }) = hello else {
        return Err(Error::new(
            Step::Handshake,
            "the peer's first message is not a hello",
        ));
    };
    let (outbox, rx) = Outbox::new();
    let connection = Arc::new(Connection {
        core,
        peer: entry,
        outbox,
        partial: Mutex::default(),
        active: Mutex::default(),
    });
    let ended = tokio::select! {
        written = write_messages(writer, rx, |_| {}) => written,
        read = connection.read(&mut reader) => read,
        () = connection.report_load(load) => Ok(()),
    };
    connection.cancel_all();
    ended
}

impl Connection {
    async fn read(self: &Arc<Self>, reader: &mut FrameReader) -> Result<()> {
        let silent = |_| Error::new(Step::Transfer, "nothing was received in time");
        loop {
            let message = tokio::time::timeout(SILENCE_TIMEOUT, reader.read()).await;
            let Some(message) = message.map_err(silent)?? else {
                return Ok(());
            };
            self.handle_message(message);
        }
    }

    fn handle_message(self: &Arc<Self>, message: PeerMessage) {
        match message {
            PeerMessage::Request {
                stream,
                head,
                body_len,
                first,
            } => self.request(stream, head, body_len as usize, &first),
            PeerMessage::Body { stream, data } => self.body(stream, &data),
            PeerMessage::Credit { stream } => self.outbox.credit(stream),
            PeerMessage::Cancel { stream } => self.cancel(stream),
            PeerMessage::Ping => drop(self.outbox.try_send(PeerMessage::Pong)),
            _ => {}
        }
    }

    fn request(self: &Arc<Self>, stream: StreamId, head: RequestHead, len: usize, first: &Bytes) {
        let limit = self.body_limit(&head);
        let full = lock(&self.partial).len() + lock(&self.active).len() >= MAX_STREAMS;
        if full || len > limit || first.len() > len {
            return self.refuse(stream);
        }
        let mut body = BytesMut::with_capacity(len);
        body.extend_from_slice(first);
        let partial = PartialRequest { head, len, body };
        if partial.body.len() == partial.len {
            return self.begin(stream, partial);
        }
        lock(&self.partial).insert(stream, partial);
    }

    fn body(self: &Arc<Self>, stream: StreamId, data: &Bytes) {
        let mut partials = lock(&self.partial);
        let Some(partial) = partials.get_mut(&stream) else {
            return;
        };
        partial.body.extend_from_slice(data);
        if partial.body.len() >= partial.len
            && let Some(complete) = partials.remove(&stream)
        {
            drop(partials);
            return self.begin(stream, complete);
        }
        let _ = self.outbox.try_send(PeerMessage::Credit { stream });
    }

    fn body_limit(&self, head: &RequestHead) -> usize {
        let limit = |router: &crate::routing::Router, _| {
            let service = router.document().services.get(&head.service);
            service.map_or(0, |s| s.body_limit as usize)
        };
        self.core.read(limit)
    }

    fn refuse(self: &Arc<Self>, stream: StreamId) {
        let retry_after = Duration::from_millis(100);
        let _ = self.outbox.try_send(PeerMessage::NotRun {
            stream,
            retry_after,
        });
    }

    fn begin(self: &Arc<Self>, stream: StreamId, partial: PartialRequest) {
        let PartialRequest { head, len, body } = partial;
        let Ok(method) = Method::from_bytes(head.method.as_bytes()) else {
            return self.refuse(stream);
        };
        if body.len() != len {
            return self.refuse(stream);
        }
        let service_request = ServiceRequest {
            body_limit: self.body_limit(&head),
            service: head.service,
            team: head.team,
            priority: head.priority,
            idempotent: head.idempotent,
            deadline: self.core.now() + head.left,
            method,
            path: head.path,
            headers: head.headers.into(),
            body: body.freeze(),
        };
        let origin = Origin::Peer(self.peer.clone());
        let (id, result) = self.core.submit(Arc::new(service_request), origin);
        lock(&self.active).insert(stream, id);
        let connection = self.clone();
        tokio::spawn(async move {
            let ended = result.await.unwrap_or_else(|_| CompletedRequest::dropped());
            lock(&connection.active).remove(&stream);
            connection.answer(stream, ended.result).await;
        });
    }

    async fn answer(&self, stream: StreamId, result: RequestResult) {
        match result {
            RequestResult::Response(answer) => self.send_answer(stream, answer).await,
            RequestResult::Failed(RouteError::NotRun { retry_after, .. }) => {
                let not_run = PeerMessage::NotRun {
                    stream,
                    retry_after,
                };
                self.outbox.send(not_run).await;
            }
            RequestResult::Failed(RouteError::Unknown { .. }) => {
                self.outbox.send(PeerMessage::Unknown { stream }).await;
            }
        }
    }

    async fn send_answer(&self, stream: StreamId, answer: MinionResponse) {
        let (first, rest) = split_first_chunk(&answer.body);
        let head = AnswerHead {
            status: answer.status.as_u16(),
            headers: (&answer.headers).into(),
            minion: answer.minion,
            zone: answer.zone,
            service_time: answer.service_time,
        };
        let body_len = answer.body.len() as u32;
        let message = PeerMessage::Answer {
            stream,
            head,
            body_len,
            first,
        };
        if self.outbox.send(message).await {
            self.outbox.send_rest(stream, rest).await;
        }
    }

    fn cancel(&self, stream: StreamId) {
        lock(&self.partial).remove(&stream);
        let id = lock(&self.active).get(&stream).copied();
        if let Some(id) = id {
            self.core.handle(Event::Cancelled(id));
        }
    }

    fn cancel_all(&self) {
        let ids: Vec<_> = lock(&self.active).drain().map(|(_, id)| id).collect();
        ids.into_iter()
            .for_each(|id| self.core.handle(Event::Cancelled(id)));
    }

    /// Reports the load after each change, rate-limited, and periodically without a change.
    async fn report_load(&self, mut changed: watch::Receiver<u64>) {
        loop {
            let load = self.core.read(|router, now| router.load(now));
            if !self.outbox.send(PeerMessage::Load(load)).await {
                return;
            }
            tokio::time::sleep(MIN_LOAD_REPORT_INTERVAL).await;
            if let Ok(Err(_)) =
                tokio::time::timeout(MAX_LOAD_REPORT_INTERVAL, changed.changed()).await
            {
                return;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
