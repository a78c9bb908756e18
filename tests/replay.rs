//! Replays of the committed traces against their required outcomes, and tests that the checks of a
//! replay detect faults.

use std::path::PathBuf;

use rstest::rstest;
use yuccahold::ExitCode;
use yuccahold::ids::{JobName, Timestamp};
use yuccahold::placement::{Decision, Event, FirstFit, Placer, Scheduler};
use yuccahold::replay::{self, Change, Outcome, ReplayArgs};
use yuccahold::resources::Resources;

fn committed_trace(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("traces");
    folder.join(format!("{name}.jsonl"))
}

#[rstest]
fn the_scheduler_meets_the_stated_outcome(
    #[values(
        "saturday",
        "month-end",
        "zone-lost",
        "cancel-wave",
        "sizes-off",
        "bad-workers",
        "crossing-gangs",
        "full-urgent",
        "quotas"
    )]
    name: &str,
) {
    let path = committed_trace(name);
    assert!(path.with_extension("yaml").exists());
    let args = ReplayArgs {
        traces: vec![path],
        seed: 1,
        ..ReplayArgs::default()
    };
    let mut table = Vec::new();
    let code = replay::command(&args, &mut table).unwrap();
    assert_eq!(
        code,
        ExitCode::Success,
        "{}",
        String::from_utf8_lossy(&table)
    );
}

/// Ways in which a placer violates an invariant.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Starts each task a second time, as the next attempt.
    Double,
    /// Ignores the capacity of workers.
    Overfill,
    /// Starts work on workers that are being drained.
    IgnoreDrain,
    /// Ignores the cancellation of jobs.
    IgnoreCancel,
    /// Grants half of the declared memory.
    Undergrant,
    /// Makes only the first start of each decision, which splits gangs.
    PartOfGang,
    /// Never starts anything.
    Idle,
}

/// The first-fit placer with one fault added.
struct Faulty {
    inner: FirstFit,
    fault: Fault,
}

impl Placer for Faulty {
    fn apply(&mut self, now: Timestamp, event: Event) {
        match (self.fault, event) {
            (Fault::IgnoreDrain, Event::DrainStarted { .. }) => {}
            (Fault::IgnoreCancel, Event::JobCancelled(_)) => {}
            (Fault::Overfill, Event::WorkerUp(mut spec)) => {
                spec.capacity = Resources::new(1000, 1_000_000, 0);
                self.inner.apply(now, Event::WorkerUp(spec));
            }
            (_, event) => self.inner.apply(now, event),
        }
    }

    fn decide(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>) {
        let from = out.len();
        self.inner.decide(now, limit, out);
        let mut starts = out.split_off(from);
        match self.fault {
            Fault::Double => {
                let again = starts.clone().into_iter().map(|mut decision| {
                    if let Decision::Start { run, .. } = &mut decision {
                        run.attempt += 1;
                    }
                    decision
                });
                let again: Vec<Decision> = again.collect();
                starts.extend(again);
            }
            Fault::Undergrant => {
                for decision in &mut starts {
                    if let Decision::Start { granted, .. } = decision {
                        granted.memory_mb /= 2;
                    }
                }
            }
            Fault::PartOfGang => starts.truncate(1),
            Fault::Idle => starts.clear(),
            _ => {}
        }
        out.append(&mut starts);
    }

    fn explain(&self, _now: Timestamp, _job: &JobName) -> Option<String> {
        None
    }
}

// Guards against checks that never fail. A placer with one fault is run on a small trace; the replay
// has to report the violation with the trace line at which it occurs.
#[rstest]
#[case(Fault::Double, 4, "was started while it was not waiting")]
#[case(Fault::Overfill, 6, "overfilled w1")]
#[case(Fault::IgnoreDrain, 9, "on draining w1")]
#[case(Fault::IgnoreCancel, 7, "after its job was closed")]
#[case(Fault::Undergrant, 4, "granted less than it declared")]
#[case(Fault::PartOfGang, 4, "gang sew-1 runs 1 tasks while 1 wait")]
#[case(Fault::Idle, 0, "did not end")]
fn a_fault_is_reported_with_its_trace_line(
    #[case] fault: Fault,
    #[case] line: usize,
    #[case] expected: &str,
) {
    let trace = replay::read("small", SMALL.as_bytes()).unwrap();
    let make = || Faulty {
        inner: FirstFit::new(),
        fault,
    };
    let got = replay::run(&trace, make).unwrap();
    let missed = Outcome::default().missed(&got);
    assert!(missed.iter().any(|m| m.contains(expected)), "{missed:#?}");
    let first = got.violations.iter().find(|v| v.what.contains(expected));
    assert_eq!(first.map_or(0, |v| v.line), line, "{missed:#?}");
    let valid = replay::run(&trace, || Scheduler::new(1)).unwrap();
    assert_eq!(Outcome::default().missed(&valid), Vec::<String>::new());
}

