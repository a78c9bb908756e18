//! The link to the leader, tested with simulated control daemons over real connections.

mod link_support;

use std::sync::Arc;
use std::time::Duration;

use link_support::{Behavior, Control, TEST_TIMEOUT, client_call, keys, lead_message, link_from};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Instant;
use yuccahold::batch::calls::{
    AgentMessage, Call, CallReply, ClientAction, ClientReply, OperatorReply, ServerMessage,
};
use yuccahold::batch::link::{CallError, leader_wait, retry_after};
use yuccahold::batch::model::JobSpec;
use yuccahold::platform::decode_config;
use yuccahold::wire;

/// The leader hangs: its connection stays open without messages. Another member reports the newly
/// elected leader, and the next call must go there. Without the report, the link would first have
/// to ping the hung leader and wait for the timeout, delaying every caller by most of a second.
#[tokio::test]
async fn another_member_reports_a_new_leader() {
    let mut hung = Control::start(Behavior::Hung).await;
    let mut follower = Control::start(Behavior::Responsive).await;
    let mut next = Control::start(Behavior::Responsive).await;
    let members = [hung.addr, follower.addr];
    let link = link_from(hung.addr);
    let greeting = lead_message(true, 1, hung.addr, &members);
    let _open = hung.connection().await.send(greeting);
    assert!(matches!(hung.receive().await, AgentMessage::Hello(_)));

    let second = follower.connection().await;
    let _ = second.send(lead_message(false, 1, hung.addr, &members));
    let _ = second.send(lead_message(false, 2, next.addr, &members));
    let at_next = next.connection().await;
    let _ = at_next.send(lead_message(true, 2, next.addr, &members));
    assert!(matches!(next.receive().await, AgentMessage::Hello(_)));

    let call = link.call(Call::GetConfig, Instant::now() + TEST_TIMEOUT);
    let answer = async {
        let AgentMessage::Call(number, Call::GetConfig) = next.receive().await else {
            panic!("a call was expected");
        };
        let reply = CallReply::Operator(OperatorReply::Unavailable);
        let _ = at_next.send(ServerMessage::Reply(number, reply));
    };
    let (reply, ()) = tokio::join!(call, answer);
    assert_eq!(reply, Ok(CallReply::Operator(OperatorReply::Unavailable)));
    assert!(hung.received.try_recv().is_err(), "it was not called again");
}

/// A lagging member reports an earlier leader. The link must stay with the current one.
#[tokio::test]
async fn a_report_of_an_earlier_leader_is_ignored() {
    let mut leader = Control::start(Behavior::Responsive).await;
    let mut lagging = Control::start(Behavior::Responsive).await;
    let mut earlier = Control::start(Behavior::Responsive).await;
    let members = [leader.addr, lagging.addr];
    let link = link_from(leader.addr);
    let at_leader = leader.connection().await;
    let _ = at_leader.send(lead_message(true, 5, leader.addr, &members));
    assert!(matches!(leader.receive().await, AgentMessage::Hello(_)));
    let second = lagging.connection().await;
    let _ = second.send(lead_message(false, 4, earlier.addr, &members));
    // The link pings this connection only after it has read the message above.
    assert!(matches!(lagging.receive().await, AgentMessage::Ping(_)));
    assert!(link.is_connected());
    assert!(earlier.connections.try_recv().is_err());
}

/// All control hosts are down. Early calls wait for the next leader. Later ones are refused
/// immediately, with a retry delay equal to the length of the outage so far, so that the callers'
/// few retries last beyond its end.
#[rstest]
#[case::leader_just_lost(0, 1_000, 1_000)]
#[case::during_an_election(600, 400, 1_000)]
#[case::longer_than_any_election(1_000, 0, 1_000)]
#[case::an_outage(3_200, 0, 3_200)]
#[case::a_long_outage(60_000, 0, 5_000)]
fn callers_without_a_leader(#[case] absent: u64, #[case] wait: u64, #[case] retry: u64) {
    let ms = Duration::from_millis;
    assert_eq!(leader_wait(ms(absent)), ms(wait));
    assert_eq!(retry_after(ms(absent)), ms(retry));
}

fn submission(payload_bytes: usize) -> Call {
    client_call(ClientAction::Submit(Arc::new(JobSpec {
        payload: "x".repeat(payload_bytes).into(),
        steps: Vec::new(),
        timetable: None,
    })))
}

/// The leader is lost with calls on the way, and no other one is found. A read has changed nothing,
/// so it is refused as not run once callers no longer wait for a leader. If it were in doubt, the
/// caller of a job that was accepted and done might never learn so. A change stays in doubt.
#[rstest]
#[case::state(client_call(ClientAction::State), CallError::NotRun)]
#[case::count(client_call(ClientAction::PendingCount), CallError::NotRun)]
#[case::configuration(Call::GetConfig, CallError::NotRun)]
#[case::submission(submission(10), CallError::InDoubt)]
#[case::cancellation(client_call(ClientAction::Cancel), CallError::InDoubt)]
#[tokio::test]
async fn only_changes_are_in_doubt(#[case] call: Call, #[case] expected: CallError) {
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    assert!(matches!(leader.receive().await, AgentMessage::Hello(_)));
    let began = Instant::now();
    let limit = Duration::from_secs(4);
    let lose_leader = async {
        assert!(matches!(leader.receive().await, AgentMessage::Call(..)));
        let _ = connection.send(lead_message(false, 1, leader.addr, &[]));
    };
    let (outcome, ()) = tokio::join!(link.call(call, began + limit), lose_leader);
    assert_eq!(outcome, Err(expected));
    if expected == CallError::NotRun {
        assert!(began.elapsed() < limit / 2, "{:?}", began.elapsed());
    }
}

