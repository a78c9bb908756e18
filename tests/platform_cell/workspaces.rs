//! Workspaces whose keys and limits change while they are in use.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Time after the acknowledgement of a lowered limit for which the former one counts too.
const LIMIT_NOTICE: Duration = Duration::from_millis(2_500);

/// One workspace.
#[derive(Clone, Debug)]
struct Workspace {
    /// Counts the keys that it has had; the last one is in force.
    key: u32,
    /// Thousandths of a core that it may have running.
    limit: u32,
    /// A higher one that still counts, and until when; for good while the change is on its way.
    before: (u32, Option<Instant>),
    used: u32,
}

#[derive(Debug, Default)]
struct All {
    workspaces: Vec<Workspace>,
    /// A change was sent and is not acknowledged.
    changing: bool,
    changes: u32,
}

/// Shared record of all workspaces; without any, callers need no keys.
#[derive(Clone, Debug, Default)]
pub struct Workspaces(Arc<Mutex<All>>);

/// A key as it was when a call was sent.
#[derive(Clone, Debug)]
pub struct SentKey {
    pub text: String,
    /// Whether it was in force for sure.
    good: bool,
    /// Whether it was taken away for sure, or never given.
    bad: bool,
    changes: u32,
}

fn text(workspace: usize, key: u32) -> String {
    format!("key-{workspace}-{key}")
}

impl Workspaces {
    fn lock(&self) -> MutexGuard<'_, All> {
        self.0.lock().expect("no holder panics")
    }

    /// Makes workspaces with these limits.
    pub fn create(&self, limits: &[u32]) {
        self.lock().workspaces = limits
            .iter()
            .map(|limit| Workspace {
                key: 1,
                limit: *limit,
                before: (*limit, None),
                used: 0,
            })
            .collect();
    }

    /// What the configuration says of them; `None` without any.
    pub fn document(&self) -> Option<Value> {
        let all = self.lock();
        let each = all.workspaces.iter().enumerate().map(|(i, w)| {
            json!({"name": format!("workspace-{i}"), "api_keys": [text(i, w.key)],
                "weight": 4, "max_count": {"cpu": w.limit, "mem_mb": 0, "gpu": 0}})
        });
        (!all.workspaces.is_empty()).then(|| each.collect())
    }

    /// Takes the key of a workspace away and gives it another, before that is sent.
    pub fn replace_key(&self, workspace: usize) {
        let mut all = self.lock();
        all.changing = true;
        all.workspaces[workspace].key += 1;
    }

    /// Changes a limit, before that is sent.
    pub fn set_limit(&self, workspace: usize, limit: u32) {
        let mut all = self.lock();
        all.changing = true;
        let workspace = &mut all.workspaces[workspace];
        workspace.before = (workspace.allowed(Instant::now()), None);
        workspace.limit = limit;
    }

    /// All that was changed is acknowledged.
    pub fn acknowledged(&self) {
        let mut all = self.lock();
        all.changing = false;
        all.changes += 1;
        let until = Instant::now() + LIMIT_NOTICE;
        for workspace in &mut all.workspaces {
            workspace.before.1.get_or_insert(until);
        }
    }

    /// The newest key of a workspace, or one `age` keys older.
    pub fn key(&self, workspace: usize, age: u32) -> Option<SentKey> {
        let all = self.lock();
        let newest = all.workspaces.get(workspace)?.key;
        Some(SentKey {
            text: text(workspace, newest.saturating_sub(age)),
            good: age == 0 && !all.changing,
            bad: age > 1 || (age == 1 && !all.changing),
            changes: all.changes,
        })
    }

    /// What is wrong with an answer to a call that was sent with this key.
    pub fn wrong(&self, sent: &SentKey, status: u16) -> Option<&'static str> {
        let all = self.lock();
        let steady = !all.changing && all.changes == sent.changes;
        match status {
            200..=299 | 410 if sent.bad => Some("CONFIG served with a key that is not in force"),
            401 if sent.good && steady => Some("CONFIG refused with a key that is in force"),
            _ => None,
        }
    }

    /// A run of a workspace has begun; false if that is more than it may have.
    pub fn begun(&self, workspace: usize, millicores: u32) -> bool {
        let mut all = self.lock();
        let workspace = &mut all.workspaces[workspace];
        workspace.used += millicores;
        workspace.used <= workspace.allowed(Instant::now())
    }

    /// A run of a workspace is over.
    pub fn over(&self, workspace: usize, millicores: u32) {
        self.lock().workspaces[workspace].used -= millicores;
    }
}

impl Workspace {
    fn allowed(&self, now: Instant) -> u32 {
        let (before, until) = self.before;
        if until.is_none_or(|until| now < until) {
            self.limit.max(before)
        } else {
            self.limit
        }
    }
}
