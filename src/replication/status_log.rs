//! Log lines and metrics of a replica's view of its group.

use std::time::Duration;

use metrics::gauge;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::machine::ReplicaStatus;

/// Time between two lines of a replica that is not a member of a group. A new one is usually
/// admitted within a tenth of it.
const NOT_A_MEMBER_INTERVAL: Duration = Duration::from_secs(5);

/// Logs each change of role, term, leader, number of members and silent voters, announcements of
/// other replicas, and how long this replica has not been a member. Ends with the replica.
pub(crate) async fn log_status(mut status: watch::Receiver<ReplicaStatus>, log: Logger) {
    let mut last = ReplicaStatus::default();
    let mut outside = Outside::default();
    loop {
        let now = status.borrow_and_update().clone();
        log_changes(&log, &last, &now);
        outside.update(&log, &now, Instant::now());
        last = now;
        tokio::select! {
            changed = status.changed() => if changed.is_err() { return },
            () = sleep_until(outside.next_line()) => {}
        }
    }
}

/// Since when a replica has not been a member of a group, and when that was logged.
#[derive(Default)]
struct Outside {
    since: Option<Instant>,
    logged: Option<Instant>,
}

impl Outside {
    fn update(&mut self, log: &Logger, status: &ReplicaStatus, now: Instant) {
        gauge!("yuccahold_replica_member").set(f64::from(u8::from(status.is_member())));
        if status.is_member() {
            *self = Self::default();
            return;
        }
        let since = *self.since.get_or_insert(now);
        let last = self.logged.unwrap_or(since);
        if now < last + NOT_A_MEMBER_INTERVAL {
            return;
        }
        self.logged = Some(now);
        warn!(log, "not a member of the group"; "replica" => hex(status.id),
            "for_ms" => (now - since).as_millis() as u64,
            "leader" => status.leader.map(hex));
    }

    fn next_line(&self) -> Instant {
        let last = self.logged.or(self.since);
        last.unwrap_or_else(Instant::now) + NOT_A_MEMBER_INTERVAL
    }
}

fn log_changes(log: &Logger, last: &ReplicaStatus, now: &ReplicaStatus) {
    let view = |s: &ReplicaStatus| {
        (
            s.role,
            s.term,
            s.leader,
            s.voters.len(),
            s.learners.len(),
            s.id,
        )
    };
    if view(last) != view(now) {
        info!(log, "group"; "replica" => hex(now.id), "role" => format!("{:?}", now.role),
            "term" => now.term, "leader" => now.leader.map(hex),
            "voters" => now.voters.len(), "learners" => now.learners.len(),
            "committed" => now.committed);
        gauge!("yuccahold_replica_voters").set(now.voters.len() as f64);
    }
    if last.silent_voters != now.silent_voters {
        let silent: Vec<_> = now.silent_voters.iter().copied().map(hex).collect();
        let (silent, spare) = (silent.join(","), now.spare_voters());
        if spare == 0 {
            warn!(log, "silent voters"; "silent" => silent, "voters" => now.voters.len(),
                "spare" => spare);
        } else {
            info!(log, "silent voters"; "silent" => silent, "voters" => now.voters.len(),
                "spare" => spare);
        }
        gauge!("yuccahold_replica_silent_voters").set(now.silent_voters.len() as f64);
    }
    if last.announcement != now.announcement
        && let Some(announced) = now.announcement
    {
        info!(log, "replica announced itself"; "replica" => hex(announced.replica),
            "addr" => %announced.addr, "outcome" => announced.outcome.as_str());
    }
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}
