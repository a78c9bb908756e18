//! What callers get when they compete for too little capacity, with and without admission.

mod batch_world;

use std::time::Duration;

use batch_world::callers::{Caller, PATIENCE, Play, Scores, Stream, TASKS_PER_SECOND, submission};
use batch_world::{World, lasting, low_priority_queue, ms, queue, step};
use http_body_util::BodyExt;
use rstest::rstest;
use yuccahold::batch::dispatch::Verdict;
use yuccahold::batch::model::{JobId, StepSpec};
use yuccahold::platform::refusal_reply;

const WARM_UP: Duration = ms(4_000);

/// A calm workspace and one with less urgent work submit 0.55 of the capacity within their weights.
/// After a while a third one submits the rest of `load` times the capacity, eight times its weight.
/// `declared` is the declared run time of its tasks.
fn competition(enabled: bool, load: f64, declared: Duration) -> Scores {
    let flood = load - 0.55;
    let weight = flood * TASKS_PER_SECOND / 2.0 / 8.0;
    let weights = [("calm", 8.0), ("plans", 2.0), ("eager", weight)];
    let mut play = Play::new(enabled, &weights);
    let mut streams = [
        Stream::new("calm", queue(), 2, 0.45),
        Stream::new("plans", low_priority_queue(), 4, 0.1),
        Stream::new("eager", queue(), 2, flood),
    ];
    streams[2].declared = declared;
    let begin = play.world.now + WARM_UP;
    let end = begin + ms(30_000);
    while play.world.now < end {
        let active = if play.world.now < begin { 2 } else { 3 };
        for stream in &mut streams[..active] {
            stream.submit(&mut play);
        }
        play.tick();
    }
    play.scores(begin, end - PATIENCE)
}

