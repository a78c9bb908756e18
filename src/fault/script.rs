//! Scripts: sequences of faults, each with a trigger.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::rules::{Direction, Fault};
use super::tcp::Lane;

/// Condition that a step waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// Time since the previous step.
    After(Duration),
    /// Number of connections accepted since the proxy started.
    Connections(u64),
    /// Number of bytes delivered in a direction since the proxy started.
    Bytes(Direction, u64),
}

/// One step of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// Condition to wait for before the fault.
    pub when: Trigger,
    /// Fault to inject.
    pub fault: Fault,
}

/// Applies the steps of a script to the connections of `lane` and returns after the last one.
pub async fn play(lane: &Lane, script: &[FaultStep]) {
    for step in script {
        match step.when {
            Trigger::After(time) => tokio::time::sleep(time).await,
            Trigger::Connections(n) => lane.reached(|counts| counts.connections >= n).await,
            Trigger::Bytes(direction, n) => {
                lane.reached(|counts| counts.bytes(direction) >= n).await;
            }
        }
        lane.apply(step.fault);
    }
}

/// Generates a script from a seed. Every fault is followed by `Reopen`, so new connections work at
/// the end. `longest` is the maximum time before each step.
pub fn random_script(seed: u64, faults: usize, longest: Duration) -> Vec<FaultStep> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut script = Vec::with_capacity(faults * 2);
    for _ in 0..faults {
        for fault in [random_fault(&mut rng), Fault::Reopen] {
            let when = Trigger::After(longest.mul_f64(rng.random()));
            script.push(FaultStep { when, fault });
        }
    }
    script
}

fn random_fault(rng: &mut ChaCha8Rng) -> Fault {
    let direction = match rng.random_range(0..3) {
        0 => Direction::ToServer,
        1 => Direction::ToClient,
        _ => Direction::Both,
    };
    match rng.random_range(0..6) {
        0 => Fault::Cut,
        1 => Fault::Silence(direction),
        2 => Fault::SilenceOpen,
        3 => Fault::Reset,
        4 => Fault::Truncate {
            direction,
            after: rng.random_range(0..4096),
        },
        _ => Fault::Delay {
            direction,
            fixed: Duration::from_millis(rng.random_range(0..20)),
            jitter: Duration::from_millis(rng.random_range(0..50)),
        },
    }
}
