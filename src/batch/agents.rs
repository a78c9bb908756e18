//! Agents: processes connected to the leader that send orders to minions and questions to the
//! policy service on its behalf.
//!
//! Agents hold no state. Every order carries the leader's fencing token and is idempotent, so when
//! an agent fails, orders are repeated, but no lease is lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::calls::{OrderNumber, ServerMessage};
use super::dispatch::{AdviceQuestion, MinionAnswer, MinionOrder, OrderKind, QuestionId, Target};
use super::hash_ring::HashRing;
use super::hello::{AgentHello, AgentSkill};
use super::machine::OrderOutcome;
use super::model::MinionNumber;
use crate::ids::{Timestamp, ZoneName};

/// Number of an agent's connection to the leader.
pub type AgentId = u64;

/// Time allowed for an agent's answer beyond the time after which the agent itself gives up on the
/// minion: several round trips to a busy host. Then the agent counts as stuck.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Shortest time for which a stuck agent gets no orders.
const SUSPENSION: Duration = Duration::from_secs(2);

/// Agents in each availability zone that pass on requests of others: two, as one may be cut off.
const RELAYS_PER_ZONE: usize = 2;
/// Least time between two announcements of the relays, each a message to every agent.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// An order handed to an agent that has no answer yet.
struct OpenOrder {
    minion: MinionNumber,
    order: OrderKind,
    /// Reported to the dispatcher if the agent gives no answer.
    missing_answer: MinionAnswer,
    sent: Timestamp,
    expires_at: Timestamp,
}

struct Agent {
    tx: UnboundedSender<ServerMessage>,
    zone: ZoneName,
    /// Orders that it can send.
    skill: AgentSkill,
    /// Whether it runs on the leader's host; such an agent gets questions but no orders.
    on_leader_host: bool,
    /// Orders without an answer.
    open: BTreeMap<OrderNumber, OpenOrder>,
    /// Address at which it passes on requests of others; `None` if it does not.
    relay: Option<SocketAddr>,
    /// When its last message arrived.
    heard: Timestamp,
    /// When it was last found stuck; `None` while it gets orders.
    suspended: Option<Timestamp>,
    /// Sum of the expected times of the unanswered questions.
    backlog: Duration,
    /// Unanswered questions with their expected times.
    questions: Vec<(QuestionId, Duration)>,
}

/// Orders and questions that an agent will not answer.
#[derive(Default)]
pub struct Unanswered {
    /// Orders, with what stands for their answers.
    pub orders: Vec<OrderOutcome>,
    /// Questions to the policy service.
    pub questions: Vec<QuestionId>,
}

impl Unanswered {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.questions.is_empty()
    }
}

#[derive(Default)]
struct Pool {
    agents: BTreeMap<AgentId, Agent>,
    /// Agents that get orders now, by availability zone. A zone without any has no ring.
    rings: BTreeMap<ZoneName, HashRing>,
    /// Times by which orders must be answered.
    deadlines: BTreeSet<(Timestamp, AgentId, OrderNumber)>,
    /// Relays that the agents were told of.
    announced: Vec<SocketAddr>,
    announced_at: Timestamp,
    /// Whether the relays may have changed since.
    relays_changed: bool,
    /// Agents that are not suspended, by their backlog of questions.
    by_backlog: BTreeSet<(Duration, AgentId)>,
    next_order: OrderNumber,
}

/// The agents connected to this process; clones share them.
#[derive(Clone, Default)]
pub struct Agents(Arc<Mutex<Pool>>);

impl Agents {
    /// Adds an agent, to which messages are sent through `tx`.
    pub fn add(
        &self,
        id: AgentId,
        tx: UnboundedSender<ServerMessage>,
        hello: AgentHello,
        on_leader_host: bool,
    ) {
        let agent = Agent {
            tx,
            zone: hello.zone,
            skill: hello.skill,
            on_leader_host,
            open: BTreeMap::new(),
            relay: None,
            heard: Timestamp::ZERO,
            suspended: None,
            backlog: Duration::ZERO,
            questions: Vec::new(),
        };
        self.lock().add(id, agent);
    }

    /// Records that an agent passes on requests of others at `addr`.
    pub fn set_relay(&self, id: AgentId, addr: SocketAddr) {
        let mut pool = self.lock();
        if let Some(agent) = pool.agents.get_mut(&id) {
            agent.relay = Some(addr);
            pool.relays_changed = true;
        }
    }

    /// Tells all agents which of them pass on requests, if that has changed.
    pub fn announce_relays(&self, now: Timestamp) {
        let mut pool = self.lock();
        if !pool.relays_changed || now < pool.announced_at + ANNOUNCE_INTERVAL {
            return;
        }
        pool.relays_changed = false;
        let relays = pool.relays();
        if relays == pool.announced {
            return;
        }
        pool.announced_at = now;
        for agent in pool.agents.values() {
            // A connection that has just closed is removed by its server task.
            let _ = agent.tx.send(ServerMessage::Relays(relays.clone()));
        }
        pool.announced = relays;
    }

    /// Number of connected agents, stuck ones included.
    pub fn count(&self) -> usize {
        self.lock().agents.len()
    }

