//! The way to the leader, with control daemons that a test plays over real connections.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, timeout};
use yuccahold::batch::calls::{Call, CallReply, Down, OperatorReply, Up};
use yuccahold::batch::dispatch::{
    Advice, AdviceQuestion, Answer, HoldAnswer, HoldOrder, Silence, StartOrder, Target,
};
use yuccahold::batch::driver::{Minions, Policy};
use yuccahold::batch::link::{Calls, LeaderLink, leader_wait, retry_after};
use yuccahold::batch::model::{RunNumber, TaskId};
use yuccahold::ids::Term;
use yuccahold::wire::{self, CellKey, CellKeys};

const PATIENCE: Duration = Duration::from_secs(20);

fn keys() -> CellKeys {
    CellKeys::new([CellKey::from_text("a key for tests")]).expect("one key")
}

/// Calls nobody.
#[derive(Clone)]
struct Nobody;

impl Minions for Nobody {
    async fn start(&self, _: &Target, _: &StartOrder) -> Answer {
        Answer::Silent(Silence::Lost)
    }

    async fn stop(&self, _: &Target, _: TaskId, _: RunNumber, _: Term) -> Answer {
        Answer::Silent(Silence::Lost)
    }

    async fn hold(&self, _: &Target, _: &HoldOrder) -> HoldAnswer {
        HoldAnswer::Silent(Silence::Lost)
    }
}

impl Policy for Nobody {
    async fn advise(&self, _: &AdviceQuestion) -> Option<Advice> {
        None
    }
}

/// A control daemon: what it is sent, and what it says on each connection.
struct Control {
    addr: SocketAddr,
    heard: UnboundedReceiver<Up>,
    opened: UnboundedReceiver<UnboundedSender<Down>>,
}

/// Whether a control daemon gives signs of life by itself.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Health {
    Alive,
    Frozen,
}

impl Control {
    async fn start(health: Health) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (heard_tx, heard) = mpsc::unbounded_channel();
        let (opened_tx, opened) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Ok((mut reader, mut writer)) = wire::accept(stream, &keys()).await else {
                    continue;
                };
                let (tx, mut rx) = mpsc::unbounded_channel::<Down>();
                let (heard, signs) = (heard_tx.clone(), tx.clone());
                tokio::spawn(async move {
                    while let Ok(Some(up)) = reader.read::<Up>().await {
                        if let (Up::Ping(number), Health::Alive) = (&up, health) {
                            let _ = signs.send(Down::Pong(*number));
                        }
                        let _ = heard.send(up);
                    }
                });
                tokio::spawn(async move {
                    while let Some(down) = rx.recv().await {
                        if writer.write(&down).await.is_err() {
                            return;
                        }
                    }
                });
                let _ = opened_tx.send(tx);
            }
        });
        Self {
            addr,
            heard,
            opened,
        }
    }

    async fn connection(&mut self) -> UnboundedSender<Down> {
        let opened = timeout(PATIENCE, self.opened.recv()).await;
        opened.expect("a connection in time").expect("it listens")
    }

    async fn hears(&mut self) -> Up {
        let heard = timeout(PATIENCE, self.heard.recv()).await;
        heard.expect("a message in time").expect("it listens")
    }
}

fn link_from(seed: SocketAddr) -> LeaderLink {
    let calls = Calls {
        minions: Nobody,
        policy: Nobody,
        zone: "mixco".into(),
    };
    let log = Logger::root(Discard, o!());
    LeaderLink::start(vec![seed], keys(), calls, log)
}

fn lead(here: bool, term: Term, leader: SocketAddr, members: &[SocketAddr]) -> Down {
    Down::Lead {
        here,
        term,
        leader: Some(leader),
        members: members.to_vec(),
    }
}

/// The leader freezes: its connection stays open and says nothing. Another member tells of the
/// leader elected in its place, and the next call goes there. Without that the link would first
/// have asked the frozen one for a sign of life and waited for it in vain, most of a second for
/// which every caller waits as well.
#[tokio::test]
async fn another_member_tells_of_a_new_leader() {
    let mut frozen = Control::start(Health::Frozen).await;
    let mut follower = Control::start(Health::Alive).await;
    let mut next = Control::start(Health::Alive).await;
    let members = [frozen.addr, follower.addr];
    let link = link_from(frozen.addr);
    let greeting = lead(true, 1, frozen.addr, &members);
    let _open = frozen.connection().await.send(greeting);
    assert!(matches!(frozen.hears().await, Up::Hello(_)));

    let second = follower.connection().await;
    let _ = second.send(lead(false, 1, frozen.addr, &members));
    let _ = second.send(lead(false, 2, next.addr, &members));
    let at_next = next.connection().await;
    let _ = at_next.send(lead(true, 2, next.addr, &members));
    assert!(matches!(next.hears().await, Up::Hello(_)));

    let call = link.call(Call::GetConfig, Instant::now() + PATIENCE);
    let answer = async {
        let Up::Call(number, Call::GetConfig) = next.hears().await else {
            panic!("a call was expected");
        };
        let reply = CallReply::Operator(OperatorReply::Unavailable);
        let _ = at_next.send(Down::Reply(number, reply));
    };
    let (reply, ()) = tokio::join!(call, answer);
    assert_eq!(reply, Ok(CallReply::Operator(OperatorReply::Unavailable)));
    assert!(frozen.heard.try_recv().is_err(), "it was not asked again");
}

/// A member that is behind names an earlier leader. The link stays where it is.
#[tokio::test]
async fn a_member_that_is_behind_changes_nothing() {
    let mut leader = Control::start(Health::Alive).await;
    let mut behind = Control::start(Health::Alive).await;
    let mut earlier = Control::start(Health::Alive).await;
    let members = [leader.addr, behind.addr];
    let link = link_from(leader.addr);
    let at_leader = leader.connection().await;
    let _ = at_leader.send(lead(true, 5, leader.addr, &members));
    assert!(matches!(leader.hears().await, Up::Hello(_)));
    let second = behind.connection().await;
    let _ = second.send(lead(false, 4, earlier.addr, &members));
    // It is heard before the next message of the same connection is answered with a ping.
    assert!(matches!(behind.hears().await, Up::Ping(_)));
    assert!(link.is_connected());
    assert!(earlier.opened.try_recv().is_err());
}

/// All control hosts are without power. A caller that comes at first waits for the next leader;
/// one that comes later is refused at once and told to come back after as long as the outage has
/// lasted, so that its few tries reach past the end of it.
#[rstest]
#[case::just_lost(0, 1_000, 1_000)]
#[case::being_elected(600, 400, 1_000)]
#[case::no_election_takes_that_long(1_000, 0, 1_000)]
#[case::an_outage(3_200, 0, 3_200)]
#[case::a_long_outage(60_000, 0, 5_000)]
fn callers_without_a_leader(#[case] absent: u64, #[case] wait: u64, #[case] retry: u64) {
    let ms = Duration::from_millis;
    assert_eq!(leader_wait(ms(absent)), ms(wait));
    assert_eq!(retry_after(ms(absent)), ms(retry));
}
