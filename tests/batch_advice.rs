//! Questions to the policy service, and placement of tasks that need its tickets.

mod batch_world;

use batch_world::{
    JOB, World, checkpointed, lasting, listed, low_priority_queue, ms, one_per_minion, queue,
    report, step,
};
use yuccahold::batch::dispatch::{Advice, AdviceQuestion, Listing, Order, StartOrder};
use yuccahold::batch::ledger::Command;
use yuccahold::batch::model::{EndKind, PolicyConfig, Queue, StepSpec};
use yuccahold::ids::MinionId;

/// A queue whose tasks need tickets of the policy service.
fn advised_queue() -> Queue {
    Queue {
        advice: Some(PolicyConfig {
            base: ms(100),
            per_minion: ms(1),
            validity: ms(2500),
        }),
        ..queue()
    }
}

/// Answers a question by allowing all minions that it names.
fn allow_all(world: &mut World, question: &AdviceQuestion) {
    let good = question
        .minions
        .iter()
        .map(|m| (m.clone(), "ticket".into()));
    let advice = Advice {
        good: good.collect(),
    };
    world
        .leader
        .advice_received(world.now, question.id, Some(advice));
    world.decide();
}

/// A step with at most one task per minion runs on eight minions, and one of them leaves. The
/// others have the most room but can take no second task. If questions named them again and again,
/// each taking a fifth of a ticket's validity, the task would wait forever, although a ninth minion
/// that the policy allows has room.
#[test]
fn questions_skip_minions_at_their_limit_of_a_step() {
    let mut world = World::new();
    let spread = one_per_minion(8, 1_000);
    world.join_all("i", 0..8);
    let mut ninth = report("i-8", 8);
    ninth.labels.push("ninth".into());
    let ninth = world.join_as(ninth);
    world.submit_to(JOB, advised_queue(), vec![spread]);
    let question = world.take_questions().remove(0);
    assert_eq!(question.minions.len(), 9);
    allow_all(&mut world, &question);
    let mut starts = world.start_all();
    assert!(starts.iter().all(|(m, _)| *m != ninth));
    let other = StepSpec {
        label: Some("ninth".into()),
        ..lasting(1, 16_000)
    };
    world.submit(JOB + 1, vec![other]);
    starts.extend(world.start_all());
    for _ in 0..40 {
        world.advance(ms(100));
        answer_holds(&mut world, &starts);
    }
    world.take_questions();

    world.leader.minion_left(world.now, &"i-0".into());
    let lost = starts.iter().position(|(m, _)| *m == 0).expect("one each");
    let (minion, order) = starts.remove(lost);
    world.end(minion, 1, &order, EndKind::Failed);
    let mut restarted = Vec::new();
    for _ in 0..20 {
        let questions = world.take_questions();
        for _ in 0..5 {
            world.advance(ms(100));
            answer_holds(&mut world, &starts);
        }
        for question in questions {
            allow_all(&mut world, &question);
        }
        let new = world.start_all();
        restarted.extend(new.iter().map(|(m, _)| *m));
        starts.extend(new);
    }
    assert_eq!(restarted, [ninth]);
}

/// Answers all holds; each minion lists those of `starts` that it was given.
fn answer_holds(world: &mut World, starts: &[(u32, StartOrder)]) {
    for (minion, _) in world.take_holds() {
        let running = starts.iter().filter(|(m, _)| *m == minion);
        let running = running.map(|(_, s)| listed(s)).collect();
        let clock = world.now;
        world.listing(
            minion,
            Listing {
                clock,
                running,
                ended: Vec::new(),
                ..Listing::default()
            },
        );
    }
}

