//! Cell profiles and job kinds of the two users, from which traces are generated.

use std::collections::BTreeMap;

use super::trace::{KindLine, TeamLine};
use crate::ids::{KindName, TeamName};
use crate::resources::Resources;
use crate::workload::{Band, Spread, WorkClass};

/// Workers and policy of a generated cell.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    pub(crate) zones: &'static [&'static str],
    pub(crate) workers: u32,
    pub(crate) per_rack: u32,
    pub(crate) cores: u32,
    pub(crate) memory_mb: u32,
    /// One in this many workers is an older one, with three quarters of the cores and half the
    /// memory.
    pub(crate) old_every: u32,
    /// One in this many workers has accelerators.
    pub(crate) accelerated_every: u32,
    /// Weight of short waiting against tight packing, 0 to 100.
    pub(crate) waiting_weight: u32,
}

pub(crate) const MASSFENSTER: Profile = Profile {
    zones: &["bern-a", "bern-b", "olten", "aarau"],
    workers: 50,
    per_rack: 6,
    cores: 32,
    memory_mb: 64_000,
    old_every: 5,
    accelerated_every: 10,
    waiting_weight: 80,
};

pub(crate) const TORRES: Profile = Profile {
    zones: &["mixco", "villanueva", "zona-doce"],
    workers: 50,
    per_rack: 8,
    cores: 32,
    memory_mb: 128_000,
    old_every: 5,
    accelerated_every: 10,
    waiting_weight: 20,
};

fn batch(team: &str, band: Band, need: Resources, run_ms: u64) -> KindLine {
    KindLine {
        team: team.into(),
        band,
        need,
        run_ms,
        idempotent: true,
        ..KindLine::default()
    }
}

fn service(team: &str, need: Resources) -> KindLine {
    KindLine {
        class: WorkClass::Service,
        spread: Spread::Zone,
        max_unavailable: 2,
        ..batch(team, Band::High, need, 0)
    }
}

fn gang(team: &str, need: Resources, run_ms: u64) -> KindLine {
    KindLine {
        class: WorkClass::Gang,
        checkpoint: true,
        ..batch(team, Band::Normal, need, run_ms)
    }
}

/// Job kinds of Massfenster: short checks, cut plans, reconciliations, and a gang that computes the
/// nesting of patterns on fabric.
pub(crate) fn massfenster_kinds() -> BTreeMap<KindName, KindLine> {
    let check = batch("fitters", Band::High, Resources::new(1, 2000, 0), 1500);
    let cut_plan = KindLine {
        idempotent: false,
        ..batch("workshop", Band::Normal, Resources::new(4, 6000, 0), 60_000)
    };
    let reconcile = KindLine {
        checkpoint: true,
        ..batch("books", Band::Spare, Resources::new(2, 4000, 0), 120_000)
    };
    let photo = KindLine {
        accelerator: Some("a10".into()),
        ..batch("fitters", Band::High, Resources::new(2, 4000, 1), 3000)
    };
    let kinds = [
        ("check", check),
        ("photo", photo),
        ("cut-plan", cut_plan),
        ("reconcile", reconcile),
        (
            "nesting",
            gang("workshop", Resources::new(8, 8000, 0), 45_000),
        ),
        (
            "rush",
            batch("fitters", Band::Urgent, Resources::new(4, 6000, 0), 4000),
        ),
        (
            "massrechner",
            service("fitters", Resources::new(4, 8000, 0)),
        ),
    ];
    to_map(kinds)
}

/// Job kinds of Torres: site checks, structural load reviews, rent watchers and payments.
pub(crate) fn torres_kinds() -> BTreeMap<KindName, KindLine> {
    let site_check = batch("lease-desk", Band::High, Resources::new(1, 4000, 0), 2000);
    let review = KindLine {
        checkpoint: true,
        ..batch(
            "structures",
            Band::Normal,
            Resources::new(6, 20_000, 0),
            90_000,
        )
    };
    let payment = KindLine {
        idempotent: false,
        ..batch("rent", Band::Normal, Resources::new(1, 3000, 0), 20_000)
    };
    let statement = KindLine {
        checkpoint: true,
        ..batch("rent", Band::Spare, Resources::new(2, 10_000, 0), 60_000)
    };
    let watcher = KindLine {
        class: WorkClass::Watcher,
        checkpoint: true,
        ..batch("rent", Band::High, Resources::new(1, 1000, 0), 0)
    };
    let kinds = [
        ("site-check", site_check),
        ("review", review),
        ("payment", payment),
        ("statement", statement),
        ("watcher", watcher),
        (
            "frame",
            gang("structures", Resources::new(16, 40_000, 0), 60_000),
        ),
        (
            "rush",
            batch("lease-desk", Band::Urgent, Resources::new(4, 8000, 0), 4000),
        ),
        (
            "leasedesk",
            service("lease-desk", Resources::new(4, 8000, 0)),
        ),
    ];
    to_map(kinds)
}

fn to_map<const N: usize>(kinds: [(&str, KindLine); N]) -> BTreeMap<KindName, KindLine> {
    let kinds = kinds.into_iter();
    kinds.map(|(name, kind)| (name.into(), kind)).collect()
}

/// Teams of equal weight with the given quotas in cores, and 2 GB of memory for each core.
pub(crate) fn teams(quotas: &[(&str, u32)]) -> BTreeMap<TeamName, TeamLine> {
    let teams = quotas.iter().map(|&(name, cores)| {
        let team = TeamLine {
            quota: Resources::new(cores, cores * 2000, 0),
            weight: 1,
        };
        (name.into(), team)
    });
    teams.collect()
}
