//! End-to-end tests with real processes: callers, entry host, control, workers and minions.

mod cell;

use std::path::Path;

use cell::{CellConfig, TestEnv, until};
use rstest::rstest;
use yuccahold::document;
use yuccahold::resources::Resources;
use yuccahold::stand_in::Behaviour;
use yuccahold::workload::WorkClass;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_restarts_in_the_middle_of_work() {
    // The only control replica is killed while tasks run and jobs wait, then restarted on its data
    // folder. It must still have every accepted job and treat every lease as live, so that no
    // running task is started twice and no waiting one is lost. Requests are served without it.
    let cfg = CellConfig {
        workers: 2,
        minions: 2,
        ..CellConfig::default()
    };
    let mut env = TestEnv::start("restart-in-the-middle", cfg).await;
    let names: Vec<_> = (0..40).map(|n| format!("job-{n}")).collect();
    for (n, name) in names.iter().enumerate() {
        env.submit(name, ["plan", "check"][n % 2]).await;
    }
    let running = async || env.ledger.counts().running > 0;
    until("tasks to run", running).await;
    env.replicas[0].kill();
    let answer = env.send_request(0, "/check", &[]).await;
    assert_eq!(answer.outcome, "done", "{answer:?}");
    env.replicas[0].start(&[]);
    env.check_done(&names).await;
}

#[rstest]
#[case::massfenster("massfenster", Resources::new(32, 64_000, 0))]
#[case::torres("torres", Resources::new(32, 128_000, 0))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_example_document_runs_end_to_end(#[case] name: &str, #[case] capacity: Resources) {
    // With each example document a request to its service and one job of each kind that ends by
    // itself must be done exactly once, and the declared workloads must run.
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("examples/{name}.yaml"));
    let text = std::fs::read_to_string(&path).unwrap();
    let doc = document::parse(name, &text).unwrap();
    let cfg = CellConfig {
        workers: 6,
        minions: 2,
        document: text,
        zones: doc.zones.iter().map(|zone| zone.name.to_string()).collect(),
        service: doc.services.keys().next().unwrap().to_string(),
        capacity,
        behaviour: Behaviour {
            time_scale: 0.0001,
            ..Behaviour::default()
        },
        ..CellConfig::default()
    };
    let env = TestEnv::start(&format!("example-{name}"), cfg).await;
    let ends = |class| matches!(class, WorkClass::Batch | WorkClass::Gang);
    let kinds = doc.kinds.iter().filter(|(_, kind)| ends(kind.class));
    let mut names = Vec::new();
    for (kind, _) in kinds {
        names.push(format!("one-{kind}"));
        env.submit(names.last().unwrap(), kind).await;
    }
    let answer = env.send_request(0, "/check", &[]).await;
    assert_eq!(answer.outcome, "done", "{answer:?}");
    let declared: u32 = doc.workloads.values().map(|workload| workload.tasks).sum();
    until("the declared tasks to run", async || {
        env.ledger.counts().running >= declared as usize
    })
    .await;
    env.check_done(&names).await;
}
