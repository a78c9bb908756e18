//! The search for the leader by entry hosts and control hosts, when their seeds or the members that
//! they know of are of little use.

mod link_support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
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

/// The hosts of a zone are gone with the leader: seeds and members that answer nothing. Each delayed the
/// search by its own time limit, so reads were refused although the next leader was elected in time.
#[tokio::test]
async fn hosts_that_are_gone_do_not_delay_the_search() {
    let leader = Member::start(None).await;
    let next = Member::start(Some(done())).await;
    let mut gone = Vec::new();
    for _ in 0..10 {
        gone.push(unreachable().await);
    }
    let members = [leader.addr, gone[7], gone[8], gone[9], next.addr];
    leader.report(lead_message(true, 5, leader.addr, &members));
    next.report(leaderless(&[]));
    let seeds = [&[leader.addr], &gone[..7]].concat();
    let links: Vec<_> = (0..8).map(|_| link_from_all(seeds.clone())).collect();
    join_all(links.iter().map(connected)).await;
    leader.stop();
    join_all(links.iter().map(disconnected)).await;
    let elected = async {
        sleep(Duration::from_millis(400)).await;
        next.report(lead_message(true, 6, next.addr, &members));
    };
    tokio::join!(join_all(links.iter().map(read_state)), elected);
}

/// Two members that lag behind name each other as the leader. The search must go on to the others.
#[tokio::test]
async fn members_that_name_each_other_do_not_end_the_search() {
    let first = Member::start(None).await;
    let second = Member::start(None).await;
    let leader = Member::start(Some(done())).await;
    first.report(lead_message(false, 5, second.addr, &[]));
    second.report(lead_message(false, 5, first.addr, &[]));
    leader.report(lead_message(true, 6, leader.addr, &[]));
    let link = link_from_all(vec![first.addr, second.addr, leader.addr]);
    connected(&link).await;
    read_state(&link).await;
}

/// A leader that is cut off from the other members still answers pings. A process that learned of
/// elections from a replica with an empty disk was never told of the next leader.
#[tokio::test]
async fn elections_are_not_awaited_from_a_member_that_knows_no_leader() {
    let cut_off = Member::start(None).await;
    let empty = Member::start(None).await;
    let follower = Member::start(None).await;
    let next = Member::start(Some(done())).await;
    let members = [cut_off.addr, empty.addr, follower.addr];
    cut_off.report(lead_message(true, 5, cut_off.addr, &members));
    empty.report(leaderless(&[]));
    follower.report(lead_message(false, 5, cut_off.addr, &members));
    next.report(lead_message(true, 6, next.addr, &members));
    let links: Vec<_> = (0..8).map(|_| link_from(cut_off.addr)).collect();
    join_all(links.iter().map(connected)).await;
    sleep(Duration::from_millis(500)).await;
    follower.report(lead_message(false, 6, next.addr, &members));
    sleep(Duration::from_secs(5)).await;
    join_all(links.iter().map(read_state)).await;
}
