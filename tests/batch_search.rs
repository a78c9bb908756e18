//! The search for the leader by entry hosts and control hosts, when their seeds or the members that
//! they know of are of little use.

mod link_support;

use std::net::SocketAddr;
use std::time::Duration;

use link_support::{
    Member, TEST_TIMEOUT, client_call, lead_message, link_from, link_from_all, unreachable,
};
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};
use yuccahold::batch::calls::{CallReply, ClientAction, ClientReply, ServerMessage};
use yuccahold::batch::link::LeaderLink;
use yuccahold::batch::model::JobState;

const DEADLINE: Duration = Duration::from_secs(3);

fn done() -> CallReply {
    CallReply::Client(ClientReply::State(JobState::Done))
}

/// What a member says that knows no leader.
fn leaderless(members: &[SocketAddr]) -> ServerMessage {
    ServerMessage::Lead {
        is_leader: false,
        term: 1,
        leader: None,
        members: members.to_vec(),
    }
}

async fn read_state(link: &LeaderLink) {
    let read = client_call(ClientAction::State);
    assert_eq!(link.call(read, Instant::now() + DEADLINE).await, Ok(done()));
}

async fn connected(link: &LeaderLink) {
    let connected = timeout(TEST_TIMEOUT, async {
        while !link.is_connected() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    connected.await.expect("a leader is found");
}

async fn disconnected(link: &LeaderLink) {
    while link.is_connected() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// A replica that was removed long ago is still a seed, and names only itself as a member. The other
/// members must not be forgotten for it: none of them is a seed, so the next leader was never found.
#[tokio::test]
async fn members_are_not_forgotten_for_those_of_a_removed_one() {
    let leader = Member::start(None).await;
    let mut next = Member::start(Some(done())).await;
    let removed = Member::start(None).await;
    let members = [leader.addr, next.addr];
    leader.report(lead_message(true, 5, leader.addr, &members));
    next.report(lead_message(false, 5, leader.addr, &members));
    removed.report(leaderless(&[removed.addr]));
    let link = link_from_all(vec![leader.addr, removed.addr]);
    connected(&link).await;
    leader.stop();
    next.stop();
    disconnected(&link).await;
    sleep(Duration::from_millis(500)).await;
    next.report(lead_message(true, 6, next.addr, &members));
    next.start_again().await;
    connected(&link).await;
    read_state(&link).await;
}

/// All members are replaced while an entry host is without a leader; the new ones are only in its
/// settings.
#[tokio::test]
async fn new_seeds_are_used_once_all_known_members_are_gone() {
    let leader = Member::start(None).await;
    leader.report(lead_message(
        true,
        5,
        leader.addr,
        &[leader.addr, unreachable().await],
    ));
    let link = link_from(leader.addr);
    connected(&link).await;
    leader.stop();
    disconnected(&link).await;
    let next = Member::start(Some(done())).await;
    next.report(lead_message(true, 6, next.addr, &[next.addr]));
    link.set_seeds(vec![unreachable().await, next.addr]);
    connected(&link).await;
    read_state(&link).await;
}

/// The leader is among none of the seeds; they are empty, or gone. One member is left that knows it.
#[rstest]
#[case::empty_replicas(true)]
#[case::hosts_that_are_gone(false)]
#[tokio::test]
async fn a_leader_that_is_not_a_seed_is_found_through_one_follower(#[case] empty: bool) {
    let leader = Member::start(Some(done())).await;
    let follower = Member::start(None).await;
    let other = Member::start(None).await;
    let members = [leader.addr, follower.addr];
    leader.report(lead_message(true, 5, leader.addr, &members));
    follower.report(lead_message(false, 5, leader.addr, &members));
    other.report(leaderless(&[]));
    let useless = if empty {
        other.addr
    } else {
        unreachable().await
    };
    let link = link_from_all(vec![useless, follower.addr]);
    connected(&link).await;
    read_state(&link).await;
}
