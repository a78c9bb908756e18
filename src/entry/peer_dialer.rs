//! Outgoing connections to peers: send forwarded requests, receive responses and load reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::StatusCode;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::entry::core::{AttemptStart, Core};
use crate::entry::link_connection::USER_TIMEOUT;
use crate::entry::peer_message::{
    AnswerHead, Outbox, PeerMessage, RequestHead, StreamId, split_first_chunk, write_messages,
};
use crate::entry::service_request::MinionResponse;
use crate::error::{Error, Result, Step};
use crate::ids::{EntryId, ProcessId};
use crate::routing::{AttemptEnd, AttemptId, Event};
use crate::wire::{CellKeys, FrameReader, PeerEntry, client_handshake, dial};

/// Timeout of connecting and the handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before reconnecting to a peer.
const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without any message received after which a connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

type End = (AttemptEnd, Option<MinionResponse>);

/// A forwarded request without a complete response yet.
struct PendingResponse {
    end: oneshot::Sender<End>,
    /// Whether any of it may have left this process.
    sent: bool,
    /// Head, body length and body received so far.
    answer: Option<(AnswerHead, usize, BytesMut)>,
    body_limit: usize,
}

/// An open connection to a peer.
struct PeerConnection {
    outbox: Outbox,
    streams: Mutex<HashMap<StreamId, PendingResponse>>,
}

struct Dialed {
    peer: PeerEntry,
    task: JoinHandle<()>,
}

/// Connections to all peers.
pub(super) struct PeerLinks {
    entry: EntryId,
    process: ProcessId,
    keys: CellKeys,
    /// Peers with an open connection.
    open: Mutex<HashMap<EntryId, Arc<PeerConnection>>>,
    /// The task of each peer that connects and reconnects to it.
    dialed: Mutex<HashMap<EntryId, Dialed>>,
}

impl PeerLinks {
    pub(super) fn new(entry: EntryId, process: ProcessId, keys: CellKeys) -> Self {
        Self {
            entry,
            process,
            keys,
            open: Mutex::default(),
            dialed: Mutex::default(),
        }
    }

    /// Sets the peers to stay connected to; restarts connections to those that changed.
    pub(super) fn set(
        &self,
        core: &Arc<Core>,
        runtime: &tokio::runtime::Handle,
        entries: &std::collections::BTreeMap<EntryId, PeerEntry>,
    ) {
        let mut dialed = lock(&self.dialed);
        dialed.retain(|id, d| {
            let keep = entries.get(id) == Some(&d.peer);
            if !keep {
                d.task.abort();
                self.close(id);
            }
            keep
        });
        for (id, peer) in entries {
            if *id == self.entry || dialed.contains_key(id) {
                continue;
            }
            let task = runtime.spawn(keep_connected(core.clone(), id.clone(), peer.peer_addr));
            let peer = peer.clone();
            dialed.insert(id.clone(), Dialed { peer, task });
        }
    }

    /// Ends all connections.
    pub(super) fn stop(&self) {
        for (_, dialed) in lock(&self.dialed).drain() {
            dialed.task.abort();
        }
        let ids: Vec<_> = lock(&self.open).keys().cloned().collect();
        ids.iter().for_each(|id| self.close(id));
    }

    /// Cancels an attempt at the peer that it was forwarded to.
    pub(super) fn withdraw(&self, attempt: AttemptId) {
        let open = lock(&self.open);
        let connection = open
            .values()
            .find(|o| lock(&o.streams).contains_key(&attempt));
        if let Some(connection) = connection {
            let _ = connection
                .outbox
                .try_send(PeerMessage::Cancel { stream: attempt });
        }
    }

