//! Sign-in: tokens, sessions in cookies, and the limit on failed tries.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::operators::{Operator, OperatorName, Operators};
use crate::ids::Timestamp;

/// Time after which a session must be signed in anew.
pub(super) const SESSION_LIFE: Duration = Duration::from_secs(8 * 3600);
/// Failed tries for one name within the window before it is refused unheard.
const MAX_FAILURES: u32 = 5;
/// Span over which failed tries count.
const FAILURE_WINDOW: Duration = Duration::from_secs(60);
/// Names remembered with failed tries, or tokens remembered as good.
const MAX_REMEMBERED: usize = 1024;
/// Time for which a token is known to be good without hashing it again.
const TOKEN_MEMORY: Duration = Duration::from_secs(300);

type Digest = [u8; 32];

/// Who is signed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    pub(super) name: OperatorName,
    pub(super) operator: Operator,
}

/// Why a token was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denied {
    /// It is wrong.
    Wrong,
    /// Too many wrong ones came before it; come back after this time.
    TooMany(Duration),
}

/// Knows operators by their tokens and sessions.
pub(super) struct SignIn {
    operators: Operators,
    key: Digest,
    memory: Mutex<Memory>,
}

#[derive(Default)]
struct Memory {
    failures: BTreeMap<String, (u32, Timestamp)>,
    good: BTreeMap<Digest, (OperatorName, Timestamp)>,
}

impl SignIn {
    /// The key of sessions comes from the file, which holds salted hashes: every replica with
    /// the same file takes the same sessions, and a changed file ends them all.
    pub(super) fn new(operators: Operators, file_text: &str) -> Self {
        let key = blake3::derive_key("yuccahold 2026-12 console session", file_text.as_bytes());
        Self {
            operators,
            key,
            memory: Mutex::default(),
        }
    }

    /// Checks a token.
    pub(super) fn token(&self, now: Timestamp, token: &str) -> Result<Identity, Denied> {
        let digest = *blake3::keyed_hash(&self.key, token.as_bytes()).as_bytes();
        let name: String = token
            .split('.')
            .next()
            .unwrap_or("")
            .chars()
            .take(64)
            .collect();
        if let Some(known) = self.remembered(now, &digest) {
            return Ok(known);
        }
        self.may_try(now, &name)?;
        // Hashing happens without the lock, so that one slow try does not hold up the others.
        let verified = self.operators.verify(token);
        let mut memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        match verified {
            Some((name, operator)) => {
                memory.failures.remove(name.as_str());
                memory.good.retain(|_, (_, until)| *until > now);
                if memory.good.len() < MAX_REMEMBERED {
                    memory
                        .good
                        .insert(digest, (name.clone(), now + TOKEN_MEMORY));
                }
                Ok(Identity {
                    name: name.clone(),
                    operator: operator.clone(),
                })
            }
            None => {
                memory.fail(now, name);
                Err(Denied::Wrong)
            }
        }
    }

    fn remembered(&self, now: Timestamp, digest: &Digest) -> Option<Identity> {
        let memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        let (name, until) = memory.good.get(digest)?;
        (*until > now).then(|| self.identity(name)).flatten()
    }

    /// Refuses a name with too many failed tries before any hashing, so that guessing costs the
    /// guesser time and the daemon nothing. Sessions and remembered tokens go on.
    fn may_try(&self, now: Timestamp, name: &str) -> Result<(), Denied> {
        let memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        match memory.failures.get(name) {
            Some((count, since)) if *count >= MAX_FAILURES && *since + FAILURE_WINDOW > now => {
                Err(Denied::TooMany(*since + FAILURE_WINDOW - now))
            }
            _ => Ok(()),
        }
    }

    fn identity(&self, name: &str) -> Option<Identity> {
        let (name, operator) = self.operators.operators.get_key_value(name)?;
        Some(Identity {
            name: name.clone(),
            operator: operator.clone(),
        })
    }

    /// A session as the cookie's value: name, end and a keyed hash of both.
    pub(super) fn session(&self, now: Timestamp, identity: &Identity) -> String {
        let end = (now + SESSION_LIFE).as_secs();
        let body = format!("{}:{end}", identity.name);
        format!("{body}:{}", self.mac("session", &body))
    }

    /// Who a session's cookie belongs to.
    pub(super) fn resume(&self, now: Timestamp, cookie: &str) -> Option<Identity> {
        let (body, mac) = cookie.rsplit_once(':')?;
        if !same(mac, &self.mac("session", body)) {
            return None;
        }
        let (name, end) = body.split_once(':')?;
        let end: u64 = end.parse().ok()?;
        if now.as_secs() >= end {
            return None;
        }
        self.identity(name)
    }

    /// The value that each form of a session carries: another site can make a browser send the
    /// cookie, but can't read this.
    pub(super) fn form_key(&self, cookie: &str) -> String {
        self.mac("form", cookie)
    }

    fn mac(&self, purpose: &str, body: &str) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(purpose.as_bytes()).update(&[0]);
        hasher.update(body.as_bytes());
        hasher.finalize().to_hex().to_string()
    }
}

impl Memory {
    fn fail(&mut self, now: Timestamp, name: String) {
        self.failures
            .retain(|_, (_, since)| *since + FAILURE_WINDOW > now);
        if self.failures.len() >= MAX_REMEMBERED && !self.failures.contains_key(&name) {
            return;
        }
        self.failures.entry(name).or_insert((0, now)).0 += 1;
    }
}

/// Compares without telling by its time how much is right.
pub(super) fn same(a: &str, b: &str) -> bool {
    blake3::hash(a.as_bytes()) == blake3::hash(b.as_bytes())
}
