//! Entry hosts' routers, minions and control's leases on one simulated clock.
//!
//! Fakes at the interface of the router only: an event goes in at a time, effects come out and
//! become later events. The same seed gives the same order.

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
const HOP: Duration = Duration::from_micros(500);
const TICK: Duration = Duration::from_millis(5);
const LOAD_GAP: Duration = Duration::from_millis(2);

/// What became of one caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Done,
    NotRun,
    Unknown,
    /// Its entry host died before a verdict.
    HostDied,
}

/// One caller's request.
#[derive(Clone, Debug)]
pub struct Caller {
    pub key: u32,
    pub entry: usize,
    pub service: &'static str,
    pub idempotent: bool,
    pub deadline: Duration,
}

enum Happens {
    Call(Caller),
    To(usize, u32, Box<Event>),
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
    Do(Box<dyn FnOnce(&mut World)>),
}

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
    /// Until then nothing is taken in; it all waits.
    paused_until: Timestamp,
    /// Request numbers of the router, with who asked.
    asked: HashMap<RequestId, Asked>,
    live: HashMap<AttemptId, (RequestId, Target)>,
    load_sent: Timestamp,
}

#[derive(Clone)]
enum Asked {
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
    pub in_work: u32,
    pub begun: u32,
    pub highest: u32,
    pub service_time: Duration,
    pub fails: bool,
    pub reports: bool,
    /// Answers are lost on the way back, in percent.
    pub loses: u32,
}

pub struct World {
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    pub minions: Vec<Minion>,
    pub ran: BTreeMap<u32, u32>,
    pub verdicts: BTreeMap<u32, Verdict>,
    pub idempotent: HashMap<u32, bool>,
    pub waits: Vec<Duration>,
    arrived: HashMap<u32, Timestamp>,
    pub twice: Vec<u32>,
    entries: Vec<Entry>,
    feed: Feed,
    renewed: Vec<Timestamp>,
    events: BinaryHeap<std::cmp::Reverse<(Timestamp, u64)>>,
    happens: HashMap<u64, Happens>,
    sequence: u64,
    next_request: RequestId,
}

pub fn entry_id(n: usize) -> EntryId {
    format!("entry-{n}").into()
}

fn index(id: &str) -> usize {
    id.rsplit('-').next().unwrap().parse().unwrap()
}

