//! Opens a replica's files, recovers its state and writes to the log.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::Path;

use super::files::{Files, RealFiles};
use super::folder::{Folder, io_error};
use super::format::{
    FileKind, Identity, Record, SegmentHeader, batch_len, corrupt, decode_batch, decode_file,
    encode, encode_batch, encode_file, has_later_batch,
};
use crate::error::{Error, Result, Step};
use crate::ids::ReplicaId;
use crate::replication::{Entry, HardState, Recovered, Save, SaveSnapshot, Snapshot};

/// The open files of one replica.
pub struct Store<F = RealFiles> {
    folder: Folder,
    files: F,
    segment: File,
    /// Number of the current segment.
    number: u64,
    /// Synced length of the current segment in bytes.
    len: u64,
    /// Sequence number of the last batch.
    batch_seq: u64,
}

/// State found when the folder was opened.
#[derive(Debug)]
pub struct Opened {
    /// Id of the replica whose files are in the folder.
    pub id: ReplicaId,
    /// The folder was empty, so a new replica was created in it.
    pub fresh: bool,
    /// Persistent state from the snapshot and the log.
    pub recovered: Recovered,
    /// Bytes of an incomplete write that were removed from the end of the log.
    pub torn_bytes: u64,
}

/// Why a write failed.
#[derive(Debug)]
pub enum WriteError {
    /// The disk is full. Nothing of the batch remains in the log; it may be retried.
    Full,
    /// It is unknown what the disk holds, so the process must end.
    Failed(Error),
}

impl Store<RealFiles> {
    /// Opens the folder; in an empty folder, creates a new replica.
    pub fn open(path: &Path) -> Result<(Self, Opened)> {
        Self::open_with(path, RealFiles)
    }
}

impl<F: Files> Store<F> {
    /// Like `open`, with the given file operations.
    pub fn open_with(path: &Path, files: F) -> Result<(Self, Opened)> {
        let folder = Folder::open(path)?;
        let identity_path = folder.identity();
        let fresh = !identity_path.exists();
        if fresh {
            create_identity(&folder)?;
        }
        let buf = read(&identity_path)?;
        let (identity, _) = decode_file::<Identity>(FileKind::Identity, &identity_path, &buf)?;
        let snapshot = newest_snapshot(&folder)?;
        let log = read_segment(&folder)?;
        let (base, entries) = merge_snapshot_and_log(&folder, &snapshot, &log)?;
        let segment_path = folder.segment(log.number);
        let segment = OpenOptions::new()
            .append(true)
            .open(&segment_path)
            .map_err(|e| io_error("opening", &segment_path, e))?;
        if log.torn_bytes > 0 {
            segment
                .set_len(log.len)
                .and_then(|()| segment.sync_all())
                .map_err(|e| io_error("truncating a torn write", &segment_path, e))?;
        }
        let opened = Opened {
            id: identity.id,
            fresh,
            recovered: Recovered {
                hard: log.hard,
                snapshot,
                base,
                entries,
            },
            torn_bytes: log.torn_bytes,
        };
        let store = Self {
            folder,
            files,
            segment,
            number: log.number,
            len: log.len,
            batch_seq: log.batch_seq,
        };
        store.remove_superseded(opened.recovered.snapshot.index)?;
        Ok((store, opened))
    }

    /// Writes the saves in order, with one sync for all.
    pub fn write(&mut self, saves: &[Save]) -> Result<(), WriteError> {
        let mut records = Vec::new();
        for save in saves {
            if let Some(snapshot) = &save.snapshot {
                // The new segment includes the state of the records before it.
                records.clear();
                self.rotate(snapshot)?;
            }
            if let Some(hard) = &save.hard {
                records.extend(encode(&Record::Hard(*hard)));
            }
            for entry in &save.entries {
                records.extend(encode(&Record::Entry(entry.clone())));
            }
        }
        if records.is_empty() {
            return Ok(());
        }
        self.append(&records)
    }

