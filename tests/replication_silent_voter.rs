//! A group of three in which one voter gives no replies.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use yuccahold::error::Result;
use yuccahold::ids::{LogIndex, ReplicaId, Timestamp};
use yuccahold::replication::{
    Body, Formation, Message, Payload, Replica, ReplicaConfig, ReplicaHandle, StateMachine,
};
use yuccahold::wire::{self, CellKey, CellKeys};

const TIMEOUT: Duration = Duration::from_secs(20);
const COMMANDS: usize = 200;
const COMMAND_BYTES: usize = 4 * 1024;

/// Counts the commands.
#[derive(Default)]
struct Counter(u64);

impl StateMachine for Counter {
    type Reply = u64;

    fn apply(&mut self, _: LogIndex, _: Timestamp, _: &[u8]) -> u64 {
        self.0 += 1;
        self.0
    }

    fn leadership_changed(&mut self, _: bool, _: Timestamp) {}

    fn own_commands(&mut self, _: Timestamp) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<()> {
        self.0 = u64::from_le_bytes(snapshot.try_into().unwrap());
        Ok(())
    }
}

fn keys() -> CellKeys {
    CellKeys::new([CellKey::from_text("a test key")]).unwrap()
}

struct Group {
    folder: PathBuf,
    addrs: Vec<SocketAddr>,
    replicas: Vec<ReplicaHandle<Counter>>,
}

impl Group {
    /// Starts three replicas and waits until all vote.
    async fn start(name: &str) -> Self {
        let folder = format!("yuccahold-{name}-{}", std::process::id());
        // In memory, as a busy disk syncs for longer than an election takes.
        let memory = Some(PathBuf::from("/dev/shm")).filter(|folder| folder.is_dir());
        let folder = memory.unwrap_or_else(std::env::temp_dir).join(folder);
        let _ = std::fs::remove_dir_all(&folder);
        let bind = |_| TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners: Vec<_> = (0..3).map(bind).collect();
        let addrs: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        drop(listeners);
        let start = |own: usize| {
            let cfg = ReplicaConfig {
                data: folder.join(own.to_string()),
                keys: keys(),
                zone: format!("zone-{own}").into(),
                replica_listen: addrs[own],
                replica_advertise: None,
                call_addr: addrs[own],
                peers: addrs.clone(),
                election_timeout: Duration::from_millis(300),
                heartbeat: Duration::from_millis(50),
                snapshot_bytes: 64 * 1024 * 1024,
                replace_after: Duration::from_secs(3600),
                target_voters: Some(3),
                form: if own == 0 {
                    Formation::FormGroup
                } else {
                    Formation::Join
                },
                on_disk_failure: |e| eprintln!("{e}"),
            };
            Replica::start(cfg, Counter::default()).unwrap()
        };
        let replicas: Vec<_> = (0..3).map(start).collect();
        let mut status = replicas[0].status();
        let joined = status.wait_for(|s| s.voters.len() == 3);
        tokio::time::timeout(TIMEOUT, joined)
            .await
            .expect("all join")
            .unwrap();
        Self {
            folder,
            addrs,
            replicas,
        }
    }

    async fn end(self) {
        for replica in &self.replicas {
            replica.abort().await;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[derive(Serialize, Deserialize)]
struct Identity {
    id: ReplicaId,
    addr: SocketAddr,
}

#[derive(Serialize, Deserialize)]
enum LinkFrame {
    Hello(Identity),
    Message(Message),
    Ping(u64),
}

#[derive(Serialize, Deserialize)]
enum LinkReply {
    Pong(u64),
}

/// Takes connections of replicas at `addr` and answers pings only. Returns the bytes of commands
/// that it receives.
async fn spawn_mute_peer(addr: SocketAddr) -> Arc<AtomicU64> {
    let received = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&received);
    let listener = tokio::net::TcpListener::bind(addr).await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let Ok((mut rx, mut tx)) = wire::accept(stream, &keys()).await else {
                    return;
                };
                while let Ok(Some(frame)) = rx.read::<LinkFrame>().await {
                    match frame {
                        LinkFrame::Message(message) => {
                            counter.fetch_add(command_bytes(&message), Ordering::Relaxed);
                        }
                        LinkFrame::Ping(number) => {
                            let _ = tx.write(&LinkReply::Pong(number)).await;
                        }
                        LinkFrame::Hello(_) => {}
                    }
                }
            });
        }
    });
    received
}

fn command_bytes(message: &Message) -> u64 {
    let Body::Append { entries, .. } = &message.body else {
        return 0;
    };
    let bytes = entries.iter().map(|e| match &e.payload {
        Payload::Command(command) => command.len() as u64,
        _ => 0,
    });
    bytes.sum()
}

#[tokio::test]
async fn a_new_leader_sends_no_entry_twice_to_a_voter_that_never_replies() {
    // Guards against a leader that repeats its log to a lost voter with every heartbeat.
    let group = Group::start("mute-voter").await;
    group.replicas[2].abort().await;
    let received = spawn_mute_peer(group.addrs[2]).await;
    let mut first = group.replicas[0].status();
    let silent = first.wait_for(|s| s.spare_voters() == Some(0));
    tokio::time::timeout(TIMEOUT, silent)
        .await
        .expect("it is silent")
        .unwrap();
    let mut status = group.replicas[1].status();
    group.replicas[0].transfer_leadership().await;
    let led = status.wait_for(|s| s.leader == Some(s.id));
    tokio::time::timeout(TIMEOUT, led)
        .await
        .expect("the other one leads")
        .unwrap();
    for _ in 0..COMMANDS {
        let command = vec![b'x'; COMMAND_BYTES];
        group.replicas[1].propose(command).await.expect("it leads");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let sent = received.load(Ordering::Relaxed);
    group.end().await;
    let all = (COMMANDS * COMMAND_BYTES) as u64;
    assert!(sent <= all, "{sent} bytes of commands for {all}");
}

#[tokio::test]
async fn only_a_leader_reports_which_voters_are_silent() {
    // Guards against a group that reports no silent voters because it has lost its quorum.
    let group = Group::start("no-quorum").await;
    let mut status = group.replicas[0].status();
    let all_reply = status.wait_for(|s| s.spare_voters() == Some(1));
    tokio::time::timeout(TIMEOUT, all_reply)
        .await
        .expect("all reply")
        .unwrap();
    group.replicas[1].abort().await;
    let one_silent = status.wait_for(|s| s.spare_voters() == Some(0));
    tokio::time::timeout(TIMEOUT, one_silent)
        .await
        .expect("one is silent")
        .unwrap();
    group.replicas[2].abort().await;
    let steps_down = status.wait_for(|s| s.leader.is_none());
    tokio::time::timeout(TIMEOUT, steps_down)
        .await
        .expect("it steps down")
        .unwrap();
    let (silent, spare) = {
        let now = status.borrow();
        (now.silent_voters.clone(), now.spare_voters())
    };
    group.end().await;
    assert_eq!((silent, spare), (None, None));
}
