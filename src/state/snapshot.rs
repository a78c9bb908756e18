//! Encoding of the replicated state as a snapshot, with the format version first.

use super::Cell;
use crate::error::{Error, Result, Step};

/// Format version of snapshots and commands; decoding another version is an error that names it.
pub const STATE_VERSION: u16 = 1;

impl Cell {
    /// Encodes the state as a snapshot.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        postcard::to_allocvec(&(STATE_VERSION, self))
            .map_err(|e| Error::caused(Step::Codec, "encoding the state", e))
    }

    /// Decodes a snapshot; fails on another format version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (version, rest) = postcard::take_from_bytes::<u16>(bytes)
            .map_err(|e| Error::caused(Step::Codec, "decoding the state's version", e))?;
        if version != STATE_VERSION {
            let message =
                format!("state version {version} is unknown, this process has {STATE_VERSION}");
            return Err(Error::new(Step::Codec, message));
        }
        postcard::from_bytes(rest).map_err(|e| Error::caused(Step::Codec, "decoding the state", e))
    }
}
