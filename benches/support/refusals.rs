//! Time and memory of refusals: 10,000 callers a second ask a full cell with a backlog.

use std::time::{Duration, Instant};

use yuccahold::batch::dispatch::{Order, Verdict};
use yuccahold::batch::model::Queue;

#[path = "../../tests/batch_world/mod.rs"]
mod batch_world;

use batch_world::callers::{Play, Stream};
use batch_world::{low_priority_queue, ms, queue};

/// Refused callers per tick of 10 ms.
const CALLERS_PER_TICK: u64 = 100;

/// Measures refusals with several backlogs of waiting jobs, second by second.
pub fn measure() {
    for backlog in [0, 1_000, 5_000] {
        let mut play = Play::new(true, &[("calm", 20.0), ("bulk", 1e9), ("eager", 0.0)]);
        for job in 0..backlog {
            let low = Queue {
                priority: 4,
                ..low_priority_queue()
            };
            let steps = vec![batch_world::step(2, 6_000)];
            play.world.accept_for("bulk", 1 << 40 | job, low, steps);
        }
        let mut calm = Stream::new("calm", queue(), 2, 1.0);
        let caller = play.caller("eager", queue(), 2, ms(1_000));
        let mut next = 1 << 32;
        for second in 0..9 {
            let (mut busy, mut refused, before) = (Duration::ZERO, 0, resident_kb());
            for _ in 0..100 {
                calm.submit(&mut play);
                play.tick();
                play.world.orders.retain(|o| !matches!(o, Order::Event(_)));
                let began = Instant::now();
                for _ in 0..if second < 4 { 0 } else { CALLERS_PER_TICK } {
                    next += 1;
                    let verdict = play.verdict(next, &caller);
                    refused += u32::from(verdict != Verdict::Admitted);
                }
                busy += began.elapsed();
            }
            if second >= 4 {
                println!(
                    "admission: {backlog} jobs wait, second {}: {refused} refused, {:.2} us each, {} KB more",
                    second - 3,
                    busy.as_secs_f64() * 1e6 / f64::from(refused.max(1)),
                    resident_kb() - before,
                );
            }
        }
    }
}

/// Resident memory of this process.
fn resident_kb() -> i64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<i64>().ok());
    pages.unwrap_or_default() * 4
}
