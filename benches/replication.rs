//! Benchmarks of the replicated log on loopback with real syncs: throughput and latency, recovery
//! time by log size, and the time without a leader after one is lost.
//!
//! All replicas share one disk, so a group of three or five syncs three or five times as much to it
//! as on separate hosts.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use yuccahold::error::Result;
use yuccahold::ids::{LogIndex, Timestamp};
use yuccahold::replication::{
    Entry, Formation, Payload, Replica, ReplicaConfig, ReplicaHandle, Save, StateMachine,
};
use yuccahold::storage::Store;
use yuccahold::wire::{CellKey, CellKeys};

const COMMAND_LEN: usize = 128;
/// Duration of each measurement.
const RUN: Duration = Duration::from_secs(3);
const CALLERS: [usize; 3] = [1, 64, 1024];
const KILLS: usize = 24;

/// State machine that only counts commands.
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
        self.0 = u64::from_le_bytes(snapshot.try_into().expect("eight bytes"));
        Ok(())
    }
}

fn folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn free_addrs(n: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<_> = (0..n).map(bind).collect();
    let addr = |l: &TcpListener| l.local_addr().expect("bound");
    listeners.iter().map(addr).collect()
}

struct Group {
    data: PathBuf,
    addrs: Vec<SocketAddr>,
    replicas: Vec<ReplicaHandle<Counter>>,
}

impl Group {
    async fn form(size: usize) -> Self {
        let mut group = Self {
            data: folder(&format!("group-{size}")),
            addrs: free_addrs(size),
            replicas: Vec::new(),
        };
        for own in 0..size {
            let form = if own == 0 {
                Formation::FormGroup
            } else {
                Formation::Join
            };
            let replica = group.start(own, form);
            group.replicas.push(replica);
        }
        let mut status = group.replicas[0].status();
        let complete = status.wait_for(|s| s.voters.len() == size);
        complete.await.expect("the group forms");
        group
    }

    fn start(&self, own: usize, form: Formation) -> ReplicaHandle<Counter> {
        let others = self.addrs.iter().enumerate().filter(|(i, _)| *i != own);
        let cfg = ReplicaConfig {
            data: self.data.join(own.to_string()),
            keys: CellKeys::new([CellKey::from_text("bench")]).expect("one key"),
            zone: format!("zone-{own}").into(),
            replica_listen: self.addrs[own],
            replica_advertise: None,
            call_addr: self.addrs[own],
            peers: others.map(|(_, addr)| *addr).collect(),
            election_timeout: Duration::from_millis(500),
            heartbeat: Duration::from_millis(100),
            snapshot_bytes: 8 * 1024 * 1024,
            replace_after: Duration::from_secs(3600),
            target_voters: None,
            form,
            on_disk_failure: ReplicaConfig::end_process,
        };
        Replica::start(cfg, Counter::default()).expect("the replica starts")
    }

    async fn stop(self) {
        for replica in &self.replicas {
            replica.abort().await;
        }
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

/// Histogram of latencies in microseconds, up to a minute. The bounds are needed because
/// `saturating_record` does not grow an auto-resizing histogram: it would record every latency above
/// the initial range as the maximum of that range.
fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("three digits")
}

fn print_row(name: &str, done: u64, took: Duration, latency: &Histogram<u64>) {
    let rate = done as f64 / took.as_secs_f64();
    let at = |q: f64| latency.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "{name:<34} {rate:>9.0} entries/s   p50 {:>7.2} ms   p99 {:>7.2} ms",
        at(0.5),
        at(0.99)
    );
}

