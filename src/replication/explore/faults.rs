//! Random faults of a schedule, determined by its seed.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A fault or an operator's action.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// The process ends, and starts again after `down`.
    Crash { host: usize, down: Duration },
    /// The process does not run for `time`.
    Pause { host: usize, time: Duration },
    /// Messages from one host to another are dropped; the other direction works.
    CutOneWay { from: usize, to: usize },
    /// Messages to and from a host are dropped.
    Isolate { host: usize },
    /// All partitions end.
    Heal,
    /// The host's disk is replaced by an empty one.
    Wipe { host: usize },
    /// Disks are wiped one after the other, each tolerated by itself. No other fault occurs meanwhile
    /// if `quiet`, so that the group can recover after each.
    WipeSeries {
        wipes: u32,
        gap: Duration,
        quiet: bool,
    },
    /// The host starts again with its disk after `down`, at another address for calls and, with
    /// `all`, for replicas.
    Move {
        host: usize,
        down: Duration,
        all: bool,
    },
    /// The host ends for good, and an empty one at another address replaces it after `down`.
    Replace { host: usize, down: Duration },
    /// The host ends for good without a replacement.
    Retire { host: usize },
    /// The host's configured peers become others, in effect at once or from its next start.
    ChangePeers { host: usize, restarts: bool },
    /// An operator's request for a leadership transfer.
    TransferLeadership { host: usize },
    /// Syncs take up to `longest` from now on.
    SlowDisk { host: usize, longest: Duration },
    /// The disk becomes full, or has free space again.
    FullDisk { host: usize, full: bool },
    /// The host's Unix clock is set to another offset.
    SetClock { host: usize, unix: Duration },
    /// Each leader elected within `time` crashes soon after its election.
    CrashNewLeaders { time: Duration },
    /// The leader and one host are partitioned while another host restarts repeatedly.
    RepeatedRestarts { offset: usize },
    /// Messages are lost and duplicated with these probabilities.
    Network { loss: f64, repeat: f64 },
}

/// Fault rates and timing of a schedule.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultProfile {
    /// Longest time between two faults.
    pub(super) longest_gap: Duration,
    /// Share of faults that are directed at a leader.
    pub(super) leader_share: f64,
    /// Longest time for which a crashed process is down.
    pub(super) max_downtime: Duration,
    /// Longest time between two client calls.
    pub(super) longest_call_gap: Duration,
    /// Longest delay of a message, except for the share of late ones.
    pub(super) longest_delay: Duration,
    /// Share of inputs after which a replica handles further ones before it executes the effects.
    pub(super) batch_share: f64,
    /// Hosts and their configured peers change; otherwise each has all others configured. Faults of
    /// other kinds are then more frequent, and find faults in elections sooner.
    pub(super) hosts_change: bool,
}

impl FaultProfile {
    /// Timing after all faults have ended.
    pub(super) fn without_faults() -> Self {
        Self {
            longest_gap: Duration::ZERO,
            leader_share: 0.0,
            max_downtime: Duration::ZERO,
            longest_call_gap: Duration::from_millis(40),
            longest_delay: Duration::from_millis(8),
            batch_share: 0.0,
            hosts_change: false,
        }
    }

    pub(super) fn random(rng: &mut ChaCha8Rng) -> Self {
        Self {
            longest_gap: Duration::from_millis([180, 60][rng.random_range(0..2)]),
            leader_share: [0.0, 0.7][rng.random_range(0..2)],
            max_downtime: Duration::from_millis([400, 20][rng.random_range(0..2)]),
            longest_call_gap: Duration::from_millis([40, 400][rng.random_range(0..2)]),
            longest_delay: Duration::from_millis([8, 25][rng.random_range(0..2)]),
            batch_share: [0.0, 0.1][rng.random_range(0..2)],
            hosts_change: rng.random(),
        }
    }
}

/// Returns a random fault, at `host` if it affects a single host.
pub(super) fn random_fault(
    rng: &mut ChaCha8Rng,
    profile: &FaultProfile,
    host: usize,
    hosts: usize,
) -> Fault {
    let max_downtime = profile.max_downtime.as_millis() as u64;
    let millis = |rng: &mut ChaCha8Rng, least: u64, most: u64| {
        Duration::from_millis(rng.random_range(least..most))
    };
    let kinds = if profile.hosts_change { 110 } else { 100 };
    match rng.random_range(0..kinds) {
        0..18 => Fault::Crash {
            host,
            down: millis(rng, 1, max_downtime),
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
        94 => Fault::CrashNewLeaders {
            time: millis(rng, 400, 1500),
        },
        95 => Fault::RepeatedRestarts {
            offset: rng.random_range(1..hosts),
        },
        96 | 97 => Fault::SetClock {
            host,
            unix: millis(rng, 1_000_000, 1_010_000),
        },
        98 | 99 => Fault::Network {
            loss: rng.random_range(0.0..0.3),
            repeat: rng.random_range(0.0..0.2),
        },
        100..103 => Fault::ChangePeers {
            host,
            restarts: rng.random_bool(0.5),
        },
        103..106 => Fault::Move {
            host,
            down: millis(rng, 1, max_downtime),
            all: rng.random_bool(0.7),
        },
        106 | 107 => Fault::Replace {
            host,
            down: millis(rng, 1, 4 * max_downtime),
        },
        108 => Fault::Retire { host },
        _ => Fault::WipeSeries {
            wipes: rng.random_range(2..6),
            gap: millis(rng, 150, 500),
            quiet: rng.random_bool(0.7),
        },
    }
}
