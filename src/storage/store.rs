//! Opens a replica's files, recovers its state and writes to the log.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::Path;

use super::files::{Files, RealFiles};
use super::folder::{Folder, io_error};
use super::format::{
    FileKind, Identity, Record, SegmentHeader, corrupt, decode_file, encode, encode_batch,
    encode_file,
};
use super::recovery::{Log, newest_snapshot, read_log, recover};
use crate::error::{Error, Result};
use crate::ids::{LogIndex, ReplicaId, Term};
use crate::replication::{Entry, HardState, LogState, Recovered, Save, SaveSnapshot};

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
    /// Base, term and vote of the empty segment that must replace the current one before anything
    /// is appended, because a leader's snapshot has superseded its entries.
    unfinished: Option<((LogIndex, Term), HardState)>,
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
    /// The disk is full. The same saves must be written again before any others.
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
    ///
    /// When it returns, the folder holds just what was recovered, on disk: the caller may
    /// acknowledge it, and the next start finds the same.
    pub fn open_with(path: &Path, mut files: F) -> Result<(Self, Opened)> {
        let folder = Folder::open(path, &mut files)?;
        folder.remove_temporary(&mut files)?;
        let identity_path = folder.identity();
        let fresh = !identity_path.exists();
        if fresh {
            create_identity(&folder, &mut files)?;
        }
        let buf = folder.read(&identity_path)?;
        let (identity, _) = decode_file::<Identity>(FileKind::Identity, &identity_path, &buf)?;
        let snapshot = newest_snapshot(&folder)?;
        let log = read_log(&folder)?;
        let segment = open_segment(&folder.segment(log.number))?;
        let mut store = Self {
            folder,
            files,
            segment,
            number: log.number,
            len: log.len,
            batch_seq: log.batch_seq,
            unfinished: None,
        };
        store.make_durable(&log)?;
        let torn_bytes = log.torn_bytes;
        let (recovered, log_state) = recover(&store.folder, snapshot, log)?;
        if log_state == LogState::Superseded {
            store.unfinished = Some((recovered.base, recovered.hard));
        }
        store.remove_superseded(recovered.snapshot.index)?;
        match store.finish_install() {
            // The first write tries again.
            Ok(()) | Err(WriteError::Full) => {}
            Err(WriteError::Failed(e)) => return Err(e),
        }
        let opened = Opened {
            id: identity.id,
            fresh,
            recovered,
            torn_bytes,
        };
        Ok((store, opened))
    }

    /// Removes a torn write from the end of the log and syncs the rest, which a process that was
    /// killed may have written without a sync.
    fn make_durable(&mut self, log: &Log) -> Result<()> {
        let path = self.folder.segment(log.number);
        if log.torn_bytes > 0 {
            self.files
                .truncate(&self.segment, log.len)
                .map_err(|e| io_error("truncating a torn write", &path, e))?;
        }
        self.files
            .sync_all(&self.segment)
            .and_then(|()| self.folder.sync(&mut self.files))
            .map_err(|e| io_error("syncing the log", &path, e))
    }

    /// Writes the saves in order, with one sync for all.
    pub fn write(&mut self, saves: &[Save]) -> Result<(), WriteError> {
        self.finish_install()?;
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
            let truncated = self.files.truncate(&self.segment, self.len);
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

    /// Completes the installation of a leader's snapshot that a crash has interrupted between the
    /// snapshot and the new segment.
    fn finish_install(&mut self) -> Result<(), WriteError> {
        let Some((base, hard)) = self.unfinished else {
            return Ok(());
        };
        self.start_segment(base, hard, &[])?;
        self.unfinished = None;
        self.remove_superseded(base.0).map_err(WriteError::Failed)
    }

    /// Writes a snapshot and starts a new segment with the entries that remain in the log.
    fn rotate(&mut self, save: &SaveSnapshot) -> Result<(), WriteError> {
        let snapshot_path = self.folder.snapshot(save.snapshot.index);
        let content = encode_file(FileKind::Snapshot, &*save.snapshot);
        self.write_atomically(&snapshot_path, &content)?;
        self.start_segment(save.base, save.hard, &save.kept)?;
        self.remove_superseded(save.snapshot.index)
            .map_err(WriteError::Failed)
    }

    /// Starts a new segment, which replaces the current one.
    fn start_segment(
        &mut self,
        base: (LogIndex, Term),
        hard: HardState,
        entries: &[Entry],
    ) -> Result<(), WriteError> {
        let header = SegmentHeader {
            number: self.number + 1,
            base,
        };
        let mut records = encode(&Record::Hard(hard));
        for entry in entries {
            records.extend(encode(&Record::Entry(entry.clone())));
        }
        let mut content = encode_file(FileKind::Segment, &header);
        content.extend(encode_batch(self.batch_seq + 1, &records));
        let path = self.folder.segment(header.number);
        self.write_atomically(&path, &content)?;
        self.segment = open_segment(&path).map_err(WriteError::Failed)?;
        self.number = header.number;
        self.len = content.len() as u64;
        self.batch_seq += 1;
        Ok(())
    }

    fn write_atomically(&mut self, path: &Path, content: &[u8]) -> Result<(), WriteError> {
        let written = self.folder.write_atomically(&mut self.files, path, content);
        written.map_err(|e| {
            if is_full(&e) {
                let _ = fs::remove_file(path.with_extension("tmp"));
                WriteError::Full
            } else {
                WriteError::Failed(io_error("writing", path, e))
            }
        })
    }

    fn remove_superseded(&mut self, snapshot: LogIndex) -> Result<()> {
        let segments = self.folder.segments()?;
        let old_segments = segments.into_iter().filter(|n| *n < self.number);
        let snapshots = self.folder.snapshots()?;
        let old_snapshots = snapshots.into_iter().filter(|n| *n < snapshot);
        let old = old_segments
            .map(|n| self.folder.segment(n))
            .chain(old_snapshots.map(|n| self.folder.snapshot(n)));
        for path in old.collect::<Vec<_>>() {
            self.folder.remove(&mut self.files, &path)?;
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

fn open_segment(path: &Path) -> Result<File> {
    let opened = OpenOptions::new().append(true).open(path);
    opened.map_err(|e| io_error("opening", path, e))
}

/// Creates a new replica. The identity is written last: a folder without it holds no replica, so a
/// crash before leaves a folder in which a replica can be created again.
fn create_identity(folder: &Folder, files: &mut impl Files) -> Result<()> {
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
    let mut write = |path: &Path, content: &[u8]| {
        let written = folder.write_atomically(files, path, content);
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
