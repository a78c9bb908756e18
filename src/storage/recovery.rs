//! Reads a replica's files after a start and decides what they say.

use std::path::Path;

use super::folder::Folder;
use super::format::{
    FileKind, Record, SegmentHeader, batch_len, corrupt, decode_batch, decode_file, has_later_batch,
};
use crate::error::{Error, Result, Step};
use crate::ids::{LogIndex, Term};
use crate::replication::{Entry, HardState, LogState, Recovered, Snapshot};

pub(super) fn newest_snapshot(folder: &Folder) -> Result<Snapshot> {
    let Some(newest) = folder.snapshots()?.pop() else {
        return Ok(Snapshot::default());
    };
    let path = folder.snapshot(newest);
    let buf = folder.read(&path)?;
    decode_file(FileKind::Snapshot, &path, &buf).map(|(snapshot, _)| snapshot)
}

/// Content of the newest log segment.
pub(super) struct Log {
    pub(super) number: u64,
    base: (LogIndex, Term),
    hard: HardState,
    entries: Vec<Entry>,
    pub(super) len: u64,
    pub(super) batch_seq: u64,
    pub(super) torn_bytes: u64,
}

pub(super) fn read_log(folder: &Folder) -> Result<Log> {
    let Some(number) = folder.segments()?.pop() else {
        return Err(corrupt(&folder.segment(1), "it is missing"));
    };
    let path = folder.segment(number);
    let buf = folder.read(&path)?;
    let (header, start) = decode_file::<SegmentHeader>(FileKind::Segment, &path, &buf)?;
    let mut log = Log {
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
        if log.batch_seq != 0 && seq != log.batch_seq + 1 {
            return Err(corrupt(&path, "a batch is missing"));
        }
        log.replay(&path, records)?;
        log.batch_seq = seq;
        log.len += batch_len(records) as u64;
        rest = &rest[batch_len(records)..];
    }
    // Each batch is synced before the next is written. Bytes that are not a valid batch are thus an
    // incomplete write only if no complete batch follows. Otherwise the disk has lost a batch that
    // was acknowledged, and the replica could break a vote or an acknowledgement it has given.
    if has_later_batch(rest, log.batch_seq) {
        let how = format!("the batch at byte {} is unreadable", log.len);
        return Err(corrupt(&path, &how));
    }
    log.torn_bytes = rest.len() as u64;
    Ok(log)
}

impl Log {
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

/// Merges the snapshot and the log.
pub(super) fn recover(
    folder: &Folder,
    snapshot: Snapshot,
    log: Log,
) -> Result<(Recovered, LogState)> {
    let (base, _) = log.base;
    if snapshot.index < base {
        let message =
            format!("the log starts after entry {base}, but the snapshot up to there is missing");
        let path = folder.snapshot(base);
        return Err(Error::new(Step::Storage, message).with_peer(path.display()));
    }
    let mut recovered = Recovered {
        hard: log.hard,
        snapshot: Snapshot::default(),
        base: log.base,
        entries: log.entries,
    };
    if snapshot.index == 0 {
        return Ok((recovered, LogState::Current));
    }
    let state = recovered.merge(snapshot);
    Ok((recovered, state))
}
