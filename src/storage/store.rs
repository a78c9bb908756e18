//! Opening a replica's files and writing to them.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::Path;

use super::files::{Files, RealFiles};
use super::folder::{Folder, failed};
use super::format::{
    FileKind, Identity, Record, SegmentHead, batch_len, damaged, decode_batch, decode_file, encode,
    encode_batch, encode_file, has_later_batch,
};
use crate::error::{Error, Result, Step};
use crate::ids::ReplicaId;
use crate::replication::{Entry, HardState, Recovered, Save, SaveSnapshot, Snapshot};

/// The open files of one replica.
pub struct Store<F = RealFiles> {
    folder: Folder,
    files: F,
    segment: File,
    number: u64,
    len: u64,
    batch_seq: u64,
}

/// What opening found.
#[derive(Debug)]
pub struct Opened {
    /// The replica this folder belongs to.
    pub id: ReplicaId,
    /// Whether the folder was empty, so that the replica is new.
    pub fresh: bool,
    /// Its state.
    pub recovered: Recovered,
    /// Bytes of an unfinished write cut off the end of the log.
    pub torn_bytes: u64,
}

/// Why a write did not happen.
#[derive(Debug)]
pub enum WriteError {
    /// The disk is full. Nothing of the batch stays; it may be tried again.
    Full,
    /// The disk cannot be trusted any more: the process must end.
    Failed(Error),
}

impl Store<RealFiles> {
    /// Opens the folder, making a new replica in an empty one.
    pub fn open(path: &Path) -> Result<(Self, Opened)> {
        Self::open_with(path, RealFiles)
    }
}