/// The first copy may have been accepted, so the caller must not be told that nothing runs.
#[rstest]
#[case::no_capacity(ClientReply::Refused { after: Duration::from_secs(2), useful: true })]
#[case::no_service(ClientReply::Unavailable(Duration::from_secs(1)))]
#[case::key_revoked(ClientReply::Unauthenticated)]
#[case::queue_removed(ClientReply::NoQueue)]
#[case::invalid(ClientReply::Invalid("invalid".into()))]
#[case::id_taken(ClientReply::IdTaken)]
#[case::unknown_job(ClientReply::NotFound)]
#[tokio::test]
async fn a_refusal_after_an_unanswered_call_is_in_doubt(
    #[case] refused: ClientReply,
    #[values(submission(10), client_call(ClientAction::Cancel))] call: Call,
) {
    let (outcome, took) = answered_by_the_next_leader(call, refused).await;
    assert_eq!(outcome, Err(CallError::InDoubt));
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// The leader does not know whether a configuration is committed, so it must not count as refused.
#[tokio::test]
async fn a_configuration_with_an_unknown_outcome_is_in_doubt() {
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    assert!(matches!(leader.receive().await, AgentMessage::Hello(_)));
    let document = r#"{"version":1,"routes":[],"services":[]}"#;
    let order = decode_config(document.into()).expect("a configuration");
    let call = link.call(Call::PutConfig(order), Instant::now() + TEST_TIMEOUT);
    let answer = async {
        loop {
            if let AgentMessage::Call(number, _) = leader.receive().await {
                let reply = CallReply::Operator(OperatorReply::Unavailable);
                let _ = connection.send(ServerMessage::Reply(number, reply));
                return;
            }
        }
    };
    let (outcome, ()) = tokio::join!(call, answer);
    assert_eq!(outcome, Err(CallError::InDoubt));
}

/// A read changes nothing, so the next leader's answer holds whatever became of the first copy.
#[rstest]
#[case::key_revoked(ClientReply::Unauthenticated)]
#[case::queue_removed(ClientReply::NoQueue)]
#[case::unknown_job(ClientReply::NotFound)]
#[tokio::test]
async fn a_read_is_never_in_doubt_after_a_leader_change(#[case] reply: ClientReply) {
    let call = client_call(ClientAction::State);
    let (outcome, _) = answered_by_the_next_leader(call, reply.clone()).await;
    assert_eq!(outcome, Ok(CallReply::Client(reply)));
}

/// Outcome of a call whose first copy is lost with the leader and whose second one is answered by
/// the next leader, and the time it took.
async fn answered_by_the_next_leader(
    call: Call,
    reply: ClientReply,
) -> (Result<CallReply, CallError>, Duration) {
    let mut leader = Control::start(Behavior::Responsive).await;
    let mut next = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    assert!(matches!(leader.receive().await, AgentMessage::Hello(_)));
    let change_leader = async {
        assert!(matches!(leader.receive().await, AgentMessage::Call(..)));
        let _ = connection.send(lead_message(false, 2, next.addr, &[]));
        let at_next = next.connection().await;
        let _ = at_next.send(lead_message(true, 2, next.addr, &[]));
        loop {
            if let AgentMessage::Call(number, _) = next.receive().await {
                let reply = CallReply::Client(reply.clone());
                let _ = at_next.send(ServerMessage::Reply(number, reply));
                return;
            }
        }
    };
    let began = Instant::now();
    let call = link.call(call, began + TEST_TIMEOUT);
    let outcome = async { (call.await, began.elapsed()) };
    tokio::join!(outcome, change_leader).0
}

/// The leader stops reading while a large call is being written, and a second call waits behind it.
/// The second one never leaves this process, so its refusal says so; only the first is in doubt.
#[tokio::test]
async fn a_call_that_was_not_written_is_not_in_doubt() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let (reader, mut writer) = wire::accept(stream, &keys()).await.expect("the same keys");
        let lead = lead_message(true, 1, addr, &[]);
        writer.write(&lead).await.expect("it reads");
        tokio::time::sleep(TEST_TIMEOUT).await;
        drop(reader);
    });
    let link = link_from(addr);
    while !link.is_connected() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let deadline = Instant::now() + Duration::from_secs(4);
    let first = link.call(submission(12 * 1024 * 1024), deadline);
    let second = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        link.call(submission(10), deadline).await
    };
    let outcomes = tokio::join!(first, second);
    assert_eq!(outcomes, (Err(CallError::InDoubt), Err(CallError::NotRun)));
}

/// Calls on a connection must not be in doubt because its peer answered another one first.
#[rstest]
#[case::all(2, Err(CallError::NotRun))]
#[case::only_the_first(1, Err(CallError::InDoubt))]
#[tokio::test]
async fn all_calls_that_a_follower_answers_are_not_run(
    #[case] answered: usize,
    #[case] second_outcome: Result<CallReply, CallError>,
) {
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    assert!(matches!(leader.receive().await, AgentMessage::Hello(_)));
    let answer = async {
        let mut numbers = Vec::new();
        while numbers.len() < 2 {
            if let AgentMessage::Call(number, _) = leader.receive().await {
                numbers.push(number);
            }
        }
        for number in numbers.into_iter().take(answered) {
            let _ = connection.send(ServerMessage::Reply(number, CallReply::NotLeader(None)));
        }
    };
    let deadline = Instant::now() + Duration::from_secs(4);
    let (first, second, ()) = tokio::join!(
        link.call(submission(10), deadline),
        link.call(submission(10), deadline),
        answer
    );
    assert_eq!((first, second), (Err(CallError::NotRun), second_outcome));
}
