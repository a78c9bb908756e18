//! Lease expiry as measured by the grantor.

use std::time::Duration;

use proptest::prelude::*;
use yuccahold::lease::LeaseTable;

const TTL: Duration = Duration::from_secs(10);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_shorter_ttl_does_not_shorten_a_granted_lease() {
    // A new document shortens the ttl. The holder still relies on the longer lease granted before.
    let mut table = LeaseTable::default();
    assert!(table.renew(&"w", 1, ms(0), TTL));
    assert!(table.renew(&"w", 1, ms(1), ms(100)));
    assert_eq!(table.expire(ms(9_000)), vec![]);
    assert_eq!(table.expire(ms(10_200)), vec![("w", 1)]);
}

#[test]
fn an_expired_lease_is_not_renewed() {
    let mut table = LeaseTable::default();
    table.renew(&"w", 1, ms(0), TTL);
    assert_eq!(table.expire(ms(10_101)), vec![("w", 1)]);
    assert!(!table.renew(&"w", 1, ms(10_102), TTL));
    table.remove(&"w");
    assert!(table.renew(&"w", 1, ms(10_103), TTL));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// When the grantor declares a lease expired, it has expired by the holder's clock, whatever
    /// the transit delay and for clock drift of up to one part in a hundred.
    #[test]
    fn a_lease_expires_for_its_holder_first(
        sends in proptest::collection::vec((1u64..20_000, 0u64..3_000), 1..20),
        slow in 0u64..=10,
        step in 1u64..500,
    ) {
        let mut table = LeaseTable::default();
        let mut time = 0;
        let mut holder_until = 0;
        for (gap, delay) in sends {
            let sent = time + gap;
            let received = sent + delay;
            let mut now = time;
            while now < received {
                for _ in table.expire(ms(now)) {
                    prop_assert!(now >= holder_until);
                    table.remove(&"w");
                }
                now += step;
            }
            if table.renew(&"w", 1, ms(received), TTL) {
                // The holder's clock runs slower by up to one part in a hundred.
                let ttl = 10_000 + 10_000 * slow / 1_000;
                holder_until = holder_until.max(sent + ttl);
            }
            time = received;
        }
    }
}