/// Jobs are cancelled while questions about them are pending. These questions must stop counting
/// against the limit; otherwise no further question would be sent and no work with a policy would
/// start.
#[test]
fn questions_about_cancelled_jobs_do_not_pile_up() {
    let mut world = World::new();
    world.join("i-1", 1);
    for job in 1..=20 {
        world.submit_to(job, advised_queue(), vec![lasting(1, 1_000)]);
        world.apply(&Command::Cancel { job });
        world.decide();
    }
    world.take_questions();
    world.submit_to(JOB, advised_queue(), vec![lasting(1, 1_000)]);
    let asked: Vec<_> = world
        .take_questions()
        .iter()
        .map(|question| question.id.step.job)
        .collect();
    assert_eq!(asked, [JOB]);
}

/// One task of a long step is left in a large, busy cell. A question by itself costs as much as
/// naming 70 minions. One that names only as many as the task needs would yield at most one ticket,
/// whose room may be gone by then, and the whole job would wait for its last task.
#[test]
fn a_step_with_one_task_left_asks_about_many_minions() {
    let mut world = World::new();
    world.join_all("i", 0..60);
    world.submit_to(JOB, advised_queue(), vec![lasting(1, 1_000)]);
    let question = world.take_questions().remove(0);
    assert_eq!(question.minions.len(), 30);

    // The policy forbids all of those, and the others have no room at the moment.
    world.submit(JOB + 1, vec![lasting(60, 32_000)]);
    world.start_all();
    let nobody = Advice { good: Vec::new() };
    world
        .leader
        .advice_received(world.now, question.id, Some(nobody));
    world.advance(ms(300));
    let question = world.take_questions().remove(0);
    assert_eq!(question.minions.len(), 30);
}

/// A check has a ticket for a minion that is full of runs with checkpoints. Another minion has room
/// but was not asked about yet. A question takes 0.1 s; preempting a run takes longer and delays
/// its job. The run may be preempted only once the policy forbids all minions with room.
#[test]
fn nothing_is_stopped_while_a_ticket_would_do() {
    let mut world = World::new();
    world.join("i-full", 1);
    world.submit_to(JOB + 1, low_priority_queue(), vec![checkpointed(1, 32_000)]);
    world.start_all();
    world.submit_to(JOB, advised_queue(), vec![step(1, 1_000)]);
    let question = world.take_questions().remove(0);
    world.join("i-free", 2);
    allow_all(&mut world, &question);
    world.advance(ms(200));
    let questions = world.take_questions();
    let asked: Vec<_> = questions.iter().map(|q| q.minions.clone()).collect();
    assert_eq!(asked, [["i-free"]]);
    assert_eq!(world.take_stops().len(), 0);

    let nobody = Advice { good: Vec::new() };
    let latest = questions[0].id;
    world
        .leader
        .advice_received(world.now, latest, Some(nobody));
    world.advance(ms(100));
    assert_eq!(world.take_stops().len(), 1);
}

/// A question is not answered for 4 s, as its agent is cut off, so a second one names other
/// minions. Then the answer to the first one arrives. Matched to the second question, it would mark
/// all minions named there as forbidden: they would never be asked about again, and the job would
/// wait forever in an empty cell.
#[test]
fn a_late_answer_is_not_taken_for_one_to_a_later_question() {
    let mut world = World::new();
    world.join_all("i", 0..30);
    world.submit_to(JOB, advised_queue(), vec![lasting(1, 1_000)]);
    let first = world.take_questions().remove(0);
    // The minions named in the first question are filled, and others join.
    world.submit(JOB + 1, vec![lasting(30, 32_000)]);
    world.start_all();
    world.join_all("i", 30..60);
    world.advance(ms(4_100));
    let second = world.take_questions().remove(0);
    assert!(second.minions.iter().all(|m| !first.minions.contains(m)));

    allow_all(&mut world, &first);
    allow_all(&mut world, &second);
    let started = world.start_all();
    assert_eq!(started.len(), 1);
}

