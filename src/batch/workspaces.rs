//! Workspaces: who a caller is, and how much its workspace may run.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceName;
use crate::resources::Resources;

/// Domain of the hashes, so that they are of no use elsewhere.
const KEY_CONTEXT: &str = "yuccahold 2026-12 api key of a workspace";

/// Hash of an API key. The key itself stands in the operator's document alone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, key))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(hidden)")
    }
}

/// A workspace as the configuration declares it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Jobs a second that it may count on; also its share when all is full.
    pub weight: f64,
    /// What it may have running over all minions; zero of a unit is no limit on it.
    pub limit: Resources,
}

/// All workspaces of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    /// Each by its name.
    pub by_name: BTreeMap<WorkspaceName, Workspace>,
    /// Whose each key is.
    pub keys: BTreeMap<KeyHash, WorkspaceName>,
}

/// Who makes a call, as far as its queue asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The queue is open to all.
    Anyone,
    /// The owner of the key that came with the call.
    Workspace(WorkspaceName),
}

impl Caller {
    /// Whose jobs this caller hands in.
    pub fn into_owner(self) -> Option<WorkspaceName> {
        match self {
            Self::Anyone => None,
            Self::Workspace(name) => Some(name),
        }
    }

    /// Whether it may read, repeat or cancel a job. A job without an owner was handed in while its
    /// queue was open.
    pub fn may_see(&self, owner: Option<&WorkspaceName>) -> bool {
        match (self, owner) {
            (Self::Anyone, _) | (_, None) => true,
            (Self::Workspace(name), Some(owner)) => name == owner,
        }
    }
}
