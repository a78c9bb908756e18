//! Log lines and metrics of a replica's view of its group.

use std::collections::BTreeMap;
use std::time::Duration;

use metrics::gauge;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::machine::{Announcement, AnnouncementOutcome, ReplicaStatus};
use super::runtime::monotonic_now;
use crate::ids::ReplicaId;
use crate::telemetry::LineLimit;

/// Time between two lines of a replica that is not a member of a group or hears no leader. A new one
/// is usually admitted within a tenth of it.
const OUT_OF_CONTACT_INTERVAL: Duration = Duration::from_secs(5);
/// Most lines a second about announcements.
const MAX_ANNOUNCEMENT_LINES: u32 = 5;
/// Most replicas whose last announcement is remembered. Each start on an empty disk has a new id.
const MAX_ANNOUNCED: usize = 64;

/// Logs each change of role, term, leader, number of members and silent voters, announcements of
/// other replicas, and how long this replica has been out of contact. Ends with the replica.
pub(crate) async fn log_status(mut status: watch::Receiver<ReplicaStatus>, log: Logger) {
    let mut last = ReplicaStatus::default();
    let mut out = OutOfContact::default();
    let mut announcements = Announcements::new();
    loop {
        let now = status.borrow_and_update().clone();
        log_group(&log, &last, &now);
        log_silent_voters(&log, &last, &now);
        if last.announcement != now.announcement {
            announcements.update(&log, now.announcement);
        }
        out.update(&log, &now, Instant::now());
        last = now;
        tokio::select! {
            changed = status.changed() => if changed.is_err() { return },
            () = sleep_until(out.next_line()) => {}
        }
    }
}

/// Since when a replica has not been a member of a group that has a leader, and when that was logged.
#[derive(Default)]
struct OutOfContact {
    since: Option<Instant>,
    logged: Option<Instant>,
}

impl OutOfContact {
    fn update(&mut self, log: &Logger, status: &ReplicaStatus, now: Instant) {
        let in_contact = status.is_member() && status.leader.is_some();
        gauge!("yuccahold_replica_member").set(f64::from(u8::from(in_contact)));
        if in_contact {
            *self = Self::default();
            return;
        }
        let since = *self.since.get_or_insert(now);
        if now < self.logged.unwrap_or(since) + OUT_OF_CONTACT_INTERVAL {
            return;
        }
        self.logged = Some(now);
        let for_ms = (now - since).as_millis() as u64;
        if status.is_member() {
            warn!(log, "no leader"; "replica" => hex(status.id), "for_ms" => for_ms,
                "voters" => status.voters.len());
        } else {
            warn!(log, "not a member of the group"; "replica" => hex(status.id), "for_ms" => for_ms,
                "leader" => status.leader.map(hex));
        }
    }

    fn next_line(&self) -> Instant {
        let last = self.logged.or(self.since);
        last.unwrap_or_else(Instant::now) + OUT_OF_CONTACT_INTERVAL
    }
}

/// The last outcome for each replica that announced itself here.
struct Announcements {
    outcomes: BTreeMap<ReplicaId, AnnouncementOutcome>,
    limit: LineLimit,
}

impl Announcements {
    fn new() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            limit: LineLimit::per_second(MAX_ANNOUNCEMENT_LINES),
        }
    }

    fn update(&mut self, log: &Logger, announcement: Option<Announcement>) {
        let Some(announced) = announcement else {
            return;
        };
        if self.outcomes.len() >= MAX_ANNOUNCED {
            self.outcomes.clear();
        }
        let before = self.outcomes.insert(announced.replica, announced.outcome);
        if before != Some(announced.outcome) && self.limit.take(monotonic_now()) {
            info!(log, "replica announced itself"; "replica" => hex(announced.replica),
                "addr" => %announced.addr, "outcome" => announced.outcome.as_str());
        }
    }
}

fn log_group(log: &Logger, last: &ReplicaStatus, now: &ReplicaStatus) {
    let view = |s: &ReplicaStatus| {
        (
            s.id,
            s.role,
            s.term,
            s.leader,
            s.voters.len(),
            s.learners.len(),
        )
    };
    if view(last) != view(now) {
        info!(log, "group"; "replica" => hex(now.id), "role" => format!("{:?}", now.role),
            "term" => now.term, "leader" => now.leader.map(hex),
            "voters" => now.voters.len(), "learners" => now.learners.len(),
            "committed" => now.committed);
        gauge!("yuccahold_replica_voters").set(now.voters.len() as f64);
    }
}

/// Logs a change of the silent voters of a leader. One that has just been elected starts without any.
fn log_silent_voters(log: &Logger, last: &ReplicaStatus, now: &ReplicaStatus) {
    if last.silent_voters == now.silent_voters && last.voters == now.voters {
        return;
    }
    let count = now.silent_voters.as_ref().map(|silent| silent.len() as f64);
    gauge!("yuccahold_replica_silent_voters").set(count.unwrap_or(f64::NAN));
    let spare = now.spare_voters();
    gauge!("yuccahold_replica_spare_voters").set(spare.map_or(f64::NAN, |n| n as f64));
    let (Some(silent), Some(spare)) = (&now.silent_voters, spare) else {
        return;
    };
    let before = last.silent_voters.as_deref().unwrap_or_default();
    if silent == before {
        return;
    }
    let silent: Vec<_> = silent.iter().copied().map(hex).collect();
    let silent = silent.join(",");
    if spare == 0 {
        warn!(log, "silent voters"; "silent" => silent, "voters" => now.voters.len(),
            "spare" => spare);
    } else {
        info!(log, "silent voters"; "silent" => silent, "voters" => now.voters.len(),
            "spare" => spare);
    }
}

fn hex(id: ReplicaId) -> String {
    format!("{id:016x}")
}