/// Guards against two lost questions in a row that keep a lasting task without a run for 8 s beside
/// room; it has to run again within 6 s.
#[test]
fn two_lost_questions_about_a_lasting_task_leave_time_for_a_third() {
    let mut world = World::new();
    world.join_all("i", 0..30);
    world.submit_to(JOB, advised_queue(), vec![lasting(1, 1_000)]);
    let begun = world.now;
    for _ in 0..2 {
        assert_eq!(world.take_questions().len(), 1);
        while world.orders.iter().all(|o| !matches!(o, Order::Advise(_))) {
            world.advance(ms(50));
        }
    }
    let waited = world.now - begun;
    assert!(
        waited < ms(5_000),
        "asked for the third time after {waited:?}"
    );
}

/// Guards against a policy service that answers later than expected, each time after the question was
/// given up, so that its answers are never of use.
#[test]
fn a_late_answer_about_a_lasting_task_still_counts() {
    let mut world = World::new();
    world.join_all("i", 0..30);
    world.submit_to(JOB, advised_queue(), vec![lasting(1, 1_000)]);
    let first = world.take_questions().remove(0);
    while world.orders.iter().all(|o| !matches!(o, Order::Advise(_))) {
        world.advance(ms(50));
    }
    allow_all(&mut world, &first);
    assert_eq!(world.start_all().len(), 1);
}

/// Four questions, the limit of pending ones, are lost together as all agents are cut off. They
/// must not count against the limit permanently: no question would be sent again, and jobs with
/// room for them would wait until the next change of leader.
#[test]
fn questions_that_are_lost_together_are_asked_again() {
    let mut world = World::new();
    world.leader.set_agents(7);
    world.join_all("i", 0..8);
    let queue = Queue {
        priority: 1,
        ..advised_queue()
    };
    for job in JOB..JOB + 4 {
        world.submit_to(job, queue.clone(), vec![lasting(1, 1_000)]);
        world.advance(ms(200));
    }
    assert_eq!(world.take_questions().len(), 4);
    for _ in 0..50 {
        world.advance(ms(100));
    }
    assert!(!world.take_questions().is_empty());
}

/// Questions that are pending at the same time name different minions while there is room for all.
/// Otherwise the first answer would use the room, and the tickets of the others would be useless.
#[test]
fn checks_that_come_together_do_not_ask_for_the_same_room() {
    let mut world = World::new();
    world.leader.set_agents(100);
    world.join_all("i", 0..200);
    world.submit(JOB, vec![one_per_minion(200, 24_000)]);
    assert_eq!(world.start_all().len(), 200);
    let mut questions = Vec::new();
    for job in 1..=10 {
        world.submit_to(job, advised_queue(), vec![step(10, 7_000)]);
        questions.extend(world.take_questions());
        world.advance(ms(5));
    }
    assert_eq!(questions.len(), 10);
    for question in &questions {
        allow_all(&mut world, question);
    }
    assert_eq!(world.take_starts().len(), 100);
    world.advance(ms(100));
    assert_eq!(world.take_questions().len(), 0);
}

/// Minions with free room are named first: tickets for minions where runs would have to be
/// preempted are useless while there is room elsewhere.
#[test]
fn a_question_names_minions_with_room_before_those_where_others_would_have_to_be_stopped() {
    let mut world = World::new();
    world.leader.set_agents(10);
    world.join_all("i-free", 0..30);
    world.submit(JOB, vec![one_per_minion(30, 24_000)]);
    world.start_all();
    world.join_all("i-full", 30..90);
    world.submit_to(
        JOB + 1,
        low_priority_queue(),
        vec![checkpointed(60, 32_000)],
    );
    assert_eq!(world.start_all().len(), 60);

    world.submit_to(JOB + 2, advised_queue(), vec![step(7, 7_000)]);
    let question = world.take_questions().remove(0);
    let free = |m: &MinionId| m.starts_with("i-free");
    assert_eq!(question.minions.iter().filter(|m| free(m)).count(), 30);
    allow_all(&mut world, &question);
    assert_eq!(world.take_starts().len(), 7);
    assert_eq!(world.take_stops().len(), 0);
}
