//! The state machine while the log rejects its commands.

mod batch_world;

use std::sync::Arc;
use std::time::Duration;

use batch_world::{config, queue};
use tokio::sync::mpsc::unbounded_channel;
use yuccahold::batch::ledger::Command;
use yuccahold::batch::machine::Machine;
use yuccahold::batch::model::{JobSpec, StepSpec, Timetable};
use yuccahold::replication::StateMachine;

const NOW: Duration = Duration::from_secs(3_600);
const UNIX: Duration = Duration::from_secs(1_700_000_000);

/// Command that submits a job whose only occurrence is already due.
fn due_job(job: u64) -> Vec<u8> {
    let spec = JobSpec {
        payload: "payload".into(),
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        timetable: Some(Timetable {
            occurrences: 1,
            first: UNIX,
            interval: Duration::from_secs(1),
        }),
    };
    let submit = Command::Submit {
        job,
        queue: Arc::new(queue()),
        owner: None,
        spec: Arc::new(spec),
    };
    submit.to_bytes().unwrap()
}

/// The leader's disk is full for a short time, and the log rejects its batches. If they were
/// dropped, their contents would be lost, and since two of them would still count as in flight, no
/// further batch would be proposed: jobs would not start until the leader changed.
#[test]
fn batches_that_the_log_rejected_are_proposed_again() {
    let (orders, _kept) = unbounded_channel();
    let mut machine = Machine::new(config(), orders);
    machine.term_started(1);
    machine.leadership_changed(true, NOW);
    let mut refused = Vec::new();
    for job in 1..=3 {
        machine.apply(job, UNIX, &due_job(job));
        refused = machine.own_commands(NOW);
        for command in refused.clone() {
            machine.rejected(command);
        }
    }
    assert_eq!(refused.len(), 2);
    let mut index = 4;
    loop {
        let taken = machine.own_commands(NOW);
        if taken.is_empty() {
            break;
        }
        for command in taken {
            machine.apply(index, UNIX, &command);
            index += 1;
        }
    }
    assert_eq!(index, 4 + 3, "one batch for each job");
}

/// When the replica loses leadership, its rejected batches must be dropped: they are decisions of
/// an earlier term.
#[test]
fn rejected_batches_are_dropped_on_loss_of_leadership() {
    let (orders, _kept) = unbounded_channel();
    let mut machine = Machine::new(config(), orders);
    machine.term_started(1);
    machine.leadership_changed(true, NOW);
    machine.apply(1, UNIX, &due_job(1));
    for command in machine.own_commands(NOW) {
        machine.rejected(command);
    }
    machine.leadership_changed(false, NOW);
    assert_eq!(machine.own_commands(NOW), Vec::<Vec<u8>>::new());
}
