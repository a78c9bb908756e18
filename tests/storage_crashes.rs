//! Ends of the process, with and without a power loss, at each file operation of a replica.

mod storage_support;

use std::sync::Arc;

use rstest::rstest;
use storage_support::{Disk, End, FailurePoint, Fault};
use yuccahold::ids::Timestamp;
use yuccahold::replication::{
    Entry, HardState, Membership, Payload, Recovered, Save, SaveSnapshot, Snapshot,
};
use yuccahold::storage::{Opened, Store, WriteError};

/// Most file operations of a start; the test fails if one takes more.
const MAX_OPERATIONS_OF_A_START: usize = 40;

/// What a replica must know after a start; entries that the snapshot includes are left out.
#[derive(Clone, Debug, Default, PartialEq)]
struct State {
    snapshot: (u64, u64),
    hard: HardState,
    entries: Vec<(u64, u64)>,
}

impl State {
    fn of(found: &Recovered) -> Self {
        let mut before = found.base.0;
        for entry in &found.entries {
            assert_eq!(entry.index, before + 1, "the entries are consecutive");
            before = entry.index;
        }
        let behind = found
            .entries
            .iter()
            .filter(|e| e.index > found.snapshot.index);
        Self {
            snapshot: (found.snapshot.index, found.snapshot.term),
            hard: found.hard,
            entries: behind.map(|e| (e.index, e.term)).collect(),
        }
    }

    fn last(&self) -> (u64, u64) {
        self.entries.last().copied().unwrap_or(self.snapshot)
    }

    fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.entries.retain(|(index, _)| *index < entry.index);
            self.entries.push((entry.index, entry.term));
        }
    }

    /// The state once the snapshot is written and the log is not.
    fn with_snapshot_only(&self, snapshot: &Snapshot) -> Self {
        let mut state = self.clone();
        let last = (snapshot.index, snapshot.term);
        let is_known = last == self.snapshot || self.entries.contains(&last);
        state
            .entries
            .retain(|(index, _)| is_known && *index > snapshot.index);
        if state.hard.term < snapshot.term {
            state.hard = hard(snapshot.term, None);
        }
        state.snapshot = last;
        state
    }

    /// The states that the disk may hold from the begin of a write to its end, in order.
    fn during(&self, saves: &[Save]) -> Vec<Self> {
        let mut on_disk = vec![self.clone()];
        let mut state = self.clone();
        let mut written = self.clone();
        for save in saves {
            if let Some(cut) = &save.snapshot {
                on_disk.push(written.with_snapshot_only(&cut.snapshot));
                let mut kept = cut.kept.clone();
                kept.retain(|e| e.index > cut.snapshot.index);
                state = Self {
                    snapshot: (cut.snapshot.index, cut.snapshot.term),
                    hard: cut.hard,
                    entries: Vec::new(),
                };
                state.append(&kept);
                written = state.clone();
                on_disk.push(written.clone());
            }
            state.hard = save.hard.unwrap_or(state.hard);
            state.append(&save.entries);
        }
        on_disk.push(state);
        on_disk
    }
}

fn hard(term: u64, voted_for: Option<u64>) -> HardState {
    HardState { term, voted_for }
}

fn entry((index, term): (u64, u64)) -> Entry {
    Entry {
        index,
        term,
        at: Timestamp::from_secs(index),
        payload: Payload::Command(format!("command {index} of term {term}").into()),
    }
}

fn entries(of: &[(u64, u64)]) -> Vec<Entry> {
    of.iter().copied().map(entry).collect()
}

fn appended(hard: Option<HardState>, of: &[(u64, u64)]) -> Save {
    Save {
        hard,
        entries: entries(of),
        ..Save::default()
    }
}

/// A save with a snapshot, and the entries `behind` it in a record of their own.
fn cut(
    (index, term): (u64, u64),
    hard: HardState,
    base: (u64, u64),
    kept: &[(u64, u64)],
    behind: &[(u64, u64)],
) -> Save {
    let snapshot = Snapshot {
        index,
        term,
        at: Timestamp::from_secs(index),
        members: Membership::default(),
        data: "state".into(),
    };
    Save {
        snapshot: Some(SaveSnapshot {
            snapshot: Arc::new(snapshot),
            hard,
            base,
            kept: entries(kept),
        }),
        ..appended(None, behind)
    }
}

/// The writes of a replica that follows, leads, follows again and takes over snapshots.
fn writes() -> Vec<Vec<Save>> {
    let voted = hard(1, Some(7));
    let leads = hard(2, Some(9));
    let follows = |term| hard(term, None);
    vec![
        vec![appended(Some(voted), &[(1, 1), (2, 1), (3, 1)])],
        // Another leader's entries replace some.
        vec![
            appended(Some(leads), &[(2, 2), (3, 2)]),
            appended(None, &[(4, 2)]),
        ],
        // Its own snapshot.
        vec![cut((3, 2), leads, (2, 2), &[(3, 2), (4, 2)], &[(5, 2)])],
        // A leader's snapshot that disagrees with the log within its length.
        vec![cut((4, 3), follows(3), (4, 3), &[], &[])],
        vec![appended(None, &[(5, 3)])],
        // One that is beyond the log.
        vec![cut((10, 5), follows(6), (10, 5), &[], &[])],
        vec![appended(None, &[(11, 5), (12, 6)])],
        // One whose last entry the log holds.
        vec![cut((11, 5), follows(6), (11, 5), &[(12, 6)], &[(13, 6)])],
        // Two in one write.
        vec![
            cut((20, 7), follows(7), (20, 7), &[], &[(21, 7)]),
            cut((21, 7), follows(7), (20, 7), &[(21, 7)], &[(22, 7)]),
        ],
        vec![appended(Some(follows(8)), &[(22, 8), (23, 8)])],
    ]
}

