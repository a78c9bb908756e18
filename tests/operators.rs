//! A control daemon with sign-in, as operators reach it over HTTP.

use std::time::Duration;

use serde_json::Value;
use yuccahold::console::{NewToken, new_token};
use yuccahold::control;
use yuccahold::replication::Formation;
use yuccahold::settings::{ControlSettings, parse_control};
use yuccahold::telemetry::discard;
use yuccahold::wire::{CellKey, CellKeys};

/// Longest wait for a leader.
const PATIENCE: Duration = Duration::from_secs(30);

struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings(folder: &Folder, tokens: &[NewToken; 2]) -> ControlSettings {
    let file = format!(
        "operators:\n  anna: {{role: admin, token_hash: \"{}\"}}\n  beat: {{role: operate, teams: \
         [bookkeeping], token_hash: \"{}\"}}\n",
        tokens[0].hash, tokens[1].hash
    );
    std::fs::write(folder.0.join("operators.yaml"), file).unwrap();
    let text = "zone: a\ncell_key: k\ndata: d\nlisten: 127.0.0.1:0\ncall_listen: 127.0.0.1:0\n\
                replica_listen: 127.0.0.1:0\nelection_timeout: 300 ms\nheartbeat: 50 ms\n";
    ControlSettings {
        data: folder.0.join("data"),
        operators: Some(folder.0.join("operators.yaml")),
        ..parse_control("control.yaml", text).unwrap()
    }
}

/// An operator at the interface.
struct Operator {
    client: reqwest::Client,
    url: String,
    token: String,
}

impl Operator {
    async fn get(&self, path: &str) -> Value {
        let req = self.client.get(format!("{}{path}", self.url));
        let res = req.bearer_auth(&self.token).send().await.unwrap();
        res.json().await.unwrap()
    }

    async fn put(&self, base: u64, text: &str, key: &str) -> (u16, Value) {
        let req = self.client.put(format!("{}/v1/document", self.url));
        let req = req.header("if-match", format!("\"{base}\""));
        let req = req.header("idempotency-key", key).bearer_auth(&self.token);
        let res = req.body(text.to_owned()).send().await.unwrap();
        (res.status().as_u16(), res.json().await.unwrap())
    }

    async fn submit(&self, job: &str, kind: &str) -> u16 {
        let body = serde_json::json!({"name": job, "kind": kind, "payload": ""});
        let req = self.client.post(format!("{}/v1/jobs", self.url));
        let res = req.bearer_auth(&self.token).json(&body).send().await;
        res.unwrap().status().as_u16()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_change_the_cell_under_their_names_and_within_their_rights() {
    // One operator puts a document in force, sends it again after a lost answer, and is then
    // overtaken; another may submit jobs of one team only. A restart forgets none of it.
    let name = format!("yuccahold-operators-{}", std::process::id());
    let folder = Folder(std::env::temp_dir().join(name));
    std::fs::create_dir_all(&folder.0).unwrap();
    let tokens = ["anna", "beat"].map(|name| new_token(name).unwrap());
    let keys = CellKeys::new([CellKey::from_text("test")]).unwrap();
    let cfg = settings(&folder, &tokens);
    let form = Formation::FormGroup;
    let log = discard();
    let replica = control::start(cfg.clone(), keys.clone(), form, &log);
    let replica = replica.await.unwrap();
    let mut status = replica.status();
    let led = status.wait_for(|s| s.leader.is_some());
    tokio::time::timeout(PATIENCE, led).await.unwrap().unwrap();

    let client = reqwest::Client::new();
    let operator = |url: &str, token: &NewToken| Operator {
        client: client.clone(),
        url: url.to_owned(),
        token: token.token.clone(),
    };
    let url = format!("http://{}", replica.http);
    let (anna, beat) = (operator(&url, &tokens[0]), operator(&url, &tokens[1]));
    let stranger = client.get(format!("{url}/v1/document")).send().await;
    assert_eq!(stranger.unwrap().status(), 401);

    let text = include_str!("../examples/massfenster.yaml");
    assert_eq!(anna.put(0, text, "first").await.0, 200);
    let again = anna.put(0, text, "first").await;
    assert_eq!((again.0, again.1["revision"].as_u64()), (200, Some(1)));
    let other = text.replace("waiting_weight: 80", "waiting_weight: 70");
    let stale = anna.put(0, &other, "second").await;
    assert_eq!((stale.0, stale.1["who"].as_str()), (412, Some("anna")));
    assert_eq!(beat.put(1, &other, "third").await.0, 403);
    let bad = anna
        .put(1, &text.replace("olten", "alten, alten"), "fourth")
        .await;
    assert_eq!(bad.0, 422);

    assert_eq!(beat.submit("theirs", "cut-plan").await, 403);
    assert_eq!(beat.submit("ours", "reconciliation").await, 200);
    let audit = anna.get("/v1/audit").await;
    assert_eq!(audit[0]["who"], "beat", "{audit}");
    let page = client
        .get(format!("{url}/console/jobs"))
        .send()
        .await
        .unwrap();
    assert!(page.url().path().ends_with("/console/sign-in"));

    replica.stop().await;
    let replica = control::start(cfg, keys, Formation::Join, &log)
        .await
        .unwrap();
    let mut status = replica.status();
    let led = status.wait_for(|s| s.leader.is_some());
    tokio::time::timeout(PATIENCE, led).await.unwrap().unwrap();
    let anna = operator(&format!("http://{}", replica.http), &tokens[0]);
    let history = anna.get("/v1/history").await;
    assert_eq!(history.as_array().map(Vec::len), Some(1), "{history}");
    assert_eq!(anna.get("/v1/jobs/ours").await["kind"], "reconciliation");
    replica.stop().await;
}