const SMALL: &str = r#"{"format":1,"trace":"small","seed":1,"until_ms":60000,"waiting_weight":50,"kinds":{"plan":{"team":"t","need":{"millicores":4000,"memory_mb":4000,"accelerators":0},"run_ms":5000,"idempotent":true},"sew":{"team":"t","class":"Gang","need":{"millicores":3000,"memory_mb":1000,"accelerators":0},"run_ms":2000,"idempotent":true}}}
{"at_ms":0,"worker":{"id":"w1","zone":"bern-a","rack":"r","capacity":{"millicores":8000,"memory_mb":8000,"accelerators":0}}}
{"at_ms":0,"worker":{"id":"w2","zone":"bern-b","rack":"r","capacity":{"millicores":8000,"memory_mb":8000,"accelerators":0}}}
{"at_ms":100,"job":{"name":"sew-1","kind":"sew","tasks":2}}
{"at_ms":10000,"job":{"name":"plan-1","kind":"plan","tasks":6}}
{"at_ms":10000,"job":{"name":"plan-2","kind":"plan","tasks":4}}
{"at_ms":12000,"cancel":"plan-2"}
{"at_ms":21000,"drain":{"worker":"w1","within_ms":10000}}
{"at_ms":22000,"job":{"name":"plan-3","kind":"plan","tasks":2}}
"#;

#[test]
fn a_written_trace_reads_back_equal() {
    for (name, _) in replay::NAMES {
        let trace = replay::generate(name, 7).unwrap();
        assert_eq!(trace, replay::generate(name, 7).unwrap());
        assert_ne!(trace, replay::generate(name, 8).unwrap());
        let mut text = Vec::new();
        replay::write(&trace, &mut text).unwrap();
        assert!(text.len() < replay::MAX_BYTES && trace.lines.len() < replay::MAX_LINES);
        assert_eq!(replay::read(name, text.as_slice()).unwrap(), trace);
    }
    assert!(replay::generate("no-such", 1).is_err());
}

#[rstest]
#[case("", "line 1: the header is missing")]
#[case(
    "{\"format\":9,\"trace\":\"x\",\"seed\":1,\"until_ms\":1,\"waiting_weight\":1,\"kinds\":{}}",
    "line 1: format 1"
)]
#[case("{\"at_ms\":1}", "line 11:")]
#[case(
    "{\"at_ms\":1,\"cancel\":\"x\"}",
    "line 11: at_ms is less than in the line before"
)]
#[case(
    "{\"at_ms\":30000,\"job\":{\"name\":\"a\",\"kind\":\"no\"}}",
    "line 11: kind no is not"
)]
#[case(
    "{\"at_ms\":30000,\"job\":{\"name\":\"a\",\"kind\":\"plan\",\"tasks\":2000000}}",
    "line 11: a trace has at most 1000000 tasks"
)]
fn a_bad_trace_is_refused_with_the_line_number(#[case] last: &str, #[case] expected: &str) {
    let whole = if expected.starts_with("line 1:") {
        last.to_owned()
    } else {
        format!("{SMALL}{last}\n")
    };
    // The small trace has nine lines; the header is the first.
    let expected = expected.replace("line 11", "line 10");
    let error = replay::read("bad", whole.as_bytes())
        .unwrap_err()
        .to_string();
    assert!(error.contains(&expected), "{error}");
}

// An outcome that no placer can meet has to fail the command, with the measured values in the table.
#[test]
fn the_command_fails_when_an_outcome_is_missed() {
    let folder = std::env::temp_dir().join(format!("yuccahold-replay-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("small.jsonl");
    std::fs::write(&path, SMALL).unwrap();
    let outcome = "normal_p99: 1 ms\npacking_floor: 100 %\nnever_run: [plan-1]\n";
    std::fs::write(path.with_extension("yaml"), outcome).unwrap();
    let html = folder.join("report.html");
    let args = ReplayArgs {
        traces: vec![path],
        baselines: true,
        html: Some(html.clone()),
        ..ReplayArgs::default()
    };
    let mut table = Vec::new();
    let code = replay::command(&args, &mut table).unwrap();
    let table = String::from_utf8(table).unwrap();
    let page = std::fs::read_to_string(html).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(code, ExitCode::OutcomeMissed);
    assert!(
        table.contains("small (scheduler): plan-1 was to be never run and was not"),
        "{table}"
    );
    assert!(table.contains("at most 0.001 s was stated"), "{table}");
    assert_eq!(page.matches("<svg").count(), 9);
}

#[test]
fn the_large_trace_has_the_designed_size() {
    let trace = replay::generate("large", 1).unwrap();
    let workers = trace
        .lines
        .iter()
        .filter(|l| matches!(l.change, Change::Worker(_)));
    assert_eq!(workers.count(), 1900);
    assert_eq!(trace.header.teams.len(), 160);
}
