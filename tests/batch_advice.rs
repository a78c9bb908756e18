//! Questions to the policy service, and tasks that wait for its tickets.

mod batch_world;

use batch_world::{JOB, World, lasting, listed, ms, one_each, plans, queue, report, saving, step};
use yuccahold::batch::dispatch::{Advice, AdviceQuestion, Listing, StartOrder};
use yuccahold::batch::ledger::Command;
use yuccahold::batch::model::{AdviceTerms, EndKind, Queue, StepSpec};
use yuccahold::ids::MinionId;

fn advised_queue() -> Queue {
    Queue {
        advice: Some(AdviceTerms {
            base: ms(100),
            per_minion: ms(1),
            validity: ms(2500),
        }),
        ..queue()
    }
}

/// Says yes to everyone who is asked about.
fn allow(world: &mut World, question: &AdviceQuestion) {
    let good = question
        .minions
        .iter()
        .map(|m| (m.clone(), "ticket".into()));
    let advice = Advice {
        good: good.collect(),
    };
    world.leader.advised(world.now, question.id, Some(advice));
    world.decide();
}

/// A service runs one task on each of eight minions, and one of these leaves. The others have the
/// most room, but may take no second task, and a question takes a fifth of a ticket's validity.
/// Asking about them in turn would leave the task waiting for ever, although a ninth minion that
/// is known to be good has room.
#[test]
fn minions_with_their_share_of_a_step_do_not_hide_the_others() {
    let mut world = World::new();
    let spread = one_each(8, 1_000);
    world.join_all("i", 0..8);
    let mut ninth = report("i-8", 8);
    ninth.labels.push("ninth".into());
    let ninth = world.join_as(ninth);
    world.submit_to(JOB, advised_queue(), vec![spread]);
    let question = world.take_questions().remove(0);
    assert_eq!(question.minions.len(), 9);
    allow(&mut world, &question);
    let mut starts = world.start_all();
    assert!(starts.iter().all(|(m, _)| *m != ninth));
    let other = StepSpec {
        label: Some("ninth".into()),
        ..lasting(1, 16_000)
    };
    world.submit(JOB + 1, vec![other]);
    starts.extend(world.start_all());
    for _ in 0..40 {
        world.pass(ms(100));
        answer_holds(&mut world, &starts);
    }
    world.take_questions();

    world.leader.left(world.now, &"i-0".into());
    let lost = starts.iter().position(|(m, _)| *m == 0).expect("one each");
    let (minion, order) = starts.remove(lost);
    world.end(minion, 1, &order, EndKind::Failed);
    let mut restarted = Vec::new();
    for _ in 0..20 {
        let questions = world.take_questions();
        for _ in 0..5 {
            world.pass(ms(100));
            answer_holds(&mut world, &starts);
        }
        for question in questions {
            allow(&mut world, &question);
        }
        let new = world.start_all();
        restarted.extend(new.iter().map(|(m, _)| *m));
        starts.extend(new);
    }
    assert_eq!(restarted, [ninth]);
}

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

/// Callers cancel jobs while the policy service is being asked about them. The answers come to
/// nobody; they must not count as on the way for ever, or no step would be asked about any more
/// and all work with a policy would stand still.
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

/// One task of a long step is left, and the cell is large and busy. A question costs as much as
/// naming 70 minions. Naming just as many as the task needs would bring one ticket or none, whose
/// room is gone by then, and the whole job would wait for its last task.
#[test]
fn a_step_with_one_task_left_asks_about_many_minions() {
    let mut world = World::new();
    world.join_all("i", 0..60);
    world.submit_to(JOB, advised_queue(), vec![lasting(1, 1_000)]);
    let question = world.take_questions().remove(0);
    assert_eq!(question.minions.len(), 30);

    // None of those may run it, and the others have no room just now.
    world.submit(JOB + 1, vec![lasting(60, 32_000)]);
    world.start_all();
    let nobody = Advice { good: Vec::new() };
    world.leader.advised(world.now, question.id, Some(nobody));
    world.pass(ms(300));
    let question = world.take_questions().remove(0);
    assert_eq!(question.minions.len(), 30);
}

