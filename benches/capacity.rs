//! Slopes for docs/CAPACITY.md: cost of state, log, snapshot, feed and decisions by the size of the
//! cell, each measured at three sizes with a straight line fitted to them.
//!
//! `cargo bench --bench capacity` prints a table. Bytes are exact and repeatable; times depend
//! on the machine and its other load.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use yuccahold::control::Machine;
use yuccahold::document::{Document, JobKind, Team};
use yuccahold::placement::Scheduler;
use yuccahold::replication::StateMachine;
use yuccahold::resources::Resources;
use yuccahold::state::{Cell, Command, WorkerReport};
use yuccahold::wire::{FeedDelta, JobSubmission, MinionAnnouncement, WorkerPoll};
use yuccahold::workload::{RunEnd, TaskId, TaskRun, WorkerSpec};

/// Allocator that tracks the number of currently allocated bytes.
struct Counting;

static HEAP: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system's allocator unchanged; only a counter is kept.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HEAP.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        HEAP.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Measured sizes; the last is the required one.
const WORKERS: [u32; 3] = [475, 950, 1_900];
const TASKS_PER_WORKER: u32 = 18;
const TASKS_PER_JOB: u32 = 10;
const RUNS: [u32; 3] = [6, 12, 18];
const MINIONS: [u32; 3] = [1_700, 3_400, 6_800];
const TEAMS: u32 = 160;
const ZONES: u32 = 14;
const START_UNIX: Duration = Duration::from_secs(1_800_000_000);

/// One measured quantity at all sizes.
struct Row {
    name: &'static str,
    unit: &'static str,
    per: &'static str,
    points: Vec<(f64, f64)>,
}

/// A leader whose commands are committed at once; counts the bytes that go into the log.
struct Leader {
    machine: Machine<Scheduler>,
    now: Duration,
    index: u64,
    log_bytes: usize,
    starts: usize,
    own_commands_time: Duration,
    apply_time: Duration,
}

impl Leader {
    fn new() -> Self {
        let mut leader = Self {
            machine: Machine::new(|| Scheduler::new(1)),
            now: Duration::from_secs(1),
            index: 0,
            log_bytes: 0,
            starts: 0,
            own_commands_time: Duration::ZERO,
            apply_time: Duration::ZERO,
        };
        leader.machine.leadership_changed(true, leader.now);
        leader.apply(Command::PutDocument {
            base: 0,
            document: document().into(),
            who: "bench".into(),
            key: None,
        });
        leader
    }

    fn apply(&mut self, command: Command) {
        self.apply_bytes(&command.to_bytes().expect("a command is encoded"));
    }

    fn apply_bytes(&mut self, bytes: &[u8]) {
        self.index += 1;
        self.log_bytes += bytes.len();
        let begun = Instant::now();
        self.machine.apply(self.index, START_UNIX + self.now, bytes);
        self.apply_time += begun.elapsed();
    }

    /// Asks the leader for commands until it has none, as the runtime does.
    fn settle(&mut self) {
        loop {
            self.now += Duration::from_millis(1);
            let begun = Instant::now();
            let commands = self.machine.own_commands(self.now);
            self.own_commands_time += begun.elapsed();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.count_starts(&command);
                self.apply_bytes(&command);
            }
        }
    }

    fn count_starts(&mut self, command: &[u8]) {
        if let Ok(Command::Place(place)) = Command::from_bytes(command) {
            self.starts += place.jobs.iter().map(|job| job.starts.len()).sum::<usize>();
        }
    }

    fn add_workers(&mut self, workers: u32) {
        for number in 0..workers {
            let spec = worker_spec(number);
            let process = u64::from(number) << 32 | 0x9e37_79b9;
            self.apply(Command::WorkerUp { spec, process });
        }
        self.settle();
    }

    fn submit(&mut self, job: u32) {
        let submission = JobSubmission {
            name: Some(format!("job-of-a-team-{job:07}").into()),
            kind: format!("kind-{:03}", job % TEAMS).into(),
            tasks: Some(TASKS_PER_JOB),
            payload: "s3-like/path/of/an/input/file-0000001".into(),
            ..JobSubmission::default()
        };
        let who = "caller".into();
        self.apply(Command::SubmitJob { submission, who });
    }
}

fn worker_spec(number: u32) -> WorkerSpec {
    WorkerSpec {
        id: format!("worker-{number:05}").into(),
        zone: format!("zone-{:02}", number % ZONES).into(),
        rack: format!("rack-{:03}", number / 40).into(),
        capacity: Resources::new(32, 64_000, 2),
        accelerator: None,
    }
}