    /// Forwards one attempt to a peer and waits for its complete response.
    pub(super) async fn send(&self, core: &Core, peer: &EntryId, start: &AttemptStart) -> End {
        let Some(open) = lock(&self.open).get(peer).cloned() else {
            return not_run(None);
        };
        let stream = start.attempt;
        let service_request = &start.service_request;
        let (tx, rx) = oneshot::channel();
        let pending = PendingResponse {
            end: tx,
            sent: false,
            answer: None,
            body_limit: service_request.body_limit,
        };
        lock(&open.streams).insert(stream, pending);
        let _guard = StreamGuard {
            open: &open,
            stream,
        };
        let (first, rest) = split_first_chunk(&service_request.body);
        let request = PeerMessage::Request {
            stream,
            head: RequestHead {
                service: service_request.service.clone(),
                team: service_request.team.clone(),
                priority: service_request.priority,
                idempotent: service_request.idempotent,
                left: core.left(start.until),
                method: CompactString::from(service_request.method.as_str()),
                path: service_request.path.clone(),
                headers: (&service_request.headers).into(),
            },
            body_len: service_request.body.len() as u32,
            first,
        };
        if !open.outbox.send(request).await {
            return not_run(None);
        }
        let rest = open.outbox.send_rest(stream, rest);
        let (end, ()) = tokio::join!(rx, async {
            rest.await;
        });
        end.unwrap_or((AttemptEnd::Broken { timed_out: false }, None))
    }

    fn close(&self, id: &EntryId) {
        if let Some(open) = lock(&self.open).remove(id) {
            open.fail_all();
        }
    }
}

/// Cancels the request at the peer if the attempt is dropped before its response.
struct StreamGuard<'a> {
    open: &'a PeerConnection,
    stream: StreamId,
}

impl Drop for StreamGuard<'_> {
    fn drop(&mut self) {
        if lock(&self.open.streams).remove(&self.stream).is_some() {
            let stream = self.stream;
            let _ = self.open.outbox.try_send(PeerMessage::Cancel { stream });
        }
    }
}

impl PeerConnection {
    fn mark_sent(&self, message: &PeerMessage) {
        if let PeerMessage::Request { stream, .. } = message
            && let Some(pending) = lock(&self.streams).get_mut(stream)
        {
            pending.sent = true;
        }
    }

    /// Ends every stream. A request that was never written certainly did not run.
    fn fail_all(&self) {
        for (_, pending) in lock(&self.streams).drain() {
            let end = if pending.sent {
                (AttemptEnd::Broken { timed_out: false }, None)
            } else {
                not_run(None)
            };
            let _ = pending.end.send(end);
        }
    }

    fn finish(&self, stream: StreamId, end: impl FnOnce(&mut PendingResponse) -> Option<End>) {
        let mut streams = lock(&self.streams);
        let Some(pending) = streams.get_mut(&stream) else {
            // Late response to an attempt that was dropped.
            metrics::counter!("yuccahold_entry_late_answers_total").increment(1);
            return;
        };
        if let Some(end) = end(pending)
            && let Some(pending) = streams.remove(&stream)
        {
            let _ = pending.end.send(end);
        }
    }

    fn receive_response(&self, stream: StreamId, head: AnswerHead, len: usize, first: &Bytes) {
        self.finish(stream, |pending| {
            if len > pending.body_limit || first.len() > len {
                return Some((AttemptEnd::Broken { timed_out: false }, None));
            }
            let mut body = BytesMut::with_capacity(len);
            body.extend_from_slice(first);
            pending.answer = Some((head, len, body));
            pending.take_if_complete()
        });
    }

    fn receive_body(&self, stream: StreamId, data: &Bytes) {
        self.finish(stream, |pending| {
            let (_, _, body) = pending.answer.as_mut()?;
            body.extend_from_slice(data);
            pending.take_if_complete()
        });
        let _ = self.outbox.try_send(PeerMessage::Credit { stream });
    }
}

