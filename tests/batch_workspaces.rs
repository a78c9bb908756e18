//! Whose calls are served, and which jobs a caller may see.

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
const CHECK: &str = "/checks/00000000000000a1";
const OPEN: &str = "/open/00000000000000b1";

/// A leader with one queue that asks for keys and one that does not.
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
        leader.machine.term_began(1);
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

    /// What a call brings, once what it proposes is agreed.
    fn call(&mut self, path: &str, key: Option<&str>, action: ClientAction) -> &'static str {
        let call = ClientCall {
            host: "h".into(),
            path: path.into(),
            key: key.map(|key| KeyHash::of(key.as_bytes())),
            action,
        };
        match self.machine.admit(call) {
            Admission::Answer(reply) => name(&reply),
            Admission::Propose(command) => match self.apply(&command) {
                Reply::Accepted => "accepted",
                Reply::Unknown => "gone",
                Reply::IdTaken => "taken",
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
        ClientReply::Pending(_) => "pending",
        ClientReply::Gone => "gone",
        ClientReply::NoQueue => "no queue",
        ClientReply::Unauthenticated => "unauthenticated",
        ClientReply::IdTaken => "taken",
        _ => "other",
    }
}

const TWO: &str =
    r#","tenants":[{"name":"a","api_keys":["a1","a2"]},{"name":"b","api_keys":["b1"]}]"#;
const A_LOST_ITS_KEYS: &str = r#","tenants":[{"name":"a"},{"name":"b","api_keys":["b1"]}]"#;
const KEY_MOVED: &str =
    r#","tenants":[{"name":"a","api_keys":["a2"]},{"name":"b","api_keys":["b1","a1"]}]"#;

/// A call runs although no configuration ever held its key.
#[rstest]
#[case::missing(None, "unauthenticated")]
#[case::never_held(Some("x"), "unauthenticated")]
#[case::held(Some("a1"), "accepted")]
fn a_call_needs_a_key_in_force(#[case] key: Option<&str>, #[case] expected: &str) {
    let mut leader = Leader::with(TWO);
    assert_eq!(leader.submit(CHECK, key), expected);
    assert_eq!(leader.submit(OPEN, key), "accepted");
    let pending = leader.call("/checks/", key, ClientAction::Pending);
    assert_eq!(pending == "pending", expected == "accepted");
    assert_eq!(leader.submit("/none/00000000000000a1", key), "no queue");
}

/// Deployments without workspaces ask nobody for a key.
#[test]
fn without_workspaces_no_key_is_needed() {
    let mut leader = Leader::with("");
    assert_eq!(leader.submit(CHECK, None), "accepted");
    assert_eq!(leader.state(CHECK, Some("x")), "state");
    let mut leader = Leader::with(r#","tenants":[]"#);
    assert_eq!(leader.submit(CHECK, None), "unauthenticated");
}

/// A key that was taken away still serves.
#[test]
fn a_key_serves_until_it_is_taken_away() {
    let mut leader = Leader::with(TWO);
    assert_eq!(leader.submit(CHECK, Some("a1")), "accepted");
    leader.configure(2, A_LOST_ITS_KEYS);
    for key in ["a1", "a2"] {
        assert_eq!(leader.submit(CHECK, Some(key)), "unauthenticated");
        assert_eq!(leader.state(CHECK, Some(key)), "unauthenticated");
        let cancel = leader.call(CHECK, Some(key), ClientAction::Cancel);
        assert_eq!(cancel, "unauthenticated");
    }
    leader.configure(3, TWO);
    assert_eq!(leader.state(CHECK, Some("a1")), "state");
}

/// Another workspace learns of a job, or ends it.
#[test]
fn a_job_is_seen_by_its_workspace_alone() {
    let mut leader = Leader::with(TWO);
    assert_eq!(leader.submit(CHECK, Some("a1")), "accepted");
    assert_eq!(leader.submit(CHECK, Some("a2")), "accepted", "repeated");
    assert_eq!(leader.state(CHECK, Some("b1")), "gone");
    let cancel = leader.call(CHECK, Some("b1"), ClientAction::Cancel);
    assert_eq!(cancel, "gone");
    assert_eq!(leader.submit(CHECK, Some("b1")), "taken");
    assert_eq!(leader.state(CHECK, Some("a2")), "state");
}

/// Two callers hand in one id at the same moment, and both are told that it was accepted.
#[rstest]
#[case::of_two_workspaces([("checks", Some("a1")), ("checks", Some("b1"))])]
#[case::in_two_queues([("checks", Some("a1")), ("open", None)])]
fn an_id_in_a_race_belongs_to_one_job(#[case] calls: [(&str, Option<&str>); 2]) {
    let mut leader = Leader::with(TWO);
    let proposals = calls.map(|(queue, key)| {
        let call = ClientCall {
            host: "h".into(),
            path: format!("/{queue}/00000000000000c1").into(),
            key: key.map(|key| KeyHash::of(key.as_bytes())),
            action: ClientAction::Submit(decode_job(br#"{"steps":[{"count":1}]}"#).expect("a job")),
        };
        match leader.machine.admit(call) {
            Admission::Propose(command) => command,
            Admission::Answer(reply) => panic!("{reply:?}"),
        }
    });
    let replies = proposals.map(|command| leader.apply(&command));
    assert_eq!(replies, [Reply::Accepted, Reply::IdTaken]);
}

/// A key that moves to another workspace takes the jobs of its former one along.
#[test]
fn a_key_that_moved_shows_the_jobs_of_its_new_workspace() {
    let mut leader = Leader::with(TWO);
    assert_eq!(leader.submit(CHECK, Some("a1")), "accepted");
    leader.configure(2, KEY_MOVED);
    assert_eq!(leader.state(CHECK, Some("a1")), "gone");
    assert_eq!(leader.state(CHECK, Some("a2")), "state");
}

/// The next leader, or a replica restored from a snapshot, forgets whose a job is.
#[test]
fn a_snapshot_keeps_whose_a_job_is() {
    let mut leader = Leader::with(TWO);
    assert_eq!(leader.submit(CHECK, Some("a1")), "accepted");
    let mut next = Leader::new();
    let snapshot = leader.machine.snapshot();
    next.machine.restore(&snapshot).expect("it reads");
    assert_eq!(next.state(CHECK, Some("b1")), "gone");
    assert_eq!(next.state(CHECK, Some("a1")), "state");
}
