//! Requests of an entry host that does not reach the leader, passed through another entry host.

mod link_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use link_support::{Behavior, Control, TEST_TIMEOUT, client_call, keys, lead_message, link_from};
use rstest::rstest;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};
use yuccahold::batch::calls::{
    AgentMessage, Call, CallReply, ClientAction, ClientReply, ServerMessage,
};
use yuccahold::batch::link::{CallError, LeaderLink, leader_wait};
use yuccahold::batch::model::{JobSpec, JobState};
use yuccahold::batch::relay::RelayServer;
use yuccahold::wire;

/// Time within which a request must be answered by a second way; a check may be late by as much.
const MAX_DETOUR: Duration = Duration::from_millis(700);
const DEADLINE: Duration = Duration::from_secs(3);

/// An entry host that passes on requests over `link`.
async fn relay(link: LeaderLink) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let log = Logger::root(Discard, o!());
    tokio::spawn(RelayServer::new(link, keys(), log).serve(listener));
    addr
}

/// An entry host whose connection to the leader is open and silent, and that knows these relays.
async fn cut_off(relays: Vec<SocketAddr>) -> LeaderLink {
    let mut leader = Control::start(Behavior::Hung).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    let _ = connection.send(ServerMessage::Relays(relays));
    tokio::spawn(async move {
        while leader.received.recv().await.is_some() {}
        drop(connection);
    });
    while !link.is_connected() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(50)).await;
    link
}

/// A leader that answers each call in the same way, and a link that is connected to it.
async fn leader_answering(reply: ClientReply) -> LeaderLink {
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    tokio::spawn(async move {
        while let Some(message) = leader.received.recv().await {
            if let AgentMessage::Call(number, _) = message {
                let reply = CallReply::Client(reply.clone());
                let _ = connection.send(ServerMessage::Reply(number, reply));
            }
        }
    });
    while !link.is_connected() {
        sleep(Duration::from_millis(5)).await;
    }
    link
}

/// Entry hosts are cut off from all control hosts but reach each other. Without a second way, all
/// their callers were without service, and the outcome of what they had sent stayed in doubt.
#[rstest]
#[case::a_state(ClientAction::State, ClientReply::State(JobState::Done))]
#[case::a_cancellation(ClientAction::Cancel, ClientReply::Accepted)]
#[tokio::test]
async fn a_host_that_is_cut_off_passes_requests_through_another(
    #[case] action: ClientAction,
    #[case] reply: ClientReply,
) {
    let reachable = relay(leader_answering(reply.clone()).await).await;
    let link = cut_off(vec![reachable]).await;
    let began = Instant::now();
    let answered = link.call(client_call(action), began + DEADLINE).await;
    assert_eq!(answered, Ok(CallReply::Client(reply)));
    assert!(began.elapsed() < MAX_DETOUR, "{:?}", began.elapsed());
}

/// The leader's messages arrive, but it gets none of this host's. Its orders must not count as a sign
/// that it will answer.
#[rstest]
#[case::a_state(ClientAction::State, ClientReply::State(JobState::Done))]
#[case::a_cancellation(ClientAction::Cancel, ClientReply::Accepted)]
#[tokio::test]
async fn a_host_whose_messages_are_lost_passes_requests_through_another(
    #[case] action: ClientAction,
    #[case] reply: ClientReply,
) {
    let reachable = relay(leader_answering(reply.clone()).await).await;
    let link = unheard_by_the_leader(vec![reachable]).await;
    let began = Instant::now();
    let answered = link.call(client_call(action), began + DEADLINE).await;
    assert_eq!(answered, Ok(CallReply::Client(reply)));
    assert!(began.elapsed() < MAX_DETOUR, "{:?}", began.elapsed());
}

/// A connection on which only the leader's own messages arrive must be replaced: calls that are not
/// passed through relays would wait on it until their deadlines.
#[tokio::test]
async fn a_connection_that_carries_messages_one_way_is_given_up() {
    let link = unheard_by_the_leader(Vec::new()).await;
    let call = link.call(Call::GetConfig, Instant::now() + DEADLINE);
    let lost = async {
        while link.is_connected() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        answered = call => panic!("{answered:?} on a connection that is still in use"),
        () = lost => {}
    }
}