impl PendingResponse {
    /// The result, once the body is complete.
    fn take_if_complete(&mut self) -> Option<End> {
        let (_, len, body) = self.answer.as_ref()?;
        if body.len() < *len {
            return None;
        }
        let (head, len, body) = self.answer.take()?;
        let status = StatusCode::from_u16(head.status).ok();
        let (Some(status), true) = (status, body.len() == len) else {
            return Some((AttemptEnd::Broken { timed_out: false }, None));
        };
        let answer = MinionResponse {
            status,
            headers: head.headers.into(),
            body: body.freeze(),
            minion: head.minion,
            zone: head.zone,
            service_time: head.service_time,
        };
        let failed = status.is_server_error();
        Some((AttemptEnd::Answered { failed }, Some(answer)))
    }
}

async fn keep_connected(core: Arc<Core>, peer: EntryId, addr: SocketAddr) {
    loop {
        let _ = connection(&core, &peer, addr).await;
        core.peers.close(&peer);
        core.handle(Event::PeerLost(peer.clone()));
        tokio::time::sleep(REDIAL_DELAY).await;
    }
}

async fn connection(core: &Arc<Core>, peer: &EntryId, addr: SocketAddr) -> Result<()> {
    let links = &core.peers;
    let connect = async { client_handshake(dial(addr, USER_TIMEOUT).await?, &links.keys).await };
    let late = |_| Error::new(Step::Connect, "no answer in time").with_peer(addr);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    let (mut reader, writer) = connected.map_err(late)??;
    let (outbox, rx) = Outbox::new();
    let hello = PeerMessage::Hello {
        entry: links.entry.clone(),
        process: links.process,
    };
    outbox.try_send(hello);
    let open = Arc::new(PeerConnection {
        outbox,
        streams: Mutex::default(),
    });
    lock(&links.open).insert(peer.clone(), open.clone());
    let last_received = Mutex::new(Instant::now());
    tokio::select! {
        written = write_messages(writer, rx, |message| open.mark_sent(message)) => written,
        read = read_messages(core, peer, &open, &mut reader, &last_received) => read,
        () = wait_for_silence(&open, &last_received) => {
            metrics::counter!("yuccahold_entry_peer_silent_total").increment(1);
            Err(Error::new(Step::Transfer, "nothing was received in time").with_peer(addr))
        }
    }
}

async fn read_messages(
    core: &Arc<Core>,
    peer: &EntryId,
    open: &PeerConnection,
    reader: &mut FrameReader,
    last_received: &Mutex<Instant>,
) -> Result<()> {
    while let Some(message) = reader.read().await? {
        *lock(last_received) = Instant::now();
        match message {
            PeerMessage::Load(services) => {
                let peer = peer.clone();
                core.handle(Event::PeerLoad { peer, services });
            }
            PeerMessage::Answer {
                stream,
                head,
                body_len,
                first,
            } => open.receive_response(stream, head, body_len as usize, &first),
            PeerMessage::Body { stream, data } => open.receive_body(stream, &data),
            PeerMessage::Credit { stream } => open.outbox.credit(stream),
            PeerMessage::NotRun {
                stream,
                retry_after,
            } => open.finish(stream, |_| Some(not_run(Some(retry_after)))),
            PeerMessage::Unknown { stream } => {
                open.finish(stream, |_| {
                    Some((AttemptEnd::Broken { timed_out: false }, None))
                });
            }
            _ => {}
        }
    }
    Ok(())
}

/// Sends pings, and returns when nothing was received for too long.
async fn wait_for_silence(open: &PeerConnection, last_received: &Mutex<Instant>) {
    let mut ping = tokio::time::interval(PING_INTERVAL);
    loop {
        ping.tick().await;
        if lock(last_received).elapsed() > SILENCE_TIMEOUT {
            return;
        }
        let _ = open.outbox.try_send(PeerMessage::Ping);
    }
}

fn not_run(retry_after: Option<Duration>) -> End {
    let end = AttemptEnd::NotRun {
        retry_after,
        unreachable: false,
    };
    (end, None)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
