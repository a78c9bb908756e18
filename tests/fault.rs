//! Tests of the fault-injecting proxies: what clients and servers observe under each fault.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;
use yuccahold::fault::{
    Direction, Fault, FaultStep, SourceProxy, TcpProxy, Trigger, UdpProxy, play, random_script,
};

/// Far above the time that any step here takes.
const DEADLINE: Duration = Duration::from_secs(10);
/// Time without data that counts as silence. A slow machine can hide a failure, but not cause one.
const QUIET: Duration = Duration::from_millis(80);

/// Starts a server that echoes what it receives, and a proxy for it.
async fn echo_behind_proxy() -> TcpProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    TcpProxy::start(addr, 7).await.unwrap()
}

/// Sends four bytes and classifies the response: echoed bytes, a close, an error or silence. The
/// timeout is short only when silence is expected.
async fn echo_outcome(stream: &mut TcpStream, expected: &str) -> &'static str {
    let wait = if expected == "silent" {
        QUIET
    } else {
        DEADLINE
    };
    if stream.write_all(b"ping").await.is_err() {
        return "broken";
    }
    let mut buf = [0; 4];
    match timeout(wait, stream.read_exact(&mut buf)).await {
        Ok(Ok(_)) if &buf == b"ping" => "answered",
        Ok(Ok(_)) => "garbled",
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::UnexpectedEof => "closed",
        Ok(Err(_)) => "broken",
        Err(_) => "silent",
    }
}

async fn connect_and_echo(proxy: &TcpProxy, expected: &str) -> &'static str {
    match TcpStream::connect(proxy.addr()).await {
        Ok(mut stream) => echo_outcome(&mut stream, expected).await,
        Err(_) => "refused",
    }
}

#[rstest]
#[case::cut(Fault::Cut, "closed", "broken")]
#[case::silence(Fault::Silence(Direction::Both), "silent", "silent")]
#[case::silence_there(Fault::Silence(Direction::ToServer), "silent", "silent")]
#[case::silence_back(Fault::Silence(Direction::ToClient), "silent", "silent")]
#[case::silence_open(Fault::SilenceOpen, "silent", "answered")]
#[case::reset(Fault::Reset, "broken", "answered")]
#[case::truncate(Fault::Truncate { direction: Direction::ToClient, after: 2 }, "closed", "closed")]
#[tokio::test]
async fn each_fault_has_its_documented_effect(
    #[case] fault: Fault,
    #[case] on_open: &str,
    #[case] on_new: &str,
) {
    let proxy = echo_behind_proxy().await;
    let mut open = TcpStream::connect(proxy.addr()).await.unwrap();
    assert_eq!(echo_outcome(&mut open, "answered").await, "answered");
    proxy.apply(fault);
    if matches!(fault, Fault::Cut | Fault::Reset) {
        let seen = timeout(DEADLINE, open.read(&mut [0])).await.unwrap();
        assert_eq!(seen.is_err(), fault == Fault::Reset);
    } else {
        assert_eq!(echo_outcome(&mut open, on_open).await, on_open);
    }
    let new = connect_and_echo(&proxy, on_new).await;
    let ended = ["broken", "closed", "refused"];
    assert!(
        new == on_new || on_new == "broken" && ended.contains(&new),
        "{new}"
    );
    proxy.apply(Fault::Reopen);
    assert_eq!(connect_and_echo(&proxy, "answered").await, "answered");
}

#[tokio::test]
async fn bytes_held_by_silence_are_delivered_on_reopen() {
    // TCP retransmits the packets lost in a network partition when it ends. If the proxy lost
    // bytes, tests would see a fault that no real network has.
    let proxy = echo_behind_proxy().await;
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    proxy.apply(Fault::Silence(Direction::ToServer));
    assert_eq!(echo_outcome(&mut stream, "silent").await, "silent");
    proxy.apply(Fault::Reopen);
    let mut buf = [0; 4];
    let read = timeout(DEADLINE, stream.read_exact(&mut buf)).await;
    read.unwrap().unwrap();
    assert_eq!(&buf, b"ping");
}

#[tokio::test]
async fn a_fault_on_one_source_leaves_others_alone() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let ports = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let known = ports.clone();
    let source = move |peer: std::net::SocketAddr, _| {
        let index = known
            .lock()
            .unwrap()
            .iter()
            .position(|port| *port == peer.port());
        compact_str::format_compact!("client-{}", index.unwrap())
    };
    let proxy = SourceProxy::start(addr, 7, source).await.unwrap();
    proxy
        .from("client-1")
        .apply(Fault::Silence(Direction::Both));
    let mut received = Vec::new();
    for _ in 0..2 {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        ports
            .lock()
            .unwrap()
            .push(socket.local_addr().unwrap().port());
        let mut client = socket.connect(proxy.addr()).await.unwrap();
        client.write_all(b"ping").await.unwrap();
        let wait = if received.is_empty() { DEADLINE } else { QUIET };
        received.push(timeout(wait, listener.accept()).await.is_ok());
    }
    assert_eq!(received, [true, false]);
    assert_eq!(proxy.from("client-0").counts().connections, 1);
}

#[tokio::test]
async fn a_script_waits_for_traffic() {
    let proxy = echo_behind_proxy().await;
    let script = [
        FaultStep {
            when: Trigger::Bytes(Direction::ToClient, 4),
            fault: Fault::SilenceOpen,
        },
        FaultStep {
            when: Trigger::Connections(2),
            fault: Fault::Cut,
        },
    ];
    let client = async {
        let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
        assert_eq!(echo_outcome(&mut stream, "answered").await, "answered");
        let _second = TcpStream::connect(proxy.addr()).await.unwrap();
        timeout(DEADLINE, stream.read(&mut [0])).await.unwrap()
    };
    let (ended, ()) = tokio::join!(client, play(&proxy, &script));
    assert!(matches!(ended, Ok(0) | Err(_)));
}

#[test]
fn a_random_script_is_reproducible_from_its_seed() {
    let longest = Duration::from_secs(1);
    let script = random_script(3, 20, longest);
    assert_eq!(script, random_script(3, 20, longest));
    assert_ne!(script, random_script(4, 20, longest));
    assert_eq!(script.last().unwrap().fault, Fault::Reopen);
}

#[tokio::test]
async fn datagrams_pass_both_ways_and_are_lost_under_silence() {
    let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let proxy = UdpProxy::start(server.local_addr().unwrap(), 7)
        .await
        .unwrap();
    let client = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    client.connect(proxy.addr()).await.unwrap();
    let mut buf = [0; 8];

    proxy.apply(Fault::Silence(Direction::ToServer));
    client.send(b"lost").await.unwrap();
    assert!(timeout(QUIET, server.recv_from(&mut buf)).await.is_err());

    proxy.apply(Fault::Reopen);
    client.send(b"seen").await.unwrap();
    let (len, from) = timeout(DEADLINE, server.recv_from(&mut buf))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&buf[..len], b"seen");
    server.send_to(b"back", from).await.unwrap();
    let len = timeout(DEADLINE, client.recv(&mut buf))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&buf[..len], b"back");
}
