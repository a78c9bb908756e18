//! Index of minions by free resources: finds those with room for a task without walking all.

use std::collections::{BTreeMap, HashMap};

use crate::batch::model::MinionNumber;
use crate::ids::ServiceName;
use crate::resources::Resources;

/// Amounts with the same highest bits share a bucket; this many lower bits are kept apart, so the
/// amounts in a bucket differ by an eighth at most.
const BUCKET_BITS: u32 = 3;
/// Number of resources, each of which has buckets of its own.
const RESOURCES: usize = 3;

/// Minions of one service by the free amount of one resource.
type Buckets = BTreeMap<u32, Vec<MinionNumber>>;

/// Place of a minion in the buckets of one resource.
#[derive(Clone, Copy, Debug)]
struct Position {
    bucket: u32,
    index: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    service: ServiceName,
    positions: [Position; RESOURCES],
}

/// All minions, by service and by the free amount of each resource.
#[derive(Debug, Default)]
pub(super) struct RoomIndex {
    by_service: BTreeMap<ServiceName, [Buckets; RESOURCES]>,
    entries: HashMap<MinionNumber, Entry>,
}

impl RoomIndex {
    /// Adds a minion, or moves it after a change of its service or its free resources.
    pub(super) fn set(&mut self, minion: MinionNumber, service: &ServiceName, free: &Resources) {
        let buckets = buckets_of(free);
        if let Some(entry) = self.entries.get(&minion) {
            let same = entry.positions.iter().map(|p| p.bucket).eq(buckets);
            if same && entry.service == *service {
                return;
            }
        }
        self.remove(minion);
        let by_resource = self.by_service.entry(service.clone()).or_default();
        let mut positions = [Position {
            bucket: 0,
            index: 0,
        }; RESOURCES];
        for (i, bucket) in buckets.into_iter().enumerate() {
            let members = by_resource[i].entry(bucket).or_default();
            positions[i] = Position {
                bucket,
                index: members.len(),
            };
            members.push(minion);
        }
        let entry = Entry {
            service: service.clone(),
            positions,
        };
        self.entries.insert(minion, entry);
    }

    pub(super) fn remove(&mut self, minion: MinionNumber) {
        let Some(entry) = self.entries.remove(&minion) else {
            return;
        };
        let Some(by_resource) = self.by_service.get_mut(&entry.service) else {
            return;
        };
        for (i, Position { bucket, index }) in entry.positions.into_iter().enumerate() {
            let Some(members) = by_resource[i].get_mut(&bucket) else {
                continue;
            };
            members.swap_remove(index);
            if let Some(moved) = members.get(index).and_then(|m| self.entries.get_mut(m)) {
                moved.positions[i].index = index;
            }
            if members.is_empty() {
                by_resource[i].remove(&bucket);
            }
        }
    }

    /// Number of minions.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether a minion is listed where its service and its free resources place it.
    pub(super) fn is_at(
        &self,
        minion: MinionNumber,
        service: &ServiceName,
        free: &Resources,
    ) -> bool {
        let Some(by_resource) = self.by_service.get(service) else {
            return false;
        };
        let listed = |(i, bucket): (usize, u32)| {
            let members = by_resource[i].get(&bucket);
            members.is_some_and(|members| members.contains(&minion))
        };
        buckets_of(free).into_iter().enumerate().all(listed)
    }

    /// Minions of a service that may have `need` free, from a pseudo-random one on: a superset, as
    /// those in the lowest bucket may have a little less. Of the resources, the one that the fewest
    /// minions have free decides.
    pub(super) fn with_room(
        &self,
        service: &ServiceName,
        need: &Resources,
        start: u64,
    ) -> impl Iterator<Item = MinionNumber> + '_ {
        self.part(service, need, start, Part::WithRoom)
    }

    /// The other minions of a service, from a pseudo-random one on.
    pub(super) fn without_room(
        &self,
        service: &ServiceName,
        need: &Resources,
        start: u64,
    ) -> impl Iterator<Item = MinionNumber> + '_ {
        self.part(service, need, start, Part::WithoutRoom)
    }

    fn part(
        &self,
        service: &ServiceName,
        need: &Resources,
        start: u64,
        part: Part,
    ) -> impl Iterator<Item = MinionNumber> + '_ {
        let mut slices = Vec::new();
        if let Some(by_resource) = self.by_service.get(service) {
            let lowest = buckets_of(need);
            let fit = |i: &usize| {
                let buckets = by_resource[*i].range(lowest[*i]..);
                buckets.map(|(_, members)| members.len()).sum::<usize>()
            };
            let scarcest = (0..RESOURCES).min_by_key(fit).unwrap_or_default();
            let from = lowest[scarcest];
            let range = match part {
                Part::WithRoom => by_resource[scarcest].range(from..),
                Part::WithoutRoom => by_resource[scarcest].range(..from),
            };
            slices.extend(range.map(|(_, members)| members.as_slice()));
        }
        rotated(slices, start)
    }
}

#[derive(Clone, Copy)]
enum Part {
    WithRoom,
    WithoutRoom,
}

/// The members of all slices in turn, beginning at the one that `start` selects.
fn rotated(
    slices: Vec<&[MinionNumber]>,
    start: u64,
) -> impl Iterator<Item = MinionNumber> + use<'_> {
    let all: usize = slices.iter().map(|slice| slice.len()).sum();
    let mut skipped = (start % all.max(1) as u64) as usize;
    let mut first = 0;
    while slices.get(first).is_some_and(|s| skipped >= s.len()) {
        skipped -= slices[first].len();
        first += 1;
    }
    let (head, tail) = match slices.get(first) {
        Some(slice) => slice.split_at(skipped),
        None => Default::default(),
    };
    let after: Vec<_> = slices.iter().skip(first + 1).copied().collect();
    let before: Vec<_> = slices.into_iter().take(first).collect();
    let parts = std::iter::once(tail)
        .chain(after)
        .chain(before)
        .chain(std::iter::once(head));
    parts.flatten().copied()
}

fn buckets_of(amount: &Resources) -> [u32; RESOURCES] {
    [
        bucket_of(amount.millicores),
        bucket_of(amount.memory_mb),
        bucket_of(amount.accelerators),
    ]
}

/// Number of the bucket of an amount; larger amounts have equal or higher numbers.
fn bucket_of(amount: u32) -> u32 {
    let bits = u32::BITS - amount.leading_zeros();
    let dropped = bits.saturating_sub(BUCKET_BITS + 1);
    (dropped << BUCKET_BITS) + (amount >> dropped)
}
