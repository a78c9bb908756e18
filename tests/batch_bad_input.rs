//! Absurd jobs and configurations: each is refused with one line, or runs properly.

mod batch_world;

use std::time::Duration;

use batch_world::hosts::Cell;
use batch_world::{JOB, World, ms, queue, step};
use rstest::rstest;
use yuccahold::batch::ledger::Command;
use yuccahold::batch::model::{EndKind, JobId, JobState, Queue, StepSpec};
use yuccahold::platform::{decode_config, decode_job};

const YEARS: Duration = Duration::from_secs(3_200_000_000);

fn decoded(body: &str) -> Vec<StepSpec> {
    let job = decode_job(body.as_bytes()).expect("a valid job");
    job.steps.clone()
}

fn refusal(body: &str) -> String {
    let Err(why) = decode_job(body.as_bytes()) else {
        panic!("an invalid job was accepted");
    };
    assert!(
        !why.is_empty() && !why.contains('\n') && why.len() < 200,
        "{why}"
    );
    why
}

/// Guards against overflow in objectives and forecasts, and against a job that never starts, when
/// the declared time is absurd or off by a factor of 60.
#[rstest]
#[case::zero("0", ms(1_000))]
#[case::one_nanosecond("1e-6", ms(1_000))]
#[case::a_hundred_years("3.2e12", ms(1_000))]
#[case::a_sixtieth("100", ms(6_000))]
#[case::sixty_times("360000", ms(6_000))]
fn a_job_with_an_absurd_declared_time_runs(#[case] declared: &str, #[case] takes: Duration) {
    let body = format!(r#"{{"steps":[{{"count":1,"cpu":1000,"mem_mb":1,"est_ms":{declared}}}]}}"#);
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    for job in 1..=40 {
        world.submit(job, decoded(&body));
        let started = world.start_all();
        assert_eq!(started.len(), 1, "job {job}");
        world.advance(takes);
        world.end(minion, job, &started[0].1, EndKind::Done);
        assert_eq!(world.ledger.job_state(job), Some(JobState::Done));
    }
    // Times learnt from these runs are applied to the longest declaration.
    world.submit(
        100,
        vec![StepSpec {
            estimate: YEARS,
            ..step(20_000, 1_000)
        }],
    );
    assert_eq!(world.start_all().len(), 32);
}

/// Guards against overflow where run times are learnt: declarations that are off by all of the
/// permitted range, in both directions.
#[test]
fn learnt_corrections_of_absurd_times_do_not_overflow() {
    let mut world = World::new();
    let minion = world.join("i-1", 1);
    for job in 1..=60 {
        let takes = ms(10 << (job % 12));
        let declared = takes / 10_000_000;
        world.submit(
            job,
            vec![StepSpec {
                estimate: declared,
                ..step(1, 1_000)
            }],
        );
        let started = world.start_all();
        world.advance(takes);
        world.end(minion, job, &started[0].1, EndKind::Done);
    }
    world.submit(
        100,
        vec![StepSpec {
            estimate: YEARS,
            ..step(20_000, 1_000)
        }],
    );
    assert_eq!(world.start_all().len(), 32);
}

/// Guards against overflow on the leader by a factor of the configuration.
#[rstest]
#[case("1e300")]
#[case("1e10")]
fn an_absurd_stretch_is_refused(#[case] stretch: &str) {
    let document = format!(
        r#"{{"version":1,"routes":[{{"name":"r","host":"h","path_prefix":"/","timeout_ms":1,
        "service":"s","stretch":{stretch}}}],"services":[{{"name":"s"}}]}}"#
    );
    let why = decode_config(document.into()).expect_err("refused");
    assert_eq!(why, "route r: stretch is not a factor");
}

/// Guards against overflow in the objective of the longest valid chain of steps.
#[test]
fn the_longest_chain_of_the_longest_steps_is_placed() {
    let mut world = World::new();
    world.join("i-1", 1);
    let chained = |i: u16| StepSpec {
        estimate: YEARS,
        after: (i > 0).then(|| i - 1).into_iter().collect(),
        ..step(100, 1_000)
    };
    let queue = Queue {
        slo_multiple: 1_000.0,
        ..queue()
    };
    world.submit_to(JOB, queue, (0..200).map(chained).collect());
    assert_eq!(world.start_all().len(), 32);
}

/// A late job loses levels of priority: the least urgent one must not become the most urgent.
#[test]
fn the_least_urgent_queue_keeps_its_place_when_late() {
    let mut world = World::new();
    let least = Queue {
        priority: u32::MAX,
        ..queue()
    };
    world.submit_to(1, least, vec![step(32, 1_000)]);
    world.advance(ms(3_600_000));
    world.submit(2, vec![step(32, 1_000)]);
    world.join("i-1", 1);
    let started = world.start_all();
    assert_eq!(started.len(), 32);
    assert!(started.iter().all(|(_, start)| start.task.step.job == 2));
}

