//! Event handlers of the simulation.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use yuccahold::document::QueuePriority;
use yuccahold::ids::Timestamp;
use yuccahold::routing::{
    AttemptEnd, AttemptId, Effect, Event, Origin, Request, RequestId, RouteError, SlotReport,
    Target,
};

use super::{
    Caller, DELAY, LEASE, MS, Outcome, REPORT_INTERVAL, Requester, Sent, SimEvent, Simulation,
    TICK, entry_id, index, peer,
};

impl Simulation {
    pub(super) fn step(&mut self, event: SimEvent) {
        // Events for a paused host wait in its sockets and timers until it resumes.
        if let Some((n, process)) = receiver(&event) {
            let entry = &self.entries[n];
            if !entry.alive || entry.process != process {
                return;
            }
            if entry.paused_until > self.now {
                let after = entry.paused_until - self.now;
                return self.at(after, event);
            }
        }
        match event {
            SimEvent::Call(caller) => self.arrive(&caller),
            SimEvent::Deliver(n, _, event) => self.handle(n, *event),
            SimEvent::Forwarded {
                to,
                from,
                process,
                attempt,
                request,
            } => {
                self.forwarded(to, from, process, attempt, *request);
            }
            SimEvent::Withdrawn {
                to,
                from,
                process,
                attempt,
            } => {
                let is_match = |requester: &Requester| {
                    matches!(requester, Requester::Peer { entry, process: p, attempt: a }
                    if *entry == from && *p == process && *a == attempt)
                };
                let requester = self.entries[to]
                    .requesters
                    .iter()
                    .find(|(_, a)| is_match(a));
                if let Some(id) = requester.map(|(id, _)| *id) {
                    self.handle(to, Event::Cancelled(id));
                }
            }
            SimEvent::Begin {
                minion,
                process,
                sent,
            } => self.begin(minion, process, *sent),
            SimEvent::End {
                minion,
                process,
                sent,
            } => self.end(minion, process, &sent),
            SimEvent::ProbeAt {
                minion,
                entry,
                host,
                epoch,
                sent,
            } => {
                let m = &self.minions[minion];
                let busy = SlotReport::InUse(m.running);
                let report = m
                    .alive
                    .then_some(if m.reports { busy } else { SlotReport::Unknown });
                let minion = format!("minion-{minion}").into();
                let event = Event::Probed {
                    minion,
                    epoch,
                    sent,
                    report,
                };
                self.at(DELAY, SimEvent::Deliver(entry, host, Box::new(event)));
            }
            SimEvent::Timeout { entry, attempt, .. } => {
                let end = AttemptEnd::Broken { timed_out: true };
                self.handle(entry, Event::Ended { attempt, end });
            }
            SimEvent::Tick(n, process) => {
                self.handle(n, Event::Tick);
                self.at(TICK, SimEvent::Tick(n, process));
            }
            SimEvent::Renewed {
                entry,
                process,
                sent,
            } => {
                // The control plane counts the lease from the receipt of the renewal, the host
                // from its sending: here the same time or, after a pause, an earlier one.
                self.renewed[entry] = self.now;
                self.handle(entry, Event::Leased(sent + LEASE));
                let next = self.now + LEASE / 3;
                self.at(
                    LEASE / 3,
                    SimEvent::Renewed {
                        entry,
                        process,
                        sent: next,
                    },
                );
            }
            SimEvent::Load { from } => self.report_load(from),
            SimEvent::Control => self.control(),
            SimEvent::Action(action) => action(self),
        }
    }

    fn arrive(&mut self, caller: &Caller) {
        let n = caller.entry;
        if !self.entries[n].alive {
            self.outcomes.insert(caller.key, Outcome::HostDied);
            return;
        }
        self.arrived.insert(caller.key, self.now);
        let id = self.next_request;
        self.next_request += 1;
        let request = Request {
            id,
            service: caller.service.into(),
            team: format!("team-{}", caller.key % 3).into(),
            priority: QueuePriority::Normal,
            arrived: self.now,
            deadline: self.now + caller.deadline,
            idempotent: caller.idempotent,
            origin: Origin::Caller,
        };
        let requester = Requester::Caller { key: caller.key };
        self.entries[n].requesters.insert(id, requester);
        self.handle(n, Event::Arrived(request));
    }

    fn forwarded(
        &mut self,
        to: usize,
        from: usize,
        process: u32,
        attempt: AttemptId,
        mut request: Request,
    ) {
        request.id = self.next_request;
        self.next_request += 1;
        let requester = Requester::Peer {
            entry: from,
            process,
            attempt,
        };
        self.entries[to].requesters.insert(request.id, requester);
        self.handle(to, Event::Arrived(request));
    }