    /// Removes an agent; returns its open orders and unanswered questions.
    pub(crate) fn remove(&self, id: AgentId) -> Unanswered {
        let mut pool = self.lock();
        let Some(agent) = pool.remove(id) else {
            return Default::default();
        };
        for (number, sent) in &agent.open {
            pool.deadlines.remove(&(sent.expires_at, id, *number));
        }
        let open = agent.open.into_values().map(OpenOrder::into_unanswered);
        let questions = agent.questions.into_iter().map(|(question, _)| question);
        Unanswered {
            orders: open.collect(),
            questions: questions.collect(),
        }
    }

    /// Adds an order to the batch of the agent chosen for the minion. Returns the order when there
    /// is no suitable agent, or when that one doesn't know such orders.
    pub fn send(
        &self,
        now: Timestamp,
        batches: &mut Batches,
        target: Target,
        order: MinionOrder,
    ) -> Option<(Target, MinionOrder)> {
        let mut pool = self.lock();
        let skilled = |id: &AgentId| pool.agents[id].skill >= order.skill();
        let Some(id) = pool.choose_agent(&target).filter(skilled) else {
            return Some((target, order));
        };
        pool.next_order += 1;
        let number = pool.next_order;
        let Some(agent) = pool.agents.get_mut(&id) else {
            return Some((target, order));
        };
        let sent = OpenOrder {
            minion: target.minion,
            order: order.kind(),
            missing_answer: order.not_called(),
            sent: now,
            expires_at: now + order.timeout() + ANSWER_MARGIN,
        };
        let deadline = (sent.expires_at, id, number);
        agent.open.insert(number, sent);
        pool.deadlines.insert(deadline);
        batches
            .0
            .entry(id)
            .or_default()
            .push((number, target, order));
        None
    }

    /// Sends the batches, in one message per agent.
    pub fn flush(&self, batches: Batches) {
        let pool = self.lock();
        for (id, orders) in batches.0 {
            if let Some(agent) = pool.agents.get(&id) {
                // If the connection has just closed, `remove` returns the orders as unanswered.
                let _ = agent.tx.send(ServerMessage::Orders(orders));
            }
        }
    }

    /// Matches an agent's answers with its open orders; answers to expired orders are dropped.
    pub fn orders_answered(
        &self,
        id: AgentId,
        answers: Vec<(OrderNumber, MinionAnswer)>,
    ) -> Vec<OrderOutcome> {
        let mut pool = self.lock();
        let known = answers.into_iter().filter_map(|(number, answer)| {
            let sent = pool.take_open(id, number)?;
            Some(OrderOutcome {
                answer,
                ..sent.into_unanswered()
            })
        });
        known.collect()
    }

    /// Records that a message of an agent arrived. A suspended agent gets orders again once it is
    /// heard after its suspension; one that is cut off would lose them for as long as its
    /// connection stays open.
    pub fn heard(&self, id: AgentId, now: Timestamp) {
        let mut pool = self.lock();
        let Some(agent) = pool.agents.get_mut(&id) else {
            return;
        };
        agent.heard = now;
        if agent
            .suspended
            .is_some_and(|since| now >= since + SUSPENSION)
        {
            agent.suspended = None;
            let (backlog, is_relay) = (agent.backlog, agent.relay.is_some());
            pool.relays_changed |= is_relay;
            pool.by_backlog.insert((backlog, id));
            pool.join_ring(id);
        }
    }

    /// Expires orders whose agent is stuck: stopped, hung, or behind a stalled connection.
    /// Otherwise the dispatcher would wait for their answers forever.
    ///
    /// If nothing has been heard from the agent since an overdue order was sent, its other orders
    /// and its questions are not waited for any longer: each hold would delay the ends on its minion
    /// by up to its own time limit, and each question its step by seconds.
    pub fn expire(&self, now: Timestamp) -> Unanswered {
        let mut pool = self.lock();
        let mut expired = Vec::new();
        let mut questions = Vec::new();
        while let Some((_, id, number)) = pool.deadlines.first().filter(|d| d.0 < now).copied() {
            let Some(overdue) = pool.take_open(id, number) else {
                pool.deadlines.pop_first();
                continue;
            };
            pool.suspend(id, now);
            let is_silent = pool
                .agents
                .get(&id)
                .is_some_and(|a| a.heard <= overdue.sent);
            expired.push(overdue);
            if is_silent {
                let rest: Vec<_> = pool.agents[&id].open.keys().copied().collect();
                expired.extend(rest.into_iter().filter_map(|n| pool.take_open(id, n)));
                questions.extend(pool.take_questions(id));
            }
        }
        let orders = expired.into_iter().map(OpenOrder::into_unanswered);
        Unanswered {
            orders: orders.collect(),
            questions,
        }
    }

    /// Sends a question to the agent with the shortest backlog; false when there is no agent.
    ///
    /// The policy service processes one question per host at a time, so questions queue at agents.
    pub fn ask(&self, question: AdviceQuestion) -> bool {
        let mut pool = self.lock();
        let Some((_, id)) = pool.by_backlog.first().copied() else {
            return false;
        };
        pool.change_backlog(id, |backlog| backlog + question.cost);
        let Some(agent) = pool.agents.get_mut(&id) else {
            return false;
        };
        agent.questions.push((question.id, question.cost));
        agent.tx.send(ServerMessage::Advise(question)).is_ok()
    }

