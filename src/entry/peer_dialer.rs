//! Connections to the other entry hosts: requests go out, answers and loads come in.

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

use crate::entry::core::{Core, Start};
use crate::entry::link_connection::USER_TIMEOUT;
use crate::entry::peer_message::{
    AnswerHead, Outbox, PeerMessage, RequestHead, StreamId, first_piece, write_messages,
};
use crate::entry::work::WholeAnswer;
use crate::error::{Error, Result, Step};
use crate::ids::{EntryId, ProcessId};
use crate::routing::{AttemptEnd, AttemptId, Event};
use crate::wire::{CellKeys, FrameReader, PeerEntry, dial, split_client};

/// Time for connecting and for the handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time before a lost peer is dialled again.
const REDIAL: Duration = Duration::from_millis(200);
/// Time between two questions for a word.
const PING: Duration = Duration::from_millis(400);
/// Time without a word after which a connection is replaced.
const SILENCE: Duration = Duration::from_millis(1500);

type End = (AttemptEnd, Option<WholeAnswer>);

/// A forwarded request that waits for its answer.
struct Stream {
    end: oneshot::Sender<End>,
    /// Whether any of it may have left this process.
    sent: bool,
    answer: Option<(AnswerHead, usize, BytesMut)>,
    body_limit: usize,
}

/// One open connection.
struct Open {
    outbox: Outbox,
    streams: Mutex<HashMap<StreamId, Stream>>,
}

struct Dialed {
    at: PeerEntry,
    task: JoinHandle<()>,
}

/// All peers.
pub(super) struct PeerLinks {
    entry: EntryId,
    process: ProcessId,
    keys: CellKeys,
    open: Mutex<HashMap<EntryId, Arc<Open>>>,
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

