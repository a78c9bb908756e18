//! The end of a day: disks of control daemons are lost, and all other processes end at the same moment.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Method;
use rustix::process::Signal;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::caller::{Caller, Outcome};
use super::losses::Losses;
use super::payload::Payload;
use super::recorder::{Recorder, Resources};
use super::{Role, System, wait_for};

/// Longest wait for the acknowledgement after which the processes end.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// Time between two cancellations of unknown jobs.
const CANCEL_PAUSE: Duration = Duration::from_millis(25);

/// What has just happened to the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// The first configuration was just accepted, before any job.
    FirstConfiguration,
    /// The group has just got enough voters to accept configurations and jobs.
    Forming,
    /// Nothing: all five vote.
    Settled,
    /// The settings name other seeds.
    NewSeeds,
    /// A control daemon has ended for good, and another one is taking its place.
    Replaced,
    /// A sixth control daemon has started, which doesn't vote.
    Newcomer,
}

impl Scene {
    pub fn of_seed(seed: u64) -> Self {
        let all = [
            Self::FirstConfiguration,
            Self::Forming,
            Self::Settled,
            Self::NewSeeds,
            Self::Replaced,
            Self::Newcomer,
        ];
        all[(seed % 6) as usize]
    }

    /// Disks that may be lost: with three voters, or with one of five lost already, one.
    fn disks(self) -> usize {
        match self {
            Self::FirstConfiguration | Self::Forming | Self::Replaced => 1,
            Self::Settled | Self::NewSeeds | Self::Newcomer => 2,
        }
    }
}

/// The acknowledgement after which the processes end at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    Configuration,
    Job,
    Cancellation,
    /// None: the processes end at a random time.
    AnyTime,
}

impl Trigger {
    pub fn random(rng: &mut ChaCha8Rng) -> Self {
        let all = [
            Self::Configuration,
            Self::Job,
            Self::Cancellation,
            Self::AnyTime,
        ];
        *all.choose(rng).expect("there are some")
    }