/// A check has a ticket for a minion that is full of work which saves its progress. Another
/// minion has room, and nobody has asked about it yet. To ask takes a tenth of a second; to stop
/// a run takes longer and makes its job late. Only when nobody with room may run the check is the
/// run stopped.
#[test]
fn nothing_is_stopped_while_a_ticket_would_do() {
    let mut world = World::new();
    world.join("i-full", 1);
    world.submit_to(JOB + 1, plans(), vec![saving(1, 32_000)]);
    world.start_all();
    world.submit_to(JOB, advised_queue(), vec![step(1, 1_000)]);
    let question = world.take_questions().remove(0);
    world.join("i-free", 2);
    allow(&mut world, &question);
    world.pass(ms(200));
    let questions = world.take_questions();
    let asked: Vec<_> = questions.iter().map(|q| q.minions.clone()).collect();
    assert_eq!(asked, [["i-free"]]);
    assert_eq!(world.take_stops().len(), 0);

    let nobody = Advice { good: Vec::new() };
    let latest = questions[0].id;
    world.leader.advised(world.now, latest, Some(nobody));
    world.pass(ms(100));
    assert_eq!(world.take_stops().len(), 1);
}

/// A question is not answered for four seconds, since its asker is cut off, so another one names
/// other minions. Then the answer to the first one comes. Taken for an answer to the second, it
/// would say that none of the minions named there may run the step: they would never be asked about
/// again, and the job would wait for ever in an empty cell.
#[test]
fn a_late_answer_is_not_taken_for_one_to_a_later_question() {
    let mut world = World::new();
    world.join_all("i", 0..30);
    world.submit_to(JOB, advised_queue(), vec![lasting(1, 1_000)]);
    let first = world.take_questions().remove(0);
    // The minions named there get other work, and others join.
    world.submit(JOB + 1, vec![lasting(30, 32_000)]);
    world.start_all();
    world.join_all("i", 30..60);
    world.pass(ms(4_100));
    let second = world.take_questions().remove(0);
    assert!(second.minions.iter().all(|m| !first.minions.contains(m)));

    allow(&mut world, &first);
    allow(&mut world, &second);
    let started = world.start_all();
    assert_eq!(started.len(), 1);
}

/// Four questions are lost together, as all askers are cut off, and that is as many as may be on the
/// way at once. They must not count as on the way for good: no step would be asked about again, and
/// jobs with room for them would wait until the next change of leader.
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
        world.pass(ms(200));
    }
    assert_eq!(world.take_questions().len(), 4);
    for _ in 0..50 {
        world.pass(ms(100));
    }
    assert!(!world.take_questions().is_empty());
}

/// Questions that are on the way together name different minions while there is room for all.
#[test]
fn checks_that_come_together_do_not_ask_for_the_same_room() {
    let mut world = World::new();
    world.leader.set_agents(100);
    world.join_all("i", 0..200);
    world.submit(JOB, vec![one_each(200, 24_000)]);
    assert_eq!(world.start_all().len(), 200);
    let mut questions = Vec::new();
    for job in 1..=10 {
        world.submit_to(job, advised_queue(), vec![step(10, 7_000)]);
        questions.extend(world.take_questions());
        world.pass(ms(5));
    }
    assert_eq!(questions.len(), 10);
    for question in &questions {
        allow(&mut world, question);
    }
    assert_eq!(world.take_starts().len(), 100);
    world.pass(ms(100));
    assert_eq!(world.take_questions().len(), 0);
}

/// Tickets for room that would have to be made are of no use while there is room elsewhere.
#[test]
fn a_question_names_minions_with_room_before_those_where_others_would_have_to_be_stopped() {
    let mut world = World::new();
    world.leader.set_agents(10);
    world.join_all("i-free", 0..30);
    world.submit(JOB, vec![one_each(30, 24_000)]);
    world.start_all();
    world.join_all("i-full", 30..90);
    world.submit_to(JOB + 1, plans(), vec![saving(60, 32_000)]);
    assert_eq!(world.start_all().len(), 60);

    world.submit_to(JOB + 2, advised_queue(), vec![step(7, 7_000)]);
    let question = world.take_questions().remove(0);
    let free = |m: &MinionId| m.starts_with("i-free");
    assert_eq!(question.minions.iter().filter(|m| free(m)).count(), 30);
    allow(&mut world, &question);
    assert_eq!(world.take_starts().len(), 7);
    assert_eq!(world.take_stops().len(), 0);
}