    /// Keeps one connection to each entry host alive.
    pub(super) fn set(
        &self,
        core: &Arc<Core>,
        runtime: &tokio::runtime::Handle,
        entries: &std::collections::BTreeMap<EntryId, PeerEntry>,
    ) {
        let mut dialed = lock(&self.dialed);
        dialed.retain(|id, d| {
            let keep = entries.get(id) == Some(&d.at);
            if !keep {
                d.task.abort();
                self.close(id);
            }
            keep
        });
        for (id, at) in entries {
            if *id == self.entry || dialed.contains_key(id) {
                continue;
            }
            let task = runtime.spawn(keep_connected(core.clone(), id.clone(), at.peer_addr));
            let at = at.clone();
            dialed.insert(id.clone(), Dialed { at, task });
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

    /// Tells the peer of a try that nobody waits for it.
    pub(super) fn withdraw(&self, attempt: AttemptId) {
        let open = lock(&self.open);
        let holder = open
            .values()
            .find(|o| lock(&o.streams).contains_key(&attempt));
        if let Some(holder) = holder {
            let _ = holder
                .outbox
                .try_send(PeerMessage::Cancel { stream: attempt });
        }
    }

    /// Forwards one try and waits for its whole answer.
    pub(super) async fn send(&self, core: &Core, peer: &EntryId, start: &Start) -> End {
        let Some(open) = lock(&self.open).get(peer).cloned() else {
            return not_run(None);
        };
        let stream = start.attempt;
        let work = &start.work;
        let (tx, rx) = oneshot::channel();
        let waiting = Stream {
            end: tx,
            sent: false,
            answer: None,
            body_limit: work.body_limit,
        };
        lock(&open.streams).insert(stream, waiting);
        let _guard = StreamGuard {
            open: &open,
            stream,
        };
        let (first, rest) = first_piece(&work.body);
        let request = PeerMessage::Request {
            stream,
            head: RequestHead {
                service: work.service.clone(),
                team: work.team.clone(),
                priority: work.priority,
                idempotent: work.idempotent,
                left: core.left(start.until),
                method: CompactString::from(work.method.as_str()),
                path: work.path.clone(),
                headers: (&work.headers).into(),
            },
            body_len: work.body.len() as u32,
            first,
        };
        if !open.outbox.send(request).await {
            return not_run(None);
        }
        let rest = open.outbox.send_rest(stream, rest);
        let (end, ()) = tokio::join!(rx, async {
            rest.await;
        });
        end.unwrap_or((AttemptEnd::Broken { silent: false }, None))
    }

    fn close(&self, id: &EntryId) {
        if let Some(open) = lock(&self.open).remove(id) {
            open.fail_all();
        }
    }
}

/// Tells the peer when the try is given up before its answer.
struct StreamGuard<'a> {
    open: &'a Open,
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

impl Open {
    fn mark_sent(&self, message: &PeerMessage) {
        if let PeerMessage::Request { stream, .. } = message
            && let Some(waiting) = lock(&self.streams).get_mut(stream)
        {
            waiting.sent = true;
        }
    }

    /// Ends every stream: what never left this process did not run.
    fn fail_all(&self) {
        for (_, waiting) in lock(&self.streams).drain() {
            let end = if waiting.sent {
                (AttemptEnd::Broken { silent: false }, None)
            } else {
                not_run(None)
            };
            let _ = waiting.end.send(end);
        }
    }

    fn finish(&self, stream: StreamId, end: impl FnOnce(&mut Stream) -> Option<End>) {
        let mut streams = lock(&self.streams);
        let Some(waiting) = streams.get_mut(&stream) else {
            // The answer to a request that was given up: it has no one to go to.
            metrics::counter!("yuccahold_entry_late_answers_total").increment(1);
            return;
        };
        if let Some(end) = end(waiting)
            && let Some(waiting) = streams.remove(&stream)
        {
            let _ = waiting.end.send(end);
        }
    }

    fn take_answer(&self, stream: StreamId, head: AnswerHead, len: usize, first: &Bytes) {
        self.finish(stream, |waiting| {
            if len > waiting.body_limit || first.len() > len {
                return Some((AttemptEnd::Broken { silent: false }, None));
            }
            let mut body = BytesMut::with_capacity(len);
            body.extend_from_slice(first);
            waiting.answer = Some((head, len, body));
            waiting.whole()
        });
    }

    fn take_body(&self, stream: StreamId, data: &Bytes) {
        self.finish(stream, |waiting| {
            let (_, _, body) = waiting.answer.as_mut()?;
            body.extend_from_slice(data);
            waiting.whole()
        });
        let _ = self.outbox.try_send(PeerMessage::Credit { stream });
    }
}

impl Stream {
    /// The end, once the body is complete.
    fn whole(&mut self) -> Option<End> {
        let (_, len, body) = self.answer.as_ref()?;
        if body.len() < *len {
            return None;
        }
        let (head, len, body) = self.answer.take()?;
        let status = StatusCode::from_u16(head.status).ok();
        let (Some(status), true) = (status, body.len() == len) else {
            return Some((AttemptEnd::Broken { silent: false }, None));
        };
        let answer = WholeAnswer {
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
        tokio::time::sleep(REDIAL).await;
    }
}

async fn connection(core: &Arc<Core>, peer: &EntryId, addr: SocketAddr) -> Result<()> {
    let links = &core.peers;
    let connect = async { split_client(dial(addr, USER_TIMEOUT).await?, &links.keys).await };
    let late = |_| Error::new(Step::Connect, "no answer in time").with_peer(addr);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    let (mut reader, writer) = connected.map_err(late)??;
    let (outbox, rx) = Outbox::new();
    let hello = PeerMessage::Hello {
        entry: links.entry.clone(),
        process: links.process,
    };
    outbox.try_send(hello);
    let open = Arc::new(Open {
        outbox,
        streams: Mutex::default(),
    });
    lock(&links.open).insert(peer.clone(), open.clone());
    let heard = Mutex::new(Instant::now());
    tokio::select! {
        written = write_messages(writer, rx, |message| open.mark_sent(message)) => written,
        read = read_messages(core, peer, &open, &mut reader, &heard) => read,
        () = watch_silence(&open, &heard) => {
            metrics::counter!("yuccahold_entry_peer_silent_total").increment(1);
            Err(Error::new(Step::Transfer, "the connection went silent").with_peer(addr))
        }
    }
}

async fn read_messages(
    core: &Arc<Core>,
    peer: &EntryId,
    open: &Open,
    reader: &mut FrameReader,
    heard: &Mutex<Instant>,
) -> Result<()> {
    while let Some(message) = reader.read().await? {
        *lock(heard) = Instant::now();
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
            } => open.take_answer(stream, head, body_len as usize, &first),
            PeerMessage::Body { stream, data } => open.take_body(stream, &data),
            PeerMessage::Credit { stream } => open.outbox.credit(stream),
            PeerMessage::NotRun {
                stream,
                retry_after,
            } => open.finish(stream, |_| Some(not_run(Some(retry_after)))),
            PeerMessage::Unknown { stream } => {
                open.finish(stream, |_| {
                    Some((AttemptEnd::Broken { silent: false }, None))
                });
            }
            _ => {}
        }
    }
    Ok(())
}

/// Returns when nothing was heard for too long although asked.
async fn watch_silence(open: &Open, heard: &Mutex<Instant>) {
    let mut ping = tokio::time::interval(PING);
    loop {
        ping.tick().await;
        if lock(heard).elapsed() > SILENCE {
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
