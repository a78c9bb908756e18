//! Connections from the other entry hosts: requests come in, answers and loads go out.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::entry::core::Core;
use crate::entry::peer_message::{
    AnswerHead, Outbox, PeerMessage, RequestHead, StreamId, first_piece, write_messages,
};
use crate::entry::work::{Ended, Verdict, WholeAnswer, Work};
use crate::error::{Error, Result, Step};
use crate::ids::EntryId;
use crate::routing::{Event, Origin, RequestId, RouteError};
use crate::wire::{CellKeys, FrameReader, accept};

/// Time for the handshake.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// Time without a word after which a connection is closed.
const SILENCE: Duration = Duration::from_secs(4);
/// Shortest time between two reports of load on one connection.
const LOAD_GAP: Duration = Duration::from_millis(2);
/// Longest time between two reports of load.
const LOAD_PERIOD: Duration = Duration::from_millis(250);
/// Requests that one peer may have here at once.
const MAX_STREAMS: usize = 4096;

/// A request whose body is still arriving.
struct Partial {
    head: RequestHead,
    len: usize,
    body: BytesMut,
}

/// One connection.
struct Connection {
    core: Arc<Core>,
    peer: EntryId,
    outbox: Outbox,
    partial: Mutex<HashMap<StreamId, Partial>>,
    live: Mutex<HashMap<StreamId, RequestId>>,
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
            // Out of file descriptors: accepting again at once would spin.
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
    let late = |_| Error::new(Step::Handshake, "no proof in time");
    let (mut reader, writer) = tokio::time::timeout(HANDSHAKE, accept(stream, &keys))
        .await
        .map_err(late)??;
    let hello = tokio::time::timeout(HANDSHAKE, reader.read())
        .await
        .map_err(late)??;
    let Some(PeerMessage::Hello { entry, .. }) = hello else {
        return Err(Error::new(Step::Handshake, "the peer did not say its name"));
    };
    let (outbox, rx) = Outbox::new();
    let connection = Arc::new(Connection {
        core,
        peer: entry,
        outbox,
        partial: Mutex::default(),
        live: Mutex::default(),
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
        let silent = |_| Error::new(Step::Transfer, "the connection went silent");
        loop {
            let message = tokio::time::timeout(SILENCE, reader.read()).await;
            let Some(message) = message.map_err(silent)?? else {
                return Ok(());
            };
            self.take_in(message);
        }
    }

    fn take_in(self: &Arc<Self>, message: PeerMessage) {
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
        let full = lock(&self.partial).len() + lock(&self.live).len() >= MAX_STREAMS;
        if full || len > limit || first.len() > len {
            return self.refuse(stream);
        }
        let mut body = BytesMut::with_capacity(len);
        body.extend_from_slice(first);
        let partial = Partial { head, len, body };
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
            && let Some(whole) = partials.remove(&stream)
        {
            drop(partials);
            return self.begin(stream, whole);
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

    fn begin(self: &Arc<Self>, stream: StreamId, partial: Partial) {
        let Partial { head, len, body } = partial;
        let Ok(method) = Method::from_bytes(head.method.as_bytes()) else {
            return self.refuse(stream);
        };
        if body.len() != len {
            return self.refuse(stream);
        }
        let work = Work {
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
        let (id, verdict) = self.core.submit(Arc::new(work), origin);
        lock(&self.live).insert(stream, id);
        let connection = self.clone();
        tokio::spawn(async move {
            let ended = verdict.await.unwrap_or_else(|_| Ended::lost());
            lock(&connection.live).remove(&stream);
            connection.answer(stream, ended.verdict).await;
        });
    }

    async fn answer(&self, stream: StreamId, verdict: Verdict) {
        match verdict {
            Verdict::Answer(answer) => self.send_answer(stream, answer).await,
            Verdict::Failed(RouteError::NotRun { retry_after, .. }) => {
                let not_run = PeerMessage::NotRun {
                    stream,
                    retry_after,
                };
                self.outbox.send(not_run).await;
            }
            Verdict::Failed(RouteError::Unknown { .. }) => {
                self.outbox.send(PeerMessage::Unknown { stream }).await;
            }
        }
    }

    async fn send_answer(&self, stream: StreamId, answer: WholeAnswer) {
        let (first, rest) = first_piece(&answer.body);
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
        let id = lock(&self.live).get(&stream).copied();
        if let Some(id) = id {
            self.core.handle(Event::Cancelled(id));
        }
    }

    fn cancel_all(&self) {
        let ids: Vec<_> = lock(&self.live).drain().map(|(_, id)| id).collect();
        ids.into_iter()
            .for_each(|id| self.core.handle(Event::Cancelled(id)));
    }

    /// Reports the load at each change, not too often, and now and then without one.
    async fn report_load(&self, mut changed: watch::Receiver<u64>) {
        loop {
            let load = self.core.read(|router, now| router.load(now));
            if !self.outbox.send(PeerMessage::Load(load)).await {
                return;
            }
            tokio::time::sleep(LOAD_GAP).await;
            if let Ok(Err(_)) = tokio::time::timeout(LOAD_PERIOD, changed.changed()).await {
                return;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
