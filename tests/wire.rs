//! Authentication of connections between the daemons of a cell.

use tokio::net::{TcpListener, TcpStream};
use yuccahold::wire::{CellKey, CellKeys, accept, connect};
use yuccahold::{Result, Step};

fn keys(texts: &[&str]) -> CellKeys {
    CellKeys::new(texts.iter().map(|text| CellKey::from_text(text))).unwrap()
}

/// Connects a client with `client` keys to a server with `server` keys and sends one message.
async fn exchange(client: &CellKeys, server: &CellKeys) -> (Result<()>, Result<Option<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, server).await?.0.read::<String>().await
    };
    let call = async { connect(addr, client).await?.1.write(&"hello").await };
    tokio::join!(call, serve)
}

#[tokio::test]
async fn a_key_change_needs_no_stop() {
    // Operators add the new key to all daemons as the second key, then make it the first. Until all
    // are changed, daemons with either order must be able to connect to each other.
    let old_then_new = keys(&["old", "new"]);
    let new_then_old = keys(&["new", "old"]);
    for (client, server) in [
        (&old_then_new, &new_then_old),
        (&new_then_old, &old_then_new),
    ] {
        let (sent, received) = exchange(client, server).await;
        sent.unwrap();
        assert_eq!(received.unwrap().as_deref(), Some("hello"));
    }
}

#[tokio::test]
async fn a_peer_with_another_key_is_refused() {
    // A process with another key connects. The server closes the connection without an answer, and
    // both sides report the handshake as the failed step.
    let (sent, received) = exchange(&keys(&["stranger"]), &keys(&["cell"])).await;
    assert_eq!(sent.unwrap_err().step, Step::Handshake);
    assert_eq!(received.unwrap_err().step, Step::Handshake);
}

#[tokio::test]
async fn a_recorded_connection_cannot_be_replayed() {
    // An eavesdropper records everything that a client sends and replays it on its own connection.
    // The server's nonce differs, so the recorded proof is refused.
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let cell = keys(&["cell"]);
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let tap = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server_addr, tap_addr) = (server.local_addr().unwrap(), tap.local_addr().unwrap());
    let record = async {
        let (mut client, _) = tap.accept().await.unwrap();
        let mut upstream = TcpStream::connect(server_addr).await.unwrap();
        let mut hello = [0; 42];
        client.read_exact(&mut hello).await.unwrap();
        upstream.write_all(&hello).await.unwrap();
        let mut answer = [0; 42];
        upstream.read_exact(&mut answer).await.unwrap();
        client.write_all(&answer).await.unwrap();
        let mut proof = [0; 16];
        client.read_exact(&mut proof).await.unwrap();
        [&hello[..], &proof[..]].concat()
    };
    let first = async {
        let (stream, _) = server.accept().await.unwrap();
        let _ = accept(stream, &cell).await;
    };
    let call = async {
        let _ = connect(tap_addr, &cell).await;
    };
    let (recorded, (), ()) = tokio::join!(record, first, call);

    let replay = async {
        let mut stream = TcpStream::connect(server_addr).await.unwrap();
        stream.write_all(&recorded).await.unwrap();
        let _ = stream.read_to_end(&mut Vec::new()).await;
    };
    let second = async {
        let (stream, _) = server.accept().await.unwrap();
        accept(stream, &cell).await.map(|_| ())
    };
    let (refused, ()) = tokio::join!(second, replay);
    assert_eq!(refused.unwrap_err().step, Step::Handshake);
}