impl<F: Files> Store<F> {
    /// Opens the folder with the given file operations.
    pub fn open_with(path: &Path, files: F) -> Result<(Self, Opened)> {
        let folder = Folder::open(path)?;
        let identity_path = folder.identity();
        let fresh = !identity_path.exists();
        if fresh {
            make_identity(&folder)?;
        }
        let buf = read(&identity_path)?;
        let (identity, _) = decode_file::<Identity>(FileKind::Identity, &identity_path, &buf)?;
        let snapshot = newest_snapshot(&folder)?;
        let log = read_segment(&folder)?;
        let (base, entries) = join(&folder, &snapshot, &log)?;
        let segment_path = folder.segment(log.number);
        let segment = OpenOptions::new()
            .append(true)
            .open(&segment_path)
            .map_err(|e| failed("opening", &segment_path, e))?;
        if log.torn_bytes > 0 {
            segment
                .set_len(log.len)
                .and_then(|()| segment.sync_all())
                .map_err(|e| failed("cutting a torn write off", &segment_path, e))?;
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

    /// Writes the saves in order with one sync for all.
    pub fn write(&mut self, saves: &[Save]) -> Result<(), WriteError> {
        let mut records = Vec::new();
        for save in saves {
            if let Some(snapshot) = &save.snapshot {
                // The new segment holds everything the records before it said.
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
            // The next batch must not follow half of this one.
            let cut = self.segment.set_len(self.len);
            cut.map_err(|e| self.fatal("cutting an unfinished write off", e))?;
            return Err(WriteError::Full);
        }
        // After a failed sync the page cache may claim to hold what the disk does not, and a
        // second sync may succeed without writing it. Only a restart reads the truth.
        self.files
            .sync(&self.segment)
            .map_err(|e| self.fatal("syncing the log", e))?;
        self.batch_seq += 1;
        self.len += batch.len() as u64;
        Ok(())
    }

    /// Writes a snapshot and begins a new segment with what stays of the log.
    fn rotate(&mut self, save: &SaveSnapshot) -> Result<(), WriteError> {
        let snapshot_path = self.folder.snapshot(save.snapshot.index);
        let content = encode_file(FileKind::Snapshot, &*save.snapshot);
        self.write_whole(&snapshot_path, &content)?;
        let head = SegmentHead {
            number: self.number + 1,
            base: save.base,
        };
        let mut records = encode(&Record::Hard(save.hard));
        for entry in &save.kept {
            records.extend(encode(&Record::Entry(entry.clone())));
        }
        let mut content = encode_file(FileKind::Segment, &head);
        content.extend(encode_batch(self.batch_seq + 1, &records));
        let path = self.folder.segment(head.number);
        self.write_whole(&path, &content)?;
        self.segment = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(|e| self.fatal("opening the new segment", e))?;
        self.number = head.number;
        self.len = content.len() as u64;
        self.batch_seq += 1;
        self.remove_superseded(save.snapshot.index)
            .map_err(WriteError::Failed)
    }

    fn write_whole(&self, path: &Path, content: &[u8]) -> Result<(), WriteError> {
        self.folder.write_whole(path, content).map_err(|e| {
            if is_full(&e) {
                let _ = fs::remove_file(path.with_extension("tmp"));
                WriteError::Full
            } else {
                WriteError::Failed(failed("writing", path, e))
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
            fs::remove_file(&path).map_err(|e| failed("removing", &path, e))?;
        }
        Ok(())
    }

    fn fatal(&self, what: &str, e: io::Error) -> WriteError {
        WriteError::Failed(failed(what, &self.folder.segment(self.number), e))
    }
}

fn is_full(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

fn read(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|e| failed("reading", path, e))
}

/// Makes a new replica. The identity comes last: without it the folder holds no replica yet.
fn make_identity(folder: &Folder) -> Result<()> {
    let first = folder.segment(1);
    let segments = folder.segments()?;
    let empty_log = || fs::metadata(&first).is_ok_and(|m| m.len() <= segment_start().len() as u64);
    if !(segments.is_empty() || segments == [1] && empty_log()) {
        return Err(damaged(&folder.identity(), "it is missing beside a log"));
    }
    let write = |path: &Path, content: &[u8]| {
        let written = folder.write_whole(path, content);
        written.map_err(|e| failed("writing", path, e))
    };
    write(&first, &segment_start())?;
    let id = rand::random::<u64>().max(1);
    let identity = encode_file(FileKind::Identity, &Identity { id });
    write(&folder.identity(), &identity)
}

fn segment_start() -> Vec<u8> {
    let head = SegmentHead {
        number: 1,
        base: (0, 0),
    };
    encode_file(FileKind::Segment, &head)
}

fn newest_snapshot(folder: &Folder) -> Result<Snapshot> {
    let Some(newest) = folder.snapshots()?.pop() else {
        return Ok(Snapshot::default());
    };
    let path = folder.snapshot(newest);
    let buf = read(&path)?;
    decode_file(FileKind::Snapshot, &path, &buf).map(|(snapshot, _)| snapshot)
}

/// What a segment holds.
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
        return Err(damaged(&folder.segment(1), "it is missing"));
    };
    let path = folder.segment(number);
    let buf = read(&path)?;
    let (head, start) = decode_file::<SegmentHead>(FileKind::Segment, &path, &buf)?;
    let mut segment = Segment {
        number,
        base: head.base,
        hard: HardState::default(),
        entries: Vec::new(),
        len: start as u64,
        batch_seq: 0,
        torn_bytes: 0,
    };
    let mut rest = &buf[start..];
    while let Some((seq, records)) = decode_batch(rest) {
        if segment.batch_seq != 0 && seq != segment.batch_seq + 1 {
            return Err(damaged(&path, "a batch is missing"));
        }
        segment.replay(&path, records)?;
        segment.batch_seq = seq;
        segment.len += batch_len(records) as u64;
        rest = &rest[batch_len(records)..];
    }
    // Each batch is synced before the next is written. What does not read as a batch is an
    // unfinished write only if nothing whole follows it; otherwise the disk has lost a batch
    // that was acknowledged, and voting on would break promises.
    if has_later_batch(rest, segment.batch_seq) {
        let how = format!("the batch at byte {} is unreadable", segment.len);
        return Err(damaged(&path, &how));
    }
    segment.torn_bytes = rest.len() as u64;
    Ok(segment)
}

impl Segment {
    fn replay(&mut self, path: &Path, mut records: &[u8]) -> Result<()> {
        while !records.is_empty() {
            let (record, rest) = postcard::take_from_bytes::<Record>(records)
                .map_err(|_| damaged(path, "a record cannot be decoded"))?;
            records = rest;
            match record {
                Record::Hard(hard) => self.hard = hard,
                Record::Entry(entry) => self.place(path, entry)?,
            }
        }
        Ok(())
    }

    fn place(&mut self, path: &Path, entry: Entry) -> Result<()> {
        let position = entry.index.checked_sub(self.base.0 + 1);
        match position {
            Some(at) if at <= self.entries.len() as u64 => {
                self.entries.truncate(at as usize);
                self.entries.push(entry);
                Ok(())
            }
            _ => Err(damaged(
                path,
                &format!("entry {} is out of place", entry.index),
            )),
        }
    }
}

/// Joins the snapshot with the log; the log is dropped where a newer snapshot replaced it.
fn join(folder: &Folder, snapshot: &Snapshot, log: &Segment) -> Result<((u64, u64), Vec<Entry>)> {
    let (base, _) = log.base;
    if snapshot.index < base {
        let message =
            format!("the log begins after entry {base} but the snapshot before is missing");
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
    // A crash came between a leader's snapshot and the new segment after it.
    Ok(((snapshot.index, snapshot.term), Vec::new()))
}
