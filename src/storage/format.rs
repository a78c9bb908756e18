//! Byte formats: the header of each file, and batches of records in a log segment.

use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::FORMAT_VERSION;
use crate::error::{Error, Result, Step};
use crate::ids::{LogIndex, ReplicaId, Term};
use crate::replication::{Entry, HardState};

/// Kind of a file, identified by its magic bytes.
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

/// Header of a log segment.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct SegmentHeader {
    pub(super) number: u64,
    /// Index and term of the entry before the first one in the segment.
    pub(super) base: (LogIndex, Term),
}

/// One record of a log segment.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    Hard(HardState),
    /// Replaces all entries from its index on.
    Entry(Entry),
}

const HEADER_LEN: usize = 8 + 2 + 4 + 4;
const BATCH_MAGIC: [u8; 4] = *b"YBAT";
const BATCH_HEADER_LEN: usize = 4 + 8 + 4 + 4;

/// Encodes a file: magic bytes, version, length and checksum of the content, and the content.
pub(super) fn encode_file(kind: FileKind, content: &impl Serialize) -> Vec<u8> {
    let content = encode(content);
    let mut buf = Vec::with_capacity(HEADER_LEN + content.len());
    buf.extend_from_slice(kind.magic());
    buf.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    buf.extend_from_slice(&(content.len() as u32).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buf.extend_from_slice(&content);
    buf
}

/// Decodes a file that `encode_file` wrote; also returns the number of bytes consumed.
pub(super) fn decode_file<T: DeserializeOwned>(
    kind: FileKind,
    path: &Path,
    buf: &[u8],
) -> Result<(T, usize)> {
    let Some(header) = buf.get(..HEADER_LEN) else {
        return Err(corrupt(path, "its header is truncated"));
    };
    if header[..8] != *kind.magic() {
        return Err(corrupt(path, "its magic bytes are wrong"));
    }
    let version = u16::from_le_bytes([header[8], header[9]]);
    if version != FORMAT_VERSION {
        let message = format!(
            "format version {version} is not supported; this program supports {FORMAT_VERSION}"
        );
        return Err(Error::new(Step::Storage, message).with_peer(path.display()));
    }
    let len = u32_at(header, 10) as usize;
    let Some(content) = buf.get(HEADER_LEN..HEADER_LEN + len) else {
        return Err(corrupt(path, "it is truncated"));
    };
    if crc32fast::hash(content) != u32_at(header, 14) {
        return Err(corrupt(path, "its checksum does not match"));
    }
    let value = postcard::from_bytes(content).map_err(|_| corrupt(path, "it cannot be decoded"))?;
    Ok((value, HEADER_LEN + len))
}

pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("plain values always encode")
}

/// Encodes a batch: the records that are written with one sync.
pub(super) fn encode_batch(seq: u64, records: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(BATCH_HEADER_LEN + records.len());
    buf.extend_from_slice(&BATCH_MAGIC);
    buf.extend_from_slice(&seq.to_le_bytes());
    buf.extend_from_slice(&(records.len() as u32).to_le_bytes());
    buf.extend_from_slice(&batch_checksum(seq, records).to_le_bytes());
    buf.extend_from_slice(records);
    buf
}

fn batch_checksum(seq: u64, records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&seq.to_le_bytes());
    hasher.update(records);
    hasher.finalize()
}

/// Sequence number and records of the batch at the start of `buf`; `None` if there is no complete
/// batch with a matching checksum.
pub(super) fn decode_batch(buf: &[u8]) -> Option<(u64, &[u8])> {
    let header = buf.get(..BATCH_HEADER_LEN)?;
    if header[..4] != BATCH_MAGIC {
        return None;
    }
    let seq = u64::from_le_bytes(header[4..12].try_into().ok()?);
    let len = u32_at(header, 12) as usize;
    let records = buf.get(BATCH_HEADER_LEN..BATCH_HEADER_LEN.checked_add(len)?)?;
    (batch_checksum(seq, records) == u32_at(header, 16)).then_some((seq, records))
}

pub(super) fn batch_len(records: &[u8]) -> usize {
    BATCH_HEADER_LEN + records.len()
}

/// Whether `buf` contains a complete batch newer than `seq` at any position.
pub(super) fn has_later_batch(buf: &[u8], seq: u64) -> bool {
    buf.windows(BATCH_MAGIC.len())
        .enumerate()
        .filter(|(_, bytes)| **bytes == BATCH_MAGIC)
        .any(|(at, _)| decode_batch(&buf[at..]).is_some_and(|(found, _)| found > seq))
}

fn u32_at(buf: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]])
}

/// Error for a corrupt file; tells the operator how to recover.
pub(super) fn corrupt(path: &Path, how: &str) -> Error {
    let message = format!(
        "the file is damaged: {how}; set the data folder aside and start on an empty one, so that \
         this host rejoins as a new replica"
    );
    Error::new(Step::Storage, message).with_peer(path.display())
}
