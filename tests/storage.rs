//! A replica's files after crashes, corruption and disk failures.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use rstest::rstest;
use yuccahold::ids::Timestamp;
use yuccahold::replication::{Entry, HardState, Membership, Payload, Save, SaveSnapshot, Snapshot};
use yuccahold::storage::{Files, RealFiles, Store, WriteError};

/// A temporary folder, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("yuccahold-storage-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    /// Path of the only log segment.
    fn log(&self) -> PathBuf {
        self.file("log-")
    }

    fn file(&self, prefix: &str) -> PathBuf {
        let files = fs::read_dir(&self.0).unwrap().map(|f| f.unwrap().path());
        let named = |p: &PathBuf| p.file_name().unwrap().to_str().unwrap().starts_with(prefix);
        files.into_iter().find(named).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        at: Timestamp::from_secs(index),
        payload: Payload::Command(format!("command {index} of term {term}").into()),
    }
}

fn entries(entries: impl IntoIterator<Item = Entry>) -> Save {
    Save {
        entries: entries.into_iter().collect(),
        ..Save::default()
    }
}

/// A store with entries 1 to 3, each in its own batch.
fn store_of_three(path: &Path) -> Store {
    let (mut store, _) = Store::open(path).unwrap();
    for index in 1..=3 {
        store.write(&[entries([entry(index, 1)])]).unwrap();
    }
    store
}

fn corrupt_byte(path: &Path, at: usize) {
    let mut buf = fs::read(path).unwrap();
    buf[at] ^= 0xff;
    fs::write(path, buf).unwrap();
}

#[test]
fn what_was_written_is_found_again() {
    // A restart recovers term, vote, snapshot and entries. A later entry at an index replaces the
    // entries from that index on.
    let folder = Folder::new("again");
    let mut store = store_of_three(&folder.0);
    let hard = HardState {
        term: 2,
        voted_for: Some(7),
    };
    let replacing = Save {
        hard: Some(hard),
        ..entries([entry(2, 2)])
    };
    store.write(&[replacing, entries([entry(3, 2)])]).unwrap();
    drop(store);
    let (mut store, opened) = Store::open(&folder.0).unwrap();
    assert!(!opened.fresh);
    assert_eq!(opened.recovered.hard, hard);
    assert_eq!(
        opened.recovered.entries,
        [entry(1, 1), entry(2, 2), entry(3, 2)]
    );

    let snapshot = Snapshot {
        index: 2,
        term: 2,
        at: Timestamp::from_secs(2),
        members: Membership::default(),
        data: "state".into(),
    };
    let cut = Save {
        snapshot: Some(SaveSnapshot {
            snapshot: Arc::new(snapshot.clone()),
            hard,
            base: (1, 1),
            kept: vec![entry(2, 2), entry(3, 2)],
        }),
        ..entries([entry(4, 2)])
    };
    store.write(&[cut]).unwrap();
    drop(store);
    let (_store, again) = Store::open(&folder.0).unwrap();
    assert_eq!(again.id, opened.id);
    assert_eq!(again.recovered.snapshot, snapshot);
    assert_eq!(again.recovered.base, (1, 1));
    assert_eq!(
        again.recovered.entries,
        [entry(2, 2), entry(3, 2), entry(4, 2)]
    );
}

#[test]
fn a_second_process_is_refused() {
    let folder = Folder::new("second");
    let _store = store_of_three(&folder.0);
    let refused = Store::open(&folder.0).err().unwrap().to_string();
    assert!(refused.contains("another process"), "{refused}");
}

#[test]
fn a_torn_tail_is_cut_at_every_byte() {
    // A crash during a write leaves a prefix of it. That write was not acknowledged, so a prefix of
    // any length is truncated, and the next write follows the last complete one.
    let folder = Folder::new("torn");
    drop(store_of_three(&folder.0));
    let whole = fs::read(folder.log()).unwrap();
    let (mut store, _) = Store::open(&folder.0).unwrap();
    store.write(&[entries([entry(4, 1)])]).unwrap();
    drop(store);
    let longer = fs::read(folder.log()).unwrap();
    for len in whole.len()..longer.len() {
        fs::write(folder.log(), &longer[..len]).unwrap();
        let (mut store, opened) = Store::open(&folder.0).unwrap();
        assert_eq!(opened.torn_bytes as usize, len - whole.len());
        assert_eq!(opened.recovered.entries.len(), 3);
        store.write(&[entries([entry(4, 9)])]).unwrap();
        drop(store);
        let (_store, opened) = Store::open(&folder.0).unwrap();
        assert_eq!(opened.recovered.entries.last(), Some(&entry(4, 9)));
    }
}

