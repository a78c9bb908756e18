//! Counts of requests against the objectives, handed on to control now and then.

use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use crate::document::ObjectiveTarget;
use crate::entry::access::Access;
use crate::entry::link::ControlLink;
use crate::entry::reply::Outcome as Answered;
use crate::ids::{Revision, TeamName};
use crate::slo::{BurnDelta, Dimensions, Event, Outcome, Tally};
use crate::wire::{Answer, Call, Feed};

/// Time between two hand-overs to control.
const HAND_OVER: Duration = Duration::from_secs(10);

/// Time for one hand-over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests counted since the last hand-over.
#[derive(Debug, Default)]
pub(super) struct BurnTally {
    tally: Mutex<Tally>,
}

impl BurnTally {
    /// Counts one request of a caller.
    pub(super) fn record(&self, access: &Access<'_>, team: TeamName) {
        let event = Event {
            target: ObjectiveTarget::Service(access.service.clone()),
            outcome: match access.outcome {
                Answered::Done => Outcome::Took(access.total),
                Answered::NotRun => Outcome::Failed,
                Answered::Unknown => Outcome::Unknown,
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

    fn follow(&self, feed: &Feed, revision: &mut Revision) {
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

/// Follows the document's objectives and hands the counts on until it is dropped.
///
/// Counts that were refused are handed on again with the next ones; counts whose fate is not
/// known are dropped, since counting them twice would raise a false alert.
pub(super) async fn hand_over<L: ControlLink>(burn: Arc<BurnTally>, link: Arc<L>) {
    let mut feed: watch::Receiver<Arc<Feed>> = link.feed();
    let mut revision = 0;
    let mut kept = BurnDelta::default();
    let mut due = tokio::time::interval(HAND_OVER);
    loop {
        burn.follow(&feed.borrow_and_update().clone(), &mut revision);
        tokio::select! {
            changed = feed.changed() => if changed.is_err() { return },
            _ = due.tick() => {
                kept.merge(burn.tally().take());
                if !kept.is_empty() {
                    kept = send(link.as_ref(), kept).await;
                }
            }
        }
    }
}

/// Sends counts and gives back what must be sent again.
async fn send<L: ControlLink>(link: &L, delta: BurnDelta) -> BurnDelta {
    let answer = link
        .call(Call::Burn(delta.clone()), HAND_OVER_TIMEOUT)
        .await;
    match answer {
        Ok(Answer::NotLeader(_) | Answer::Refused(_)) | Err(_) => delta,
        Ok(_) => BurnDelta::default(),
    }
}