    fn append(&mut self, records: &[u8]) -> Result<(), WriteError> {
        let batch = encode_batch(self.batch_seq + 1, records);
        if let Err(e) = self.files.append(&mut self.segment, &batch) {
            if !is_full(&e) {
                return Err(self.fatal("writing the log", e));
            }
            // The next batch must not follow a part of this one.
            let truncated = self.segment.set_len(self.len);
            truncated.map_err(|e| self.fatal("truncating an incomplete write", e))?;
            return Err(WriteError::Full);
        }
        // After a failed sync, the page cache may hold data that is not on disk, and a second sync
        // may succeed without writing it. The error is fatal: only after a restart does the process
        // know what the disk holds.
        self.files
            .sync(&self.segment)
            .map_err(|e| self.fatal("syncing the log", e))?;
        self.batch_seq += 1;
        self.len += batch.len() as u64;
        Ok(())
    }

    /// Writes a snapshot and starts a new segment with the entries that remain in the log.
    fn rotate(&mut self, save: &SaveSnapshot) -> Result<(), WriteError> {
        let snapshot_path = self.folder.snapshot(save.snapshot.index);
        let content = encode_file(FileKind::Snapshot, &*save.snapshot);
        self.write_atomically(&snapshot_path, &content)?;
        let header = SegmentHeader {
            number: self.number + 1,
            base: save.base,
        };
        let mut records = encode(&Record::Hard(save.hard));
        for entry in &save.kept {
            records.extend(encode(&Record::Entry(entry.clone())));
        }
        let mut content = encode_file(FileKind::Segment, &header);
        content.extend(encode_batch(self.batch_seq + 1, &records));
        let path = self.folder.segment(header.number);
        self.write_atomically(&path, &content)?;
        self.segment = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(|e| self.fatal("opening the new segment", e))?;
        self.number = header.number;
        self.len = content.len() as u64;
        self.batch_seq += 1;
        self.remove_superseded(save.snapshot.index)
            .map_err(WriteError::Failed)
    }

    fn write_atomically(&self, path: &Path, content: &[u8]) -> Result<(), WriteError> {
        self.folder.write_atomically(path, content).map_err(|e| {
            if is_full(&e) {
                let _ = fs::remove_file(path.with_extension("tmp"));
                WriteError::Full
            } else {
                WriteError::Failed(io_error("writing", path, e))
            }
        })
    }

    fn remove_superseded(&self, snapshot: u64) -> Result<()> {
        let segments = self.folder.segments()?;
        let old_segments = segments.into_iter().filter(|n| *n < self.number);
        let snapshots = self.folder.snapshots()?;
        let old_snapshots = snapshots.into_iter().filter(|n| *n < snapshot);
        let old = old_segments
            .map(|n| self.folder.segment(n))
            .chain(old_snapshots.map(|n| self.folder.snapshot(n)));
        for path in old {
            fs::remove_file(&path).map_err(|e| io_error("removing", &path, e))?;
        }
        Ok(())
    }

    fn fatal(&self, what: &str, e: io::Error) -> WriteError {
        WriteError::Failed(io_error(what, &self.folder.segment(self.number), e))
    }
}

fn is_full(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

fn read(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|e| io_error("reading", path, e))
}

/// Creates a new replica. The identity is written last: a folder without it holds no replica, so a
/// crash before leaves a folder in which a replica can be created again.
fn create_identity(folder: &Folder) -> Result<()> {
    let first = folder.segment(1);
    let segments = folder.segments()?;
    let empty_log =
        || fs::metadata(&first).is_ok_and(|m| m.len() <= first_segment_header().len() as u64);
    if !(segments.is_empty() || segments == [1] && empty_log()) {
        return Err(corrupt(
            &folder.identity(),
            "it is missing although a log exists",
        ));
    }
    let write = |path: &Path, content: &[u8]| {
        let written = folder.write_atomically(path, content);
        written.map_err(|e| io_error("writing", path, e))
    };
    write(&first, &first_segment_header())?;
    let id = rand::random::<u64>().max(1);
    let identity = encode_file(FileKind::Identity, &Identity { id });
    write(&folder.identity(), &identity)
}

fn first_segment_header() -> Vec<u8> {
    let header = SegmentHeader {
        number: 1,
        base: (0, 0),
    };
    encode_file(FileKind::Segment, &header)
}

