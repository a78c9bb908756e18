//! Byte formats: a head for each file, and batches of records in a log segment.

use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::FORMAT_VERSION;
use crate::error::{Error, Result, Step};
use crate::ids::{LogIndex, ReplicaId, Term};
use crate::replication::{Entry, HardState};

/// What a file is, as its first bytes say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FileKind {
    Identity,
    Segment,
    Snapshot,
}

impl FileKind {
    fn magic(self) -> &'static [u8; 8] {
        match self {
            Self::Identity => b"yuccaid\n",
            Self::Segment => b"yuccalog",
            Self::Snapshot => b"yuccasnp",
        }
    }
}

/// Content of the identity file.
#[derive(Serialize, Deserialize)]
pub(super) struct Identity {
    pub(super) id: ReplicaId,
}

/// Head of a log segment.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct SegmentHead {
    pub(super) number: u64,
    /// Entry before the first one in the segment, and its term.
    pub(super) base: (LogIndex, Term),
}

/// One record of a log segment.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    Hard(HardState),
    /// Replaces whatever stood at or after its index.
    Entry(Entry),
}

const HEAD_LEN: usize = 8 + 2 + 4 + 4;
const BATCH_MAGIC: [u8; 4] = *b"YBAT";
const BATCH_HEAD_LEN: usize = 4 + 8 + 4 + 4;

/// Writes magic, version, length, checksum and the content.
pub(super) fn encode_file(kind: FileKind, content: &impl Serialize) -> Vec<u8> {
    let content = encode(content);
    let mut buf = Vec::with_capacity(HEAD_LEN + content.len());
    buf.extend_from_slice(kind.magic());
    buf.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    buf.extend_from_slice(&(content.len() as u32).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buf.extend_from_slice(&content);
    buf
}

/// Reads what `encode_file` wrote and returns the bytes consumed.
pub(super) fn decode_file<T: DeserializeOwned>(
    kind: FileKind,
    path: &Path,
    buf: &[u8],
) -> Result<(T, usize)> {
    let Some(head) = buf.get(..HEAD_LEN) else {
        return Err(damaged(path, "its head is cut short"));
    };
    if head[..8] != *kind.magic() {
        return Err(damaged(path, "it does not begin as such a file does"));
    }
    let version = u16::from_le_bytes([head[8], head[9]]);
    if version != FORMAT_VERSION {
        let message =
            format!("format version {version} is not known; this program knows {FORMAT_VERSION}");
        return Err(Error::new(Step::Storage, message).with_peer(path.display()));
    }
    let len = u32_at(head, 10) as usize;
    let Some(content) = buf.get(HEAD_LEN..HEAD_LEN + len) else {
        return Err(damaged(path, "it is cut short"));
    };
    if crc32fast::hash(content) != u32_at(head, 14) {
        return Err(damaged(path, "its checksum does not match"));
    }
    let value = postcard::from_bytes(content).map_err(|_| damaged(path, "it cannot be decoded"))?;
    Ok((value, HEAD_LEN + len))
}

pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("plain values always encode")
}

/// Writes one batch: the records that one sync covers.
pub(super) fn encode_batch(seq: u64, records: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(BATCH_HEAD_LEN + records.len());
    buf.extend_from_slice(&BATCH_MAGIC);
    buf.extend_from_slice(&seq.to_le_bytes());
    buf.extend_from_slice(&(records.len() as u32).to_le_bytes());
    buf.extend_from_slice(&batch_sum(seq, records).to_le_bytes());
    buf.extend_from_slice(records);
    buf
}

fn batch_sum(seq: u64, records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&seq.to_le_bytes());
    hasher.update(records);
    hasher.finalize()
}

/// A whole batch at the start of `buf`, if one stands there.
pub(super) fn decode_batch(buf: &[u8]) -> Option<(u64, &[u8])> {
    let head = buf.get(..BATCH_HEAD_LEN)?;
    if head[..4] != BATCH_MAGIC {
        return None;
    }
    let seq = u64::from_le_bytes(head[4..12].try_into().ok()?);
    let len = u32_at(head, 12) as usize;
    let records = buf.get(BATCH_HEAD_LEN..BATCH_HEAD_LEN.checked_add(len)?)?;
    (batch_sum(seq, records) == u32_at(head, 16)).then_some((seq, records))
}

pub(super) fn batch_len(records: &[u8]) -> usize {
    BATCH_HEAD_LEN + records.len()
}

/// Whether a whole batch newer than `seq` stands anywhere in `buf`.
pub(super) fn has_later_batch(buf: &[u8], seq: u64) -> bool {
    buf.windows(BATCH_MAGIC.len())
        .enumerate()
        .filter(|(_, bytes)| **bytes == BATCH_MAGIC)
        .any(|(at, _)| decode_batch(&buf[at..]).is_some_and(|(found, _)| found > seq))
}

fn u32_at(buf: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]])
}

/// The error of a file that cannot be trusted.
pub(super) fn damaged(path: &Path, how: &str) -> Error {
    let message = format!(
        "the file is damaged: {how}; set the data folder aside and start on an empty one, so that \
         this host rejoins as a new replica"
    );
    Error::new(Step::Storage, message).with_peer(path.display())
}
