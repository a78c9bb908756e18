//! Restarts of all control daemons at once while many submissions are under way. A job whose
//! every attempt was rejected must never run, and an accepted job must stay known.
//!
//! `REFUSAL_SEEDS=1..20 cargo test --test platform_refusals -- --ignored` runs those seeds with
//! more restarts.

mod platform_cell;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform_cell::caller::{Caller, Outcome, is_rejection};
use platform_cell::payload::Payload;
use platform_cell::recorder::{Recorder, Resources};
use platform_cell::{DEADLINE, Process, Role, System, wait_for};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const CONTROLS: usize = 3;
const ENTRIES: usize = 4;
const MINIONS: usize = 2;
const CALLERS: u64 = 400;
/// Submissions before the first restart, so that a new leader has a long log to apply.
const FILL: Duration = Duration::from_millis(1_500);
/// Time from its first start within which a replica must become a voter.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Time after a start during which control daemons are paused.
const PAUSED_START: Duration = Duration::from_millis(1_000);
/// Length of large jobs' payloads in bytes, near the limit.
const LARGE: usize = 3_900;

/// What happens besides the restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Profile {
    /// Nothing.
    Restarts,
    /// Control daemons are paused again and again after their start, so that messages pile up.
    Pauses,
    /// The same with jobs so large that replicas start from snapshots.
    Snapshots,
    /// The callers' key is replaced while all entry hosts are paused.
    Keys,
}

/// Numbers of answers to submissions, by status; 0 stands for no answer.
type Answers = Arc<Mutex<BTreeMap<u16, u64>>>;

/// A client that submits jobs one after the other and remembers the answers.
struct Client {
    caller: Caller,
    rng: ChaCha8Rng,
    recorder: Recorder,
    profile: Profile,
    answers: Answers,
    accepted: Vec<String>,
    refused: Vec<String>,
}

fn job_body(profile: Profile) -> Value {
    let payload = Payload {
        need: Resources {
            millicores: 2,
            memory_mb: 2,
        },
        duration_ms: 20,
        fail_percent: 0,
        crashes: false,
        copies: false,
        members: 0,
    };
    let mut spec = payload.text();
    if profile == Profile::Snapshots {
        spec = format!("{spec:<LARGE$}");
    }
    json!({"spec": spec, "steps": [{"count": 1, "cpu": 2, "mem_mb": 2, "est_ms": 20}]})
}