#[test]
fn damage_in_the_middle_is_refused_by_name_at_every_byte() {
    // A byte changes in data that was synced before the last write. Continuing without that data
    // would lose acknowledged entries, so the file is refused, named in the error and not changed.
    let folder = Folder::new("damage");
    let (mut store, _) = Store::open(&folder.0).unwrap();
    store.write(&[entries([entry(1, 1)])]).unwrap();
    let before_last = fs::metadata(folder.log()).unwrap().len() as usize;
    store.write(&[entries([entry(2, 1)])]).unwrap();
    drop(store);
    for at in 0..before_last {
        corrupt_byte(&folder.log(), at);
        let damaged = fs::read(folder.log()).unwrap();
        let refused = Store::open(&folder.0).err().expect("refused").to_string();
        assert!(refused.contains("log-"), "byte {at}: {refused}");
        assert_eq!(fs::read(folder.log()).unwrap(), damaged);
        corrupt_byte(&folder.log(), at);
    }
    assert!(Store::open(&folder.0).is_ok());
}

#[rstest]
#[case::identity("identity", "checksum")]
#[case::snapshot("snapshot-", "checksum")]
fn a_damaged_whole_file_is_refused(#[case] file: &str, #[case] why: &str) {
    let folder = Folder::new(file);
    let mut store = store_of_three(&folder.0);
    let snapshot = Snapshot {
        index: 3,
        term: 1,
        ..Snapshot::default()
    };
    let cut = SaveSnapshot {
        snapshot: Arc::new(snapshot),
        hard: HardState::default(),
        base: (3, 1),
        kept: Vec::new(),
    };
    let cut = Save {
        snapshot: Some(cut),
        ..Save::default()
    };
    store.write(&[cut]).unwrap();
    drop(store);
    let path = folder.file(file);
    let last = fs::metadata(&path).unwrap().len() as usize - 1;
    corrupt_byte(&path, last);
    let refused = Store::open(&folder.0).err().unwrap().to_string();
    assert!(refused.contains(file) && refused.contains(why), "{refused}");
    fs::remove_file(&path).unwrap();
    assert!(
        Store::open(&folder.0).is_err(),
        "a missing file is refused as well"
    );
}

#[test]
fn another_format_version_is_refused_by_number() {
    let folder = Folder::new("version");
    drop(store_of_three(&folder.0));
    corrupt_byte(&folder.log(), 8);
    let refused = Store::open(&folder.0).err().unwrap().to_string();
    assert!(refused.contains("format version 254"), "{refused}");
}

/// Fails according to the value: 1 with a full disk after half of an append, 2 at a sync.
struct FailingFiles(Arc<AtomicU8>);

impl Files for FailingFiles {
    fn append(&mut self, file: &mut File, buf: &[u8]) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) == 1 {
            file.write_all(&buf[..buf.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        RealFiles.append(file, buf)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) == 2 {
            return Err(io::Error::other("the device is gone"));
        }
        RealFiles.sync(file)
    }
}

#[test]
fn a_full_disk_leaves_nothing_behind_and_a_failed_sync_is_final() {
    // On a full disk, half of a batch is written. It is truncated, so that the same batch can be
    // written once there is space. A failed sync is reported as fatal, so that the process ends.
    let folder = Folder::new("full");
    let failure = Arc::new(AtomicU8::new(0));
    let (mut store, _) = Store::open_with(&folder.0, FailingFiles(failure.clone())).unwrap();
    failure.store(1, Ordering::Relaxed);
    let save = [entries([entry(1, 1)])];
    assert!(matches!(store.write(&save), Err(WriteError::Full)));
    failure.store(0, Ordering::Relaxed);
    store.write(&save).unwrap();
    failure.store(2, Ordering::Relaxed);
    let next = [entries([entry(2, 1)])];
    assert!(matches!(store.write(&next), Err(WriteError::Failed(_))));
    drop(store);
    let (_store, opened) = Store::open(&folder.0).unwrap();
    assert_eq!(opened.torn_bytes, 0);
    assert_eq!(opened.recovered.entries[0], entry(1, 1));
}

#[test]
fn a_crash_between_snapshot_and_segment_drops_a_log_that_disagrees() {
    // A leader's snapshot replaces a log with other entries. A crash after the snapshot is written
    // and before the new segment leaves the old log, which must not be used after the snapshot.
    let folder = Folder::new("between");
    drop(store_of_three(&folder.0));
    let old_log = fs::read(folder.log()).unwrap();
    let old_path = folder.log();
    let (mut store, _) = Store::open(&folder.0).unwrap();
    let cut = SaveSnapshot {
        snapshot: Arc::new(Snapshot {
            index: 2,
            term: 5,
            ..Snapshot::default()
        }),
        hard: HardState::default(),
        base: (2, 5),
        kept: Vec::new(),
    };
    let cut = Save {
        snapshot: Some(cut),
        ..Save::default()
    };
    store.write(&[cut]).unwrap();
    drop(store);
    fs::remove_file(folder.log()).unwrap();
    let mut file = OpenOptions::new()
        .create_new(true)
        .write(true)
        .open(old_path)
        .unwrap();
    file.write_all(&old_log).unwrap();
    let (_store, opened) = Store::open(&folder.0).unwrap();
    assert_eq!(opened.recovered.base, (2, 5));
    assert!(opened.recovered.entries.is_empty());
}