/// An entry host that gets the leader's messages, among them these relays, while its own are lost.
async fn unheard_by_the_leader(relays: Vec<SocketAddr>) -> LeaderLink {
    let mut leader = Control::start(Behavior::Hung).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    tokio::spawn(async move {
        while connection
            .send(ServerMessage::Relays(relays.clone()))
            .is_ok()
        {
            sleep(Duration::from_millis(50)).await;
        }
        drop(leader);
    });
    while !link.is_connected() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(100)).await;
    link
}

/// A relay takes a request and answers nothing. The other one must be asked before the time for
/// relays is over.
#[rstest]
#[case::a_state(ClientAction::State, ClientReply::State(JobState::Done))]
#[case::a_cancellation(ClientAction::Cancel, ClientReply::Accepted)]
#[tokio::test]
async fn another_relay_is_asked_while_one_is_silent(
    #[case] action: ClientAction,
    #[case] reply: ClientReply,
) {
    let (silent, _requests) = silent_relay().await;
    let reachable = relay(leader_answering(reply.clone()).await).await;
    let link = cut_off(vec![silent, reachable]).await;
    let began = Instant::now();
    let answered = link.call(client_call(action), began + DEADLINE).await;
    assert_eq!(answered, Ok(CallReply::Client(reply)));
    assert!(began.elapsed() < MAX_DETOUR, "{:?}", began.elapsed());
}

/// Two relays are cut off as well, as those in the zone of the host that asks. Those in other zones
/// must be tried before the request is refused, and all requests of the next moments with it.
#[tokio::test]
async fn relays_that_are_cut_off_do_not_end_the_attempts() {
    let nowhere: SocketAddr = ([127, 0, 0, 1], 1).into();
    let mut relays = Vec::new();
    for _ in 0..2 {
        relays.push(relay(link_from(nowhere)).await);
    }
    let done = ClientReply::State(JobState::Done);
    relays.push(relay(leader_answering(done.clone()).await).await);
    let link = leaderless(relays).await;
    // Requests no longer wait for a leader.
    sleep(leader_wait(Duration::ZERO) + Duration::from_millis(100)).await;
    for _ in 0..16 {
        let call = client_call(ClientAction::State);
        let answered = link.call(call, Instant::now() + DEADLINE).await;
        assert_eq!(answered, Ok(CallReply::Client(done.clone())));
    }
}

/// The direct copy may have been executed, so the caller must not be told that nothing was.
#[rstest]
#[case::no_service(ClientReply::Unavailable(Duration::from_secs(1)))]
#[case::no_capacity(ClientReply::Refused { after: Duration::from_secs(1), useful: true })]
#[case::key_revoked(ClientReply::Unauthenticated)]
#[case::queue_removed(ClientReply::NoQueue)]
#[case::invalid(ClientReply::Invalid("invalid".into()))]
#[case::id_taken(ClientReply::IdTaken)]
#[case::unknown_job(ClientReply::NotFound)]
#[tokio::test]
async fn a_refusal_through_a_relay_does_not_settle_a_change(#[case] refused: ClientReply) {
    let refusing = relay(leader_answering(refused).await).await;
    let link = cut_off(vec![refusing]).await;
    let call = client_call(ClientAction::Cancel);
    let answered = link.call(call, Instant::now() + DEADLINE).await;
    assert_eq!(answered, Err(CallError::InDoubt));
}

/// A relay that has no leader itself must not pass requests on to a further relay: among hosts that
/// are all cut off, a request would be passed around until its deadline.
#[tokio::test]
async fn a_relay_passes_nothing_on_to_another_relay() {
    let last = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let last_addr = last.local_addr().expect("bound");
    let first = relay(cut_off(vec![last_addr]).await).await;
    let link = cut_off(vec![first]).await;
    let call = client_call(ClientAction::State);
    let answered = link.call(call, Instant::now() + DEADLINE).await;
    assert_eq!(answered, Err(CallError::NotRun));
    let connected = timeout(Duration::from_millis(100), last.accept()).await;
    assert!(connected.is_err(), "a relay connected to another");
}

