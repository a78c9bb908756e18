//! Entry hosts as real processes: lost owners, dead connections, idempotency keys, restarts.

mod cell;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cell::{Answer, CellConfig, TestEnv, send_request, until};
use rstest::rstest;
use tokio::task::JoinHandle;
use yuccahold::fault::{Direction, Fault};
use yuccahold::stand_in::{MinionBehaviour, MinionHandle, MinionOptions, start_minion};

fn cfg(entries: usize, minions: usize) -> CellConfig {
    CellConfig {
        entries,
        minions,
        ..CellConfig::default()
    }
}

type Answers = Vec<(String, Answer)>;

/// Callers that send requests until they are stopped, each request with its own key.
struct Callers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Answers>>,
}

/// Resends a request until its outcome is neither `not-run` nor a lost connection, each time to the
/// next entry host, as a client behind a load balancer does.
async fn request_until_done(
    client: &reqwest::Client,
    entries: &[std::net::SocketAddr],
    mut turn: usize,
    headers: &[(&str, &str)],
) -> Answer {
    loop {
        let answer = send_request(
            client,
            entries[turn % entries.len()],
            "massrechner",
            "/check",
            headers,
        )
        .await;
        if answer.outcome != "not-run" && answer.outcome != "no-answer" {
            return answer;
        }
        turn += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Callers {
    /// Starts callers; `once` marks their requests as not idempotent.
    fn start(env: &TestEnv, callers: usize, once: bool) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |caller: usize| {
            let (client, entries, stop) = (env.client.clone(), env.entry_addrs(), stop.clone());
            tokio::spawn(async move {
                let mut answers = Answers::new();
                while !stop.load(Ordering::Relaxed) {
                    let key = format!("caller-{caller}-{}", answers.len());
                    let idempotent = if once { "false" } else { "true" };
                    let headers = [
                        ("idempotency-key", key.as_str()),
                        ("yuccahold-idempotent", idempotent),
                    ];
                    let answer = request_until_done(&client, &entries, caller, &headers).await;
                    answers.push((key, answer));
                }
                answers
            })
        };
        let tasks = (0..callers).map(spawn).collect();
        Self { stop, tasks }
    }

    async fn finish(self) -> Answers {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Answers::new();
        for task in self.tasks {
            all.extend(task.await.unwrap());
        }
        all
    }
}

/// Number of starts on all minions, by request key.
fn started_by_key(env: &TestEnv) -> BTreeMap<String, u32> {
    let mut sums = BTreeMap::new();
    for minion in env.minions.values() {
        for (key, n) in minion.counts().by_key {
            *sums.entry(key).or_insert(0) += n;
        }
    }
    sums
}

/// Checks that every request with outcome `done` ran and got its own response, that with `once` none
/// ran twice, and the invariants of the cell.
fn check_responses(env: &TestEnv, answers: &Answers, once: bool) {
    let begun = started_by_key(env);
    for (key, answer) in answers {
        let times = begun.get(key).copied().unwrap_or(0);
        if answer.outcome == "done" {
            assert!(times > 0, "{key} was answered but never ran");
            let body = String::from_utf8_lossy(&answer.body);
            let own = format!("\"key\":\"{key}\"");
            assert!(body.contains(&own), "{key} got another's answer: {body}");
        }
        assert!(!once || times <= 1, "{key} ran {times} times");
    }
    env.check_invariants();
}

/// Waits until requests with this many further keys have started.
async fn wait_for_started(env: &TestEnv, further: usize) {
    let before = started_by_key(env).len();
    until("further requests", async || {
        started_by_key(env).len() >= before + further
    })
    .await;
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Killed,
    PausedAndWoken,
    CutOffFromControl,
}

#[rstest]
#[case::killed(Failure::Killed, false)]
#[case::killed_once(Failure::Killed, true)]
#[case::paused(Failure::PausedAndWoken, false)]
#[case::paused_once(Failure::PausedAndWoken, true)]
#[case::cut_off_once(Failure::CutOffFromControl, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_is_lost_with_requests_in_flight(#[case] failure: Failure, #[case] once: bool) {
    // An entry host that owns minions is killed, is paused until after its lease expired, or
    // silently loses its connection to the control plane, with requests in flight. The others wait
    // until its lease expires, take its minions over and count the slots that these report in use.
    // Requests are answered again. No minion ever runs more than 8 requests, and no non-idempotent
    // request runs twice, also after the old owner has resumed.
    let mut env = TestEnv::start(&format!("owner-{failure:?}-{once}"), cfg(3, 4)).await;
    for minion in env.minions.values() {
        minion.set_behaviour(MinionBehaviour {
            service_time: Duration::from_millis(30),
            jitter: Duration::from_millis(40),
            ..MinionBehaviour::default()
        });
    }
    let callers = Callers::start(&env, 24, once);
    wait_for_started(&env, 100).await;
    match failure {
        Failure::Killed => env.entries[0].kill(),
        Failure::PausedAndWoken => env.entries[0].pause(),
        Failure::CutOffFromControl => {
            env.net.between("e1", "c1", Fault::Silence(Direction::Both));
        }
    }
    until("its minions to have other owners", async || {
        let rows = env.table("minions").await;
        let taken = |row: &serde_json::Value| !row["owner"].is_null() && row["owner"] != "e1";
        rows.len() == 4 && rows.iter().all(taken)
    })
    .await;
    wait_for_started(&env, 100).await;
    match failure {
        Failure::Killed => env.entries[0].start(&[]),
        Failure::PausedAndWoken => env.entries[0].resume(),
        Failure::CutOffFromControl => env.net.between("e1", "c1", Fault::Reopen),
    }
    until("it to be ready again", async || {
        env.is_ready(&env.entries[0]).await
    })
    .await;
    wait_for_started(&env, 100).await;
    let answers = callers.finish().await;
    check_responses(&env, &answers, once);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_under_load_fails_no_idempotent_request() {
    // All entry hosts are restarted one after the other under load. Each becomes not ready, lets
    // requests in flight end and hands its minions over. A caller that finds a closed port uses the
    // next entry host; any other failure fails the test.
    let mut env = TestEnv::start("rolling-entries", cfg(3, 4)).await;
    let callers = Callers::start(&env, 16, false);
    for n in 0..3 {
        wait_for_started(&env, 60).await;
        let status = env.entries[n].stop().await;
        assert_eq!(status.code(), Some(0));
        env.entries[n].start(&[]);
        until("it to be ready again", async || {
            env.is_ready(&env.entries[n]).await
        })
        .await;
    }
    wait_for_started(&env, 60).await;
    let answers = callers.finish().await;
    let failed: Vec<_> = answers
        .iter()
        .filter(|(_, answer)| answer.outcome != "done")
        .collect();
    assert_eq!(failed, Vec::<&(String, Answer)>::new());
    check_responses(&env, &answers, false);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_key_at_three_entry_hosts_runs_once() {
    // A caller resends a non-idempotent request through other entry hosts while the first one is
    // still running. The request must run once; the others get its response or are refused because
    // it is in progress, and later resends get the stored response.
    let env = TestEnv::start("one-key", cfg(3, 3)).await;
    for round in 0..10 {
        let key = format!("pay-{round}");
        let headers = [
            ("idempotency-key", key.as_str()),
            ("yuccahold-idempotent", "false"),
        ];
        let asked =
            futures::future::join_all([0, 1, 2].map(|n| env.send_request(n, "/pay", &headers)));
        let answers = asked.await;
        assert!(
            answers.iter().any(|answer| answer.outcome == "done"),
            "{answers:?}"
        );
        for n in 0..3 {
            let mut body = Vec::new();
            until("the stored answer", async || {
                let answer = env.send_request(n, "/pay", &headers).await;
                body = answer.body;
                answer.outcome == "done"
            })
            .await;
            let body = String::from_utf8(body).unwrap();
            assert!(body.contains(&key), "{body}");
        }
        assert_eq!(started_by_key(&env).get(&key), Some(&1));
    }
    env.check_invariants();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_between_daemons_that_went_silent_are_replaced() {
    // A middlebox drops the packets of every open connection among entry hosts and to the control
    // plane; new connections work. Requests may wait or be refused as not run, but must soon be
    // answered again, and none gets the response of another.
    let env = TestEnv::start("silent-connections", cfg(3, 3)).await;
    let callers = Callers::start(&env, 12, false);
    wait_for_started(&env, 60).await;
    let to_control = || -> u64 {
        let lanes = ["e1", "e2", "e3"].map(|from| env.net.lanes_between(from, "c1"));
        lanes
            .iter()
            .flatten()
            .map(|lane| lane.counts().connections)
            .sum()
    };
    let before = to_control();
    for from in ["e1", "e2", "e3"] {
        for to in ["c1", "e1", "e2", "e3"] {
            let lanes = env.net.lanes_between(from, to);
            lanes.iter().for_each(|lane| lane.apply(Fault::SilenceOpen));
        }
    }
    wait_for_started(&env, 200).await;
    for n in 0..3 {
        until("an answer from each entry host", async || {
            env.send_request(n, "/check", &[]).await.outcome == "done"
        })
        .await;
    }
    until("new connections to control", async || {
        to_control() >= before + 3
    })
    .await;
    let answers = callers.finish().await;
    check_responses(&env, &answers, false);
}

/// Announces a minion at the first entry host, in place of the minion's own announcements.
async fn announce(env: &TestEnv, minion: &MinionHandle, zone: &str, ttl: Duration) {
    let url = format!("http://{}/v1/minions/quiet", env.entries[0].http);
    let announcement = serde_json::json!({
        "service": "massrechner",
        "addr": minion.addr(),
        "zone": zone,
        "ttl_ms": ttl.as_millis() as u64,
        "process": minion.process(),
    });
    let announced = env.client.put(url).json(&announcement).send().await;
    assert_eq!(announced.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_minion_that_fell_silent_and_came_back_is_not_overfilled() {
    // A minion's announcements stop for a while, as when the entry host that receives them is
    // paused, while its owner uses all its slots. Then it announces itself again, in the
    // availability zone of another entry host. A new owner must not use slots still in use.
    come_back_from_silence("fell-silent", Duration::from_millis(2500)).await;
}

/// Guards against forwarded requests that wait until their deadline beside free slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_wait_for_long_work_of_another_host_are_served() {
    come_back_from_silence("long-work", Duration::from_millis(3500)).await;
}

/// All slots of a minion are in use when it falls silent and comes back at another entry host. Every
/// request must be served, and the minion never overfilled.
async fn come_back_from_silence(name: &str, service_time: Duration) {
    let mut env = TestEnv::start(name, cfg(2, 0)).await;
    let behaviour = MinionBehaviour {
        service_time,
        ..MinionBehaviour::default()
    };
    let options = MinionOptions {
        behaviour,
        ..MinionOptions::default()
    };
    let minion = start_minion(options).await.unwrap();
    announce(&env, &minion, "bern-a", Duration::from_secs(60)).await;
    env.wait_for_slots(8).await;
    let asks = async {
        let asks = (0..8).map(|_| env.send_request(0, "/check", &[]));
        futures::future::join_all(asks).await
    };
    let returns = async {
        until("all slots to be in use", async || {
            minion.counts().in_work == 8
        })
        .await;
        announce(&env, &minion, "bern-a", Duration::from_secs(1)).await;
        until("it to count as silent", async || {
            let rows = env.table("minions").await;
            rows.first().is_none_or(|row| row["leaving"] == true)
        })
        .await;
        announce(&env, &minion, "bern-b", Duration::from_secs(60)).await;
        env.wait_for_slots(8).await;
        let asks = (0..8).map(|_| env.send_request(1, "/check", &[]));
        futures::future::join_all(asks).await
    };
    let (first, second) = tokio::join!(asks, returns);
    let answers = first.iter().chain(&second);
    assert!(
        answers.clone().all(|a| a.outcome == "done"),
        "{first:?} {second:?}"
    );
    env.minions.insert("quiet".to_owned(), minion);
    env.check_invariants();
}
