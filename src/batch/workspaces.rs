//! Workspaces: identification of callers by API key, and limits on what a workspace may run.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceName;
use crate::resources::Resources;

/// Domain separation: these hashes match no hashes of the same keys made for other purposes.
const KEY_CONTEXT: &str = "yuccahold 2026-12 api key of a workspace";

/// Hash of an API key. The key itself is kept only in the operator's document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes the text of a key.
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
    /// Guaranteed rate in jobs per second; also its share under contention.
    pub weight: f64,
    /// Most that its running tasks may use over all minions; zero means that a resource is not
    /// limited.
    pub limit: Resources,
}

/// All workspaces of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    /// Declared workspaces.
    pub by_name: BTreeMap<WorkspaceName, Workspace>,
    /// Workspace that each valid key belongs to.
    pub keys: BTreeMap<KeyHash, WorkspaceName>,
}

/// Identity of a caller, as far as the queue requires one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Not identified: the queue is public, or the configuration has no workspaces.
    Anonymous,
    /// The workspace that the key of the call belongs to.
    Workspace(WorkspaceName),
}

impl Caller {
    /// Owner of the jobs that this caller submits.
    pub fn into_owner(self) -> Option<WorkspaceName> {
        match self {
            Self::Anonymous => None,
            Self::Workspace(name) => Some(name),
        }
    }

    /// Whether the caller may read, resubmit or cancel a job. A job without an owner was submitted
    /// while its queue was public, so every caller may.
    pub fn may_access(&self, owner: Option<&WorkspaceName>) -> bool {
        match (self, owner) {
            (Self::Anonymous, _) | (_, None) => true,
            (Self::Workspace(name), Some(owner)) => name == owner,
        }
    }
}