/// A relay takes only requests of callers: a stray agent's message ends the connection, and the
/// relay goes on serving others.
#[tokio::test]
async fn a_relay_refuses_other_messages() {
    let addr = relay(leader_answering(ClientReply::Accepted).await).await;
    let (mut reader, mut writer) = wire::connect(addr, &keys()).await.expect("it listens");
    let report = AgentMessage::Call(1, Call::GetConfig);
    writer.write(&report).await.expect("it reads");
    let ended = reader.read::<ServerMessage>().await;
    assert!(!matches!(ended, Ok(Some(_))), "{ended:?}");
    let link = cut_off(vec![addr]).await;
    let call = client_call(ClientAction::Cancel);
    let answered = link.call(call, Instant::now() + DEADLINE).await;
    assert_eq!(answered, Ok(CallReply::Client(ClientReply::Accepted)));
}

/// An entry host that reads requests and never answers; the receiver gets a message for each.
async fn silent_relay() -> (SocketAddr, UnboundedReceiver<()>) {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = silent.local_addr().expect("bound");
    let (requests, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = silent.accept().await {
            let requests = requests.clone();
            tokio::spawn(async move {
                let (mut reader, writer) = wire::accept(stream, &keys()).await.expect("same keys");
                while let Ok(Some(_)) = reader.read::<AgentMessage>().await {
                    let _ = requests.send(());
                }
                drop(writer);
            });
        }
    });
    (addr, received)
}

/// An entry host that answers one request and then refuses connections; the receiver gets a message
/// once the answer is read.
async fn relay_answering_once(reply: ClientReply) -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (read, answer_read) = oneshot::channel();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        drop(listener);
        let (mut reader, mut writer) = wire::accept(stream, &keys()).await.expect("same keys");
        let request = reader.read::<AgentMessage>().await;
        let Ok(Some(AgentMessage::Relayed(number, ..))) = request else {
            panic!("a request was expected");
        };
        let reply = ServerMessage::Reply(number, CallReply::Client(reply));
        writer.write(&reply).await.expect("it reads");
        // The caller closes the connection once it has the answer.
        let _ = reader.read::<AgentMessage>().await;
        let _ = read.send(());
    });
    (addr, answer_read)
}

/// An entry host that has just lost its leader, and knows these relays.
async fn leaderless(relays: Vec<SocketAddr>) -> LeaderLink {
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    let _ = connection.send(ServerMessage::Relays(relays));
    sleep(Duration::from_millis(100)).await;
    let _ = connection.send(lead_message(false, 1, leader.addr, &[]));
    while link.is_connected() {
        sleep(Duration::from_millis(5)).await;
    }
    link
}

/// The leader is lost before a change was written to it, and the copy through a relay gets no answer.
/// That copy may have been executed, so the caller must not be told that nothing was.
#[tokio::test]
async fn a_copy_that_a_relay_does_not_answer_is_in_doubt() {
    let (silent, _requests) = silent_relay().await;
    let link = leaderless(vec![silent]).await;
    let call = client_call(ClientAction::Cancel);
    let answered = link.call(call, Instant::now() + DEADLINE).await;
    assert_eq!(answered, Err(CallError::InDoubt));
}

/// A relay does not read, so the write is cut off. The relay may have got the copy all the same.
#[tokio::test]
async fn a_relayed_copy_whose_write_is_cut_off_is_in_doubt() {
    let stalled = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = stalled.local_addr().expect("bound");
    tokio::spawn(async move {
        let (stream, _) = stalled.accept().await.expect("a connection");
        let _open = wire::accept(stream, &keys()).await.expect("same keys");
        std::future::pending::<()>().await;
    });
    let link = leaderless(vec![addr]).await;
    let call = client_call(ClientAction::Submit(Arc::new(JobSpec {
        payload: "x".repeat(12 * 1024 * 1024).into(),
        steps: Vec::new(),
        timetable: None,
    })));
    let answered = link.call(call, Instant::now() + DEADLINE).await;
    assert_eq!(answered, Err(CallError::InDoubt));
}

