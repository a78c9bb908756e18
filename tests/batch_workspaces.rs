//! Authentication of callers by API key, and their access to jobs.

mod batch_world;

use std::time::Duration;

use batch_world::config;
use rstest::rstest;
use tokio::sync::mpsc::unbounded_channel;
use yuccahold::batch::calls::{ClientAction, ClientCall, ClientReply};
use yuccahold::batch::ledger::{Command, Reply};
use yuccahold::batch::machine::{Admission, Machine};
use yuccahold::batch::workspaces::KeyHash;
use yuccahold::platform::{decode_config, decode_job};
use yuccahold::replication::StateMachine;

const UNIX: Duration = Duration::from_secs(1_700_000_000);
const KEYED_JOB: &str = "/checks/00000000000000a1";
const PUBLIC_JOB: &str = "/open/00000000000000b1";

/// The state machine of a leader, with one queue that requires keys and one that is public.
struct Leader {
    machine: Machine,
    index: u64,
}

impl Leader {
    fn new() -> Self {
        let (orders, _) = unbounded_channel();
        let mut leader = Self {
            machine: Machine::new(config(), orders),
            index: 0,
        };
        leader.machine.term_started(1);
        leader.machine.leadership_changed(true, UNIX);
        leader
    }

    fn with(tenants: &str) -> Self {
        let mut leader = Self::new();
        leader.configure(1, tenants);
        leader
    }

    fn configure(&mut self, version: u64, tenants: &str) {
        let route = |name: &str, public: bool| {
            format!(
                r#"{{"name":"{name}","host":"h","path_prefix":"/{name}/","timeout_ms":3000,
                "service":"s","public":{public}}}"#
            )
        };
        let (checks, open) = (route("checks", false), route("open", true));
        let document = format!(
            r#"{{"version":{version},"routes":[{checks},{open}],"services":[{{"name":"s"}}]{tenants}}}"#
        );
        let order = decode_config(document.into()).expect("a configuration");
        self.apply(&Command::PutConfig {
            version: order.version,
            document: order.document,
            parsed: order.parsed,
        });
    }

    fn apply(&mut self, command: &Command) -> Reply {
        self.index += 1;
        let bytes = command.to_bytes().expect("it encodes");
        self.machine.apply(self.index, UNIX, &bytes)
    }

    /// Outcome of a call, after a command that it proposes is applied.
    fn call(&mut self, path: &str, key: Option<&str>, action: ClientAction) -> &'static str {
        let call = ClientCall {
            host: "h".into(),
            path: path.into(),
            key: key.map(|key| KeyHash::of(key.as_bytes())),
            action,
        };
        match self.machine.admit(UNIX, call) {
            Admission::Answer(reply) => name(&reply),
            Admission::Propose(command) => match self.apply(&command) {
                Reply::Accepted => "accepted",
                Reply::Unknown => "gone",
                Reply::IdTaken => "taken",
                Reply::NotRemembered => "not remembered",
            },
        }
    }

    fn submit(&mut self, path: &str, key: Option<&str>) -> &'static str {
        let spec = decode_job(br#"{"steps":[{"count":1}]}"#).expect("a job");
        self.call(path, key, ClientAction::Submit(spec))
    }

    fn state(&mut self, path: &str, key: Option<&str>) -> &'static str {
        self.call(path, key, ClientAction::State)
    }
}

fn name(reply: &ClientReply) -> &'static str {
    match reply {
        ClientReply::Accepted => "accepted",
        ClientReply::State(_) => "state",
        ClientReply::PendingCount(_) => "pending",
        ClientReply::NotFound => "gone",
        ClientReply::NoQueue => "no queue",
        ClientReply::Unauthenticated => "unauthenticated",
        ClientReply::IdTaken => "taken",
        _ => "other",
    }
}

const TWO_WORKSPACES: &str =
    r#","tenants":[{"name":"a","api_keys":["a1","a2"]},{"name":"b","api_keys":["b1"]}]"#;
const KEYS_OF_A_REMOVED: &str = r#","tenants":[{"name":"a"},{"name":"b","api_keys":["b1"]}]"#;
const KEY_A1_MOVED_TO_B: &str =
    r#","tenants":[{"name":"a","api_keys":["a2"]},{"name":"b","api_keys":["b1","a1"]}]"#;

/// Guards against serving a call whose key is missing or in no configuration.
#[rstest]
#[case::missing(None, "unauthenticated")]
#[case::unknown(Some("x"), "unauthenticated")]
#[case::valid(Some("a1"), "accepted")]
fn a_call_needs_a_valid_key(#[case] key: Option<&str>, #[case] expected: &str) {
    let mut leader = Leader::with(TWO_WORKSPACES);
    assert_eq!(leader.submit(KEYED_JOB, key), expected);
    assert_eq!(leader.submit(PUBLIC_JOB, key), "accepted");
    let pending = leader.call("/checks/", key, ClientAction::PendingCount);
    assert_eq!(pending == "pending", expected == "accepted");
    assert_eq!(leader.submit("/none/00000000000000a1", key), "no queue");
}

