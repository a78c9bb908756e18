//! Agents: processes with a connection to the leader that send orders to minions and questions to
//! the policy service on its behalf.
//!
//! An agent owns nothing. Every order carries the leader's fencing token and is idempotent, so the
//! death of an agent costs a repetition and no lease.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::calls::{Down, OrderNumber};
use super::dispatch::{AdviceQuestion, MinionAnswer, MinionOrder, OrderKind, QuestionId, Target};
use super::machine::Answered;
use super::model::MinionNumber;
use super::rank::rank;
use crate::ids::{Timestamp, ZoneName};

/// Number of an agent's connection.
pub type AgentId = u64;

/// Time for an agent's answer beyond what its call may take; after it the agent counts as stuck.
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// How long a stuck agent gets no orders.
const REST: Duration = Duration::from_secs(2);

struct Sent {
    minion: MinionNumber,
    order: OrderKind,
    unanswered: MinionAnswer,
    sent: Timestamp,
    until: Timestamp,
}

struct Agent {
    tx: UnboundedSender<Down>,
    zone: ZoneName,
    /// Whether it is this very process.
    own: bool,
    /// Orders without an answer.
    open: BTreeMap<OrderNumber, Sent>,
    rests_until: Timestamp,
    /// Expected time of all questions that it has not answered.
    backlog: Duration,
    questions: Vec<(QuestionId, Duration)>,
}

#[derive(Default)]
struct Pool {
    agents: BTreeMap<AgentId, Agent>,
    next_order: OrderNumber,
}

/// All agents of a leader; cheap to clone.
#[derive(Clone, Default)]
pub struct Agents(Arc<Mutex<Pool>>);

impl Agents {
    /// Adds a connection.
    pub fn add(&self, id: AgentId, tx: UnboundedSender<Down>, zone: ZoneName, own: bool) {
        let agent = Agent {
            tx,
            zone,
            own,
            open: BTreeMap::new(),
            rests_until: Timestamp::ZERO,
            backlog: Duration::ZERO,
            questions: Vec::new(),
        };
        self.lock().agents.insert(id, agent);
    }

    /// Number of agents.
    pub fn count(&self) -> usize {
        self.lock().agents.len()
    }

    /// Takes a connection away; gives what it left unanswered.
    pub(crate) fn remove(&self, id: AgentId) -> (Vec<Answered>, Vec<QuestionId>) {
        let mut pool = self.lock();
        let Some(agent) = pool.agents.remove(&id) else {
            return Default::default();
        };
        let open = agent.open.into_values().map(Sent::without_answer);
        let questions = agent.questions.into_iter().map(|(question, _)| question);
        (open.collect(), questions.collect())
    }

    /// Hands an order to the minion's agent; gives it back when there is nobody.
    pub fn send(
        &self,
        now: Timestamp,
        batches: &mut Batches,
        target: Target,
        order: MinionOrder,
    ) -> Option<(Target, MinionOrder)> {
        let mut pool = self.lock();
        let Some(id) = pool.agent_of(now, &target) else {
            return Some((target, order));
        };
        pool.next_order += 1;
        let number = pool.next_order;
        let Some(agent) = pool.agents.get_mut(&id) else {
            return Some((target, order));
        };
        let wait = match &order {
            MinionOrder::Hold(hold) => hold.wait,
            _ => Duration::ZERO,
        };
        let sent = Sent {
            minion: target.minion,
            order: order.kind(),
            unanswered: order.not_called(),
            sent: now,
            until: now + wait + ANSWER_TIME,
        };
        agent.open.insert(number, sent);
        batches
            .0
            .entry(id)
            .or_default()
            .push((number, target, order));
        None
    }

    /// Sends what was gathered, one message an agent.
    pub fn flush(&self, batches: Batches) {
        let pool = self.lock();
        for (id, orders) in batches.0 {
            if let Some(agent) = pool.agents.get(&id) {
                // A connection that has just ended gives its orders back when it is removed.
                let _ = agent.tx.send(Down::Orders(orders));
            }
        }
    }

    /// Takes answers of an agent.
    pub(crate) fn done(
        &self,
        id: AgentId,
        answers: Vec<(OrderNumber, MinionAnswer)>,
    ) -> Vec<Answered> {
        let mut pool = self.lock();
        let Some(agent) = pool.agents.get_mut(&id) else {
            return Vec::new();
        };
        let known = answers.into_iter().filter_map(|(number, answer)| {
            let sent = agent.open.remove(&number)?;
            Some(Answered {
                answer,
                ..sent.without_answer()
            })
        });
        known.collect()
    }

    /// Gives up orders whose agent is stuck: stopped, frozen or behind a connection that fell
    /// silent. The dispatcher would otherwise wait for them for ever.
    pub(crate) fn expire(&self, now: Timestamp) -> Vec<Answered> {
        let mut pool = self.lock();
        let mut given_up = Vec::new();
        for agent in pool.agents.values_mut() {
            let late: Vec<_> = agent
                .open
                .iter()
                .filter(|(_, sent)| sent.until < now)
                .map(|(number, _)| *number)
                .collect();
            if late.is_empty() {
                continue;
            }
            agent.rests_until = now + REST;
            given_up.extend(late.iter().filter_map(|n| agent.open.remove(n)));
        }
        given_up.into_iter().map(Sent::without_answer).collect()
    }

    /// Hands a question to whoever is expected to answer it first; false when there is nobody.
    ///
    /// The policy service takes one question of each machine at a time.
    pub fn ask(&self, question: AdviceQuestion) -> bool {
        let mut pool = self.lock();
        let Some(agent) = pool.agents.values_mut().min_by_key(|a| a.backlog) else {
            return false;
        };
        agent.backlog += question.cost;
        agent.questions.push((question.id, question.cost));
        agent.tx.send(Down::Advise(question)).is_ok()
    }

    /// Notes that a question is answered.
    pub fn answered(&self, id: AgentId, question: QuestionId) {
        let mut pool = self.lock();
        let Some(agent) = pool.agents.get_mut(&id) else {
            return;
        };
        if let Some(i) = agent.questions.iter().position(|(q, _)| *q == question) {
            let (_, cost) = agent.questions.swap_remove(i);
            agent.backlog -= cost;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.0.lock().expect("no holder panics")
    }
}

impl Pool {
    /// The agent that calls a minion: among those in its zone, if there are any, the one with the
    /// highest rank for it.
    ///
    /// Ranks are drawn from the pair, so each agent that joins takes its share and no more. While
    /// the first choice was kept, a new leader gave all of 350 minions to the eight agents that
    /// found it first: 4,578 orders of the next ten seconds brought no answer in time, and of the
    /// checks handed in during four of them one in four was done in time.
    fn agent_of(&self, now: Timestamp, target: &Target) -> Option<AgentId> {
        let fit = |agent: &&Agent| !agent.own && now >= agent.rests_until;
        let all = self.agents.iter().filter(|(_, agent)| fit(agent));
        let best = all.max_by_key(|(id, agent)| {
            let rank = rank(target.minion, **id);
            (agent.zone == target.zone, rank, **id)
        });
        best.map(|(id, _)| *id)
    }
}

impl Sent {
    fn without_answer(self) -> Answered {
        Answered {
            minion: self.minion,
            order: self.order,
            sent: self.sent,
            answer: self.unanswered,
        }
    }
}

/// Orders gathered for each agent.
#[derive(Default)]
pub struct Batches(BTreeMap<AgentId, Vec<(OrderNumber, Target, MinionOrder)>>);