    /// Removes an answered question from the agent's backlog.
    pub fn question_answered(&self, id: AgentId, question: QuestionId) {
        let mut pool = self.lock();
        let Some(agent) = pool.agents.get_mut(&id) else {
            return;
        };
        if let Some(i) = agent.questions.iter().position(|(q, _)| *q == question) {
            let (_, cost) = agent.questions.swap_remove(i);
            pool.change_backlog(id, |backlog| backlog.saturating_sub(cost));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.0.lock().expect("no holder panics")
    }
}

impl Pool {
    fn add(&mut self, id: AgentId, agent: Agent) {
        if !self.announced.is_empty() {
            // A connection that has just closed is removed by its server task.
            let _ = agent.tx.send(ServerMessage::Relays(self.announced.clone()));
        }
        self.by_backlog.insert((agent.backlog, id));
        self.agents.insert(id, agent);
        self.join_ring(id);
    }

    fn remove(&mut self, id: AgentId) -> Option<Agent> {
        self.leave_ring(id);
        let agent = self.agents.remove(&id)?;
        self.by_backlog.remove(&(agent.backlog, id));
        self.relays_changed |= agent.relay.is_some();
        Some(agent)
    }

    /// In each zone, the relays that have been connected for longest and are not suspended.
    fn relays(&self) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for agent in self.agents.values().filter(|a| a.suspended.is_none()) {
            let zone = by_zone.entry(&agent.zone).or_default();
            if zone.len() < RELAYS_PER_ZONE {
                zone.extend(agent.relay);
            }
        }
        by_zone.into_values().flatten().collect()
    }

    fn change_backlog(&mut self, id: AgentId, change: impl FnOnce(Duration) -> Duration) {
        if let Some(agent) = self.agents.get_mut(&id) {
            let listed = self.by_backlog.remove(&(agent.backlog, id));
            agent.backlog = change(agent.backlog);
            if listed {
                self.by_backlog.insert((agent.backlog, id));
            }
        }
    }

    fn join_ring(&mut self, id: AgentId) {
        if let Some(agent) = self.agents.get(&id)
            && !agent.on_leader_host
        {
            let ring = self.rings.entry(agent.zone.clone()).or_default();
            ring.insert(id);
        }
    }

    fn leave_ring(&mut self, id: AgentId) {
        if let Some(agent) = self.agents.get(&id)
            && let Some(ring) = self.rings.get_mut(&agent.zone)
        {
            ring.remove(id);
            if ring.is_empty() {
                self.rings.remove(&agent.zone);
            }
        }
    }

    fn suspend(&mut self, id: AgentId, now: Timestamp) {
        self.leave_ring(id);
        if let Some(agent) = self.agents.get_mut(&id) {
            self.relays_changed |= agent.relay.is_some();
            agent.suspended = Some(now);
            self.by_backlog.remove(&(agent.backlog, id));
        }
    }

    fn take_questions(&mut self, id: AgentId) -> Vec<QuestionId> {
        let Some(agent) = self.agents.get_mut(&id) else {
            return Vec::new();
        };
        agent.backlog = Duration::ZERO;
        let questions = std::mem::take(&mut agent.questions).into_iter();
        questions.map(|(question, _)| question).collect()
    }

    /// Removes and returns an order without an answer.
    fn take_open(&mut self, id: AgentId, number: OrderNumber) -> Option<OpenOrder> {
        let sent = self.agents.get_mut(&id)?.open.remove(&number)?;
        self.deadlines.remove(&(sent.expires_at, id, number));
        Some(sent)
    }

    /// Chooses the agent for a minion: one in its zone, or in any zone if that one has none.
    ///
    /// Each agent that joins takes over its share of the minions and no more. A fixed assignment
    /// instead made a new leader give all 350 minions to the eight agents that connected first:
    /// 4,578 orders of the next ten seconds got no answer in time, and of the check jobs submitted
    /// during four of those seconds, only one in four was done in time.
    fn choose_agent(&self, target: &Target) -> Option<AgentId> {
        let other = || {
            let zone = target.minion as usize % self.rings.len().max(1);
            self.rings.values().nth(zone)
        };
        let ring = self.rings.get(&target.zone).or_else(other)?;
        ring.agent_of(target.minion)
    }
}

impl OpenOrder {
    fn into_unanswered(self) -> OrderOutcome {
        OrderOutcome {
            minion: self.minion,
            order: self.order,
            sent: self.sent,
            answer: self.missing_answer,
        }
    }
}

/// Orders collected for each agent, to be sent together.
#[derive(Default)]
pub struct Batches(BTreeMap<AgentId, Vec<(OrderNumber, Target, MinionOrder)>>);

impl Batches {
    /// Agents with orders.
    pub fn agents(&self) -> impl Iterator<Item = AgentId> + '_ {
        self.0.keys().copied()
    }
}