impl Client {
    async fn run(mut self, mut stopping: watch::Receiver<bool>) -> Self {
        let body = job_body(self.profile);
        while !*stopping.borrow_and_update() {
            let job = format!("{:016x}", self.rng.random::<u64>());
            if self.recorder.workspaces.key(0, 0).is_some() {
                self.recorder.submitted_by(&job, 0);
            }
            self.submit(job, &body).await;
            if self.rng.random_bool(0.3) && !self.accepted.is_empty() {
                let known = self.accepted[self.rng.random_range(0..self.accepted.len())].clone();
                self.check_known(&known).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(0..60))).await;
        }
        self
    }

    /// Submits a job in one attempt or two; it counts as refused when each was rejected.
    async fn submit(&mut self, job: String, body: &Value) {
        for _ in 0..self.rng.random_range(1..=4) / 2 + 1 {
            let outcome = self.caller.ask(Method::POST, &job, Some(body)).await;
            let status = match outcome {
                Outcome::Status(status, _) => status,
                Outcome::NoReply => 0,
            };
            *self
                .answers
                .lock()
                .expect("no holder panics")
                .entry(status)
                .or_default() += 1;
            match status {
                200..=299 => {
                    self.recorder.accepted(&job);
                    return self.accepted.push(job);
                }
                status if is_rejection(status) => {}
                _ => return,
            }
        }
        self.recorder.refused(&job);
        self.refused.push(job);
    }

    async fn check_known(&mut self, job: &str) {
        let outcome = self.caller.ask(Method::GET, job, None).await;
        if let Outcome::Status(status @ (410 | 404), _) = outcome {
            self.violation(format!("LOST {job}: {status} after it was accepted"));
        }
    }

    fn violation(&self, text: String) {
        self.recorder.record_violation(text);
    }

    /// Checks, once there is a leader, that the accepted jobs are known and the refused ones not.
    async fn check_all(mut self) -> usize {
        for job in std::mem::take(&mut self.accepted) {
            self.check_known(&job).await;
        }
        let refused = std::mem::take(&mut self.refused);
        let end = Instant::now() + DEADLINE;
        for job in &refused {
            loop {
                match self.caller.ask(Method::GET, job, None).await {
                    Outcome::Status(200, state) => {
                        self.violation(format!("REFUSED {job}: it was accepted, {state:?}"));
                        break;
                    }
                    Outcome::Status(410, _) => break,
                    _ => assert!(Instant::now() < end, "no answer about refused jobs"),
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        refused.len()
    }
}

fn controls(system: &mut System) -> impl Iterator<Item = &mut Process> {
    let processes = system.processes.iter_mut();
    processes.filter(|p| p.role == Role::Control)
}

fn entries(system: &System) -> impl Iterator<Item = &Process> {
    system.processes.iter().filter(|p| p.role == Role::Entry)
}

async fn restart_all(system: &mut System, rng: &mut ChaCha8Rng, profile: Profile) {
    if profile == Profile::Keys {
        entries(system).for_each(Process::pause);
    }
    controls(system).for_each(Process::kill);
    controls(system).for_each(Process::start);
    match profile {
        Profile::Restarts => {}
        Profile::Pauses | Profile::Snapshots => {
            let end = Instant::now() + PAUSED_START;
            while Instant::now() < end {
                let paused = rng.random_range(0..CONTROLS);
                sleep(Duration::from_millis(rng.random_range(0..6))).await;
                system.processes[paused].pause();
                sleep(Duration::from_millis(rng.random_range(4..20))).await;
                system.processes[paused].resume();
            }
        }
        Profile::Keys => {
            system.recorder.workspaces.replace_key(0);
            system.put_config().await;
            entries(system).for_each(Process::resume);
        }
    }
}

/// Returns the violations.
async fn play(seed: u64, restarts: usize, profile: Profile) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let process = std::process::id();
    let name = format!("refusals-{profile:?}-{seed}-{process}").to_lowercase();
    let mut system = System::start(&name, CONTROLS, ENTRIES, MINIONS).await;
    system.write_settings(false);
    if profile == Profile::Keys {
        system.recorder.workspaces.create(&[1_000_000]);
        system.put_config().await;
    }
    sleep(CATCH_UP_TIME).await;
    let (stop, stopping) = watch::channel(false);
    let answers = Answers::default();
    let first = Caller::new(system.entry_addrs(), seed, system.recorder.clone());
    let clients = (0..CALLERS).map(|i| {
        let client = Client {
            caller: first.sharing_connections(seed * 10_000 + i),
            rng: ChaCha8Rng::seed_from_u64(seed * 20_000 + i),
            recorder: system.recorder.clone(),
            profile,
            answers: answers.clone(),
            accepted: Vec::new(),
            refused: Vec::new(),
        };
        tokio::spawn(client.run(stopping.clone()))
    });
    let clients: Vec<_> = clients.collect();
    sleep(FILL).await;
    for _ in 0..restarts {
        restart_all(&mut system, &mut rng, profile).await;
        let until_next = match rng.random_range(0..3) {
            0 => rng.random_range(20..200),
            _ => rng.random_range(300..1_200),
        };
        sleep(Duration::from_millis(until_next)).await;
    }
    let _ = stop.send(true);
    wait_for("a leader", async || system.config_version().await.is_some()).await;
    let mut checks = Vec::new();
    for client in clients {
        let client = client.await.expect("clients end");
        checks.push(tokio::spawn(client.check_all()));
    }
    let mut refused = 0;
    for check in checks {
        refused += check.await.expect("checks end");
    }
    let violations = system.recorder.violations();
    let (starts, accepted, _) = system.recorder.counts();
    println!(
        "{profile:?} seed {seed}: {restarts} restarts, answers {answers:?}, {accepted} jobs \
         accepted, {refused} refused, {starts} starts, {} violations; logs are in {}",
        violations.len(),
        system.folder.display()
    );
    for violation in &violations {
        println!("{violation}");
    }
    violations
}

/// Guards against rejections by a new leader of jobs that are in its log.
#[rstest]
#[case::a_rejection_from_an_empty_ledger(2, Profile::Pauses)]
#[case::a_rejection_from_an_old_snapshot(1, Profile::Snapshots)]
#[case::a_key_replaced_between_two_copies(1, Profile::Keys)]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn no_refused_job_runs_after_restarts_of_all_control_daemons(
    #[case] seed: u64,
    #[case] profile: Profile,
) {
    let violations = play(seed, 6, profile).await;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Runs the seeds given in `REFUSAL_SEEDS` one after the other.
#[rstest]
#[case::restarts(Profile::Restarts)]
#[case::pauses(Profile::Pauses)]
#[case::snapshots(Profile::Snapshots)]
#[case::keys(Profile::Keys)]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "takes half a minute for each seed"]
async fn no_refused_job_runs_under_the_given_seeds(#[case] profile: Profile) {
    let seeds = std::env::var("REFUSAL_SEEDS").unwrap_or_else(|_| "1..5".to_owned());
    let (from, to) = seeds.split_once("..").expect("REFUSAL_SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    let mut violations = Vec::new();
    for seed in number(from)..number(to) {
        violations.extend(play(seed, 16, profile).await);
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
