//! Discrete-event simulation of routers, minions and control-plane leases.
//!
//! Only the environment of the routers is simulated: their effects are turned into later events.
//! The same seed gives the same order of events.

mod steps;

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahold::document::Document;
use yuccahold::ids::{EntryId, MinionId, Timestamp};
use yuccahold::routing::{
    AttemptEnd, AttemptId, Event, LeastBusy, Request, RequestId, Router, RouterConfig, Target,
};
use yuccahold::wire::{Feed, MinionAnnouncement, OwnedMinion, PeerEntry};

pub const MS: Duration = Duration::from_millis(1);
const LEASE: Duration = Duration::from_secs(1);
/// One-way network delay between any two processes.
const DELAY: Duration = Duration::from_micros(500);
const TICK: Duration = Duration::from_millis(5);
/// Minimum interval between load reports of an entry host.
const REPORT_INTERVAL: Duration = Duration::from_millis(2);

/// Final outcome of one caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    NotRun,
    Unknown,
    /// The entry host died before the request had an outcome.
    HostDied,
}

/// One caller's request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Identifies the request in the results.
    pub key: u32,
    /// Index of the entry host that gets the request.
    pub entry: usize,
    pub service: &'static str,
    pub idempotent: bool,
    pub deadline: Duration,
}

/// A scheduled event. `process` is the process that it is meant for: it is dropped if the entry
/// host or minion has restarted since.
enum SimEvent {
    Call(Caller),
    /// A router event for an entry host and process.
    Deliver(usize, u32, Box<Event>),
    Forwarded {
        to: usize,
        from: usize,
        process: u32,
        attempt: AttemptId,
        request: Box<Request>,
    },
    Withdrawn {
        to: usize,
        from: usize,
        process: u32,
        attempt: AttemptId,
    },
    Begin {
        minion: usize,
        process: u32,
        sent: Box<Sent>,
    },
    End {
        minion: usize,
        process: u32,
        sent: Box<Sent>,
    },
    ProbeAt {
        minion: usize,
        entry: usize,
        host: u32,
        epoch: u64,
        sent: Timestamp,
    },
    Timeout {
        entry: usize,
        process: u32,
        attempt: AttemptId,
    },
    Tick(usize, u32),
    Renewed {
        entry: usize,
        process: u32,
        sent: Timestamp,
    },
    Load {
        from: usize,
    },
    Control,
    Action(Box<dyn FnOnce(&mut Simulation)>),
}

/// An attempt sent to a minion.
#[derive(Clone)]
struct Sent {
    entry: usize,
    process: u32,
    attempt: AttemptId,
    key: u32,
}

struct Entry {
    router: Router,
    process: u32,
    alive: bool,
    /// Events for the entry host are postponed until then.
    paused_until: Timestamp,
    /// Requests without an outcome, with the caller or peer that sent them.
    requesters: HashMap<RequestId, Requester>,
    /// Attempts in flight.
    live: HashMap<AttemptId, (RequestId, Target)>,
    load_sent: Timestamp,
}

#[derive(Clone)]
enum Requester {
    Caller {
        key: u32,
    },
    Peer {
        entry: usize,
        process: u32,
        attempt: AttemptId,
    },
}

/// One simulated minion.
pub struct Minion {
    pub alive: bool,
    pub process: u32,
    pub running: u32,
    pub started: u32,
    /// Highest number of requests running at once.
    pub max_running: u32,
    /// Mean of the exponentially distributed service time.
    pub service_time: Duration,
    /// Whether every response is an error.
    pub fails: bool,
    /// Whether probes are answered with the number of running requests.
    pub reports: bool,
    /// Percentage of responses lost on the way back.
    pub lost_percent: u32,
}

pub struct Simulation {
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    pub minions: Vec<Minion>,
    /// Executions by request key.
    pub ran: BTreeMap<u32, u32>,
    pub outcomes: BTreeMap<u32, Outcome>,
    pub idempotent: HashMap<u32, bool>,
    /// Time from arrival to the first start of each request.
    pub waits: Vec<Duration>,
    arrived: HashMap<u32, Timestamp>,
    /// Keys of requests that got more than one outcome.
    pub duplicate_outcomes: Vec<u32>,
    entries: Vec<Entry>,
    feed: Feed,
    /// Last lease renewal of each entry host, as received by the control plane.
    renewed: Vec<Timestamp>,
    events: BinaryHeap<std::cmp::Reverse<(Timestamp, u64)>>,
    scheduled: HashMap<u64, SimEvent>,
    sequence: u64,
    next_request: RequestId,
}

