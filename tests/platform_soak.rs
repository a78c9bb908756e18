//! Random faults around the real programs on the platform, from a seed.
//!
//! Callers hand in jobs while processes are paused, killed, stopped and restarted, disks are lost,
//! and the connections to minions are cut, silenced, delayed and reset, several at a time. What is
//! checked is what callers and minions see: no task runs twice, no minion is overfilled, nothing
//! that was refused runs, nothing that was accepted is lost, no configuration goes back.
//!
//! `SOAK_SEEDS=1..50 cargo test --test platform_soak -- --ignored` plays those seeds for longer.

mod platform_cell;

use std::time::Duration;

use platform_cell::caller::{Caller, Told};
use platform_cell::minion::Name;
use platform_cell::{Process, Role, System, until};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use yuccahold::fault::{Direction, Fault};

const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
const MINIONS: usize = 6;
const CALLERS: u64 = 6;
/// Time before SIGKILL, as in the settings.
const GRACE: Duration = Duration::from_secs(2);

/// Time after its first start from which a replica counts, as the platform bounds it. A disk that is
/// lost 0.4 s after the start, while the group has one voter or two, takes the only copy or the
/// majority with it.
const CATCH_UP: Duration = Duration::from_secs(4);

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Pause(usize),
    Kill(usize),
    Terminate(usize),
    KillAllControl,
    Wipe(usize),
    Reload,
    MinionCrash(usize),
    MinionDrain(usize),
    MinionRestart(usize),
    /// To this percentage of what it had at first.
    Resize(usize, u32),
    Lane(usize, Fault),
    LateOrders(usize),
    Config,
    /// The key of a workspace is taken away and it gets another.
    ReplaceKey(usize),
    /// Thousandths of a core that a workspace may have running from now on.
    Limit(usize, u32),
}

fn draw(rng: &mut ChaCha8Rng) -> Trouble {
    let process = rng.random_range(0..CONTROLS + ENTRIES);
    let control = rng.random_range(0..CONTROLS);
    let minion = rng.random_range(0..MINIONS);
    let lane = [
        Fault::Cut,
        Fault::Silence(Direction::Both),
        Fault::Silence(Direction::ToServer),
        Fault::Silence(Direction::ToClient),
        Fault::SilenceOpen,
        Fault::Reset,
        Fault::Delay {
            direction: Direction::Both,
            fixed: Duration::from_millis(60),
            jitter: Duration::from_millis(200),
        },
    ];
    match rng.random_range(0..14) {
        0 | 1 => Trouble::Pause(process),
        2 => Trouble::Kill(process),
        3 => Trouble::Terminate(process),
        4 => Trouble::KillAllControl,
        5 => Trouble::Wipe(control),
        6 => Trouble::Reload,
        7 => Trouble::MinionCrash(minion),
        8 => Trouble::MinionDrain(minion),
        9..=11 => Trouble::Lane(minion, lane[rng.random_range(0..lane.len())]),
        12 => Trouble::LateOrders(minion),
        _ => Trouble::Config,
    }
}