/// Deployments without workspaces must not require keys; an empty list of workspaces must.
#[test]
fn without_workspaces_no_key_is_needed() {
    let mut leader = Leader::with("");
    assert_eq!(leader.submit(KEYED_JOB, None), "accepted");
    assert_eq!(leader.state(KEYED_JOB, Some("x")), "state");
    let mut leader = Leader::with(r#","tenants":[]"#);
    assert_eq!(leader.submit(KEYED_JOB, None), "unauthenticated");
}

/// Guards against a key that was removed from the configuration still being accepted.
#[test]
fn a_key_is_valid_until_it_is_removed() {
    let mut leader = Leader::with(TWO_WORKSPACES);
    assert_eq!(leader.submit(KEYED_JOB, Some("a1")), "accepted");
    leader.configure(2, KEYS_OF_A_REMOVED);
    for key in ["a1", "a2"] {
        assert_eq!(leader.submit(KEYED_JOB, Some(key)), "unauthenticated");
        assert_eq!(leader.state(KEYED_JOB, Some(key)), "unauthenticated");
        let cancel = leader.call(KEYED_JOB, Some(key), ClientAction::Cancel);
        assert_eq!(cancel, "unauthenticated");
    }
    leader.configure(3, TWO_WORKSPACES);
    assert_eq!(leader.state(KEYED_JOB, Some("a1")), "state");
}

/// Guards against a workspace reading or cancelling a job of another one.
#[test]
fn a_job_is_visible_only_to_its_workspace() {
    let mut leader = Leader::with(TWO_WORKSPACES);
    assert_eq!(leader.submit(KEYED_JOB, Some("a1")), "accepted");
    assert_eq!(leader.submit(KEYED_JOB, Some("a2")), "accepted", "repeated");
    assert_eq!(leader.state(KEYED_JOB, Some("b1")), "gone");
    let cancel = leader.call(KEYED_JOB, Some("b1"), ClientAction::Cancel);
    assert_eq!(cancel, "gone");
    assert_eq!(leader.submit(KEYED_JOB, Some("b1")), "taken");
    assert_eq!(leader.state(KEYED_JOB, Some("a2")), "state");
}

/// Guards against two concurrent submissions with one id both being accepted: both are proposed
/// before either is committed.
#[rstest]
#[case::of_two_workspaces([("checks", Some("a1")), ("checks", Some("b1"))])]
#[case::in_two_queues([("checks", Some("a1")), ("open", None)])]
fn concurrent_submissions_of_one_id_create_one_job(#[case] calls: [(&str, Option<&str>); 2]) {
    let mut leader = Leader::with(TWO_WORKSPACES);
    let proposals = calls.map(|(queue, key)| {
        let call = ClientCall {
            host: "h".into(),
            path: format!("/{queue}/00000000000000c1").into(),
            key: key.map(|key| KeyHash::of(key.as_bytes())),
            action: ClientAction::Submit(decode_job(br#"{"steps":[{"count":1}]}"#).expect("a job")),
        };
        match leader.machine.admit(UNIX, call) {
            Admission::Propose(command) => command,
            Admission::Answer(reply) => panic!("{reply:?}"),
        }
    });
    let replies = proposals.map(|command| leader.apply(&command));
    assert_eq!(replies, [Reply::Accepted, Reply::IdTaken]);
}

/// Guards against a key that was reassigned to another workspace still giving access to the jobs of
/// the former one.
#[test]
fn a_reassigned_key_gives_access_to_its_new_workspace_only() {
    let mut leader = Leader::with(TWO_WORKSPACES);
    assert_eq!(leader.submit(KEYED_JOB, Some("a1")), "accepted");
    leader.configure(2, KEY_A1_MOVED_TO_B);
    assert_eq!(leader.state(KEYED_JOB, Some("a1")), "gone");
    assert_eq!(leader.state(KEYED_JOB, Some("a2")), "state");
}

/// Guards against a replica restored from a snapshot losing the owners of jobs.
#[test]
fn a_snapshot_keeps_the_owners_of_jobs() {
    let mut leader = Leader::with(TWO_WORKSPACES);
    assert_eq!(leader.submit(KEYED_JOB, Some("a1")), "accepted");
    let mut next = Leader::new();
    let snapshot = leader.machine.snapshot();
    next.machine.restore(&snapshot).expect("it reads");
    assert_eq!(next.state(KEYED_JOB, Some("b1")), "gone");
    assert_eq!(next.state(KEYED_JOB, Some("a1")), "state");
}