impl World {
    pub fn new(seed: u64, document: Document, entries: usize, minions: usize, slots: u32) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            minions: Vec::new(),
            ran: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            idempotent: HashMap::new(),
            waits: Vec::new(),
            arrived: HashMap::new(),
            twice: Vec::new(),
            entries: Vec::new(),
            feed: Feed {
                revision: 1,
                document: Some(Arc::new(document)),
                ..Feed::default()
            },
            renewed: vec![Duration::ZERO; entries],
            events: BinaryHeap::new(),
            happens: HashMap::new(),
            sequence: 0,
            next_request: 1,
        };
        for n in 0..minions {
            world.minions.push(Minion {
                alive: true,
                process: 1,
                in_work: 0,
                begun: 0,
                highest: 0,
                service_time: 10 * MS,
                fails: false,
                reports: true,
                loses: 0,
            });
            let id: MinionId = format!("minion-{n}").into();
            world
                .feed
                .minions
                .insert(id.clone(), announced(id, n, slots));
        }
        for n in 0..entries {
            world.entries.push(world.new_entry(n, 1));
            world.start_entry(n);
        }
        world.at(Duration::ZERO, Happens::Control);
        world
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
            asked: HashMap::new(),
            live: HashMap::new(),
            load_sent: Duration::ZERO,
        }
    }

    fn start_entry(&mut self, n: usize) {
        let process = self.entries[n].process;
        self.at(Duration::ZERO, Happens::Tick(n, process));
        self.at(
            Duration::ZERO,
            Happens::Renewed {
                entry: n,
                process,
                sent: self.now,
            },
        );
    }

    fn at(&mut self, after: Duration, happens: Happens) {
        self.sequence += 1;
        self.events
            .push(std::cmp::Reverse((self.now + after, self.sequence)));
        self.happens.insert(self.sequence, happens);
    }

    /// Something a scenario does later.
    pub fn later(&mut self, after: Duration, does: impl FnOnce(&mut Self) + 'static) {
        self.at(after, Happens::Do(Box::new(does)));
    }

    pub fn call(&mut self, after: Duration, caller: Caller) {
        self.idempotent.insert(caller.key, caller.idempotent);
        self.at(after, Happens::Call(caller));
    }

    /// Poisson arrivals at random entry hosts, keys counted up from `first`.
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
        for asked in self.entries[n].asked.values() {
            if let Asked::Caller { key } = asked {
                self.verdicts.entry(*key).or_insert(Verdict::HostDied);
            }
        }
        // Peers see the connection end: what they sent there may have run.
        let name = entry_id(n);
        for from in 0..self.entries.len() {
            let entry = &self.entries[from];
            let to_it = entry
                .live
                .iter()
                .filter(|(_, (_, t))| *t == Target::Peer(name.clone()));
            let attempts: Vec<_> = to_it.map(|(attempt, _)| *attempt).collect();
            for attempt in attempts {
                let end = AttemptEnd::Broken { silent: false };
                self.tell(from, HOP, Event::Ended { attempt, end });
            }
            self.tell(from, HOP, Event::PeerLost(name.clone()));
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
        (minion.alive, minion.in_work) = (false, 0);
        minion.process += 1;
    }

    pub fn owner(&self, minion: usize) -> Option<usize> {
        let id: MinionId = format!("minion-{minion}").into();
        self.feed.minions[&id]
            .owner
            .as_ref()
            .map(|owner| index(owner))
    }

    fn tell(&mut self, entry: usize, after: Duration, event: Event) {
        let process = self.entries[entry].process;
        self.at(after, Happens::To(entry, process, Box::new(event)));
    }

    /// Runs until the time is over.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(std::cmp::Reverse((at, sequence))) = self.events.pop() {
            if at > end {
                self.events.push(std::cmp::Reverse((at, sequence)));
                break;
            }
            self.now = self.now.max(at);
            let happens = self.happens.remove(&sequence).unwrap();
            self.step(happens);
        }
        self.now = end;
    }

    /// Takes in a feed that control did not send, as an entry host does that was cut off.
    pub fn force_owner(&mut self, minion: usize, entry: usize) {
        let id: MinionId = format!("minion-{minion}").into();
        let mut feed = self.feed.clone();
        let owned = feed.minions.get_mut(&id).unwrap();
        owned.owner = Some(entry_id(entry));
        self.handle(entry, Event::Feed(Arc::new(feed)));
    }

    /// Stops an entry host's renewals from reaching control.
    pub fn cut_from_control(&mut self, n: usize) {
        let lost = |h: &Happens| matches!(h, Happens::Renewed { entry, .. } if *entry == n);
        let ids: Vec<_> = self
            .happens
            .iter()
            .filter(|(_, h)| lost(h))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.happens.insert(id, Happens::Do(Box::new(|_| {})));
        }
    }

    /// Ends every test: nothing overfilled, nothing run twice that must not, no false verdict.
    pub fn check(&self, slots: u32) {
        for (n, minion) in self.minions.iter().enumerate() {
            assert!(
                minion.highest <= slots,
                "minion {n} had {} in work",
                minion.highest
            );
        }
        assert!(self.twice.is_empty(), "two verdicts: {:?}", self.twice);
        for (key, idempotent) in &self.idempotent {
            let ran = self.ran.get(key).copied().unwrap_or(0);
            assert!(*idempotent || ran <= 1, "{key} ran {ran} times");
            match self.verdicts.get(key) {
                Some(Verdict::NotRun) => assert_eq!(ran, 0, "{key} was said not to have run"),
                Some(Verdict::Done) => assert!(ran > 0, "{key} never ran"),
                Some(_) => {}
                None => panic!("{key} has no verdict"),
            }
        }
    }

    pub fn count(&self, is: impl Fn(&Verdict) -> bool) -> usize {
        self.verdicts.values().filter(|v| is(v)).count()
    }

    pub fn done(&self) -> usize {
        self.count(|v| matches!(v, Verdict::Done))
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