    /// Waits for the next acknowledgement of this kind; configurations are sent by the caller.
    pub async fn wait(self, recorder: &Recorder) {
        let count = || match self {
            Self::Job => recorder.counts().1,
            Self::Cancellation => recorder.cancel_acks().len(),
            Self::Configuration | Self::AnyTime => 0,
        };
        if matches!(self, Self::Configuration | Self::AnyTime) {
            return;
        }
        let (before, end) = (count(), Instant::now() + LONGEST_WAIT);
        while count() == before && Instant::now() < end {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Waits until so many control daemons vote.
pub async fn wait_for_voters(system: &System, count: usize) {
    wait_for("control daemons to vote", async || {
        let controls = system.processes.iter();
        let controls = controls.filter(|p| p.role == Role::Control && p.deployed);
        controls.filter(|p| p.is_voter()).count() >= count
    })
    .await;
}

/// Brings the group into the scene. `spare` is a process that is not started.
pub async fn prepare(system: &mut System, scene: Scene, spare: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    match scene {
        Scene::FirstConfiguration | Scene::Forming | Scene::Settled => {}
        Scene::NewSeeds => Losses::new(seed, system).change_seeds(system),
        Scene::Newcomer => {
            system.processes[spare].start();
            system.directory.set(system.controls());
            sleep(Duration::from_millis(rng.random_range(0..800))).await;
        }
        Scene::Replaced => {
            let gone = controls(system, &mut rng)[0];
            system.processes[gone].kill();
            system.processes[gone].deployed = false;
            system.processes[spare].start();
            system.directory.set(system.controls());
            Losses::new(seed, system).change_seeds(system);
            // From its start until just after it votes.
            sleep(Duration::from_millis(rng.random_range(0..4_500))).await;
        }
    }
}

/// Control daemons in a random order; in every second case the leader comes first.
fn controls(system: &System, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let fit = |i: &usize| {
        let process = &system.processes[*i];
        process.role == Role::Control && process.is_started()
    };
    let mut found: Vec<_> = (0..system.processes.len()).filter(fit).collect();
    found.shuffle(rng);
    if rng.random_bool(0.5) {
        found.sort_by_key(|i| !system.processes[*i].is_leader());
    }
    found
}

/// Ends all processes with SIGKILL at the same moment, some without their disks, and starts them
/// again. Writes that were not synced survive that; `replication_explorer` loses them as well.
pub async fn lose_power(system: &mut System, scene: Scene, rng: &mut ChaCha8Rng) {
    let mut lost = controls(system, rng);
    match scene {
        // The first process forms the group, and others may not have logged yet that they vote.
        Scene::FirstConfiguration => lost.sort_unstable(),
        // A newcomer's disk is none of those that count.
        Scene::Newcomer => lost.retain(|i| system.processes[*i].is_voter()),
        _ => {}
    }
    lost.truncate(scene.disks());
    assert_eq!(lost.len(), scene.disks(), "disks to lose in {scene:?}");
    for process in &system.processes {
        process.signal(Signal::KILL);
    }
    let mut killed = Vec::new();
    for (i, process) in system.processes.iter_mut().enumerate() {
        if process.is_started() {
            process.kill();
            killed.push(i);
        }
    }
    lost.iter().for_each(|i| system.processes[*i].wipe());
    println!("{scene:?}: all are killed; {lost:?} lost their disks");
    killed.shuffle(rng);
    for i in killed {
        sleep(Duration::from_millis(rng.random_range(0..100))).await;
        system.processes[i].start();
    }
}

fn job() -> serde_json::Value {
    let payload = Payload {
        need: Resources {
            millicores: 100,
            memory_mb: 100,
        },
        duration_ms: 50,
        fail_percent: 0,
        crashes: false,
        copies: false,
        members: 0,
    };
    json!({"spec": payload.text(), "steps": [{
        "count": 1, "cpu": payload.need.millicores, "mem_mb": payload.need.memory_mb, "est_ms": 50,
    }]})
}

/// Cancels jobs that nobody has submitted until `stopping`, and returns those whose cancellation was
/// acknowledged.
pub async fn cancel_early(
    mut caller: Caller,
    recorder: Recorder,
    seed: u64,
    stopping: watch::Receiver<bool>,
) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut acked = Vec::new();
    while !*stopping.borrow() {
        let job = format!("{:016x}", rng.random::<u64>());
        recorder.submitted_by(&job, caller.workspace);
        if let Outcome::Status(410, _) = caller.ask(Method::DELETE, &job, None).await {
            recorder.cancel_acked(&job);
            acked.push(job);
        }
        sleep(CANCEL_PAUSE).await;
    }
    acked
}

/// Checks that jobs that are submitted after their acknowledged cancellation are cancelled.
pub async fn check_early_cancels(mut caller: Caller, recorder: &Recorder, jobs: &[String]) {
    let body = job();
    for job in jobs {
        wait_for("a cancelled job to be accepted", async || {
            let sent = caller.ask(Method::POST, job, Some(&body)).await;
            matches!(sent, Outcome::Status(200..=299, _))
        })
        .await;
        let mut state = None;
        wait_for("the state of a cancelled job", async || {
            match caller.ask(Method::GET, job, None).await {
                Outcome::Status(200, read) => state = read,
                Outcome::Status(status @ (404 | 410), _) => state = Some(status.to_string()),
                _ => {}
            }
            state.is_some()
        })
        .await;
        if state.as_deref() != Some("canceled") {
            let text = format!("UNASKED {job}: {state:?} after its early cancellation");
            recorder.record_violation(text);
        }
    }
}

/// Checks that no job works on whose cancellation was acknowledged.
pub async fn check_cancels(mut caller: Caller, recorder: &Recorder) {
    for job in recorder.cancel_acks() {
        caller.workspace = recorder.owner(&job).unwrap_or_default();
        let outcome = caller.ask(Method::GET, &job, None).await;
        if let Outcome::Status(200, Some(state)) = outcome
            && (state == "queued" || state == "running")
        {
            let text = format!("UNASKED {job}: {state} after its cancellation was acknowledged");
            recorder.record_violation(text);
        }
    }
}