fn document() -> Document {
    let mut document = Document::default();
    for number in 0..TEAMS {
        let team = Team {
            quota: Resources::new(380, 760_000, 20),
            weight: 1,
            ..Team::default()
        };
        document.teams.insert(team_name(number).into(), team);
        let kind = JobKind {
            team: team_name(number).into(),
            tasks: TASKS_PER_JOB,
            need: Resources::new(1, 2_000, 0),
            run_time: Duration::from_secs(1_800),
            idempotent: true,
            max_attempts: 3,
            ..JobKind::default()
        };
        document
            .kinds
            .insert(format!("kind-{number:03}").into(), kind);
    }
    document
}

fn team_name(number: u32) -> String {
    format!("team-{number:03}")
}

/// Fills a cell with tasks and measures its memory and the cost of each start.
fn measure_cell(workers: u32, rows: &mut [Row]) {
    let tasks = workers * TASKS_PER_WORKER;
    let x = f64::from(tasks);
    let before = HEAP.load(Ordering::Relaxed);
    let mut leader = Leader::new();
    leader.add_workers(workers);
    let jobs = tasks / TASKS_PER_JOB;
    for job in 0..jobs {
        leader.submit(job);
    }
    let (log, own_commands, apply) = (
        leader.log_bytes,
        leader.own_commands_time,
        leader.apply_time,
    );
    leader.starts = 0;
    // About 22 starts in one log entry: 1,100 starts and 50 decisions a second.
    leader.settle();
    let starts = leader.starts.max(1) as f64;
    rows[0]
        .points
        .push((x, (HEAP.load(Ordering::Relaxed) - before) as f64));
    let begun = Instant::now();
    let snapshot = leader.machine.snapshot();
    rows[6]
        .points
        .push((x, begun.elapsed().as_secs_f64() * 1e3));
    rows[1].points.push((x, snapshot.len() as f64));
    rows[2]
        .points
        .push((starts, (leader.log_bytes - log) as f64));
    let own_commands = (leader.own_commands_time - own_commands).as_secs_f64() * 1e6;
    rows[3].points.push((starts, own_commands));
    let apply = (leader.apply_time - apply).as_secs_f64() * 1e6;
    rows[4].points.push((starts, apply));
    measure_ends(&mut leader, &mut rows[5]);
    measure_rebuild(&snapshot, x, &mut rows[7..10]);
}

/// Log bytes for the ends of runs, with one report per worker.
fn measure_ends(leader: &mut Leader, row: &mut Row) {
    let before = leader.log_bytes;
    let reports: Vec<WorkerReport> = leader
        .machine
        .cell()
        .workers
        .iter()
        .map(|(number, worker)| {
            let ended = worker.runs.iter().take(4);
            let ended = ended.map(|(job, index)| (*job, *index, 1, RunEnd::Done));
            WorkerReport {
                worker: *number,
                ended: ended.collect(),
            }
        })
        .collect();
    let ends: usize = reports.iter().map(|report| report.ended.len()).sum();
    for report in reports {
        leader.apply(Command::Report(vec![report]));
    }
    row.points
        .push((ends as f64, (leader.log_bytes - before) as f64));
}

/// Memory of the state alone, time to restore a snapshot, and time to build a new leader's
/// scheduler.
fn measure_rebuild(snapshot: &[u8], x: f64, rows: &mut [Row]) {
    let before = HEAP.load(Ordering::Relaxed);
    let cell = Cell::from_bytes(snapshot).expect("the snapshot is decoded");
    rows[0]
        .points
        .push((x, (HEAP.load(Ordering::Relaxed) - before) as f64));
    drop(cell);
    let mut machine = Machine::new(|| Scheduler::new(1));
    let begun = Instant::now();
    machine.restore(snapshot).expect("the snapshot is restored");
    rows[1]
        .points
        .push((x, begun.elapsed().as_secs_f64() * 1e3));
    let begun = Instant::now();
    machine.leadership_changed(true, Duration::from_secs(1));
    rows[2]
        .points
        .push((x, begun.elapsed().as_secs_f64() * 1e3));
}