    fn key_of(&self, entry: usize, request: RequestId) -> Option<u32> {
        match self.entries[entry].requesters.get(&request)? {
            Requester::Caller { key } => Some(*key),
            Requester::Peer { entry, attempt, .. } => {
                let (request, _) = self.entries[*entry].live.get(attempt)?;
                self.key_of(*entry, *request)
            }
        }
    }

    pub(super) fn handle(&mut self, n: usize, event: Event) {
        let mut effects = Vec::new();
        if let Event::Ended { attempt, .. } = &event {
            self.entries[n].live.remove(attempt);
        }
        self.entries[n].router.handle(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(n, effect);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        let process = self.entries[n].process;
        match effect {
            Effect::Start {
                attempt,
                request,
                target,
                until,
            } => {
                self.start(n, attempt, request, target, until);
            }
            Effect::Abort(attempt) => {
                if let Some((_, Target::Peer(peer))) = self.entries[n].live.remove(&attempt) {
                    let to = index(&peer);
                    self.at(
                        DELAY,
                        SimEvent::Withdrawn {
                            to,
                            from: n,
                            process,
                            attempt,
                        },
                    );
                }
            }
            Effect::Withdraw(attempt) => {
                if let Some((_, Target::Peer(peer))) = self.entries[n].live.get(&attempt) {
                    let to = index(peer);
                    self.at(
                        DELAY,
                        SimEvent::Withdrawn {
                            to,
                            from: n,
                            process,
                            attempt,
                        },
                    );
                }
            }
            Effect::Deliver { request, attempt } => self.record_outcome(n, request, Ok(attempt)),
            Effect::Fail { request, error } => self.record_outcome(n, request, Err(error)),
            Effect::Probe { minion, epoch, .. } => {
                let minion = index(&minion);
                let sent = self.now;
                let probe = SimEvent::ProbeAt {
                    minion,
                    entry: n,
                    host: process,
                    epoch,
                    sent,
                };
                self.at(DELAY, probe);
            }
            Effect::Released(minion) => {
                if let Some(owned) = self.feed.minions.get_mut(&minion) {
                    (owned.owner, owned.release, owned.lapsed) = (None, false, false);
                }
            }
            Effect::AnnounceLoad => {
                let due = self.entries[n].load_sent + REPORT_INTERVAL;
                self.at(due.saturating_sub(self.now), SimEvent::Load { from: n });
            }
            Effect::Reconnect(_) => {}
        }
    }

    fn start(
        &mut self,
        n: usize,
        attempt: AttemptId,
        request: RequestId,
        target: Target,
        until: Timestamp,
    ) {
        let process = self.entries[n].process;
        let key = self.key_of(n, request).unwrap();
        self.entries[n]
            .live
            .insert(attempt, (request, target.clone()));
        self.at(
            until.saturating_sub(self.now),
            SimEvent::Timeout {
                entry: n,
                process,
                attempt,
            },
        );
        match target {
            Target::Minion { id, .. } => {
                let minion = index(&id);
                let sent = Sent {
                    entry: n,
                    process,
                    attempt,
                    key,
                };
                let to = self.minions[minion].process;
                self.at(
                    DELAY,
                    SimEvent::Begin {
                        minion,
                        process: to,
                        sent: Box::new(sent),
                    },
                );
            }
            Target::Peer(peer) => {
                let to = index(&peer);
                if !self.entries[to].alive {
                    let end = AttemptEnd::NotRun {
                        retry_after: None,
                        unreachable: false,
                    };
                    return self.send_event(n, DELAY, Event::Ended { attempt, end });
                }
                let request = Request {
                    id: 0,
                    service: self
                        .feed
                        .document
                        .as_ref()
                        .unwrap()
                        .services
                        .keys()
                        .next()
                        .unwrap()
                        .clone(),
                    team: "team-0".into(),
                    priority: QueuePriority::Normal,
                    arrived: self.now,
                    deadline: until,
                    idempotent: self.idempotent[&key],
                    origin: Origin::Peer(entry_id(n)),
                };
                let request = Box::new(request);
                self.at(
                    DELAY,
                    SimEvent::Forwarded {
                        to,
                        from: n,
                        process,
                        attempt,
                        request,
                    },
                );
            }
        }
    }

    fn begin(&mut self, n: usize, process: u32, sent: Sent) {
        let minion = &mut self.minions[n];
        if !minion.alive || minion.process != process {
            let end = AttemptEnd::NotRun {
                retry_after: None,
                unreachable: true,
            };
            return self.answer(&sent, end);
        }
        minion.running += 1;
        minion.started += 1;
        minion.max_running = minion.max_running.max(minion.running);
        *self.ran.entry(sent.key).or_default() += 1;
        if let Some(at) = self.arrived.remove(&sent.key) {
            self.waits.push(self.now - at);
        }
        let time = minion
            .service_time
            .mul_f64(-self.rng.random::<f64>().max(1e-9).ln());
        self.at(
            time,
            SimEvent::End {
                minion: n,
                process,
                sent: Box::new(sent),
            },
        );
    }

    fn end(&mut self, n: usize, process: u32, sent: &Sent) {
        let minion = &mut self.minions[n];
        if !minion.alive || minion.process != process {
            return self.answer(sent, AttemptEnd::Broken { timed_out: false });
        }
        minion.running -= 1;
        let end = if self.rng.random_range(0..100) < minion.lost_percent {
            AttemptEnd::Broken { timed_out: false }
        } else {
            AttemptEnd::Answered {
                failed: minion.fails,
            }
        };
        self.answer(sent, end);
    }

    fn answer(&mut self, sent: &Sent, end: AttemptEnd) {
        let event = Event::Ended {
            attempt: sent.attempt,
            end,
        };
        self.at(
            DELAY,
            SimEvent::Deliver(sent.entry, sent.process, Box::new(event)),
        );
    }

    fn record_outcome(
        &mut self,
        n: usize,
        request: RequestId,
        outcome: Result<AttemptId, RouteError>,
    ) {
        let Some(requester) = self.entries[n].requesters.remove(&request) else {
            return;
        };
        match requester {
            Requester::Caller { key } => {
                let outcome = match outcome {
                    Ok(_) => Outcome::Done,
                    Err(RouteError::NotRun { .. }) => Outcome::NotRun,
                    Err(RouteError::Unknown { .. }) => Outcome::Unknown,
                };
                if self.outcomes.insert(key, outcome).is_some() {
                    self.duplicate_outcomes.push(key);
                }
            }
            Requester::Peer {
                entry,
                process,
                attempt,
            } => {
                let end = match outcome {
                    Ok(_) => AttemptEnd::Answered { failed: false },
                    Err(RouteError::NotRun { retry_after, .. }) => AttemptEnd::NotRun {
                        retry_after: Some(retry_after),
                        unreachable: false,
                    },
                    Err(RouteError::Unknown { .. }) => AttemptEnd::Broken { timed_out: false },
                };
                let event = Event::Ended { attempt, end };
                self.at(DELAY, SimEvent::Deliver(entry, process, Box::new(event)));
            }
        }
    }

    fn report_load(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        if !entry.alive || entry.paused_until > self.now {
            return;
        }
        entry.load_sent = self.now;
        let services = entry.router.load(self.now);
        for to in (0..self.entries.len()).filter(|to| *to != n) {
            let event = Event::PeerLoad {
                peer: entry_id(n),
                services: services.clone(),
            };
            self.send_event(to, DELAY, event);
        }
    }

    /// Simulates the control plane: minions of owners with an expired lease become free, free ones
    /// are assigned to the live entry host with the fewest, and a changed feed is sent to all.
    fn control(&mut self) {
        let alive =
            |n: &usize| self.renewed[*n] + LEASE > self.now && self.renewed[*n] > Duration::ZERO;
        let live: Vec<usize> = (0..self.entries.len()).filter(alive).collect();
        let before = self.feed.clone();
        for (id, minion) in &mut self.feed.minions {
            let at = &self.minions[index(id)];
            minion.minion.process = u64::from(at.process);
            if minion
                .owner
                .as_ref()
                .is_some_and(|o| !live.contains(&index(o)))
            {
                (minion.owner, minion.lapsed) = (None, true);
            }
        }
        let ids: Vec<_> = self.feed.minions.keys().cloned().collect();
        for id in ids {
            let owners = self.feed.minions.values().filter_map(|m| m.owner.as_ref());
            let owners: Vec<usize> = owners.map(|o| index(o)).collect();
            let fewest = live
                .iter()
                .min_by_key(|n| owners.iter().filter(|o| o == n).count());
            let minion = self.feed.minions.get_mut(&id).unwrap();
            if let (None, Some(n)) = (&minion.owner, fewest) {
                minion.owner = Some(entry_id(*n));
                minion.epoch += 1;
            }
        }
        self.feed.entries = live.iter().map(|n| (entry_id(*n), peer(*n))).collect();
        if self.feed != before {
            let feed = Arc::new(self.feed.clone());
            for n in 0..self.entries.len() {
                self.send_event(n, DELAY, Event::Feed(feed.clone()));
            }
        }
        self.at(20 * MS, SimEvent::Control);
    }
}

fn receiver(event: &SimEvent) -> Option<(usize, u32)> {
    match event {
        SimEvent::Deliver(n, process, _) | SimEvent::Tick(n, process) => Some((*n, *process)),
        SimEvent::Timeout { entry, process, .. } | SimEvent::Renewed { entry, process, .. } => {
            Some((*entry, *process))
        }
        _ => None,
    }
}