/// Opens the folder and writes until the disk's fault ends the process. Returns the states that
/// the next start may find.
fn write_until_the_end(disk: &Disk) -> Vec<State> {
    let mut state = State::default();
    let Ok((mut store, opened)) = disk.open() else {
        return vec![state];
    };
    assert_eq!(State::of(&opened.recovered), state);
    for saves in writes() {
        let on_disk = state.during(&saves);
        match store.write(&saves) {
            Ok(()) => state = on_disk.last().expect("never empty").clone(),
            Err(_) => return on_disk,
        }
    }
    vec![state]
}

fn start(disk: &Disk) -> (Store<FailurePoint>, Opened) {
    let opened = disk.open();
    opened.unwrap_or_else(|e| panic!("it doesn't start on {:?}: {e}", disk.names()))
}

/// Starts on what is on the disk, again and again, with writes and power losses in between.
fn check_later_starts(disk: &Disk, allowed: &[State]) {
    let (store, opened) = start(disk);
    let mut state = State::of(&opened.recovered);
    let files = disk.names();
    assert!(
        allowed.contains(&state),
        "{files:?}: {state:?} of {allowed:?}"
    );
    assert!(state.hard.term >= state.last().1, "{state:?}");
    drop(store);
    disk.lose_power();

    let (mut store, again) = start(disk);
    assert_eq!(again.id, opened.id);
    assert_eq!(again.recovered, opened.recovered);
    let next = (state.last().0 + 1, state.hard.term.max(1));
    let save = appended(Some(hard(next.1, None)), &[next]);
    store.write(std::slice::from_ref(&save)).expect("a write");
    state = state.during(&[save]).pop().expect("never empty");
    drop(store);
    disk.lose_power();

    for _ in 0..2 {
        let (store, opened) = start(disk);
        assert_eq!(State::of(&opened.recovered), state, "{files:?}");
        drop(store);
    }
    assert_eq!(disk.names().len(), 2 + state.snapshot.0.min(1) as usize);
}

/// A replica that ended between the files of a leader's snapshot wrote on behind it in the old log,
/// and refused to start, or lost entries that it had acknowledged, at its next start.
#[rstest]
#[case::killed_before(Fault::Before, End::Kill)]
#[case::killed_after(Fault::After, End::Kill)]
#[case::killed_halfway(Fault::Halfway, End::Kill)]
#[case::power_lost_before(Fault::Before, End::PowerLoss)]
#[case::power_lost_after(Fault::After, End::PowerLoss)]
#[case::power_lost_halfway(Fault::Halfway, End::PowerLoss)]
fn an_end_at_any_file_operation_loses_nothing_at_later_starts(
    #[case] fault: Fault,
    #[case] end: End,
) {
    for operation in 0.. {
        let disk = Disk::new();
        disk.fail_at(operation, fault);
        let allowed = write_until_the_end(&disk);
        if !disk.has_failed() {
            assert!(operation > 50, "only {operation} operations");
            break;
        }
        disk.end(end);
        check_later_starts(&disk, &allowed);
    }
}

/// A start that repairs the files may end halfway, too.
#[rstest]
#[case::killed(End::Kill)]
#[case::power_lost(End::PowerLoss)]
fn an_end_at_any_file_operation_of_a_start_loses_nothing(#[case] end: End) {
    for operation in 0.. {
        let mut is_last = false;
        for in_start in 0..MAX_OPERATIONS_OF_A_START {
            let disk = Disk::new();
            disk.fail_at(operation, Fault::Halfway);
            let allowed = write_until_the_end(&disk);
            is_last = !disk.has_failed();
            disk.end(End::Kill);
            disk.fail_at(in_start, Fault::Before);
            let is_complete = disk.open().is_ok();
            disk.end(end);
            check_later_starts(&disk, &allowed);
            if is_complete {
                break;
            }
            assert!(in_start + 1 < MAX_OPERATIONS_OF_A_START);
        }
        if is_last {
            break;
        }
    }
}

/// A start that finds an unfinished installation on a full disk waits for space with its writes: it
/// must not append to the log that the snapshot has superseded.
#[test]
fn an_unfinished_installation_waits_for_space_on_a_full_disk() {
    for operation in 0.. {
        let disk = Disk::new();
        disk.fail_at(operation, Fault::Before);
        let allowed = write_until_the_end(&disk);
        if !disk.has_failed() {
            break;
        }
        disk.end(End::Kill);
        let Ok((mut store, opened)) = disk.open_full() else {
            continue;
        };
        let state = State::of(&opened.recovered);
        let next = (state.last().0 + 1, state.hard.term.max(1));
        let saves = [appended(Some(hard(next.1, None)), &[next])];
        assert!(matches!(store.write(&saves), Err(WriteError::Full)));
        disk.free_space();
        store.write(&saves).expect("there is space");
        drop(store);
        let after: Vec<_> = allowed
            .iter()
            .map(|s| s.during(&saves).pop().expect("one"))
            .collect();
        check_later_starts(&disk, &after);
    }
}
