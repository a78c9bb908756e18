//! Cancellations that overtake the submissions of their jobs.

mod batch_world;

use std::time::Duration;

use batch_world::config;
use rstest::rstest;
use tokio::sync::mpsc::unbounded_channel;
use yuccahold::batch::calls::{ClientAction, ClientCall, ClientReply};
use yuccahold::batch::ledger::{Command, Reply};
use yuccahold::batch::machine::{Admission, Machine};
use yuccahold::batch::model::JobState;
use yuccahold::batch::workspaces::KeyHash;
use yuccahold::platform::{decode_config, decode_job};
use yuccahold::replication::StateMachine;

const UNIX: Duration = Duration::from_secs(1_700_000_000);
/// Longest time for which a submission may be late.
const MAX_LATENESS: Duration = Duration::from_secs(300);
/// Cancellations of unknown jobs that one workspace may have remembered.
const MAX_CANCELS_OF_OWNER: u64 = 8_192;
const JOB: u64 = 0xa1;

const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"checks","host":"h","path_prefix":"/checks/","timeout_ms":3000,"service":"s"},
    {"name":"plans","host":"h","path_prefix":"/plans/","timeout_ms":3000,"service":"s"},
    {"name":"open","host":"h","path_prefix":"/open/","timeout_ms":3000,"service":"s","public":true}],
    "services":[{"name":"s"}],
    "tenants":[{"name":"a","api_keys":["a1","a2"]},{"name":"b","api_keys":["b1"]}]}"#;

/// The state machine of a leader and the time of its log.
struct Leader {
    machine: Machine,
    index: u64,
    at: Duration,
}

impl Leader {
    fn new() -> Self {
        let mut leader = Self::empty();
        let order = decode_config(CONFIG.into()).expect("a configuration");
        leader.apply(&Command::PutConfig {
            version: order.version,
            document: order.document,
            parsed: order.parsed,
        });
        leader
    }

    fn empty() -> Self {
        let (orders, _) = unbounded_channel();
        let mut machine = Machine::new(config(), orders);
        machine.term_started(1);
        machine.leadership_changed(true, UNIX);
        let (index, at) = (0, UNIX);
        Self { machine, index, at }
    }

    /// A new leader on another replica, which got the state in a snapshot.
    fn successor(&self) -> Self {
        let mut next = Self::empty();
        let snapshot = self.machine.snapshot();
        next.machine.restore(&snapshot).expect("it reads");
        next.machine.leadership_changed(true, UNIX);
        next.at = self.at;
        next
    }

    fn apply(&mut self, command: &Command) -> Reply {
        self.index += 1;
        let bytes = command.to_bytes().expect("it encodes");
        self.machine.apply(self.index, self.at, &bytes)
    }

    /// Lets the log run for some time.
    fn run(&mut self, time: Duration) {
        let end = self.at + time;
        while self.at < end {
            self.at = end.min(self.at + Duration::from_secs(1));
            self.apply(&Command::Batch(Default::default()));
        }
    }

    fn admit(&mut self, queue: &str, job: u64, key: &str, action: ClientAction) -> Admission {
        let call = ClientCall {
            host: "h".into(),
            path: format!("/{queue}/{job:016x}").into(),
            key: Some(KeyHash::of(key.as_bytes())),
            action,
        };
        self.machine.admit(self.at, call)
    }

    fn call(&mut self, queue: &str, job: u64, key: &str, action: ClientAction) -> ClientReply {
        match self.admit(queue, job, key, action) {
            Admission::Answer(reply) => reply,
            Admission::Propose(command) => match self.apply(&command) {
                Reply::Accepted => ClientReply::Accepted,
                Reply::Unknown => ClientReply::NotFound,
                Reply::IdTaken => ClientReply::IdTaken,
                Reply::NotRemembered => ClientReply::Unavailable(Duration::ZERO),
            },
        }
    }

    fn cancel(&mut self, queue: &str, job: u64, key: &str) -> ClientReply {
        self.call(queue, job, key, ClientAction::Cancel)
    }

