//! Requests that another entry host forwarded, at an entry host that has lost its minions.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use yuccahold::document::{Document, QueuePriority, Service};
use yuccahold::routing::{
    Effect, Event, LeastBusy, Origin, Request, RouteError, Router, RouterConfig, ServiceLoad,
};
use yuccahold::wire::{Feed, MinionAnnouncement, OwnedMinion, PeerEntry};

const SECOND: Duration = Duration::from_secs(1);
const OWN: &str = "e3";
const PEER: &str = "e2";

/// A feed with one minion, owned by this entry host.
fn feed(owner: &str) -> Event {
    let service = Service {
        team: "desk-team".into(),
        deadline: 10 * SECOND,
        queue: 64,
        slots: 1,
        connections: 64,
        ..Service::default()
    };
    let mut document = Document::default();
    document.services.insert("desk".into(), service);
    let minion = OwnedMinion {
        minion: MinionAnnouncement {
            id: "m".into(),
            process: 1,
            service: "desk".into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            zone: "olten".into(),
            slots: 1,
            connections: 64,
            ttl: 60 * SECOND,
        },
        owner: Some(owner.into()),
        epoch: 1,
        leaving: false,
        release: false,
        lapsed: false,
    };
    let entry = |n: u16| PeerEntry {
        zone: "olten".into(),
        peer_addr: ([127, 0, 0, 1], n).into(),
        process: 1,
    };
    Event::Feed(Arc::new(Feed {
        revision: 1,
        document: Some(Arc::new(document)),
        entries: [(OWN.into(), entry(3)), (PEER.into(), entry(2))].into(),
        minions: [("m".into(), minion)].into(),
    }))
}

/// The peer reports slots, one of them free.
fn peer_load() -> Event {
    let load = ServiceLoad {
        service: "desk".into(),
        free: 1,
        slots: 16,
        ..ServiceLoad::default()
    };
    Event::PeerLoad {
        peer: PEER.into(),
        services: vec![load],
    }
}

fn arrival(id: u64, origin: Origin) -> Event {
    Event::Arrived(Request {
        id,
        service: "desk".into(),
        team: "desk-team".into(),
        priority: QueuePriority::Normal,
        arrived: SECOND,
        deadline: 11 * SECOND,
        idempotent: true,
        origin,
    })
}

fn forwarded(id: u64) -> Event {
    arrival(id, Origin::Peer(PEER.into()))
}

/// A router that owns the minion, under a lease until the fifth second.
fn router() -> Router {
    let cfg = RouterConfig {
        entry: OWN.into(),
        zone: "olten".into(),
        seed: 1,
    };
    let mut router = Router::new(cfg, LeastBusy);
    handle(&mut router, SECOND, feed(OWN));
    handle(&mut router, SECOND, Event::Leased(5 * SECOND));
    router
}

fn handle(router: &mut Router, now: Duration, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    router.handle(now, event, &mut effects);
    effects
}

/// Requests that were refused as not run.
fn refused(effects: &[Effect]) -> Vec<u64> {
    let refused = effects.iter().filter_map(|effect| match effect {
        Effect::Fail {
            request,
            error: RouteError::NotRun { late: false, .. },
        } => Some(*request),
        _ => None,
    });
    refused.collect()
}

/// Guards against a forwarded request that waits until its deadline at an entry host without
/// minions, because that host saw free slots at a peer, where it may not forward it.
#[rstest]
#[case::a_peer_has_slots(true)]
#[case::no_peer_has_slots(false)]
fn a_forwarded_request_is_refused_where_no_slot_can_serve_it(#[case] peer_has_slots: bool) {
    let mut router = router();
    handle(&mut router, SECOND, feed(PEER));
    if peer_has_slots {
        handle(&mut router, SECOND, peer_load());
    }
    let effects = handle(&mut router, SECOND, forwarded(1));
    assert_eq!(refused(&effects), [1], "{effects:?}");
}

/// Guards against forwarded requests that stay queued after the entry host has lost its minions.
#[rstest]
#[case::to_another_owner(SECOND, feed(PEER))]
#[case::as_its_lease_ended(6 * SECOND, Event::Tick)]
fn queued_forwarded_requests_are_returned_when_the_minions_are_lost(
    #[case] at: Duration,
    #[case] loss: Event,
) {
    let mut router = router();
    let first = handle(&mut router, SECOND, forwarded(1));
    assert!(matches!(first[0], Effect::Start { request: 1, .. }));
    assert_eq!(refused(&handle(&mut router, SECOND, forwarded(2))), [0; 0]);
    let own = handle(&mut router, SECOND, arrival(3, Origin::Caller));
    assert_eq!(refused(&own), [0; 0]);
    assert_eq!(refused(&handle(&mut router, SECOND, forwarded(4))), [0; 0]);
    let effects = handle(&mut router, at, loss);
    assert_eq!(refused(&effects), [2, 4], "{effects:?}");
    // The caller's own request can still be forwarded.
    let effects = handle(&mut router, at, peer_load());
    let started = |effect: &Effect| matches!(effect, Effect::Start { request: 3, .. });
    assert!(effects.iter().any(started), "{effects:?}");
}
