//! Scripts: faults in order, each with what it waits for.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::rules::{Direction, Fault};
use super::tcp::Lane;

/// What a step waits for before its fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// Time since the step before.
    After(Duration),
    /// Connections accepted since the proxy began.
    Connections(u64),
    /// Bytes carried in a direction since the proxy began.
    Bytes(Direction, u64),
}

/// One step of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// What it waits for.
    pub when: Trigger,
    /// What then happens.
    pub fault: Fault,
}

/// Plays a script on the connections of a lane to its end.
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

/// Draws a script of faults and repairs from a seed. Every fault is followed by `Reopen`, so
/// the link works at the end.
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
