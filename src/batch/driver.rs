//! Carries out the dispatcher's orders: calls to minions and questions to the policy service.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::Logger;
use tokio::sync::mpsc;

use super::calls::Down;
use super::dispatch::{
    Advice, AdviceQuestion, Answer, HoldAnswer, HoldOrder, Order, StartOrder, Target,
};
use super::machine::Machine;
use super::model::{RunNumber, StepId, TaskId};
use super::note::write_note;
use crate::ids::Term;
use crate::replication::{ReplicaHandle, monotonic_now};

/// Calls to minions. A call is idempotent; one without an answer may be carried out late.
pub trait Minions: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, to: &Target, order: &StartOrder) -> impl Future<Output = Answer> + Send;
    /// Stops a run.
    fn stop(
        &self,
        to: &Target,
        task: TaskId,
        run: RunNumber,
        token: Term,
    ) -> impl Future<Output = Answer> + Send;
    /// Sets the share at which a run works.
    fn pace(
        &self,
        to: &Target,
        task: TaskId,
        run: RunNumber,
        percent: u8,
        token: Term,
    ) -> impl Future<Output = Answer> + Send;
    /// Renews the lease and asks for the lists.
    fn hold(&self, to: &Target, order: &HoldOrder) -> impl Future<Output = HoldAnswer> + Send;
}

/// Questions to the policy service.
pub trait Policy: Clone + Send + Sync + 'static {
    /// Asks which minions may run a step; `None` when no answer came.
    fn advise(&self, question: &AdviceQuestion) -> impl Future<Output = Option<Advice>> + Send;
}

/// Number of a connection whose far end can ask the policy service for the leader.
pub type AskerId = u64;

struct Asker {
    tx: mpsc::UnboundedSender<Down>,
    /// Expected time of all questions that it has not answered.
    backlog: Duration,
    open: Vec<(StepId, Duration)>,
}

/// Those who can ask the policy service. It takes one question of each machine at a time, so
/// questions are spread by the time they are expected to take.
#[derive(Clone, Default)]
pub struct Askers(Arc<Mutex<HashMap<AskerId, Asker>>>);

impl Askers {
    /// Adds a connection.
    pub fn add(&self, id: AskerId, tx: mpsc::UnboundedSender<Down>) {
        let asker = Asker {
            tx,
            backlog: Duration::ZERO,
            open: Vec::new(),
        };
        self.lock().insert(id, asker);
    }

    /// Takes a connection away; gives the steps whose questions it had.
    pub fn remove(&self, id: AskerId) -> Vec<StepId> {
        let asker = self.lock().remove(&id);
        let open = asker.map_or_else(Vec::new, |a| a.open);
        open.into_iter().map(|(step, _)| step).collect()
    }

    /// Notes that a question is answered.
    pub fn answered(&self, id: AskerId, step: StepId) {
        let mut askers = self.lock();
        let Some(asker) = askers.get_mut(&id) else {
            return;
        };
        if let Some(i) = asker.open.iter().position(|(s, _)| *s == step) {
            let (_, cost) = asker.open.swap_remove(i);
            asker.backlog -= cost;
        }
    }

    /// Hands a question to whoever is expected to answer it first; false when there is nobody.
    fn ask(&self, question: AdviceQuestion) -> bool {
        let mut askers = self.lock();
        let Some(asker) = askers.values_mut().min_by_key(|a| a.backlog) else {
            return false;
        };
        asker.backlog += question.cost;
        asker.open.push((question.step, question.cost));
        asker.tx.send(Down::Advise(question)).is_ok()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<AskerId, Asker>> {
        self.0.lock().expect("no holder panics")
    }
}

/// Runs until the machine's end of the channel is dropped.
pub async fn run(
    mut orders: mpsc::UnboundedReceiver<Vec<Order>>,
    replica: ReplicaHandle<Machine>,
    minions: impl Minions,
    askers: Askers,
    log: Logger,
) {
    while let Some(batch) = orders.recv().await {
        for order in batch {
            carry_out(order, &replica, &minions, &askers, &log);
        }
    }
}

fn carry_out(
    order: Order,
    replica: &ReplicaHandle<Machine>,
    minions: &impl Minions,
    askers: &Askers,
    log: &Logger,
) {
    let (replica, minions) = (replica.clone(), minions.clone());
    let sent = monotonic_now();
    match order {
        Order::Note(note) => write_note(log, &note),
        Order::Start(target, order) => {
            tokio::spawn(async move {
                let answer = minions.start(&target, &order).await;
                let run = (order.task, order.run);
                let tell = move |m: &mut Machine, now| {
                    m.started(now, target.minion, run, sent, answer);
                };
                replica.inform(tell).await;
            });
        }
        Order::Stop {
            target,
            task,
            run,
            token,
        } => {
            tokio::spawn(async move {
                let answer = minions.stop(&target, task, run, token).await;
                let tell = move |m: &mut Machine, now| {
                    m.stopped(now, target.minion, (task, run), sent, answer);
                };
                replica.inform(tell).await;
            });
        }
        Order::Pace {
            target,
            task,
            run,
            percent,
            token,
        } => {
            tokio::spawn(async move {
                minions.pace(&target, task, run, percent, token).await;
            });
        }
        Order::Hold(target, order) => {
            tokio::spawn(async move {
                let answer = minions.hold(&target, &order).await;
                let tell = move |m: &mut Machine, now| m.held(now, target.minion, sent, answer);
                replica.inform(tell).await;
            });
        }
        Order::Advise(question) => {
            let step = question.step;
            if !askers.ask(question) {
                tokio::spawn(async move {
                    replica
                        .inform(move |m, now| m.advised(now, step, None))
                        .await;
                });
            }
        }
    }
}
