//! Counts requests against the service-level objectives and reports them to the control plane.

use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use crate::document::ObjectiveTarget;
use crate::entry::access::Access;
use crate::entry::link::ControlLink;
use crate::entry::reply::Outcome as RequestOutcome;
use crate::ids::{Revision, TeamName};
use crate::slo::{BurnDelta, Dimensions, Event, Outcome, Tally};
use crate::wire::{Answer, Call, Feed};

/// Interval between reports to the control plane.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests counted since the last report.
#[derive(Debug, Default)]
pub(super) struct BurnTally {
    tally: Mutex<Tally>,
}

impl BurnTally {
    /// Counts one request from a caller.
    pub(super) fn record(&self, access: &Access<'_>, team: TeamName) {
        let event = Event {
            target: ObjectiveTarget::Service(access.service.clone()),
            outcome: match access.outcome {
                RequestOutcome::Done => Outcome::Took(access.total),
                RequestOutcome::NotRun => Outcome::Failed,
                RequestOutcome::Unknown => Outcome::Unknown,
            },
            dimensions: Dimensions {
                zone: access.zone.into(),
                host: access.minion.into(),
                team,
                kind: access.service.clone(),
            },
        };
        self.tally().record(event);
    }

    fn update_objectives(&self, feed: &Feed, revision: &mut Revision) {
        let Some(document) = feed.document.as_ref() else {
            return;
        };
        if *revision != feed.revision {
            self.tally().set_objectives(&document.objectives);
            *revision = feed.revision;
        }
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the document's objectives and reports the counts, until the link ends or it is dropped.
///
/// Counts that were refused or not sent are included in the next report. If it is unknown whether
/// counts were recorded, they are dropped, because counting them twice could raise a false alert.
pub(super) async fn report_burn<L: ControlLink>(burn: Arc<BurnTally>, link: Arc<L>) {
    let mut feed: watch::Receiver<Arc<Feed>> = link.feed();
    let mut revision = 0;
    let mut unsent = BurnDelta::default();
    let mut due = tokio::time::interval(REPORT_INTERVAL);
    loop {
        burn.update_objectives(&feed.borrow_and_update().clone(), &mut revision);
        tokio::select! {
            changed = feed.changed() => if changed.is_err() { return },
            _ = due.tick() => {
                unsent.merge(burn.tally().take());
                if !unsent.is_empty() {
                    unsent = send(link.as_ref(), unsent).await;
                }
            }
        }
    }
}

/// Sends counts; returns those to send again.
async fn send<L: ControlLink>(link: &L, delta: BurnDelta) -> BurnDelta {
    let answer = link.call(Call::Burn(delta.clone()), REPORT_TIMEOUT).await;
    match answer {
        Ok(Answer::NotLeader(_) | Answer::Refused(_)) | Err(_) => delta,
        Ok(_) => BurnDelta::default(),
    }
}
