//! Entry hosts with fake minions and a fake control plane, over real connections in one process.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Cell, document, outcome, until};
use yuccahold::stand_in::MinionBehaviour;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_through_any_entry_host() {
    // Two entry hosts own one minion each. A request to either gets a complete response with its
    // own key and runs once.
    let cell = Cell::start(document(), 2, 2).await;
    for n in 0..20 {
        let reply = cell.ask(n % 2, format!("work-{n}")).await;
        assert_eq!(reply.status(), 200);
        assert_eq!(outcome(&reply), "done");
        let body: serde_json::Value = reply.json().await.unwrap();
        assert_eq!(body["key"], format!("/work-{n}"));
    }
    let ran = cell.check();
    assert_eq!(ran.len(), 20, "{ran:?}");
    assert!(ran.values().all(|n| *n == 1), "{ran:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn more_requests_than_slots_never_overfill_a_minion() {
    // Sixty concurrent requests at two entry hosts compete for the sixteen slots of two minions.
    // The others wait in the queues, and all are answered.
    let cell = Cell::start(document(), 2, 2).await;
    let asks = (0..60).map(|n| {
        let cell = &cell;
        async move { cell.ask(n % 2, format!("work-{n}")).await.status() }
    });
    let statuses = futures::future::join_all(asks).await;
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    let ran = cell.check();
    assert!(ran.len() == 60 && ran.values().all(|n| *n == 1), "{ran:?}");
}

#[rstest]
#[case::unknown_service("/v1/services/nobody/x", "", b"", 0, 404)]
#[case::unknown_path("/nothing", "", b"", 0, 404)]
#[case::deadline_no_number("/v1/services/desk/x", "yuccahold-deadline-ms", b"soon", 0, 400)]
#[case::deadline_negative("/v1/services/desk/x", "yuccahold-deadline-ms", b"-5", 0, 400)]
#[case::deadline_no_text("/v1/services/desk/x", "yuccahold-deadline-ms", b"\xff\xfe", 0, 400)]
#[case::key_no_text("/v1/services/desk/x", "idempotency-key", b"\xc3\x28", 0, 400)]
#[case::key_empty("/v1/services/desk/x", "idempotency-key", b"", 0, 400)]
#[case::neither("/v1/services/desk/x", "yuccahold-idempotent", b"perhaps", 0, 400)]
#[case::body_too_large("/v1/services/desk/x", "", b"", (1 << 20) + 1, 413)]
#[case::job_no_json("/v1/jobs", "", b"", 5, 400)]
#[case::job_key_no_text("/v1/jobs", "idempotency-key", b"\xff", 5, 400)]
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_changes_nothing(
    #[case] path: &str,
    #[case] name: &str,
    #[case] value: &[u8],
    #[case] body: usize,
    #[case] status: u16,
) {
    let cell = Cell::start(document(), 1, 1).await;
    let mut request = cell.client.post(cell.url(0, path)).body(vec![b'x'; body]);
    if !name.is_empty() {
        request = request.header(name, http::HeaderValue::from_bytes(value).unwrap());
    }
    let reply = request.send().await.unwrap();
    assert_eq!(reply.status(), status);
    assert_eq!(outcome(&reply), "not-run");
    assert!(cell.check().is_empty());
    assert_eq!(cell.ask(0, "after").await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_passed_to_control() {
    // A submission, its resend with the same key, a query and a cancellation through two entry
    // hosts.
    let cell = Cell::start(document(), 2, 1).await;
    let submit = |entry| {
        let request = cell.client.post(cell.url(entry, "/v1/jobs"));
        let request = request.header("idempotency-key", "plan-1");
        request
            .json(&serde_json::json!({"kind": "cut-plan"}))
            .send()
    };
    let first = submit(0).await.unwrap();
    assert_eq!((first.status().as_u16(), outcome(&first)), (201, "done"));
    let first = first.text().await.unwrap();
    let second = submit(1).await.unwrap().text().await.unwrap();
    assert_eq!(first, second);
    let url = cell.url(1, "/v1/jobs/plan-1");
    assert_eq!(cell.client.get(&url).send().await.unwrap().status(), 200);
    let cancelled = cell.client.delete(&url).send().await.unwrap();
    let cancelled: serde_json::Value = cancelled.json().await.unwrap();
    assert_eq!(cancelled["phase"], "Cancelled");
    let missing = cell
        .client
        .get(cell.url(0, "/v1/jobs/nothing"))
        .send()
        .await
        .unwrap();
    assert_eq!(
        (missing.status().as_u16(), outcome(&missing)),
        (404, "not-run")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_two_entry_hosts_runs_once() {
    // A caller resends a request with the same key to the other entry host while the first one
    // runs. It gets 409 with a retry-after time, and after the first has ended the response of
    // the first. A different request with the key is refused.
    let cell = Cell::start(document(), 2, 2).await;
    let slow = MinionBehaviour {
        service_time: Duration::from_millis(300),
        ..MinionBehaviour::default()
    };
    cell.minions
        .iter()
        .for_each(|m| m.set_behaviour(slow.clone()));
    let send = |entry, body: &'static str| {
        let request = cell.client.post(cell.url(entry, "/v1/services/desk/pay"));
        request
            .header("idempotency-key", "rent-7")
            .body(body)
            .send()
    };
    let (first, second) = tokio::join!(send(0, "5"), async {
        until("the first request runs", || async {
            !cell.check().is_empty()
        })
        .await;
        send(1, "5").await.unwrap()
    });
    let first = first.unwrap();
    assert_eq!((first.status().as_u16(), outcome(&first)), (200, "done"));
    assert_eq!(
        (second.status().as_u16(), outcome(&second)),
        (409, "unknown")
    );
    assert!(second.headers().contains_key("retry-after"));
    let resent = send(1, "5").await.unwrap();
    assert_eq!((resent.status().as_u16(), outcome(&resent)), (200, "done"));
    assert_eq!(resent.text().await.unwrap(), first.text().await.unwrap());
    let other = send(0, "6").await.unwrap();
    assert_eq!((other.status().as_u16(), outcome(&other)), (422, "not-run"));
    assert_eq!(cell.check()["rent-7"], 1);
}

/// Guards against a request that is refused although control is only slow, as with a slow disk.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_claimed_although_control_answers_late() {
    let cell = Cell::start(document(), 1, 1).await;
    cell.control.delay_claims(Duration::from_millis(2_500));
    let request = cell.client.post(cell.url(0, "/v1/services/desk/pay"));
    let reply = request.header("idempotency-key", "rent-8").send().await;
    let reply = reply.unwrap();
    assert_eq!((reply.status().as_u16(), outcome(&reply)), (200, "done"));
    assert_eq!(cell.check()["rent-8"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_minion_gets_nothing_new_and_a_dead_owner_is_replaced() {
    // A minion announces that it leaves, so requests must go to the other one only. Then the owner
    // of that one dies; after its lease the other entry host takes the minion over.
    let mut cell = Cell::start(document(), 2, 2).await;
    let owner_of = |cell: &Cell, id: &str| cell.control.feed().minions[id].owner.clone();
    let leaving = cell.minions.remove(0).leave().await;
    let gone = || async { cell.control.feed().minions["minion-0"].leaving };
    until("the minion is leaving in the feed", gone).await;
    let owner = owner_of(&cell, "minion-1").unwrap();
    let dies = usize::from(owner == "entry-1");
    cell.minions.insert(0, leaving);
    let before = cell.minions[0].counts().begun;
    until("the owner uses the other minion", || async {
        let reply = cell.ask(1 - dies, "while-leaving").await;
        reply.status() == 200 && cell.minions[1].counts().begun > 0
    })
    .await;
    for n in 0..10 {
        assert_eq!(cell.ask(0, &format!("one-left-{n}")).await.status(), 200);
    }
    assert!(cell.minions[0].counts().begun <= before + 1);
    drop(cell.entries.remove(dies));
    let moved = || async { owner_of(&cell, "minion-1").is_some_and(|o| o != owner) };
    until("the minion has another owner", moved).await;
    until("requests are answered again", || async {
        cell.ask(0, "after-death").await.status() == 200
    })
    .await;
    cell.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_loses_nothing() {
    // An entry host shuts down while requests are in flight to it and to its minions. They must
    // still be answered, and its minions are handed over to the other entry host.
    let mut cell = Cell::start(document(), 2, 2).await;
    let stopped = cell.entries.remove(0);
    let url = format!("http://{}/v1/services/desk/", stopped.http_addr);
    let asks = (0..40).map(|n| {
        let (client, url) = (cell.client.clone(), format!("{url}work-{n}"));
        async move { client.get(url).send().await.unwrap().status() }
    });
    let (statuses, ()) = tokio::join!(futures::future::join_all(asks), stopped.stop());
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    let owners = || async {
        let minions = cell.control.feed().minions;
        minions
            .values()
            .all(|m| m.owner.as_ref().is_some_and(|o| o == "entry-1"))
    };
    until("both minions have moved", owners).await;
    assert!(cell.control.feed().minions.values().all(|m| !m.lapsed));
    assert_eq!(cell.ask(0, "after").await.status(), 200);
    let ran = cell.check();
    assert!(ran.len() == 41 && ran.values().all(|n| *n == 1), "{ran:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_cells_share_no_address() {
    // Minions keep announcing themselves to the port of a dead entry host. A minion of another
    // test cell that got this port would count the announcements as requests.
    let one = Cell::start(document(), 1, 1).await;
    let other = Cell::start(document(), 1, 1).await;
    let minion = other.minions[0].addr();
    assert_ne!(one.entries[0].http_addr.ip(), minion.ip());
    assert_eq!(other.entries[0].http_addr.ip(), minion.ip());
}