    fn submit(&mut self, queue: &str, job: u64, key: &str) -> ClientReply {
        let spec = decode_job(br#"{"steps":[{"count":1}]}"#).expect("a job");
        self.call(queue, job, key, ClientAction::Submit(spec))
    }

    fn state(&mut self, queue: &str, job: u64, key: &str) -> ClientReply {
        self.call(queue, job, key, ClientAction::State)
    }
}

const CANCELLED: ClientReply = ClientReply::State(JobState::Canceled);
const QUEUED: ClientReply = ClientReply::State(JobState::Queued);

/// Guards against a submission that a frozen host passes on late running after its job was cancelled.
#[test]
fn a_submission_after_its_cancellation_does_not_run() {
    let mut leader = Leader::new();
    assert_eq!(leader.cancel("checks", JOB, "a1"), ClientReply::NotFound);
    let unsubmitted = leader.state("checks", JOB, "a1");
    assert_eq!(unsubmitted, ClientReply::NotFound, "nobody submitted it");
    assert_eq!(leader.submit("checks", JOB, "a1"), ClientReply::Accepted);
    assert_eq!(leader.state("checks", JOB, "a1"), CANCELLED);
    assert_eq!(leader.submit("checks", JOB, "a2"), ClientReply::Accepted);
    assert_eq!(leader.cancel("checks", JOB, "a1"), ClientReply::Accepted);
}

/// Guards against the cancellation being lost with the leader or with the log's entries.
#[test]
fn a_new_leader_knows_the_cancellation_from_a_snapshot() {
    let mut leader = Leader::new();
    leader.cancel("checks", JOB, "a1");
    let mut next = leader.successor();
    next.submit("checks", JOB, "a1");
    assert_eq!(next.state("checks", JOB, "a1"), CANCELLED);
}

/// Guards against a cancellation that blocks the job of another workspace or queue with the same id.
#[rstest]
#[case::same("checks", "a1", CANCELLED)]
#[case::rotated_key("checks", "a2", CANCELLED)]
#[case::other_workspace("checks", "b1", QUEUED)]
#[case::other_queue("plans", "a1", QUEUED)]
#[case::public_queue("open", "a1", QUEUED)]
fn a_cancellation_holds_for_its_queue_and_workspace(
    #[case] queue: &str,
    #[case] key: &str,
    #[case] state: ClientReply,
) {
    let mut leader = Leader::new();
    leader.cancel("checks", JOB, "a1");
    assert_eq!(leader.submit(queue, JOB, key), ClientReply::Accepted);
    assert_eq!(leader.state(queue, JOB, key), state);
}

/// Guards against a cancellation being lost because the id is in use by another workspace for now.
#[test]
fn a_cancellation_is_remembered_beside_a_job_of_another_workspace() {
    let mut leader = Leader::new();
    leader.submit("checks", JOB, "b1");
    assert_eq!(leader.cancel("checks", JOB, "a1"), ClientReply::NotFound);
    assert_eq!(leader.state("checks", JOB, "b1"), QUEUED, "b's job stays");
    assert_eq!(leader.submit("checks", JOB, "a1"), ClientReply::IdTaken);
}

/// Guards against a cancellation that meets its submission in the log leaving the job open.
#[test]
fn a_cancellation_ends_a_job_that_is_applied_before_it() {
    let mut leader = Leader::new();
    let Admission::Propose(cancel) = leader.admit("checks", JOB, "a1", ClientAction::Cancel) else {
        panic!("the job is not known")
    };
    leader.submit("checks", JOB, "a1");
    assert_eq!(leader.apply(&cancel), Reply::Accepted);
    assert_eq!(leader.state("checks", JOB, "a1"), CANCELLED);
}

/// Guards against forgetting an acknowledged cancellation before every late submission has come, or
/// keeping it for ever.
#[rstest]
#[case::as_late_as_can_be(&[MAX_LATENESS], CANCELLED)]
#[case::after_a_jump_of_the_clock(&[Duration::ZERO], CANCELLED)]
#[case::repeated(&[MAX_LATENESS, Duration::from_secs(1), MAX_LATENESS], CANCELLED)]
#[case::much_later(&[MAX_LATENESS, MAX_LATENESS, Duration::from_secs(2)], QUEUED)]
fn a_cancellation_is_remembered_for_as_long_as_a_submission_may_be_late(
    #[case] waits: &[Duration],
    #[case] state: ClientReply,
) {
    let mut leader = Leader::new();
    leader.cancel("checks", JOB, "a1");
    for wait in waits {
        leader.run(*wait);
        if wait.is_zero() {
            leader.at += Duration::from_secs(3_600);
            leader.apply(&Command::Batch(Default::default()));
        }
        if *wait == Duration::from_secs(1) {
            assert_eq!(leader.cancel("checks", JOB, "a1"), ClientReply::NotFound);
        }
    }
    leader.submit("checks", JOB, "a1");
    assert_eq!(leader.state("checks", JOB, "a1"), state);
}

/// Guards against a caller that cancels random ids filling the state of all replicas, and against
/// making room by forgetting an acknowledged cancellation.
#[test]
fn a_full_memory_refuses_cancellations_and_forgets_none() {
    let mut leader = Leader::new();
    let before = leader.machine.snapshot().len();
    for job in 1..=MAX_CANCELS_OF_OWNER {
        assert_eq!(leader.cancel("checks", job, "a1"), ClientReply::NotFound);
    }
    let index = leader.index;
    let refused = leader.cancel("checks", u64::MAX, "a1");
    assert!(matches!(refused, ClientReply::Unavailable(_)));
    assert_eq!(leader.cancel("checks", 1, "a1"), ClientReply::NotFound);
    assert_eq!(leader.index, index, "neither costs an entry of the log");
    let grown = leader.machine.snapshot().len() - before;
    assert!(grown < 1024 * 1024, "{grown} bytes in snapshots");
    assert_eq!(leader.cancel("checks", JOB, "b1"), ClientReply::NotFound);
    leader.submit("checks", 1, "a1");
    assert_eq!(leader.state("checks", 1, "a1"), CANCELLED);
    leader.run(MAX_LATENESS * 2 + Duration::from_secs(1));
    assert_eq!(
        leader.cancel("checks", u64::MAX, "a1"),
        ClientReply::NotFound
    );
}