/// The relayed copy may be executed after the leader has refused the direct one.
#[rstest]
#[case::no_service(ClientReply::Unavailable(Duration::from_secs(1)))]
#[case::key_revoked(ClientReply::Unauthenticated)]
#[case::queue_removed(ClientReply::NoQueue)]
#[tokio::test]
async fn a_direct_refusal_with_an_unanswered_relayed_copy_is_in_doubt(
    #[case] refused: ClientReply,
) {
    let (silent, mut relayed) = silent_relay().await;
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    let _ = connection.send(ServerMessage::Relays(vec![silent]));
    sleep(Duration::from_millis(100)).await;
    let late_refusal = async {
        loop {
            if let AgentMessage::Call(number, _) = leader.receive().await {
                let requested = timeout(TEST_TIMEOUT, relayed.recv()).await;
                requested.expect("a relayed copy in time");
                let reply = CallReply::Client(refused.clone());
                let _ = connection.send(ServerMessage::Reply(number, reply));
                return;
            }
        }
    };
    let call = link.call(client_call(ClientAction::Cancel), Instant::now() + DEADLINE);
    let (answered, ()) = tokio::join!(call, late_refusal);
    assert_eq!(answered, Err(CallError::InDoubt));
}

/// No direct copy was written, so the refusal through the relay must not be held back or lost.
#[rstest]
#[case::no_service(ClientReply::Unavailable(Duration::from_secs(7)))]
#[case::no_capacity(ClientReply::Refused { after: Duration::from_secs(7), useful: true })]
#[case::key_revoked(ClientReply::Unauthenticated)]
#[case::queue_removed(ClientReply::NoQueue)]
#[tokio::test]
async fn a_refusal_through_a_relay_holds_if_no_direct_copy_was_sent(#[case] refused: ClientReply) {
    let refusing = relay(leader_answering(refused.clone()).await).await;
    let link = leaderless(vec![refusing]).await;
    let began = Instant::now();
    let call = client_call(ClientAction::Cancel);
    let answered = link.call(call, began + DEADLINE).await;
    assert_eq!(answered, Ok(CallReply::Client(refused)));
    assert!(began.elapsed() < MAX_DETOUR, "{:?}", began.elapsed());
}

/// The refusal must not be held back: no other leader or relay answers before the deadline.
#[tokio::test]
async fn a_refusal_holds_once_the_last_other_copy_was_not_executed() {
    let (refusing, answer_read) = relay_answering_once(ClientReply::Unauthenticated).await;
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    let _ = connection.send(ServerMessage::Relays(vec![refusing]));
    sleep(Duration::from_millis(100)).await;
    let no_leader = async {
        loop {
            if let AgentMessage::Call(number, _) = leader.receive().await {
                let read = timeout(TEST_TIMEOUT, answer_read).await;
                read.expect("in time").expect("the relay answers");
                let reply = CallReply::NotLeader(None);
                let _ = connection.send(ServerMessage::Reply(number, reply));
                return Instant::now();
            }
        }
    };
    let call = async {
        let call = client_call(ClientAction::Cancel);
        let answered = link.call(call, Instant::now() + TEST_TIMEOUT).await;
        (answered, Instant::now())
    };
    let ((answered, at), told_at) = tokio::join!(call, no_leader);
    let refused = CallReply::Client(ClientReply::Unauthenticated);
    assert_eq!(answered, Ok(refused));
    let late = at.saturating_duration_since(told_at);
    assert!(late < leader_wait(Duration::ZERO), "{late:?}");
}

/// All control hosts are down, so no relay reaches the leader either. Once callers no longer wait for
/// a leader, a request must be refused without waiting for further attempts through relays.
#[rstest]
#[case::no_relay_is_known(0)]
#[case::the_relay_has_no_leader(1)]
#[tokio::test]
async fn an_outage_of_all_control_hosts_is_told_at_once(#[case] relays: usize) {
    let nowhere: SocketAddr = ([127, 0, 0, 1], 1).into();
    let mut known = Vec::new();
    if relays > 0 {
        known.push(relay(link_from(nowhere)).await);
    }
    let mut leader = Control::start(Behavior::Responsive).await;
    let link = link_from(leader.addr);
    let connection = leader.connection().await;
    let _ = connection.send(lead_message(true, 1, leader.addr, &[]));
    let _ = connection.send(ServerMessage::Relays(known));
    sleep(Duration::from_millis(100)).await;
    let _ = connection.send(lead_message(false, 1, leader.addr, &[]));
    while link.is_connected() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(1_100)).await;
    let began = Instant::now();
    let answered = link
        .call(client_call(ClientAction::Cancel), began + DEADLINE)
        .await;
    assert_eq!(answered, Err(CallError::NotRun));
    assert!(
        began.elapsed() < Duration::from_millis(100),
        "{:?}",
        began.elapsed()
    );
}
