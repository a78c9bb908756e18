//! Callers' keys in requests to the real daemons.

mod platform_cell;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use platform_cell::caller::{HOST, PREFIX};
use platform_cell::{System, wait_for};
use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::json;

const JOB: &str = "5c0e7a21d94b36f8";
const KEY: &str = "key-0-1";
const OTHERS_KEY: &str = "key-1-1";

fn request(client: &Client, front: SocketAddr, method: Method) -> RequestBuilder {
    client
        .request(method, format!("http://{front}{PREFIX}{JOB}"))
        .header("Host", HOST)
        .timeout(Duration::from_secs(5))
}

/// Queries the job with these values of the Authorization header.
async fn ask(client: &Client, front: SocketAddr, values: &[&str]) -> Response {
    let mut req = request(client, front, Method::GET);
    for value in values {
        req = req.header("Authorization", *value);
    }
    req.send().await.expect("an answer")
}

/// Whether a file named `log` below a folder contains a text.
fn log_contains(folder: &Path, text: &str) -> bool {
    let read = std::fs::read_dir(folder).expect("a folder");
    read.map(|file| file.expect("a file").path()).any(|path| {
        let content = || std::fs::read(&path).unwrap_or_default();
        let found = |content: &[u8]| content.windows(text.len()).any(|w| w == text.as_bytes());
        if path.is_dir() {
            log_contains(&path, text)
        } else {
            path.ends_with("log") && found(&content())
        }
    })
}

/// Guards against requests that are served without a valid key, and against keys in logs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_a_valid_authorization_header_is_accepted() {
    let mut system = System::start("keys", 1, 1, 1).await;
    system.recorder.workspaces.create(&[8_000, 8_000]);
    system.put_config().await;
    let (client, front) = (Client::new(), system.entry_addrs()[0]);
    let body = json!({"spec": "500 100 50 0 0", "steps": [{"count": 1, "cpu": 500}]});
    wait_for("the job to be accepted", async || {
        let sent = request(&client, front, Method::POST).bearer_auth(KEY);
        let sent = sent.json(&body).send().await;
        sent.is_ok_and(|reply| reply.status().is_success())
    })
    .await;
    let mut answers = Vec::new();
    for values in [
        &[] as &[&str],
        &["Bearer key-0-1"],
        &["bearer  key-0-1"],
        &["Bearer key-0-1 "],
        &["Bearer key-0-1", "Bearer key-0-1"],
        &["Bearer"],
        &["Bearer "],
        &["Basic key-0-1"],
        &["key-0-1"],
        &["Bearer key-0-1,key-1-1"],
        &["Bearer KEY-0-1"],
        &["Bearer key-1-1"],
    ] {
        let reply = ask(&client, front, values).await;
        let challenge = reply.headers().get("www-authenticate").cloned();
        answers.push((values, reply.status().as_u16(), challenge));
    }
    insta::assert_debug_snapshot!(answers);
    for key in [KEY, OTHERS_KEY] {
        assert!(!log_contains(&system.folder, key), "{key} stands in a log");
    }
}
