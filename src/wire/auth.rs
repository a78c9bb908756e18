//! Authentication of peers by a shared cell key: keyed hashes over fresh nonces and over each frame.

use std::path::Path;

use crate::error::{Error, Result, Step};

/// First bytes of a hash under the key; identifies a key without revealing it.
pub type KeyId = [u8; 8];

/// Length in bytes of the authentication tag at the end of each frame.
pub(crate) const TAG_LEN: usize = 16;

/// Random bytes that each side contributes to the session keys of a connection.
pub(crate) type Nonce = [u8; 32];

/// Secret shared by the daemons of a cell.
#[derive(Clone, PartialEq, Eq)]
pub struct CellKey([u8; 32]);

impl CellKey {
    /// Derives the key from a line of a key file, without surrounding white space.
    pub fn from_text(text: &str) -> Self {
        Self(blake3::derive_key(
            "yuccahold 2026-12 cell key",
            text.trim().as_bytes(),
        ))
    }

    /// Public id of this key, sent in the handshake so that the server can select the key.
    pub fn id(&self) -> KeyId {
        let hash = blake3::keyed_hash(&self.0, b"key id");
        let mut id = KeyId::default();
        id.copy_from_slice(&hash.as_bytes()[..size_of::<KeyId>()]);
        id
    }

    /// Derives the session key of one direction of one connection.
    ///
    /// It depends on both nonces, so a frame recorded on one connection is refused on any other.
    pub(crate) fn session(&self, client: &Nonce, server: &Nonce, direction: u8) -> SessionKey {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(client).update(server).update(&[direction]);
        SessionKey {
            key: *hasher.finalize().as_bytes(),
            sequence: 0,
        }
    }
}

impl std::fmt::Debug for CellKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CellKey(hidden)")
    }
}

/// The keys that a daemon accepts. Outgoing connections use the first one.
#[derive(Clone, Debug)]
pub struct CellKeys(Vec<CellKey>);

impl CellKeys {
    /// Most keys valid at the same time: the old and the new one during a key rotation.
    pub const MAX: usize = 2;

    /// Fails unless there are one or two keys.
    pub fn new(keys: impl IntoIterator<Item = CellKey>) -> Result<Self> {
        let keys: Vec<_> = keys.into_iter().collect();
        if keys.is_empty() || keys.len() > Self::MAX {
            let message = format!("a key file holds one or two keys, not {}", keys.len());
            return Err(Error::new(Step::Settings, message));
        }
        Ok(Self(keys))
    }

    /// Reads a key file with one key per line; blank lines and `#` comments are skipped.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Error::caused(Step::Settings, "reading the cell key", e))
            .map_err(|e| e.with_peer(path.display()))?;
        let lines = text.lines().map(str::trim);
        let keys = lines.filter(|l| !l.is_empty() && !l.starts_with('#'));
        Self::new(keys.map(CellKey::from_text)).map_err(|e| e.with_peer(path.display()))
    }

    pub(crate) fn first(&self) -> &CellKey {
        &self.0[0]
    }

    pub(crate) fn find(&self, id: &KeyId) -> Option<&CellKey> {
        self.0.iter().find(|key| key.id() == *id)
    }
}

/// Session key of one direction, with the sequence number of the next frame.
pub(crate) struct SessionKey {
    key: [u8; 32],
    sequence: u64,
}

impl SessionKey {
    /// Computes the next frame's tag and advances the sequence number. As the tag covers the number,
    /// a repeated or dropped frame is detected.
    pub(crate) fn next_tag(&mut self, payload: &[u8]) -> [u8; TAG_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.sequence.to_le_bytes()).update(payload);
        self.sequence += 1;
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_LEN]);
        tag
    }

    /// Checks the next frame's tag in constant time and advances the sequence number.
    pub(crate) fn accepts(&mut self, payload: &[u8], tag: &[u8; TAG_LEN]) -> bool {
        let expected = self.next_tag(payload);
        let difference = expected
            .iter()
            .zip(tag)
            .fold(0, |acc, (a, b)| acc | (a ^ b));
        difference == 0
    }
}
