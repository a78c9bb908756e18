//! The lease of an entry host and the feed that control sends with it, as seen on the connection.

mod cell;

use std::time::Duration;

use cell::{CellConfig, TestEnv};
use yuccahold::wire::{
    Answer, Call, CellKeys, EntryHello, EntryReport, Feed, FrameReader, FrameWriter, FromControl,
    MinionAnnouncement, ToControl, connect,
};

const GUEST: &str = "e9";

/// An entry host that the test plays on a connection of its own.
struct Guest {
    rx: FrameReader,
    tx: FrameWriter,
    feed: Feed,
    calls: u64,
}

impl Guest {
    async fn connect(env: &TestEnv) -> Self {
        let settings = env.replicas[0].folder.join("settings.yaml");
        let settings = std::fs::read_to_string(settings).unwrap();
        let mut lines = settings.lines();
        let addr = lines.find_map(|line| line.strip_prefix("call_listen: "));
        let addr = addr.unwrap().parse().unwrap();
        let keys = CellKeys::load(&env.folder.join("cell.key")).unwrap();
        let (rx, mut tx) = connect(addr, &keys).await.unwrap();
        let hello = EntryHello {
            entry: GUEST.into(),
            process: 9,
            zone: "bern-b".into(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
            in_force: 0,
        };
        tx.write(&ToControl::Hello(hello)).await.unwrap();
        Self {
            rx,
            tx,
            feed: Feed::default(),
            calls: 0,
        }
    }

    /// Makes a call and returns its answer, with the feed applied that came before it.
    async fn call(&mut self, call: Call) -> Answer {
        self.calls += 1;
        let id = self.calls;
        let call = ToControl::Call { id, call };
        self.tx.write(&call).await.unwrap();
        loop {
            match self.rx.read().await.unwrap().expect("a message") {
                FromControl::Answer { id: of, answer } if of == id => return answer,
                FromControl::Answer { .. } => {}
                FromControl::Feed(feed) => self.feed = feed,
                FromControl::Change(delta) => delta.apply(&mut self.feed),
            }
        }
    }

    async fn renew(&mut self) -> bool {
        let answer = self.call(Call::Renew(EntryReport::default())).await;
        matches!(answer, Answer::Lease(_))
    }

    /// Announces a minion in its own availability zone.
    async fn announce(&mut self, minion: &str) {
        let announcement = MinionAnnouncement {
            id: minion.into(),
            process: 1,
            service: "massrechner".into(),
            addr: "127.0.0.1:2".parse().unwrap(),
            zone: "bern-b".into(),
            slots: 8,
            connections: 64,
            ttl: Duration::from_secs(60),
        };
        self.call(Call::AnnounceMinion(announcement)).await;
    }

    fn owns(&self, minion: &str) -> bool {
        let minion = self.feed.minions.get(minion);
        minion.is_some_and(|m| m.owner.as_deref() == Some(GUEST))
    }
}

/// Guards against two owners of one minion: an entry host that renewed right after its lease had
/// expired got the new lease before the feed that had taken its minions away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_lease_comes_after_the_feed_that_took_minions_away() {
    let cfg = CellConfig::default();
    let env = TestEnv::start("lease-after-feed", cfg).await;
    let mut guest = Guest::connect(&env).await;
    for round in 0..4 {
        let minion = format!("m{round}");
        assert!(guest.renew().await);
        guest.announce(&minion).await;
        while !guest.owns(&minion) {
            assert!(guest.renew().await);
        }
        // Polled without a pause: the lease has to be renewed as soon as it has expired.
        let end = std::time::Instant::now() + cell::DEADLINE;
        while owner(&env, &minion).await.as_deref() != Some("e1") {
            assert!(std::time::Instant::now() < end, "the lease does not expire");
        }
        assert!(guest.renew().await);
        assert!(
            !guest.owns(&minion),
            "round {round}: {:?}",
            guest.feed.minions
        );
    }
}

async fn owner(env: &TestEnv, minion: &str) -> Option<String> {
    let rows = env.table("minions").await;
    let row = rows.iter().find(|row| row["id"] == minion)?;
    Some(row["owner"].as_str()?.to_owned())
}
