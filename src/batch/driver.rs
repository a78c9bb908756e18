//! Executes the dispatcher's orders: through agents, or directly while none are connected.

use std::future::Future;
use std::time::Duration;

use slog::Logger;
use tokio::sync::mpsc;

use super::agents::{Agents, Batches};
use super::dispatch::{
    Advice, AdviceQuestion, Answer, HoldAnswer, HoldOrder, MinionAnswer, MinionOrder, Order,
    StartOrder, Target,
};
use super::event_output::{count_event, write_event};
use super::machine::{Machine, OrderOutcome};
use super::model::{RunNumber, TaskId};
use crate::ids::Term;
use crate::replication::{ReplicaHandle, monotonic_now};

/// Interval between checks for orders whose agent did not answer in time; each finds only those.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Calls to minions. Calls are idempotent; one without an answer may still be executed later.
pub trait Minions: Clone + Send + Sync + 'static {
    /// Starts a run, unless the minion has already started, stopped or ended it.
    fn start(&self, to: &Target, order: &StartOrder) -> impl Future<Output = Answer> + Send;
    /// Stops a run; a start of it that arrives later is refused.
    fn stop(
        &self,
        to: &Target,
        task: TaskId,
        run: RunNumber,
        token: Term,
    ) -> impl Future<Output = Answer> + Send;
    /// Sets the speed of a run, in percent of its full speed.
    fn pace(
        &self,
        to: &Target,
        task: TaskId,
        run: RunNumber,
        percent: u32,
        token: Term,
    ) -> impl Future<Output = Answer> + Send;
    /// Renews the lease and requests the lists of running and ended runs.
    fn hold(&self, to: &Target, order: &HoldOrder) -> impl Future<Output = HoldAnswer> + Send;
}

/// Calls to the placement policy service.
pub trait Policy: Clone + Send + Sync + 'static {
    /// Asks which minions may run a step; `None` when no answer came.
    fn advise(&self, question: &AdviceQuestion) -> impl Future<Output = Option<Advice>> + Send;
}

/// Sends one order to a minion and returns its answer.
pub async fn send_order(minions: &impl Minions, to: &Target, order: &MinionOrder) -> MinionAnswer {
    match order {
        MinionOrder::Start(order) => MinionAnswer::Order(minions.start(to, order).await),
        MinionOrder::Stop { task, run, token } => {
            MinionAnswer::Order(minions.stop(to, *task, *run, *token).await)
        }
        MinionOrder::Hold(order) => MinionAnswer::Hold(minions.hold(to, order).await),
        MinionOrder::Pace {
            task,
            run,
            percent,
            token,
        } => MinionAnswer::Order(minions.pace(to, *task, *run, *percent, *token).await),
    }
}

/// Executes orders until the sender of the channel, held by the state machine, is dropped.
pub async fn run(
    mut orders: mpsc::UnboundedReceiver<Vec<Order>>,
    replica: ReplicaHandle<Machine>,
    minions: impl Minions,
    agents: Agents,
    log: Logger,
) {
    tokio::spawn(expire_orders(agents.clone(), replica.clone()));
    while let Some(mut batch) = orders.recv().await {
        while let Ok(more) = orders.try_recv() {
            batch.extend(more);
        }
        let mut batches = Batches::default();
        let now = monotonic_now();
        for order in batch {
            match order {
                Order::Event(event) => {
                    count_event(&event);
                    write_event(&log, &event);
                }
                Order::Advise(question) => forward_question(question, &agents, &replica),
                Order::Minion(target, order) => {
                    let unsent = agents.send(now, &mut batches, target, order);
                    if let Some((target, order)) = unsent {
                        send_directly(target, order, replica.clone(), minions.clone());
                    }
                }
            }
        }
        agents.flush(batches);
    }
}

fn forward_question(question: AdviceQuestion, agents: &Agents, replica: &ReplicaHandle<Machine>) {
    let id = question.id;
    if agents.ask(question) {
        return;
    }
    let replica = replica.clone();
    tokio::spawn(async move {
        replica
            .update_machine(move |m, now| m.advice_received(now, id, None))
            .await;
    });
}

fn send_directly(
    target: Target,
    order: MinionOrder,
    replica: ReplicaHandle<Machine>,
    minions: impl Minions,
) {
    tokio::spawn(async move {
        let sent = monotonic_now();
        let answer = send_order(&minions, &target, &order).await;
        let outcome = OrderOutcome {
            minion: target.minion,
            order: order.kind(),
            sent,
            answer,
        };
        replica
            .update_machine(move |m, now| m.orders_answered(now, vec![outcome]))
            .await;
    });
}

async fn expire_orders(agents: Agents, replica: ReplicaHandle<Machine>) {
    let mut checked = monotonic_now();
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = monotonic_now();
        // After a pause of this process, answers that came in time may not have been read yet.
        let paused = now > checked + EXPIRY_INTERVAL * 2;
        checked = now;
        if paused {
            continue;
        }
        let expired = agents.expire(now);
        agents.announce_relays(now);
        if !expired.is_empty() {
            replica
                .update_machine(move |m, now| m.unanswered(now, expired))
                .await;
        }
    }
}
