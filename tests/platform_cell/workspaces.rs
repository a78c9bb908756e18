//! Workspaces whose keys and limits change while they are in use.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Time after the acknowledgement of a lowered limit during which the previous one still counts.
const LIMIT_NOTICE: Duration = Duration::from_millis(2_500);

#[derive(Clone, Debug)]
struct Workspace {
    /// Number of its newest key, which is the valid one.
    key: u32,
    /// Millicores that its runs may use at the same time.
    limit: u32,
    /// Previous limit, and the time until which it counts; no end while the change is not
    /// acknowledged.
    before: (u32, Option<Instant>),
    /// Millicores that its runs use now.
    used: u32,
}

#[derive(Debug, Default)]
struct State {
    workspaces: Vec<Workspace>,
    /// A change was made that is not acknowledged yet.
    changing: bool,
    /// Number of acknowledged configurations.
    changes: u32,
}

/// State of all workspaces, shared by callers and minions; without workspaces no keys are needed.
#[derive(Clone, Debug, Default)]
pub struct Workspaces(Arc<Mutex<State>>);

/// A key and its validity at the time when a request was sent.
#[derive(Clone, Debug)]
pub struct SentKey {
    pub text: String,
    /// Whether it was certainly valid.
    valid: bool,
    /// Whether it was certainly revoked, or never issued.
    invalid: bool,
    changes: u32,
}

fn key_text(workspace: usize, key: u32) -> String {
    format!("key-{workspace}-{key}")
}

impl Workspaces {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }

    /// Creates workspaces with these limits in millicores.
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

    /// The `tenants` section of the configuration; `None` when there are no workspaces.
    pub fn document(&self, weight: u32) -> Option<Value> {
        let state = self.lock();
        let each = state.workspaces.iter().enumerate().map(|(i, w)| {
            json!({"name": format!("workspace-{i}"), "api_keys": [key_text(i, w.key)],
                "weight": weight, "max_count": {"cpu": w.limit, "mem_mb": 0, "gpu": 0}})
        });
        (!state.workspaces.is_empty()).then(|| each.collect())
    }

    /// Replaces the key of a workspace; called before the configuration is sent.
    pub fn replace_key(&self, workspace: usize) {
        let mut state = self.lock();
        state.changing = true;
        state.workspaces[workspace].key += 1;
    }

    /// Changes a limit; called before the configuration is sent.
    pub fn set_limit(&self, workspace: usize, limit: u32) {
        let mut state = self.lock();
        state.changing = true;
        let workspace = &mut state.workspaces[workspace];
        workspace.before = (workspace.allowed(Instant::now()), None);
        workspace.limit = limit;
    }

    /// Records that the configuration with all changes was acknowledged.
    pub fn acknowledged(&self) {
        let mut state = self.lock();
        state.changing = false;
        state.changes += 1;
        let until = Instant::now() + LIMIT_NOTICE;
        for workspace in &mut state.workspaces {
            workspace.before.1.get_or_insert(until);
        }
    }

    /// The newest key of a workspace, or one `age` keys older.
    pub fn key(&self, workspace: usize, age: u32) -> Option<SentKey> {
        let state = self.lock();
        let newest = state.workspaces.get(workspace)?.key;
        Some(SentKey {
            text: key_text(workspace, newest.saturating_sub(age)),
            valid: age == 0 && !state.changing,
            invalid: age > 1 || (age == 1 && !state.changing),
            changes: state.changes,
        })
    }

    /// Violation shown by the status of the answer to a request with this key, if any.
    pub fn violation(&self, sent: &SentKey, status: u16) -> Option<&'static str> {
        let state = self.lock();
        let unchanged = !state.changing && state.changes == sent.changes;
        match status {
            200..=299 | 410 if sent.invalid => {
                Some("CONFIG served with a key that is not in force")
            }
            401 if sent.valid && unchanged => Some("CONFIG refused with a key that is in force"),
            _ => None,
        }
    }

    /// Records the start of a run; false when the workspace is then above its limit.
    pub fn run_started(&self, workspace: usize, millicores: u32) -> bool {
        let mut state = self.lock();
        let workspace = &mut state.workspaces[workspace];
        workspace.used += millicores;
        workspace.used <= workspace.allowed(Instant::now())
    }

    /// Records the end of a run.
    pub fn run_ended(&self, workspace: usize, millicores: u32) {
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
