//! Dead connections, truncated and mismatched responses between an entry host and its minions,
//! peers and the control plane.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use support::{Cell, TestEntry, document, outcome, settings, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use yuccahold::fault::{Direction, Fault, TcpProxy};
use yuccahold::stand_in::MinionBehaviour;

/// How long threads are blocked: longer than the lease of 1 s, and than the second after which the
/// kernel retransmits a SYN that found a full accept queue.
const STALL: Duration = Duration::from_secs(2);

/// One entry host with one minion behind a proxy.
async fn start_behind_proxy(behaviour: MinionBehaviour) -> (Cell, TcpProxy) {
    let mut cell = Cell::start(document(), 1, 0).await;
    let proxy = TcpProxy::start(None, 1).await.unwrap();
    cell.add_minion_at("minion-0", behaviour, Some(proxy.addr()))
        .await;
    proxy.set_upstream(cell.minions[0].addr());
    cell.settled(1).await;
    (cell, proxy)
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_a_minion_are_replaced() {
    // A middlebox drops the packets of the idle connections; new ones work. Requests sent on the
    // dead connections must be retried over new ones within their deadline, and the minion, which
    // answers its probe, stays in use.
    let (cell, proxy) = start_behind_proxy(MinionBehaviour::default()).await;
    let warm = (0..4).map(|n| cell.ask(0, format!("warm-{n}")));
    futures::future::join_all(warm).await;
    proxy.apply(Fault::SilenceOpen);
    let asks = (0..4).map(|n| {
        let url = cell.url(0, &format!("/v1/services/desk/silent-{n}"));
        cell.client
            .get(url)
            .header("yuccahold-deadline-ms", "3000")
            .send()
    });
    for reply in futures::future::join_all(asks).await {
        let reply = reply.unwrap();
        assert_eq!((reply.status().as_u16(), outcome(&reply)), (200, "done"));
    }
    cell.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_never_delivered() {
    // The connection ends in the middle of a response body. An idempotent request is retried and
    // gets the complete response; a non-idempotent one fails as unknown without delay.
    let big = MinionBehaviour {
        answer_bytes: 100_000,
        ..MinionBehaviour::default()
    };
    let (cell, proxy) = start_behind_proxy(big).await;
    let ask = |key: &str, idempotent: &str| {
        let url = cell.url(0, &format!("/v1/services/desk/{key}"));
        cell.client
            .get(url)
            .header("yuccahold-idempotent", idempotent)
            .send()
    };
    let cut = Fault::Truncate {
        direction: Direction::ToClient,
        after: 30_000,
    };
    proxy.apply(cut);
    let once = ask("once", "false").await.unwrap();
    assert_eq!((once.status().as_u16(), outcome(&once)), (502, "unknown"));
    let retried = ask("twice", "true");
    let reopen = async {
        until("the first attempt runs", || async {
            cell.check().contains_key("/twice")
        })
        .await;
        proxy.apply(Fault::Reopen);
    };
    let (retried, ()) = tokio::join!(retried, reopen);
    let retried = retried.unwrap();
    assert_eq!(
        (retried.status().as_u16(), outcome(&retried)),
        (200, "done")
    );
    assert!(retried.bytes().await.unwrap().len() > 100_000);
    assert_eq!(cell.check()["/once"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crossed_answer_goes_to_nobody() {
    // A minion sends the response to one request on the connection of another. Its request id is
    // not the one that was sent, so it must be dropped and the outcome is unknown.
    let cell = Cell::start(document(), 1, 0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4096]).await;
            let crossed = "HTTP/1.1 200 OK\r\nyuccahold-request-id: other\r\n\
                           content-length: 6\r\n\r\nsecret";
            let _ = stream.write_all(crossed.as_bytes()).await;
        }
    });
    let url = cell.url(0, "/v1/minions/minion-0");
    let body = serde_json::json!({"service": "desk", "addr": addr, "ttl_ms": 60_000});
    let announced = cell.client.put(url).json(&body).send().await.unwrap();
    assert_eq!(announced.status(), 200);
    cell.settled(1).await;
    let url = cell.url(0, "/v1/services/desk/mine");
    let reply = cell
        .client
        .get(url)
        .header("yuccahold-idempotent", "false")
        .send();
    let reply = reply.await.unwrap();
    assert_eq!((reply.status().as_u16(), outcome(&reply)), (502, "unknown"));
    assert!(!reply.text().await.unwrap().contains("secret"));
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_a_peer_and_to_control_are_replaced() {
    // First the connection to the minion's owner goes dead: an idempotent request must be forwarded
    // again over a new one. Then the one to the control plane: it must be replaced, so that the
    // lease is renewed and calls are answered again.
    let mut cell = Cell::start(document(), 1, 1).await;
    let peer_proxy = TcpProxy::start(cell.entries[0].peer_addr, 1).await.unwrap();
    let control_proxy = TcpProxy::start(cell.control.addr, 1).await.unwrap();
    cell.control.advertise_peer("entry-0", peer_proxy.addr());
    let second = settings("entry-1", control_proxy.addr());
    cell.entries.push(TestEntry::start(second).await);
    cell.settled(1).await;
    assert_eq!(cell.ask(1, "before").await.status(), 200);
    peer_proxy.apply(Fault::SilenceOpen);
    assert_eq!(cell.ask(1, "silent").await.status(), 200);
    control_proxy.apply(Fault::SilenceOpen);
    let url = cell.url(1, "/v1/jobs/none");
    until("control answers again", || async {
        let reply = cell.client.get(&url).send().await.unwrap();
        reply.status() == 404
    })
    .await;
    cell.settled(1).await;
    cell.check();
}

/// Guards against an idle entry host that keeps a silent connection to control for ever: its only
/// calls, renewals, time out before the silence was noticed.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_entry_host_replaces_a_silent_connection_to_control() {
    let mut cell = Cell::start(document(), 0, 0).await;
    let proxy = TcpProxy::start(cell.control.addr, 1).await.unwrap();
    let idle = settings("entry-0", proxy.addr());
    cell.entries.push(TestEntry::start(idle).await);
    cell.settled(0).await;
    proxy.apply(Fault::SilenceOpen);
    until("a new connection to control", || async {
        proxy.counts().connections > 1
    })
    .await;
    cell.settled(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_at_once() {
    // A hundred concurrent requests with a short deadline go to one minion with eight slots. Those
    // that can't be answered in time are refused with a retry-after time, and those refused as
    // not run must not have run.
    let slow = MinionBehaviour {
        service_time: Duration::from_millis(200),
        ..MinionBehaviour::default()
    };
    let mut cell = Cell::start(document(), 1, 0).await;
    cell.add_minion("minion-0", slow).await;
    cell.settled(1).await;
    let measured = (0..8).map(|n| cell.ask(0, format!("measured-{n}")));
    futures::future::join_all(measured).await;
    let asks = (0..100).map(|n| {
        let url = cell.url(0, &format!("/v1/services/desk/work-{n}"));
        let ask = cell
            .client
            .get(url)
            .header("yuccahold-deadline-ms", "1000")
            .send();
        async move { (format!("/work-{n}"), ask.await.unwrap()) }
    });
    let replies = futures::future::join_all(asks).await;
    let ran = cell.check();
    let (mut done, mut refused) = (0, 0);
    for (key, reply) in &replies {
        match outcome(reply) {
            "done" => done += 1,
            "not-run" => {
                assert_eq!(reply.status(), 503);
                assert!(reply.headers().contains_key("retry-after"));
                assert!(!ran.contains_key(key), "{key} ran");
                refused += 1;
            }
            other => panic!("{key} ended as {other}"),
        }
    }
    assert!(done >= 8 && refused > 0, "{done} done, {refused} refused");
}

/// A listener with a full accept queue, and the connection that fills it: the next connection is
/// established only after that one was accepted.
async fn full_listener() -> (TcpListener, TcpStream) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, TcpStream::connect(addr).await.unwrap())
}

/// Whether a connection attempt to this address is pending.
fn is_opening(addr: SocketAddr) -> bool {
    /// State in `/proc/net/tcp` of a connection whose SYN was not answered yet.
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(v4) = addr else {
        unreachable!("entry hosts under test use IPv4")
    };
    let host = u32::from_le_bytes(v4.ip().octets());
    let to = format!("{host:08X}:{:04X}", v4.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| {
        let fields = line.split_whitespace().skip(2).take(2);
        fields.eq([to.as_str(), SYN_SENT])
    })
}

#[rstest]
#[case::once("false")]
#[case::idempotent("true")]
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_opens_after_the_lease_carries_no_request(#[case] idempotent: &str) {
    // An entry host selects its minion within its lease and is paused while the connection opens.
    // Meanwhile its lease expires, so the control plane may assign the minion to another entry
    // host, which may use all slots. After the pause the first one has an open connection and the
    // request: sending it could exceed the minion's slots, so it must not be sent.
    let mut cell = Cell::start(document(), 0, 0).await;
    let control_proxy = TcpProxy::start(cell.control.addr, 1).await.unwrap();
    let entry = settings("entry-0", control_proxy.addr());
    cell.entries.push(TestEntry::start(entry).await);
    let (listener, queued_connection) = full_listener().await;
    let addr = listener.local_addr().unwrap();
    let url = cell.url(0, "/v1/minions/minion-0");
    let minion = serde_json::json!({"service": "desk", "addr": addr, "ttl_ms": 60_000});
    let announced = cell.client.put(url).json(&minion).send().await.unwrap();
    assert_eq!(announced.status(), 200);
    cell.settled(1).await;
    let url = cell.url(0, "/v1/services/desk/late");
    let asked = cell.client.get(url);
    let asked = asked.header("yuccahold-idempotent", idempotent).send();
    let stalled = async {
        while !is_opening(addr) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        cell.entries[0].stall(STALL);
        control_proxy.apply(Fault::Silence(Direction::Both));
        drop(queued_connection);
        let (_, _) = listener.accept().await.unwrap();
        let (mut opened, _) = listener.accept().await.unwrap();
        let mut sent = Vec::new();
        let _ = opened.read_to_end(&mut sent).await;
        sent
    };
    let (reply, sent) = tokio::join!(asked, stalled);
    assert_eq!(String::from_utf8_lossy(&sent), "");
    let reply = reply.unwrap();
    assert_eq!((reply.status().as_u16(), outcome(&reply)), (504, "not-run"));
}
