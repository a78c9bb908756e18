//! A second way to the leader: an entry host that does not reach it passes callers' requests through
//! another entry host.
//!
//! Only the leader knows all entry hosts. It tells each the addresses of a few relays in every
//! availability zone. A relay passes a request on over its own connection to the leader and never to
//! another relay, so a request takes at most one more hop.

use std::net::SocketAddr;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use rand::seq::IteratorRandom;
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::call_trace::{CallTrace, Way};
use super::calls::{AgentMessage, Call, CallReply, ClientCall, ClientReply, ServerMessage};
use super::link::{CallError, CopyLog, LeaderLink};
use super::recent_reader::{PEER_TIMEOUT, RecentReader};
use super::request_copies::{Conclusion, Copies, SentCopy};
use crate::error::{Error, Result, Step};
use crate::replication::monotonic_now;
use crate::wire::{self, CellKeys, FrameReader, FrameWriter};

/// Timeout for opening and authenticating a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after a failed accept, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Relays that are tried for one request. There are two in each zone, and those in the zone of the
/// host that asks may be cut off like itself.
const MAX_TRIES: usize = 4;
/// Time without an answer after which the next relay is tried beside the one before. A request
/// through a relay usually takes a tenth of this.
const NEXT_AFTER: Duration = Duration::from_millis(250);

/// Passes requests of other entry hosts on to the leader; clones share its link.
#[derive(Clone)]
pub struct RelayServer {
    link: LeaderLink,
    keys: CellKeys,
    log: Logger,
}

impl RelayServer {
    /// Creates a relay that calls the leader over `link`.
    pub fn new(link: LeaderLink, keys: CellKeys, log: Logger) -> Self {
        Self { link, keys, log }
    }

    /// Accepts connections; never returns.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    tokio::spawn(async move {
                        if let Err(e) = server.connection(stream).await {
                            debug!(server.log, "a relayed connection ended"; "error" => %e);
                        }
                    });
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn connection(&self, stream: TcpStream) -> Result<()> {
        let began = monotonic_now();
        let accepted = timeout(PEER_TIMEOUT, wire::accept(stream, &self.keys)).await;
        let (reader, mut writer) = accepted.map_err(|_| silent())??;
        let mut reader = RecentReader::new(began, reader);
        loop {
            let message = timeout(PEER_TIMEOUT, reader.read::<AgentMessage>()).await;
            match message.map_err(|_| silent())?? {
                Some(AgentMessage::Relayed(number, call, left)) => {
                    let reply = self.pass_on(call, left).await;
                    writer.write(&ServerMessage::Reply(number, reply)).await?;
                }
                Some(_) => return Err(Error::new(Step::Transfer, "a relay takes only requests")),
                None => return Ok(()),
            }
        }
    }

    async fn pass_on(&self, call: ClientCall, left: Duration) -> CallReply {
        metrics::counter!("yuccahold_batch_requests_relayed_total").increment(1);
        if !self.link.is_connected() {
            return CallReply::NotLeader(None);
        }
        let deadline = Instant::now() + left;
        let trace = CallTrace::default();
        let call = Call::Client(call);
        match self.link.call_directly(call, deadline, &trace).await {
            Ok(reply) => reply,
            Err(CallError::NotRun) => CallReply::NotLeader(None),
            Err(CallError::InDoubt) => CallReply::Client(ClientReply::InDoubt),
        }
    }
}

fn silent() -> Error {
    Error::new(Step::Transfer, "the connection fell silent")
}

/// The way through relays.
pub(super) struct RelayWay<'a> {
    pub(super) relays: &'a [SocketAddr],
    pub(super) keys: &'a CellKeys,
    pub(super) log: &'a CopyLog,
}

/// Passes a request through one of the relays; `None` if none of those tried gave an answer that
/// holds for the request. A relay that gives no answer for a while doesn't keep the request from
/// the next.
pub(super) async fn call_by_relay(
    way: RelayWay<'_>,
    call: &ClientCall,
    deadline: Instant,
    copies: &Copies,
) -> Option<CallReply> {
    let tried = way
        .relays
        .iter()
        .copied()
        .sample(&mut rand::rng(), MAX_TRIES);
    let mut untried = tried.into_iter();
    let mut asked = FuturesUnordered::new();
    loop {
        asked.extend(untried.next().map(|addr| {
            let answer = ask(addr, way.keys, call, deadline, copies);
            async move { (addr, timeout_at(deadline, answer).await) }
        }));
        let wait_end = if untried.len() > 0 {
            deadline.min(Instant::now() + NEXT_AFTER)
        } else {
            deadline + NEXT_AFTER
        };
        let Ok(ended) = timeout_at(wait_end, asked.next()).await else {
            continue;
        };
        let (addr, answered) = ended?;
        log_copy(way.log, addr, call, &answered);
        if let Ok(Ok((copy, reply))) = answered
            && let Conclusion::Final(reply) = copy.answered(reply)
        {
            return Some(reply);
        }
    }
}

fn log_copy<T>(
    log: &CopyLog,
    relay: SocketAddr,
    call: &ClientCall,
    answered: &std::result::Result<Result<(SentCopy<'_>, CallReply)>, T>,
) {
    let error;
    let outcome = match answered {
        Ok(Ok((_, CallReply::Client(ClientReply::Accepted)))) => return,
        Ok(Ok((_, reply))) => reply.as_str(),
        Ok(Err(e)) => {
            error = e.to_string();
            &error
        }
        Err(_) => "no answer in time",
    };
    let call = Call::Client(call.clone());
    log.not_accepted(&call, ("relay", relay), None, outcome);
}

async fn ask<'a>(
    addr: SocketAddr,
    keys: &CellKeys,
    call: &ClientCall,
    deadline: Instant,
    copies: &'a Copies,
) -> Result<(SentCopy<'a>, CallReply)> {
    let connected = timeout(CONNECT_TIMEOUT, connect(addr, keys)).await;
    let (mut reader, mut writer) = connected
        .map_err(|_| Error::new(Step::Connect, "no connection in time").with_peer(addr))??;
    let left = deadline.saturating_duration_since(Instant::now());
    let message = AgentMessage::Relayed(0, call.clone(), left);
    if monotonic_now() > copies.until() {
        return Err(Error::new(
            Step::Transfer,
            "the request has waited for too long",
        ));
    }
    let copy = copies.send(Way::Relay, addr);
    writer.write(&message).await?;
    match reader.read::<ServerMessage>().await? {
        Some(ServerMessage::Reply(0, reply)) => Ok((copy, reply)),
        _ => Err(Error::new(Step::Transfer, "the relay gave no answer").with_peer(addr)),
    }
}

async fn connect(addr: SocketAddr, keys: &CellKeys) -> Result<(FrameReader, FrameWriter)> {
    let stream = wire::dial(addr, CONNECT_TIMEOUT).await?;
    wire::client_handshake(stream, keys).await
}
