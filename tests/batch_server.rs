//! The control daemon's side of connections that others keep to it.

mod batch_world;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use batch_world::config;
use slog::{Discard, Logger, o};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use yuccahold::batch::agents::Agents;
use yuccahold::batch::calls::{Down, Up};
use yuccahold::batch::machine::Machine;
use yuccahold::batch::server::CallServer;
use yuccahold::replication::{Formation, Replica, ReplicaConfig};
use yuccahold::wire::{self, CellKey, CellKeys, FrameReader, FrameWriter};

const PATIENCE: Duration = Duration::from_secs(15);
/// Time for which a stuck peer is allowed to cost orders and questions.
const LONGEST_STUCK: Duration = Duration::from_secs(8);

fn keys() -> CellKeys {
    CellKeys::new([CellKey::from_text("a test key")]).expect("one key")
}

/// A group of one that leads, and its server of calls.
struct Control {
    addr: SocketAddr,
    agents: Agents,
    data: PathBuf,
}

impl Control {
    async fn start(name: &str) -> Self {
        let name = format!("yuccahold-{name}-{}", std::process::id());
        let data = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&data);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let replica = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let replica_listen = replica.local_addr().expect("bound");
        drop(replica);
        let cfg = ReplicaConfig {
            data: data.clone(),
            keys: keys(),
            zone: "mixco".into(),
            replica_listen,
            replica_advertise: None,
            call_addr: addr,
            peers: Vec::new(),
            election_timeout: Duration::from_millis(300),
            heartbeat: Duration::from_millis(50),
            snapshot_bytes: 64 * 1024,
            replace_after: Duration::from_secs(3_600),
            target_voters: None,
            form: Formation::FormOnce,
            on_disk_failure: |e| eprintln!("{e}"),
        };
        let (orders, _) = mpsc::unbounded_channel();
        let replica = Replica::start(cfg, Machine::new(config(), orders)).expect("it starts");
        let agents = Agents::default();
        let log = Logger::root(Discard, o!());
        // Its own machine's agents send no orders; the peers of this test are others.
        let own = Ipv4Addr::new(10, 0, 0, 1).into();
        let server = CallServer::new(replica, keys(), agents.clone(), own, log);
        tokio::spawn(server.serve(listener));
        Self { addr, agents, data }
    }

    /// A connection of a process that takes orders.
    async fn agent(&self) -> (FrameReader, FrameWriter) {
        let stream = TcpStream::connect(self.addr).await.expect("it listens");
        let opened = wire::split_client(stream, &keys()).await;
        let (mut reader, mut writer) = opened.expect("the keys are the same");
        let hello = Up::Hello("mixco".into());
        writer.write(&hello).await.expect("it reads");
        let greeted = timeout(PATIENCE, async {
            while !matches!(reader.read().await, Ok(Some(Down::Lead { here: true, .. }))) {}
        });
        greeted.await.expect("it leads");
        (reader, writer)
    }

    async fn until_agents(&self, count: usize) -> Duration {
        let began = Instant::now();
        while self.agents.count() != count {
            assert!(began.elapsed() < PATIENCE, "{} agents", self.agents.count());
            sleep(Duration::from_millis(20)).await;
        }
        began.elapsed()
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

/// An entry host is lost for good, and its connection falls silent without an end. Callers see checks
/// that are late by seconds: the leader goes on giving the dead process its share of the orders to
/// minions and of the questions to the policy service, and each has to be given up first.
#[tokio::test]
async fn a_peer_whose_connection_fell_silent_gets_no_more_orders() {
    let control = Control::start("peer-silent").await;
    let _silent = control.agent().await;
    control.until_agents(1).await;
    let stuck = control.until_agents(0).await;
    assert!(stuck < LONGEST_STUCK, "for {stuck:?}");
}

/// A process that has nothing to say but asks for a sign of life, as healthy ones do, is kept.
#[tokio::test]
async fn a_peer_that_asks_for_signs_of_life_is_kept() {
    let control = Control::start("peer-kept").await;
    let (_reader, mut writer) = control.agent().await;
    control.until_agents(1).await;
    for number in 0..4 {
        sleep(Duration::from_millis(2_000)).await;
        writer.write(&Up::Ping(number)).await.expect("it reads");
    }
    assert_eq!(control.agents.count(), 1);
}
