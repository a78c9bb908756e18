//! Deltas between feeds: applying one to the old feed gives the new feed.

use std::sync::Arc;

use proptest::prelude::*;
use yuccahold::document::{Document, Drain, DrainTarget, Team};
use yuccahold::wire::{Feed, FeedDelta, MinionAnnouncement, OwnedMinion, PeerEntry};

/// Builds a feed from a few small numbers, so that two random feeds have many entries in common.
fn feed(parts: &[(u8, u8)], revision: u64) -> Feed {
    let mut document = Document::default();
    let mut feed = Feed {
        revision,
        ..Feed::default()
    };
    for (name, value) in parts {
        let id = format!("n{name}");
        let (number, zone) = (u32::from(*value), format!("zone-{}", value % 3));
        document.teams.insert(
            id.as_str().into(),
            Team {
                weight: number,
                ..Team::default()
            },
        );
        if value % 4 == 0 {
            let target = DrainTarget::Zone(zone.as_str().into());
            document.drains.push(Drain {
                target,
                within: std::time::Duration::ZERO,
            });
        }
        let addr = format!("127.0.0.1:{}", 1000 + number).parse().unwrap();
        let entry = PeerEntry {
            zone: zone.as_str().into(),
            peer_addr: addr,
            process: 1,
        };
        feed.entries.insert(id.as_str().into(), entry);
        let minion = MinionAnnouncement {
            id: id.as_str().into(),
            process: u64::from(*value),
            service: "s".into(),
            addr,
            zone: zone.as_str().into(),
            slots: 8,
            connections: 64,
            ttl: std::time::Duration::from_secs(5),
        };
        let owned = OwnedMinion {
            minion,
            owner: None,
            epoch: 1,
            leaving: false,
            release: false,
            lapsed: false,
        };
        feed.minions.insert(id.as_str().into(), owned);
    }
    feed.document = (revision > 0).then(|| Arc::new(document));
    feed
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_delta_leads_to_the_new_feed(
        old in proptest::collection::vec((0u8..12, 0u8..20), 0..12),
        new in proptest::collection::vec((0u8..12, 0u8..20), 0..12),
        revision in 0u64..3,
    ) {
        let (old, new) = (feed(&old, revision), feed(&new, revision + 1));
        let bytes = postcard::to_allocvec(&FeedDelta::between(&old, &new)).unwrap();
        let delta: FeedDelta = postcard::from_bytes(&bytes).unwrap();
        let mut applied = old;
        delta.apply(&mut applied);
        prop_assert_eq!(applied, new);
    }
}

#[test]
fn a_small_change_gives_a_small_delta() {
    // One of 256 minions changes its owner. Every entry host must get this change, but not the other
    // 255 minions again.
    let parts: Vec<(u8, u8)> = (0..=255).map(|n| (n, n)).collect();
    let old = feed(&parts, 1);
    let mut new = old.clone();
    new.minions.get_mut("n7").unwrap().owner = Some("e1".into());
    let feed_len = postcard::to_allocvec(&new).unwrap().len();
    let delta = FeedDelta::between(&old, &new);
    assert!(delta.document.is_none());
    assert_eq!(delta.minions.set.len(), 1);
    let delta_len = postcard::to_allocvec(&delta).unwrap().len();
    assert!(
        delta_len * 100 < feed_len,
        "{delta_len} of {feed_len} bytes"
    );
    assert!(FeedDelta::between(&new, &new.clone()).is_empty(1));
}
