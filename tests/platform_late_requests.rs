//! Requests that a daemon reads long after they arrived, as it was stopped meanwhile.

mod platform_cell;

use std::net::SocketAddr;
use std::time::Duration;

use platform_cell::caller::{HOST, PREFIX};
use platform_cell::{System, wait_for};
use reqwest::{Client, Method};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const JOB: &str = "5c0e7a21d94b36f8";
const OTHER_JOB: &str = "5c0e7a21d94b36f9";
const BODY: &str = r#"{"spec":"{}","steps":[{"count":1,"cpu":1000,"est_ms":100}]}"#;

/// Sends a request about a job, for at most this long.
async fn ask(front: SocketAddr, method: Method, job: &str, wait: Duration) -> Option<u16> {
    let asked = Client::new()
        .request(method.clone(), format!("http://{front}{PREFIX}{job}"))
        .header("Host", HOST)
        .timeout(wait);
    let asked = if method == Method::POST {
        asked.body(BODY)
    } else {
        asked
    };
    Some(asked.send().await.ok()?.status().as_u16())
}

async fn wait_until_served(front: SocketAddr, method: Method, job: &str, status: u16) {
    wait_for("a request to be answered", async || {
        ask(front, method.clone(), job, Duration::from_secs(3)).await == Some(status)
    })
    .await;
}

/// Guards against a submission that is carried out so late that the cancellation of its job is
/// forgotten: a stopped entry host finds it in its socket, or the leader in that of an entry host.
#[rstest]
#[case::entry_host(1, Duration::from_secs(32))]
#[case::leader(0, Duration::from_secs(7))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_was_stopped_passes_on_nothing_old(
    #[case] stopped: usize,
    #[case] time: Duration,
) {
    let system = System::start(&format!("late-requests-{stopped}"), 1, 2, 0).await;
    let (front, other) = (system.entry_addrs()[0], system.entry_addrs()[1]);
    for front in [front, other] {
        wait_until_served(front, Method::GET, JOB, 410).await;
    }
    system.processes[stopped].pause();
    let mut client = TcpStream::connect(front).await.expect("it listens");
    let length = BODY.len();
    let head = format!("POST {PREFIX}{JOB} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}");
    let request = format!("{head}\r\n\r\n{BODY}");
    let sent = client.write_all(request.as_bytes()).await;
    sent.expect("it is sent");
    sleep(time).await;
    system.processes[stopped].resume();
    wait_until_served(front, Method::POST, OTHER_JOB, 200).await;
    wait_until_served(other, Method::GET, OTHER_JOB, 200).await;
    let state = ask(other, Method::GET, JOB, Duration::from_secs(3)).await;
    assert_eq!(state, Some(410), "nothing was submitted");
}

/// Guards against taking the first request after a quiet time for one that has waited for long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_first_request_after_a_quiet_time_is_served() {
    let system = System::start("late-requests-quiet", 1, 1, 0).await;
    let front = system.entry_addrs()[0];
    wait_until_served(front, Method::GET, JOB, 410).await;
    sleep(Duration::from_secs(32)).await;
    let status = ask(front, Method::POST, JOB, Duration::from_secs(3)).await;
    assert_eq!(status, Some(200));
}