fn keys() -> [(&'static str, String); 3] {
    let plans = ("plans", "plans".to_owned());
    [
        ("calm", "checks".to_owned()),
        plans,
        ("eager", "checks".to_owned()),
    ]
}

/// Guards against jobs accepted in vain, against capacity left idle by refusals, and against a calm
/// workspace that pays for the flood of another one.
#[rstest]
#[case::half_too_much(1.5)]
#[case::three_times(3.0)]
fn a_flood_is_refused_and_what_is_accepted_is_in_time(#[case] load: f64) {
    let with = competition(true, load, ms(1_000));
    let without = competition(false, load, ms(1_000));
    println!("load {load}\nwith {with:#?}\nwithout {without:#?}");
    let [calm, plans, eager] = keys();
    assert!(without.values().all(|score| score.refusals == 0));
    assert!(without[&eager].kept() < 0.7);
    assert!(with[&eager].kept() > 0.85);
    assert!(with[&eager].refusals > 0);
    for key in [&calm, &plans, &eager] {
        let before = without[key].share_in_time();
        assert!(with[key].share_in_time() >= before - 0.02, "{key:?}");
    }
    for key in [calm, plans] {
        assert_eq!(with[&key].refusals, 0, "{key:?}");
    }
    assert!(with[&keys()[0]].share_in_time() > 0.95);
}

/// Bad declarations of the flooding workspace must not cost the calm one its service.
#[rstest]
#[case::nothing(0)]
#[case::a_sixtieth(17)]
#[case::sixty_times(60_000)]
#[case::a_century(3_200_000_000_000)]
fn bad_run_times_of_one_workspace_do_not_harm_another(#[case] declared: u64) {
    let with = competition(true, 3.0, ms(declared));
    println!("declared {declared} {with:#?}");
    let [calm, ..] = keys();
    assert_eq!(with[&calm].refusals, 0);
    assert!(with[&calm].share_in_time() > 0.95, "{:?}", with[&calm]);
}

/// A cell in which `calm` uses half of the capacity and `eager` has sent a burst of `jobs`.
fn burst(jobs: usize) -> (Play, Stream, Vec<JobId>) {
    let mut play = Play::new(true, &[("calm", 8.0), ("eager", 0.0)]);
    let mut calm = Stream::new("calm", queue(), 2, 0.5);
    let ready = play.world.now + WARM_UP;
    while play.world.now < ready {
        calm.submit(&mut play);
        play.tick();
    }
    let calls = (0..jobs).map(|_| play.call("eager", queue(), 2, ms(1_000)));
    let burst = calls.collect();
    play.tick();
    (play, calm, burst)
}

/// Guards against newcomers, and callers refused later, that take the capacity of an earlier caller
/// by asking first; and against callers that are all told the same time.
#[test]
fn places_are_served_in_the_order_of_refusal_whoever_asks_first() {
    let (mut play, mut calm, jobs) = burst(40);
    let refused = jobs
        .iter()
        .filter_map(|job| Some((*job, play.callers.remove(job)?)));
    let refused: Vec<_> = refused.collect();
    let due: Vec<_> = refused.iter().map(|(_, caller)| caller.due).collect();
    assert!(due.is_sorted(), "{due:?}");
    assert!(due[9] > due[0] + ms(1_000), "{due:?}");
    while play.world.now < due[2] {
        calm.submit(&mut play);
        play.tick();
    }
    let newcomer = refused[0].1.clone();
    // Also a workspace of weight 0 may submit one job a second.
    assert_eq!(play.verdict(1, &newcomer), Verdict::Admitted);
    let verdict = play.verdict(2, &newcomer);
    assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
    let asked = refused.iter().rev();
    let verdicts = asked.map(|(job, caller)| play.verdict(*job, caller) == Verdict::Admitted);
    let admitted: Vec<_> = verdicts.collect();
    let count = admitted.iter().filter(|admitted| **admitted).count();
    assert!(count > 0);
    let (last, first) = admitted.split_at(admitted.len() - count);
    assert!(
        !last.contains(&true) && !first.contains(&false),
        "{admitted:?}"
    );
}

/// Guards against callers that return at the time they were given and are refused again, while
/// newcomers that are faster are admitted.
#[test]
fn callers_that_return_in_time_are_admitted_before_newcomers() {
    let mut play = Play::new(true, &[("calm", 8.0), ("eager", 0.0)]);
    play.newcomers_first = true;
    let mut calm = Stream::new("calm", queue(), 2, 0.5);
    let mut eager = Stream::new("eager", queue(), 2, 1.0);
    let begin = play.world.now;
    while play.world.now < begin + ms(20_000) {
        calm.submit(&mut play);
        eager.submit(&mut play);
        play.tick();
    }
    let is_counted = |c: &&Caller| c.owner == "eager" && c.begun > begin + WARM_UP;
    let admitted = play.accepted.values().map(|(caller, _)| caller);
    let refusals: Vec<_> = admitted.filter(is_counted).map(|c| c.refusals).collect();
    let again = play
        .given_up
        .iter()
        .filter(is_counted)
        .filter(|c| c.refusals > 1)
        .count();
    let times = |n: u32| refusals.iter().filter(|refusals| **refusals == n).count();
    let (newcomers, returned) = (times(0), times(1));
    println!(
        "newcomers {newcomers}, returned {returned}, of {}, again {again}",
        refusals.len()
    );
    assert!(returned >= 3 * (refusals.len() - newcomers - returned + again));
    assert!(newcomers <= returned);
}

/// Guards against a duplicate that is refused although the first submission may be accepted, and
/// against a proposal that blocks a decision for good after it was lost.
#[test]
fn a_job_whose_proposal_is_in_progress_is_not_refused() {
    let (mut play, mut calm, _) = burst(40);
    let job = play.call("calm", queue(), 2, ms(1_000));
    let caller = play.callers.remove(&job).expect("it was added");
    assert_eq!(play.verdict(job, &caller), Verdict::Admitted);
    let mut eager = caller.clone();
    eager.owner = "eager";
    let begin = play.world.now;
    let mut verdicts = Vec::new();
    while play.world.now < begin + ms(10_100) {
        calm.submit(&mut play);
        for _ in 0..3 {
            play.call("eager", queue(), 2, ms(1_000));
        }
        play.tick();
        verdicts.push((play.world.now, play.verdict(job, &eager)));
    }
    let (pending, later): (Vec<(Duration, Verdict)>, Vec<_>) =
        verdicts.iter().partition(|v| v.0 < begin + ms(10_000));
    assert!(pending.iter().all(|v| v.1 == Verdict::Admitted));
    assert!(matches!(later[0].1, Verdict::Refused { .. }), "{later:?}");
}

/// A new leader has measured nothing and has lost the places. It must admit rather than guess, and
/// then evaluate the callers as new ones.
#[test]
fn a_new_leader_admits_all_jobs_at_first() {
    let (mut play, ..) = burst(40);
    let refused: Vec<_> = play.callers.iter().map(|(j, c)| (*j, c.clone())).collect();
    assert!(!refused.is_empty());
    play.world.new_leader(2);
    for (job, caller) in &refused {
        assert_eq!(play.verdict(*job, caller), Verdict::Admitted);
    }
}

/// Guards against a refused job that is kept or runs, and against refusals after the decision.
#[test]
fn a_refused_job_is_never_kept() {
    let (play, ..) = burst(40);
    let jobs: Vec<_> = play.callers.keys().collect();
    assert!(!jobs.is_empty());
    assert!(
        jobs.iter()
            .all(|job| play.world.ledger.job_state(**job).is_none())
    );
}

/// Long-running jobs are never refused: their callers expect them to wait for capacity.
#[test]
fn long_running_jobs_are_not_refused() {
    let (mut play, ..) = burst(40);
    let (now, unix) = (play.world.now, play.world.unix());
    let new = submission(Some("eager"), 1, queue(), vec![lasting(40, 6_000)]);
    let verdict = play.world.leader.admit(now, unix, &play.world.ledger, &new);
    assert_eq!(verdict, Verdict::Admitted);
}

/// Callers that can't be served in useful time must be told so, must get no earlier time than those
/// before them, and must not keep others waiting for capacity that they will not use.
#[test]
fn callers_that_can_not_be_served_in_useful_time_keep_no_place() {
    let (mut play, ..) = burst(40);
    let caller = play
        .callers
        .values()
        .next()
        .expect("one is refused")
        .clone();
    let mut last = (Duration::ZERO, true);
    for job in 0..6_000 {
        let Verdict::Refused { after, useful } = play.verdict(1_000_000 + job, &caller) else {
            panic!("capacity appeared");
        };
        assert!(
            after >= last.0 && useful <= last.1,
            "{after:?} {useful} after {last:?}"
        );
        last = (after, useful);
    }
    assert!(!last.1);
    assert!(last.0 < ms(6_000), "{last:?}");
}

/// A workspace of weight 0 still gets one job a second, and one whose limit is below what it runs
/// waits for its own runs: neither has anything to do with capacity.
#[test]
fn a_lowered_limit_refuses_nothing_while_capacity_is_free() {
    let mut play = Play::new(true, &[("calm", 8.0)]);
    play.world.set_limits(2, &[("calm", 32)]);
    let mut calm = Stream::new("calm", queue(), 2, 0.5);
    let begin = play.world.now;
    while play.world.now < begin + ms(8_000) {
        if play.world.now == begin + ms(4_000) {
            play.world.set_limits(3, &[("calm", 6)]);
        }
        calm.submit(&mut play);
        play.tick();
    }
    let scores = play.scores(begin, play.world.now);
    assert!(
        scores.values().all(|score| score.refusals == 0),
        "{scores:?}"
    );
}

/// Without workspaces the mechanism must not change any decision.
#[test]
fn without_workspaces_all_decisions_are_the_same() {
    let run = |enabled| {
        let mut play = Play::new(enabled, &[]);
        play.world = World::with(batch_world::callers::with_admission(enabled));
        play.world.join_all("i", 1..5);
        for job in 1..400 {
            let steps: Vec<StepSpec> = vec![step(2 + (job % 3) as u32, 6_000)];
            let new = submission(None, job, queue(), steps.clone());
            let (now, unix) = (play.world.now, play.world.unix());
            let verdict = play.world.leader.admit(now, unix, &play.world.ledger, &new);
            assert_eq!(verdict, Verdict::Admitted);
            play.world.submit_to(job, queue(), steps);
            play.run(ms(40));
        }
        play.cell.started
    };
    assert_eq!(run(true), run(false));
}

/// Callers rely on the status, the header in whole seconds, and the exact time in the body. A header
/// rounded down would bring them back before their time.
#[tokio::test]
async fn the_answer_to_a_refused_caller_has_its_time() {
    let reply = refusal_reply(Duration::from_micros(2_100_500), true);
    assert_eq!(reply.status(), 429);
    assert_eq!(reply.headers()["retry-after"], "3");
    let body = reply.into_body().collect().await.expect("a body");
    let body: serde_json::Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
    assert_eq!(body["retry_after_ms"], 2_101);
    assert_eq!(body["useful"], true);
    assert!(body["error"].is_string());
}
