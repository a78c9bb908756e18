//! The load tool: arrivals, bounds, outcomes and comparisons.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use warp::Filter;
use yuccahold::Step;
use yuccahold::load::{
    Arrivals, Choice, JobLoad, LoadOptions, LoadReport, RequestLoad, Samples, Watched, arrivals,
    compare, render_html, render_json, render_table, run, waiting,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn arrivals_follow_from_the_seed_and_keep_the_rate() {
    let draw = |seed| -> Vec<_> {
        arrivals(Arrivals::Poisson, 1000.0, seed)
            .take(10_000)
            .collect()
    };
    assert_eq!(draw(1), draw(1));
    assert_ne!(draw(1), draw(2));
    let last = draw(1)[9_999].as_secs_f64();
    assert!((9.5..10.5).contains(&last), "{last}");
    let even: Vec<_> = arrivals(Arrivals::Even, 100.0, 1).take(3).collect();
    assert_eq!(even, [ms(10), ms(20), ms(30)]);
}

#[test]
fn a_shared_queue_is_the_bound() {
    // Two slots, three requests of 10 ms at once: the third waits for the first slot.
    let requests = [
        (ms(0), ms(10)),
        (ms(0), ms(10)),
        (ms(0), ms(10)),
        (ms(15), ms(10)),
    ];
    let waits = waiting(&requests, 2, Choice::Shared, 1);
    assert_eq!(waits, [ms(0), ms(0), ms(10), ms(0)]);

    let many: Vec<_> = arrivals(Arrivals::Poisson, 640.0, 3)
        .take(20_000)
        .map(|at| (at, ms(10)))
        .collect();
    let mean = |choice| waiting(&many, 8, choice, 5).iter().sum::<Duration>() / 20_000;
    assert!(mean(Choice::Shared) < mean(Choice::TwoChoice));
    assert!(mean(Choice::TwoChoice) < mean(Choice::Random));
}

#[test]
fn waiting_counts_from_when_a_call_was_due() {
    // The server stalls for a second. A caller that waits for each answer would send one call in
    // that time and count one slow answer; here all calls due in it count, as callers see it.
    let mut samples = Samples::default();
    for n in 0..100_u64 {
        let due = ms(n * 10);
        samples.record(due, ms(1000) - due, "done", ms(100));
    }
    assert_eq!(samples.good, 10);
    assert!(samples.done().p50_us > 400_000);
}

/// A server that answers as an entry host and as a minion.
fn serve() -> SocketAddr {
    let outcome = |outcome: &'static str, status: u16| {
        let reply = warp::reply::with_status("answer", http::StatusCode::from_u16(status).unwrap());
        warp::reply::with_header(reply, "yuccahold-outcome", outcome)
    };
    let done =
        warp::path!("v1" / "services" / "massrechner" / "check").map(move || outcome("done", 200));
    let full =
        warp::path!("v1" / "services" / "full" / "check").map(move || outcome("not-run", 503));
    let lost =
        warp::path!("v1" / "services" / "lost" / "check").map(move || outcome("unknown", 502));
    let minion = warp::path!("check").map(move || outcome("", 200));
    let refused = warp::path!("v1" / "jobs").map(move || outcome("not-run", 404));
    let routes = done.or(full).or(lost).or(minion).or(refused);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    addr
}

fn options(addr: SocketAddr, service: &str) -> LoadOptions {
    LoadOptions {
        entries: vec![addr],
        requests: Some(RequestLoad {
            service: service.into(),
            path: "/check".into(),
            rate: 200.0,
            ..RequestLoad::default()
        }),
        warm_up: ms(0),
        duration: ms(300),
        ..LoadOptions::default()
    }
}

#[rstest]
#[case::done("massrechner", "done")]
#[case::not_run("full", "not-run")]
#[case::unknown("lost", "unknown")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_outcome_is_counted(#[case] service: &str, #[case] outcome: &str) {
    let expected = arrivals(Arrivals::Poisson, 200.0, 1)
        .take_while(|at| *at < ms(300))
        .count();
    let report = run(options(serve(), service)).await.unwrap();
    let path = &report.paths["entry"];
    assert_eq!(
        path.outcomes.get(outcome),
        Some(&(expected as u64)),
        "{path:?}"
    );
    assert_eq!(path.outcomes.len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn direct_calls_jobs_and_processes_are_measured_in_one_run() {
    let addr = serve();
    let report = run(LoadOptions {
        direct: vec![addr],
        direct_percent: 50,
        jobs: Some(JobLoad {
            kind: "cut-plan".into(),
            tasks: None,
            rate: 50.0,
            settle: ms(0),
        }),
        watched: vec![Watched {
            name: "self".into(),
            pid: std::process::id(),
            page: None,
        }],
        ..options(addr, "massrechner")
    })
    .await
    .unwrap();
    let calls = |path: &str| report.paths[path].outcomes.values().sum::<u64>();
    assert!(calls("entry").abs_diff(calls("direct")) <= 1);
    assert!(report.added.is_some());
    assert!(report.paths["submit"].outcomes["refused"] > 0);
    assert_eq!(report.jobs.as_ref().unwrap().accepted, 0);
    assert!(report.processes[0].memory > 0);

    let json = render_json(&report).unwrap();
    let back: LoadReport = serde_json::from_str(&json).unwrap();
    assert_eq!(back.added, report.added);
    assert_eq!(back.paths["entry"].outcomes, report.paths["entry"].outcomes);
    assert_eq!(render_html(&report).unwrap().matches("<svg").count(), 3);
    assert!(render_table(&report).contains("added by an entry host"));
}

#[test]
fn a_comparison_lists_what_both_runs_measured() {
    let report = |p99: u64, failed: u64| {
        let mut report = LoadReport::default();
        let mut path = yuccahold::load::PathReport {
            offered_per_second: 100.0,
            goodput_per_second: 99.0,
            ..Default::default()
        };
        (path.done.p50_us, path.done.p99_us, path.done.p999_us) = (200, p99, 2 * p99);
        path.outcomes.insert("done".into(), 990);
        if failed > 0 {
            path.outcomes.insert("unknown".into(), failed);
        }
        report.paths.insert("entry".into(), path);
        report
    };
    insta::assert_snapshot!(compare(&report(1000, 0), &report(1500, 3)));
}

#[tokio::test]
async fn a_run_that_measures_nothing_is_refused() {
    let refused = run(LoadOptions::default()).await.unwrap_err();
    assert_eq!(refused.step, Step::Settings);
}