pub fn entry_id(n: usize) -> EntryId {
    format!("entry-{n}").into()
}

fn index(id: &str) -> usize {
    id.rsplit('-').next().unwrap().parse().unwrap()
}

impl Simulation {
    pub fn new(seed: u64, document: Document, entries: usize, minions: usize, slots: u32) -> Self {
        let mut sim = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            minions: Vec::new(),
            ran: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            idempotent: HashMap::new(),
            waits: Vec::new(),
            arrived: HashMap::new(),
            duplicate_outcomes: Vec::new(),
            entries: Vec::new(),
            feed: Feed {
                revision: 1,
                document: Some(Arc::new(document)),
                ..Feed::default()
            },
            renewed: vec![Duration::ZERO; entries],
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            sequence: 0,
            next_request: 1,
        };
        for n in 0..minions {
            sim.minions.push(Minion {
                alive: true,
                process: 1,
                running: 0,
                started: 0,
                max_running: 0,
                service_time: 10 * MS,
                fails: false,
                reports: true,
                lost_percent: 0,
            });
            let id: MinionId = format!("minion-{n}").into();
            sim.feed.minions.insert(id.clone(), announced(id, n, slots));
        }
        for n in 0..entries {
            sim.entries.push(sim.new_entry(n, 1));
            sim.start_entry(n);
        }
        sim.at(Duration::ZERO, SimEvent::Control);
        sim
    }

    fn new_entry(&self, n: usize, process: u32) -> Entry {
        let zone = format!("zone-{}", n % 3).into();
        let cfg = RouterConfig {
            entry: entry_id(n),
            zone,
            seed: n as u64 + 1,
        };
        Entry {
            router: Router::new(cfg, LeastBusy),
            process,
            alive: true,
            paused_until: Duration::ZERO,
            requesters: HashMap::new(),
            live: HashMap::new(),
            load_sent: Duration::ZERO,
        }
    }

    fn start_entry(&mut self, n: usize) {
        let process = self.entries[n].process;
        self.at(Duration::ZERO, SimEvent::Tick(n, process));
        self.at(
            Duration::ZERO,
            SimEvent::Renewed {
                entry: n,
                process,
                sent: self.now,
            },
        );
    }

    fn at(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        self.events
            .push(std::cmp::Reverse((self.now + after, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    /// Runs an action of the test, such as a failure, after the given time.
    pub fn schedule(&mut self, after: Duration, action: impl FnOnce(&mut Self) + 'static) {
        self.at(after, SimEvent::Action(Box::new(action)));
    }

    pub fn call(&mut self, after: Duration, caller: Caller) {
        self.idempotent.insert(caller.key, caller.idempotent);
        self.at(after, SimEvent::Call(caller));
    }

    /// Schedules Poisson arrivals at random entry hosts, with keys counted up from `first`. Returns
    /// the next key.
    pub fn load(&mut self, first: u32, per_second: f64, span: Duration, like: &Caller) -> u32 {
        let (mut at, mut key) = (Duration::ZERO, first);
        loop {
            let gap = -self.rng.random::<f64>().max(1e-12).ln() / per_second;
            at += Duration::from_secs_f64(gap);
            if at > span {
                return key;
            }
            let entry = self.rng.random_range(0..self.entries.len());
            let idempotent = like.idempotent && !key.is_multiple_of(2);
            self.call(
                at,
                Caller {
                    key,
                    entry,
                    idempotent,
                    ..like.clone()
                },
            );
            key += 1;
        }
    }

    pub fn kill_entry(&mut self, n: usize) {
        self.entries[n].alive = false;
        for requester in self.entries[n].requesters.values() {
            if let Requester::Caller { key } = requester {
                self.outcomes.entry(*key).or_insert(Outcome::HostDied);
            }
        }
        // Peers see the connection end; the requests they forwarded there may have run.
        let name = entry_id(n);
        for from in 0..self.entries.len() {
            let entry = &self.entries[from];
            let to_it = entry
                .live
                .iter()
                .filter(|(_, (_, t))| *t == Target::Peer(name.clone()));
            let attempts: Vec<_> = to_it.map(|(attempt, _)| *attempt).collect();
            for attempt in attempts {
                let end = AttemptEnd::Broken { timed_out: false };
                self.send_event(from, DELAY, Event::Ended { attempt, end });
            }
            self.send_event(from, DELAY, Event::PeerLost(name.clone()));
        }
    }

    pub fn restart_entry(&mut self, n: usize) {
        let process = self.entries[n].process + 1;
        self.entries[n] = self.new_entry(n, process);
        self.start_entry(n);
    }

    pub fn pause_entry(&mut self, n: usize, span: Duration) {
        self.entries[n].paused_until = self.now + span;
    }

    pub fn kill_minion(&mut self, n: usize) {
        let minion = &mut self.minions[n];
        (minion.alive, minion.running) = (false, 0);
        minion.process += 1;
    }

    pub fn owner(&self, minion: usize) -> Option<usize> {
        let id: MinionId = format!("minion-{minion}").into();
        self.feed.minions[&id]
            .owner
            .as_ref()
            .map(|owner| index(owner))
    }

    fn send_event(&mut self, entry: usize, after: Duration, event: Event) {
        let process = self.entries[entry].process;
        self.at(after, SimEvent::Deliver(entry, process, Box::new(event)));
    }

    /// Runs the simulation for this time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(std::cmp::Reverse((at, sequence))) = self.events.pop() {
            if at > end {
                self.events.push(std::cmp::Reverse((at, sequence)));
                break;
            }
            self.now = self.now.max(at);
            let event = self.scheduled.remove(&sequence).unwrap();
            self.step(event);
        }
        self.now = end;
    }

    /// Delivers a stale feed to an entry host that names it as the owner of a minion.
    pub fn force_owner(&mut self, minion: usize, entry: usize) {
        let id: MinionId = format!("minion-{minion}").into();
        let mut feed = self.feed.clone();
        let owned = feed.minions.get_mut(&id).unwrap();
        owned.owner = Some(entry_id(entry));
        self.handle(entry, Event::Feed(Arc::new(feed)));
    }

    /// Drops all further lease renewals of an entry host.
    pub fn disconnect_from_control(&mut self, n: usize) {
        let lost = |h: &SimEvent| matches!(h, SimEvent::Renewed { entry, .. } if *entry == n);
        let ids: Vec<_> = self
            .scheduled
            .iter()
            .filter(|(_, h)| lost(h))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.scheduled
                .insert(id, SimEvent::Action(Box::new(|_| {})));
        }
    }

    /// Checks that no minion exceeded its slots, that no non-idempotent request ran twice, and that
    /// every request has one outcome, which agrees with its executions.
    pub fn check_invariants(&self, slots: u32) {
        for (n, minion) in self.minions.iter().enumerate() {
            assert!(
                minion.max_running <= slots,
                "minion {n} had {} in work",
                minion.max_running
            );
        }
        assert!(
            self.duplicate_outcomes.is_empty(),
            "two outcomes: {:?}",
            self.duplicate_outcomes
        );
        for (key, idempotent) in &self.idempotent {
            let ran = self.ran.get(key).copied().unwrap_or(0);
            assert!(*idempotent || ran <= 1, "{key} ran {ran} times");
            match self.outcomes.get(key) {
                Some(Outcome::NotRun) => assert_eq!(ran, 0, "{key} was said not to have run"),
                Some(Outcome::Done) => assert!(ran > 0, "{key} never ran"),
                Some(_) => {}
                None => panic!("{key} has no outcome"),
            }
        }
    }

    pub fn count(&self, is: impl Fn(&Outcome) -> bool) -> usize {
        self.outcomes.values().filter(|v| is(v)).count()
    }

    pub fn done(&self) -> usize {
        self.count(|v| matches!(v, Outcome::Done))
    }
}

fn peer(n: usize) -> PeerEntry {
    PeerEntry {
        zone: format!("zone-{}", n % 3).into(),
        peer_addr: ([127, 0, 0, 1], 1000 + n as u16).into(),
        process: 1,
    }
}

fn announced(id: MinionId, n: usize, slots: u32) -> OwnedMinion {
    OwnedMinion {
        minion: MinionAnnouncement {
            id,
            process: 1,
            service: "desk".into(),
            addr: ([127, 0, 0, 1], 2000 + n as u16).into(),
            zone: format!("zone-{}", n % 3).into(),
            slots,
            connections: 64,
            ttl: Duration::from_secs(10),
        },
        owner: None,
        epoch: 0,
        leaving: false,
        release: false,
        lapsed: false,
    }
}