/// Guards against overflow of the idle CPU that tasks declare on one minion.
#[test]
fn idle_cpu_beyond_every_minion_is_not_placed() {
    let mut world = World::new();
    world.join("i-1", 1);
    let idle = |millicores| StepSpec {
        uses_idle_cpu: true,
        ..step(1, millicores)
    };
    world.submit(1, vec![idle(1_000)]);
    world.submit(2, vec![idle(u32::MAX)]);
    world.advance(ms(1_000));
    let started = world.start_all();
    assert_eq!(started.len(), 1);
    assert_eq!(world.ledger.job_state(2), Some(JobState::Queued));
}

/// A weight of 0 puts jobs behind others and must not keep them from running.
#[test]
fn jobs_of_a_workspace_of_weight_0_run() {
    let mut world = World::new();
    world.join("i-1", 1);
    world.set_weights(1, &[("none", 0.0)]);
    for job in 1..=20 {
        world.submit_for("none", job, queue(), vec![step(1, 1_000)]);
    }
    assert_eq!(world.start_all().len(), 20);
}

/// A limit below what runs: the runs continue to their ends, and new ones start only within it.
#[test]
fn a_limit_below_what_runs_lets_runs_end_and_starts_none_above_it() {
    let mut cell = Cell::new(1..3);
    cell.set_limits(1, &[("small", 16)]);
    cell.submit_for("small", 1, queue(), vec![step(16, 1_000)]);
    cell.run(ms(300));
    cell.set_limits(2, &[("small", 2)]);
    cell.submit_for("small", 2, queue(), vec![step(10, 1_000)]);
    cell.run(ms(500));
    assert_eq!(cell.starts.values().sum::<u32>(), 16);
    cell.run_until("both jobs", |cell| cell.state(2) == Some(JobState::Done));
    assert_eq!(cell.state(1), Some(JobState::Done));
    assert_eq!(cell.starts.values().sum::<u32>(), 26, "each task ran once");
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// A step of 1,000 tasks on 64 cores, with copies allowed: each task runs once.
#[test]
fn a_step_of_1000_tasks_runs() {
    let mut cell = Cell::new(1..3);
    let wide = StepSpec {
        copies_allowed: true,
        estimate: ms(200),
        ..step(1_000, 1_000)
    };
    cell.submit(JOB, vec![wide]);
    cell.run_until("the job", |cell| cell.state(JOB) == Some(JobState::Done));
    assert_eq!(cell.starts.len(), 1_000);
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// Guards against a small body that makes every replica hold millions of task records.
#[test]
fn a_job_with_too_many_tasks_in_all_its_steps_is_refused() {
    let steps = vec![r#"{"count":20000}"#; 200].join(",");
    let why = refusal(&format!(r#"{{"steps":[{steps}]}}"#));
    assert_eq!(why, "a job has at most 20000 tasks");
}

/// Each text of a step is bounded like the payload.
#[rstest]
#[case("image")]
#[case("required_label")]
#[case("data_rack")]
fn a_text_of_4000_bytes_is_accepted_and_a_longer_one_refused(#[case] field: &str) {
    let body = |len: usize| {
        let text = "x".repeat(len);
        format!(r#"{{"steps":[{{"count":1,"{field}":"{text}"}}]}}"#)
    };
    assert_eq!(decoded(&body(4_000)).len(), 1);
    let why = refusal(&body(4_001));
    assert_eq!(why, format!("step 0: {field} is longer than 4000 bytes"));
}

/// 10,000 jobs with images of 4,000 bytes, all different: the leader places them, and ended jobs,
/// which are kept for 10 minutes, don't keep the names.
#[test]
fn many_images_are_not_kept_after_their_jobs() {
    const JOBS: JobId = 10_000;
    let mut world = World::new();
    world.join("i-1", 1);
    for job in 0..JOBS {
        let image = format!("{job:04000}").into();
        world.submit_only(
            job,
            vec![StepSpec {
                image,
                ..step(1, 1_000)
            }],
        );
    }
    world.decide();
    let started = world.start_all();
    assert_eq!(started.len(), 32);
    for (i, (minion, start)) in started.iter().enumerate() {
        world.end(*minion, i as u64 + 1, start, EndKind::Done);
    }
    for job in 0..JOBS {
        world.apply(&Command::Cancel { job });
    }
    world.decide();
    let kept = world.ledger.to_bytes().expect("a snapshot").len();
    assert!(kept < 4_000_000, "{kept} bytes for {JOBS} ended jobs");
}