/// Baseline: writes to the same kind of store, with one sync for each entry.
fn sync_each_entry() {
    let path = folder("baseline");
    let (mut store, _) = Store::open(&path).expect("a new store");
    let mut latency = latencies();
    let start = Instant::now();
    let mut index = 0;
    while start.elapsed() < RUN {
        index += 1;
        let one = Instant::now();
        store.write(&[save(index..=index)]).expect("written");
        latency.saturating_record(one.elapsed().as_micros() as u64);
    }
    print_row(
        "baseline: one sync per entry",
        index,
        start.elapsed(),
        &latency,
    );
    let _ = std::fs::remove_dir_all(&path);
}

fn save(indices: impl Iterator<Item = LogIndex>) -> Save {
    let entry = |index| Entry {
        index,
        term: 1,
        at: Timestamp::from_secs(1),
        payload: Payload::Command(vec![7; COMMAND_LEN].into()),
    };
    Save {
        entries: indices.map(entry).collect(),
        ..Save::default()
    }
}

async fn throughput(size: usize) {
    let group = Group::form(size).await;
    let leader = leader_of(&group).await;
    for callers in CALLERS {
        let start = Instant::now();
        let tasks: Vec<_> = (0..callers)
            .map(|_| tokio::spawn(call_for(group.replicas[leader].clone(), RUN)))
            .collect();
        let mut latency = latencies();
        for task in tasks {
            latency
                .add(task.await.expect("a caller"))
                .expect("one range");
        }
        let name = format!("{size} replicas, {callers} callers");
        print_row(&name, latency.len(), start.elapsed(), &latency);
    }
    group.stop().await;
}

async fn call_for(replica: ReplicaHandle<Counter>, time: Duration) -> Histogram<u64> {
    let mut latency = latencies();
    let start = Instant::now();
    while start.elapsed() < time {
        let one = Instant::now();
        let reply = replica.propose(vec![7; COMMAND_LEN]).await;
        reply.expect("the leader stays");
        latency.saturating_record(one.elapsed().as_micros() as u64);
    }
    latency
}

fn recovery() {
    for megabytes in [1, 8, 32] {
        let path = folder("recovery");
        let (mut store, _) = Store::open(&path).expect("a new store");
        let entries = megabytes * 1024 * 1024 / COMMAND_LEN as u64;
        for first in (1..=entries).step_by(1024) {
            let last = entries.min(first + 1023);
            store.write(&[save(first..=last)]).expect("written");
        }
        drop(store);
        let start = Instant::now();
        let (_store, opened) = Store::open(&path).expect("opens");
        let took = start.elapsed();
        let found = opened.recovered.entries.len();
        println!("recovery of {megabytes:>2} MB of commands, {found:>6} entries: {took:>8.1?}");
    }
    let _ = std::fs::remove_dir_all(folder("recovery"));
}

/// Repeatedly ends the leader without a transfer, and measures the time until a write succeeds.
async fn time_without_leader() {
    let mut group = Group::form(3).await;
    let mut gaps = Vec::new();
    for _ in 0..KILLS {
        let leader = leader_of(&group).await;
        group.replicas[leader].abort().await;
        let start = Instant::now();
        'confirmed: loop {
            for (i, replica) in group.replicas.iter().enumerate() {
                if i != leader && replica.propose(vec![1]).await.is_ok() {
                    break 'confirmed;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        gaps.push(start.elapsed());
        group.replicas[leader] = group.start(leader, Formation::Join);
        let mut status = group.replicas[leader].status();
        let follows = status.wait_for(|s| s.leader.is_some());
        follows.await.expect("it returns");
    }
    gaps.sort_unstable();
    let (half, most) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
    println!(
        "no leader after {KILLS} losses (timeout 500 ms): median {half:.0?}, longest {most:.0?}"
    );
    group.stop().await;
}

async fn leader_of(group: &Group) -> usize {
    loop {
        for (i, replica) in group.replicas.iter().enumerate() {
            if replica.read(|_, _| ()).await.is_ok() {
                return i;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    sync_each_entry();
    runtime.block_on(async {
        for size in [1, 3, 5] {
            throughput(size).await;
        }
        time_without_leader().await;
    });
    recovery();
}
