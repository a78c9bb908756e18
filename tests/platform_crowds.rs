//! Crowds of clients that stop short of the end of what they send and stay connected.

mod platform_cell;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::join_all;
use platform_cell::caller::{HOST, PREFIX};
use platform_cell::{System, wait_for};
use reqwest::{Client, Method};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Limits of the process that the crowd calls, in its settings.
const MEMORY_MB: usize = 64;
const DESCRIPTORS: usize = 300;
const CONTROL: usize = 0;
const ENTRY: usize = 1;
/// Size of the largest legal body, less the few bytes that the crowd's own texts vary in.
const BODY: usize = 255 * 1024;
const CONFIG: usize = 4 * 1024 * 1024 - 1024;
/// Time without progress after which a client takes it that the process reads no more.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);

/// Only one crowd at a time: each measures a process.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What the clients of a crowd send.
#[derive(Clone, Copy)]
enum Sent {
    /// A head without its last line.
    Head,
    /// A body that lacks its last byte, in writes of this size.
    Short { piece: usize },
    /// A body in chunks of this size that lacks the last chunk.
    Chunks { size: usize },
    /// A whole job with many long texts.
    Job,
}

fn head(method: &str, path: &str, framing: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n\r\n").into_bytes()
}

/// A valid job of nearly `size` bytes.
fn job(size: usize) -> Vec<u8> {
    let label = "x".repeat(size / 100 - 60);
    let step = format!(r#"{{"count":1,"cpu":1000,"est_ms":100,"required_label":"{label}"}}"#);
    let steps = vec![step; 100].join(",");
    format!(r#"{{"spec":"{{}}","steps":[{steps}]}}"#).into_bytes()
}

/// What one client sends, as the writes that it makes.
fn writes(sent: Sent, method: &str, path: &str, size: usize) -> Vec<Vec<u8>> {
    match sent {
        Sent::Head => {
            let long = format!("X-Long: {}", "x".repeat(12 * 1024));
            let mut head = head(method, path, &long);
            head.truncate(head.len() - 2);
            vec![head]
        }
        Sent::Short { piece } => {
            let body = vec![b' '; size - 1];
            let head = head(method, path, &format!("Content-Length: {size}"));
            let pieces = body.chunks(piece).map(<[u8]>::to_vec);
            std::iter::once(head).chain(pieces).collect()
        }
        Sent::Chunks { size: chunk } => {
            let text = format!("{chunk:x}\r\n{}\r\n", " ".repeat(chunk));
            let body = text.repeat(size / chunk).into_bytes();
            let head = head(method, path, "Transfer-Encoding: chunked");
            let pieces = body.chunks(64 * 1024).map(<[u8]>::to_vec);
            std::iter::once(head).chain(pieces).collect()
        }
        Sent::Job => {
            let body = job(size);
            let mut all = head(method, path, &format!("Content-Length: {}", body.len()));
            all.extend(body);
            vec![all]
        }
    }
}

/// Opens a connection and sends as much as the process takes; the connection stays open.
async fn client(addr: SocketAddr, writes: Arc<Vec<Vec<u8>>>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    for write in writes.iter() {
        match timeout(WRITE_PATIENCE, stream.write_all(write)).await {
            Ok(Ok(())) => {}
            _ => break,
        }
    }
    Some(stream)
}

/// Largest memory of a process so far, in MB.
fn peak_mb(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it lives");
    let peak = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kb = peak.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<usize>().ok()).expect("a size") / 1024
}

/// Bytes that have arrived at an address and that its process has not read.
fn unread(addr: SocketAddr) -> u64 {
    let SocketAddr::V4(addr) = addr else { return 0 };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    let local = format!("{ip:08X}:{:04X}", addr.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let rows = table.lines().map(|line| line.split_whitespace().collect());
    // Local address in the second column, sizes of both queues in the fifth.
    let unread = rows.filter_map(|row: Vec<&str>| {
        let queues = row.get(4).filter(|_| row[1] == local)?;
        u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()
    });
    unread.sum()
}

/// Starts a cell of one control daemon and one entry daemon; `limited` gets the lower limits.
async fn start(name: &str, limited: usize) -> System {
    let mut system = System::start(name, 1, 1, 0).await;
    let path = system.folder.join(format!("p{limited}/boot.conf"));
    let mut text = std::fs::read_to_string(&path).expect("settings");
    text += &format!("limits.memory_mb={MEMORY_MB}\nlimits.max_fds={DESCRIPTORS}\n");
    std::fs::write(&path, text).expect("settings");
    system.processes[limited].kill();
    system.processes[limited].start();
    wait_until_served(&system).await;
    system
}

/// Waits until a caller's request and an operator's are answered.
async fn wait_until_served(system: &System) {
    let front = system.entry_addrs()[0];
    let control = system.controls()[0];
    let job = format!("http://{front}{PREFIX}5c0e7a21d94b36f8");
    let config = format!("http://{control}/yuccahold/config");
    for (method, url, status) in [(Method::DELETE, job, 410), (Method::GET, config, 200)] {
        wait_for("an ordinary request to be answered", async || {
            let sent = Client::new().request(method.clone(), &url);
            let sent = sent.header("Host", HOST).timeout(Duration::from_secs(3));
            sent.send().await.is_ok_and(|r| r.status() == status)
        })
        .await;
    }
}

/// Largest number of descriptors of a process, until `end` is set.
async fn watch_descriptors(pid: u32, most: Arc<AtomicUsize>, end: Arc<AtomicBool>) {
    while !end.load(Ordering::Relaxed) {
        let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        most.fetch_max(open, Ordering::Relaxed);
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against clients that send much, stop short of its end and stay: they made a process run out
/// of memory or descriptors.
#[rstest]
#[case::heads(ENTRY, Sent::Head, 400)]
#[case::whole_bodies(ENTRY, Sent::Short { piece: BODY }, 400)]
#[case::pieces(ENTRY, Sent::Short { piece: 4096 }, 250)]
#[case::one_large_chunk(ENTRY, Sent::Chunks { size: BODY }, 400)]
#[case::small_chunks(ENTRY, Sent::Chunks { size: 1 }, 20)]
#[case::whole_jobs(ENTRY, Sent::Job, 250)]
#[case::configurations(CONTROL, Sent::Short { piece: CONFIG }, 30)]
#[case::configurations_in_pieces(CONTROL, Sent::Short { piece: 16 * 1024 }, 30)]
#[case::configurations_in_small_chunks(CONTROL, Sent::Chunks { size: 16 }, 10)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_does_not_exhaust_a_process(
    #[case] process: usize,
    #[case] sent: Sent,
    #[case] clients: usize,
) {
    let _alone = ALONE.lock().await;
    let mut system = start("crowds", process).await;
    let pid = system.processes[process].id().expect("it runs");
    let (most, end) = <(Arc<AtomicUsize>, Arc<AtomicBool>)>::default();
    let watching = tokio::spawn(watch_descriptors(pid, most.clone(), end.clone()));
    let (addr, method, path, size) = if process == ENTRY {
        let path = format!("{PREFIX}5c0e7a21d94b36f9");
        (system.entry_addrs()[0], "POST", path, BODY)
    } else {
        let path = "/yuccahold/config".to_owned();
        (system.controls()[0], "PUT", path, CONFIG)
    };
    if let Sent::Job = sent {
        system.processes[CONTROL].pause();
    }
    let writes = Arc::new(writes(sent, method, &path, size));
    let crowd = join_all((0..clients).map(|_| client(addr, writes.clone()))).await;
    wait_for("all to be read", async || unread(addr) == 0).await;
    if let Sent::Job = sent {
        system.processes[CONTROL].resume();
    }
    wait_until_served(&system).await;
    end.store(true, Ordering::Relaxed);
    watching.await.expect("it ends");
    assert!(!system.processes[process].has_exited(), "it has ended");
    let (peak, most) = (peak_mb(pid), most.load(Ordering::Relaxed));
    println!("{peak} MB, {most} descriptors");
    assert!(peak <= MEMORY_MB, "{peak} MB of {MEMORY_MB}");
    assert!(most <= DESCRIPTORS, "{most} descriptors of {DESCRIPTORS}");
    drop(crowd);
}

/// Guards against limits that a single legal request meets.
#[rstest]
#[case::in_one_write(BODY)]
#[case::in_pieces(512)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_job_alone_is_served(#[case] piece: usize) {
    let _alone = ALONE.lock().await;
    let system = start("crowds-alone", ENTRY).await;
    let body = job(BODY);
    let head = head(
        "POST",
        &format!("{PREFIX}5c0e7a21d94b36fa"),
        &format!("Content-Length: {}", body.len()),
    );
    let mut stream = TcpStream::connect(system.entry_addrs()[0])
        .await
        .expect("it listens");
    stream.write_all(&head).await.expect("it reads");
    for piece in body.chunks(piece) {
        stream.write_all(piece).await.expect("it reads");
    }
    let mut status = [0; 12];
    let read = tokio::io::AsyncReadExt::read_exact(&mut stream, &mut status).await;
    read.expect("an answer");
    assert_eq!(String::from_utf8_lossy(&status), "HTTP/1.1 200");
}
