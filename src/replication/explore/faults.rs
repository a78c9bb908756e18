//! What goes wrong in a schedule, drawn from its seed.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// One fault or planned act.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// The process ends and starts again after a while.
    Crash { host: usize, down: Duration },
    /// The process stands still.
    Pause { host: usize, time: Duration },
    /// Nothing passes from one host to another; the other way is open.
    CutOneWay { from: usize, to: usize },
    /// Nothing passes to or from a host.
    Isolate { host: usize },
    /// All cuts end.
    Heal,
    /// The host's disk is replaced by an empty one.
    Wipe { host: usize },
    /// A planned hand-over of leadership.
    TransferLeadership { host: usize },
    /// Syncs take long for a while.
    SlowDisk { host: usize, longest: Duration },
    /// The disk becomes full or has room again.
    FullDisk { host: usize, full: bool },
    /// The host's Unix clock is set.
    SetClock { host: usize, unix: Duration },
    /// For a while each new leader crashes soon after its election.
    FallingLeaders { time: Duration },
    /// The leader and one host do not reach each other while another restarts again and again.
    Restarts { offset: usize },
    /// Messages are lost and repeated with these chances.
    Network { loss: f64, repeat: f64 },
}

/// How a schedule's faults are spread.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    /// Longest time between two faults.
    pub(super) longest_gap: Duration,
    /// Share of faults that strike a host that leads.
    pub(super) at_leader: f64,
    /// Longest time a crashed process is down.
    pub(super) longest_down: Duration,
    /// Longest time between two calls.
    pub(super) longest_call_gap: Duration,
    /// Longest time a message takes, but for the late ones.
    pub(super) longest_delay: Duration,
}

impl Mix {
    /// What holds once all faults have ended.
    pub(super) fn calm() -> Self {
        Self {
            longest_gap: Duration::ZERO,
            at_leader: 0.0,
            longest_down: Duration::ZERO,
            longest_call_gap: Duration::from_millis(40),
            longest_delay: Duration::from_millis(8),
        }
    }

    pub(super) fn draw(rng: &mut ChaCha8Rng) -> Self {
        Self {
            longest_gap: Duration::from_millis([180, 60][rng.random_range(0..2)]),
            at_leader: [0.0, 0.7][rng.random_range(0..2)],
            longest_down: Duration::from_millis([400, 20][rng.random_range(0..2)]),
            longest_call_gap: Duration::from_millis([40, 400][rng.random_range(0..2)]),
            longest_delay: Duration::from_millis([8, 25][rng.random_range(0..2)]),
        }
    }
}

/// Draws the next fault, at `host` where one host is meant.
pub(super) fn draw(rng: &mut ChaCha8Rng, mix: &Mix, host: usize, hosts: usize) -> Fault {
    let longest_down = mix.longest_down.as_millis() as u64;
    let millis = |rng: &mut ChaCha8Rng, least: u64, most: u64| {
        Duration::from_millis(rng.random_range(least..most))
    };
    match rng.random_range(0..100) {
        0..18 => Fault::Crash {
            host,
            down: millis(rng, 1, longest_down),
        },
        18..36 => Fault::Pause {
            host,
            time: millis(rng, 20, 700),
        },
        36..50 => Fault::CutOneWay {
            from: host,
            to: rng.random_range(0..hosts),
        },
        50..58 => Fault::Isolate { host },
        58..72 => Fault::Heal,
        72..78 => Fault::Wipe { host },
        78..86 => Fault::TransferLeadership { host },
        86..91 => Fault::SlowDisk {
            host,
            longest: millis(rng, 5, 150),
        },
        91..94 => Fault::FullDisk {
            host,
            full: rng.random_bool(0.5),
        },
        94 => Fault::FallingLeaders {
            time: millis(rng, 400, 1500),
        },
        95 => Fault::Restarts {
            offset: rng.random_range(1..hosts),
        },
        96..98 => Fault::SetClock {
            host,
            unix: millis(rng, 1_000_000, 1_010_000),
        },
        _ => Fault::Network {
            loss: rng.random_range(0.0..0.3),
            repeat: rng.random_range(0.0..0.2),
        },
    }
}