async fn play(system: &mut System, trouble: Trouble, span: Duration) {
    match trouble {
        Trouble::Pause(i) => {
            system.processes[i].pause();
            sleep(span).await;
            system.processes[i].resume();
        }
        Trouble::Kill(i) => {
            system.processes[i].kill();
            sleep(span / 4).await;
            system.processes[i].start();
        }
        Trouble::Terminate(i) => {
            system.processes[i].terminate(GRACE).await;
            system.processes[i].start();
        }
        Trouble::KillAllControl => {
            let controls = || |p: &&mut Process| p.role == Role::Control;
            for process in system.processes.iter_mut().filter(controls()) {
                process.kill();
            }
            sleep(span / 4).await;
            for process in system.processes.iter_mut().filter(controls()) {
                process.start();
            }
        }
        Trouble::Wipe(i) => {
            // One disk of three may be lost at a time, and the newcomer has to catch up before
            // the next: the others must have agreed on a change since.
            system.put_config().await;
            system.processes[i].kill();
            system.processes[i].wipe();
            system.processes[i].start();
            system.put_config().await;
            sleep(CATCH_UP).await;
        }
        Trouble::Reload => {
            system.write_settings(false);
            system.processes.iter().for_each(Process::reload);
        }
        Trouble::MinionCrash(i) => system.minions[i].crash(Name::New),
        Trouble::MinionRestart(i) => system.minions[i].crash(Name::Same),
        Trouble::Resize(i, percent) => system.minions[i].resize(percent),
        Trouble::MinionDrain(i) => {
            let minion = system.minions[i].clone();
            tokio::spawn(async move { minion.drain().await });
        }
        Trouble::Lane(i, fault) => {
            let proxy = system.minions[i].clone();
            proxy.proxy.apply(fault);
            tokio::spawn(async move {
                sleep(span).await;
                proxy.proxy.apply(Fault::Reopen);
            });
        }
        Trouble::LateOrders(i) => {
            let minion = system.minions[i].clone();
            minion.set_late(30);
            tokio::spawn(async move {
                sleep(span).await;
                minion.set_late(0);
            });
        }
        Trouble::Config => system.put_config().await,
        Trouble::ReplaceKey(workspace) => {
            system.book.workspaces.replace_key(workspace);
            system.put_config().await;
        }
        Trouble::Limit(workspace, limit) => {
            system.book.workspaces.set_limit(workspace, limit);
            system.put_config().await;
        }
    }
}

/// What goes wrong in a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Profile {
    /// Faults of every kind.
    Mixed,
    /// Minions that start again under either name and change in size, jobs that crash them, and
    /// processes of control that are killed meanwhile.
    Minions,
    /// Keys that are taken away and limits that change, under faults of every kind.
    Workspaces,
}

/// Part of the jobs with a crashing task where minions are what goes wrong.
const CRASH_SHARE: f64 = 0.06;

fn draw_for_minions(rng: &mut ChaCha8Rng) -> Trouble {
    let control = rng.random_range(0..CONTROLS);
    let minion = rng.random_range(0..MINIONS);
    match rng.random_range(0..8) {
        0 | 1 => Trouble::MinionRestart(minion),
        2 => Trouble::MinionCrash(minion),
        3 | 4 => Trouble::Resize(minion, rng.random_range(40..=100)),
        5 => Trouble::LateOrders(minion),
        6 => Trouble::Kill(control),
        _ => Trouble::Lane(minion, Fault::Silence(Direction::ToClient)),
    }
}

/// Limits of the workspaces at first, in thousandths of a core.
const LIMITS: [u32; 2] = [4_000, 12_000];

fn draw_for_workspaces(rng: &mut ChaCha8Rng) -> Trouble {
    let workspace = rng.random_range(0..LIMITS.len());
    match rng.random_range(0..6) {
        0 | 1 => Trouble::ReplaceKey(workspace),
        2 | 3 => Trouble::Limit(workspace, rng.random_range(3_000..16_000)),
        _ => draw(rng),
    }
}