fn newest_snapshot(folder: &Folder) -> Result<Snapshot> {
    let Some(newest) = folder.snapshots()?.pop() else {
        return Ok(Snapshot::default());
    };
    let path = folder.snapshot(newest);
    let buf = read(&path)?;
    decode_file(FileKind::Snapshot, &path, &buf).map(|(snapshot, _)| snapshot)
}

/// Content of a log segment.
struct Segment {
    number: u64,
    base: (u64, u64),
    hard: HardState,
    entries: Vec<Entry>,
    len: u64,
    batch_seq: u64,
    torn_bytes: u64,
}

fn read_segment(folder: &Folder) -> Result<Segment> {
    let Some(number) = folder.segments()?.pop() else {
        return Err(corrupt(&folder.segment(1), "it is missing"));
    };
    let path = folder.segment(number);
    let buf = read(&path)?;
    let (header, start) = decode_file::<SegmentHeader>(FileKind::Segment, &path, &buf)?;
    let mut segment = Segment {
        number,
        base: header.base,
        hard: HardState::default(),
        entries: Vec::new(),
        len: start as u64,
        batch_seq: 0,
        torn_bytes: 0,
    };
    let mut rest = &buf[start..];
    while let Some((seq, records)) = decode_batch(rest) {
        if segment.batch_seq != 0 && seq != segment.batch_seq + 1 {
            return Err(corrupt(&path, "a batch is missing"));
        }
        segment.replay(&path, records)?;
        segment.batch_seq = seq;
        segment.len += batch_len(records) as u64;
        rest = &rest[batch_len(records)..];
    }
    // Each batch is synced before the next is written. Bytes that are not a valid batch are thus an
    // incomplete write only if no complete batch follows. Otherwise the disk has lost a batch that
    // was acknowledged, and the replica could break a vote or an acknowledgement it has given.
    if has_later_batch(rest, segment.batch_seq) {
        let how = format!("the batch at byte {} is unreadable", segment.len);
        return Err(corrupt(&path, &how));
    }
    segment.torn_bytes = rest.len() as u64;
    Ok(segment)
}

impl Segment {
    fn replay(&mut self, path: &Path, mut records: &[u8]) -> Result<()> {
        while !records.is_empty() {
            let (record, rest) = postcard::take_from_bytes::<Record>(records)
                .map_err(|_| corrupt(path, "a record cannot be decoded"))?;
            records = rest;
            match record {
                Record::Hard(hard) => self.hard = hard,
                Record::Entry(entry) => self.insert_entry(path, entry)?,
            }
        }
        Ok(())
    }

    fn insert_entry(&mut self, path: &Path, entry: Entry) -> Result<()> {
        let position = entry.index.checked_sub(self.base.0 + 1);
        match position {
            Some(at) if at <= self.entries.len() as u64 => {
                self.entries.truncate(at as usize);
                self.entries.push(entry);
                Ok(())
            }
            _ => Err(corrupt(
                path,
                &format!(
                    "entry {} does not follow the entries before it",
                    entry.index
                ),
            )),
        }
    }
}

/// Base and entries of the log after the snapshot; no entries if the log does not match the
/// snapshot, because a leader's snapshot has replaced it.
fn merge_snapshot_and_log(
    folder: &Folder,
    snapshot: &Snapshot,
    log: &Segment,
) -> Result<((u64, u64), Vec<Entry>)> {
    let (base, _) = log.base;
    if snapshot.index < base {
        let message =
            format!("the log starts after entry {base}, but the snapshot up to there is missing");
        let path = folder.snapshot(base);
        return Err(Error::new(Step::Storage, message).with_peer(path.display()));
    }
    let term = match snapshot.index - base {
        0 => Some(log.base.1),
        offset => log.entries.get(offset as usize - 1).map(|e| e.term),
    };
    if snapshot.index == 0 || term == Some(snapshot.term) {
        return Ok((log.base, log.entries.clone()));
    }
    // The process crashed after it wrote a leader's snapshot and before it wrote the new segment.
    Ok(((snapshot.index, snapshot.term), Vec::new()))
}
