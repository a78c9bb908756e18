//! Leases as their grantor counts them.

use std::time::Duration;

use proptest::prelude::*;
use yuccahold::lease::LeaseTable;

const TTL: Duration = Duration::from_secs(10);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_shorter_lease_does_not_cut_what_was_granted() {
    // An operator shortens the lease. A worker that was granted the longer one a moment ago may
    // still rely on it.
    let mut table = LeaseTable::default();
    assert!(table.renew(&"w", 1, ms(0), TTL));
    assert!(table.renew(&"w", 1, ms(1), ms(100)));
    assert_eq!(table.expire(ms(9_000)), vec![]);
    assert_eq!(table.expire(ms(10_200)), vec![("w", 1)]);
}

#[test]
fn a_lease_that_was_declared_over_is_not_renewed() {
    let mut table = LeaseTable::default();
    table.renew(&"w", 1, ms(0), TTL);
    assert_eq!(table.expire(ms(10_101)), vec![("w", 1)]);
    assert!(!table.renew(&"w", 1, ms(10_102), TTL));
    table.forget(&"w");
    assert!(table.renew(&"w", 1, ms(10_103), TTL));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the delay and the drift (up to one part in a hundred), the holder's lease is
    /// over by its own clock when the grantor declares it over.
    #[test]
    fn the_holder_is_done_first(
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
                    // The holder's clock may run slower by one part in a hundred.
                    prop_assert!(now >= holder_until);
                    table.forget(&"w");
                }
                now += step;
            }
            if table.renew(&"w", 1, ms(received), TTL) {
                let ttl = 10_000 + 10_000 * slow / 1_000;
                holder_until = holder_until.max(sent + ttl);
            }
            time = received;
        }
    }
}