async fn soak(seed: u64, length: Duration, profile: Profile) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let name = format!("soak-{profile:?}-{seed}").to_lowercase();
    let mut system = System::start(&name, CONTROLS, ENTRIES, MINIONS).await;
    system.write_settings(false);
    if profile == Profile::Workspaces {
        system.book.workspaces.create(&LIMITS);
        system.put_config().await;
    }
    sleep(CATCH_UP).await;
    let end = Instant::now() + length;
    let callers = (0..CALLERS).map(|i| {
        let mut caller = Caller::new(system.fronts(), seed * 100 + i, system.book.clone());
        if profile == Profile::Minions {
            caller.crash_share = CRASH_SHARE;
        }
        caller.workspace = i as usize % LIMITS.len();
        tokio::spawn(caller.run(end))
    });
    let callers: Vec<_> = callers.collect();
    let mut played = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(100..900))).await;
        let trouble = match profile {
            Profile::Mixed => draw(&mut rng),
            Profile::Minions => draw_for_minions(&mut rng),
            Profile::Workspaces => draw_for_workspaces(&mut rng),
        };
        let span = Duration::from_millis(rng.random_range(200..3_500));
        played.push(trouble);
        play(&mut system, trouble, span).await;
        system.check_config().await;
    }
    for caller in callers {
        caller.await.expect("callers end");
    }
    for minion in &system.minions {
        minion.proxy.apply(Fault::Reopen);
    }
    settle(&system, seed).await;
    let broken = system.book.broken();
    assert!(
        broken.is_empty(),
        "seed {seed}: {broken:#?} after {played:?}; logs are in {}",
        system.folder.display()
    );
}

/// With all faults over, every job that is owed ends, nothing runs on, and the newest
/// configuration is read back.
async fn settle(system: &System, seed: u64) {
    let mut asker = Caller::new(system.fronts(), seed, system.book.clone());
    let mut owed = system.book.owed();
    until("every accepted job to end", async || {
        let mut left = Vec::new();
        for job in owed.drain(..) {
            asker.workspace = system.book.owner(&job).unwrap_or_default();
            match asker.ask(reqwest::Method::GET, &job, None).await {
                Told::Status(200, Some(state)) if state == "done" => {}
                Told::Status(200, Some(state)) if state == "failed" => {
                    if !system.book.may_have_failed(&job) {
                        system
                            .book
                            .broke(format!("LOST {job}: failed without cause"));
                    }
                }
                Told::Status(200, Some(state)) if state == "canceled" => {
                    system
                        .book
                        .broke(format!("LOST {job}: nobody cancelled it"));
                }
                Told::Status(status @ (404 | 410), _) => {
                    system
                        .book
                        .broke(format!("LOST {job}: {status} at the end"));
                }
                _ => left.push(job),
            }
        }
        owed = left;
        owed.is_empty()
    })
    .await;
    until("runs to end", async || system.book.running() == 0).await;
    until("the configuration to be read", async || {
        system.config_version().await.is_some()
    })
    .await;
    system.check_config().await;
    let (starts, accepted, cancelled) = system.book.counts();
    println!("seed {seed}: {starts} starts, {accepted} jobs accepted, {cancelled} cancelled");
    assert!(accepted > 0, "nothing was accepted");
}

/// A short soak with the seeds that failed once.
#[rstest]
#[case::a_wiped_replica_counted_beside_its_former_self(1)]
#[case::a_disk_lost_soon_after_the_start(42)]
#[case::an_end_that_a_lapsed_lease_made_void(48)]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn promises_hold_under_random_faults(#[case] seed: u64) {
    soak(seed, Duration::from_secs(10), Profile::Mixed).await;
}

/// The same for the profile of minions.
#[rstest]
#[case::any(7)]
#[case::a_minion_that_was_cut_off_before_it_started_again(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn promises_hold_while_minions_start_again_and_tasks_crash_them(#[case] seed: u64) {
    soak(seed, Duration::from_secs(10), Profile::Minions).await;
}

/// The same for the profile of workspaces.
#[rstest]
#[case::any(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn promises_hold_while_keys_and_limits_change(#[case] seed: u64) {
    soak(seed, Duration::from_secs(10), Profile::Workspaces).await;
}

/// Seeds of the environment, one after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "takes half a minute for each seed"]
async fn promises_hold_under_the_given_seeds() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..10".to_owned());
    let (from, to) = seeds.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    for seed in number(from)..number(to) {
        soak(seed, Duration::from_secs(20), Profile::Mixed).await;
        soak(seed, Duration::from_secs(20), Profile::Minions).await;
        soak(seed, Duration::from_secs(20), Profile::Workspaces).await;
    }
}