/// Bytes of a worker's poll with and without its list of runs.
fn measure_poll(runs: u32, rows: &mut [Row]) {
    let running = (0..runs).map(|index| TaskRun {
        task: TaskId {
            job: format!("job-of-a-team-{index:07}").into(),
            index,
        },
        attempt: 1,
    });
    let mut poll = WorkerPoll {
        worker: worker_spec(7),
        process: 7 << 32 | 0x9e37_79b9,
        sequence: 100_000,
        list: 1_000,
        unchanged: false,
        running: running.collect(),
        ended: Vec::new(),
        usage: Vec::new(),
        wait: Duration::from_secs(3),
        leaving: false,
    };
    let bytes = |poll: &WorkerPoll| {
        postcard::to_allocvec(poll)
            .expect("a poll is encoded")
            .len()
    };
    let x = f64::from(runs);
    rows[0].points.push((x, bytes(&poll) as f64));
    (poll.unchanged, poll.running) = (true, Vec::new());
    rows[1].points.push((x, bytes(&poll) as f64));
}

/// Memory and bytes of the feed, and time and bytes for the change of one minion.
fn measure_feed(minions: u32, rows: &mut [Row]) {
    let mut cell = Cell::default();
    for number in 0..minions {
        cell.apply(START_UNIX, Command::AnnounceMinion(minion(number, 1)));
    }
    let before = HEAP.load(Ordering::Relaxed);
    let feed = cell.feed();
    let x = f64::from(minions);
    rows[0]
        .points
        .push((x, (HEAP.load(Ordering::Relaxed) - before) as f64));
    let whole = postcard::to_allocvec(&feed).expect("a feed is encoded");
    rows[1].points.push((x, whole.len() as f64));
    cell.apply(START_UNIX, Command::AnnounceMinion(minion(7, 2)));
    let begun = Instant::now();
    let delta = FeedDelta::between(&feed, &cell.feed());
    rows[2]
        .points
        .push((x, begun.elapsed().as_secs_f64() * 1e6));
    let delta = postcard::to_allocvec(&delta).expect("a change is encoded");
    rows[3].points.push((x, delta.len() as f64));
}

fn minion(number: u32, process: u64) -> MinionAnnouncement {
    MinionAnnouncement {
        id: format!("minion-{number:05}").into(),
        process: process << 40 | u64::from(number),
        service: format!("service-{:02}", number % 20).into(),
        addr: ([10, 1, (number >> 8) as u8, number as u8], 8080).into(),
        zone: format!("zone-{:02}", number % ZONES).into(),
        slots: 8,
        connections: 64,
        ttl: Duration::from_secs(10),
    }
}

fn row(name: &'static str, unit: &'static str, per: &'static str) -> Row {
    Row {
        name,
        unit,
        per,
        points: Vec::new(),
    }
}

/// Slope, intercept and the largest error of the line in percent of the measured value.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    let intercept = my - slope * mx;
    let error = points
        .iter()
        .map(|p| ((slope * p.0 + intercept - p.1) / p.1).abs() * 100.0)
        .fold(0.0, f64::max);
    (slope, intercept, error)
}

fn main() {
    let mut cell = vec![
        row("leader: cell and placer, heap", "B", "running task"),
        row("snapshot", "B", "running task"),
        row("log of starts", "B", "start"),
        row("leader's upkeep and placement", "us", "start"),
        row("applying starts", "us", "start"),
        row("log of ends", "B", "end"),
        row("writing a snapshot", "ms", "running task"),
        row("follower: cell, heap", "B", "running task"),
        row("reading a snapshot", "ms", "running task"),
        row("new leader's placer", "ms", "running task"),
    ];
    for workers in WORKERS {
        measure_cell(workers, &mut cell);
    }
    let mut feed = vec![
        row("feed, heap", "B", "minion"),
        row("whole feed", "B", "minion"),
        row("finding what changed", "us", "minion"),
        row("change of one minion", "B", "minion"),
    ];
    for minions in MINIONS {
        measure_feed(minions, &mut feed);
    }
    let mut poll = vec![
        row("poll with its list", "B", "run"),
        row("poll without its list", "B", "run"),
    ];
    for runs in RUNS {
        measure_poll(runs, &mut poll);
    }
    println!("| quantity | at three sizes | slope | intercept | largest error |");
    println!("| --- | --- | --- | --- | --- |");
    for row in cell.iter().chain(&feed).chain(&poll) {
        let (slope, intercept, error) = fit(&row.points);
        let points = row.points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}"));
        let points = points.collect::<Vec<_>>().join(", ");
        let (name, unit, per) = (row.name, row.unit, row.per);
        println!(
            "| {name} ({unit} over {per}s) | {points} | {slope:.4} {unit} a {per} | {intercept:.1} {unit} | {error:.1} % |"
        );
    }
}
