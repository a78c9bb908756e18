//! A whole group in virtual time: hosts, network, clients and faults.

mod damage;
mod effects;
mod ending;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ids::{ReplicaId, Timestamp};
use crate::replication::core::{
    CoreConfig, Entry, HardState, Member, Membership, Payload, Recovered, Safeguards,
};
use crate::replication::explore::checks::{Broken, Checks};
use crate::replication::explore::faults::{self, Mix};
use crate::replication::explore::history::History;
use crate::replication::explore::host::{Clock, Disk, Host, Input};
use crate::replication::explore::{Check, Coverage, Violation};

const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(25);
const TICK: Duration = Duration::from_millis(10);
/// Time with faults.
const TROUBLE: Duration = Duration::from_millis(2500);
/// Time after all faults have ended, within which the group must work again.
const RECOVERY: Duration = Duration::from_millis(2500);
/// Bytes of a register's snapshot; several parts long.
const SNAPSHOT_LEN: usize = 48;
/// Messages that arrive late enough to be overtaken by many others.
const LATE_SHARE: f64 = 0.03;
/// Events after which a schedule counts as running away; usual are some thousands.
const MOST_EVENTS: u64 = 200_000;
/// Restarts in a row, and the time between two.
const RESTARTS: u32 = 30;
const RESTART_GAP: Duration = Duration::from_millis(18);

/// What happens at a moment.
enum Event {
    Input {
        host: usize,
        /// Process it is meant for; any when absent.
        life: Option<u64>,
        input: Input,
    },
    Wake(usize),
    Restart(usize, u64),
    Crash(usize, Duration),
    Fault,
    Call,
    EndOfFaults,
}

/// One schedule under way.
pub(super) struct World {
    seed: u64,
    rng: ChaCha8Rng,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    scheduled: u64,
    hosts: Vec<Host>,
    zones: usize,
    template: CoreConfig,
    /// Host of each replica id that ever was.
    homes: BTreeMap<ReplicaId, usize>,
    cuts: BTreeSet<(usize, usize)>,
    mix: Mix,
    leaders_fall_until: Timestamp,
    loss: f64,
    repeat: f64,
    calm: bool,
    checks: Checks,
    history: History,
    coverage: Coverage,
    confirmed_in_calm: bool,
}

fn addr(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8 + 1], 1))
}

fn member(host: usize, zones: usize) -> Member {
    Member {
        addr: addr(host),
        call_addr: addr(host),
        zone: format!("zone-{}", host % zones).into(),
    }
}

impl World {
    pub(super) fn new(seed: u64, safeguards: Safeguards) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = rng.random_range(3..=6);
        let target = if hosts >= 5 && rng.random_bool(0.5) {
            5
        } else {
            3
        };
        let zones = rng.random_range(2..=4);
        let template = CoreConfig {
            id: 0,
            member: member(0, zones),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat: HEARTBEAT,
            snapshot_bytes: rng.random_range(500..6000),
            replace_after: Duration::from_millis(rng.random_range(300..1500)),
            target_voters: target,
            append_bytes: [1, 200, 2000][rng.random_range(0..3)],
            chunk_bytes: 20,
            safeguards,
        };
        let mix = Mix::draw(&mut rng);
        let mut world = Self {
            seed,
            rng,
            now: Timestamp::ZERO,
            events: BTreeMap::new(),
            scheduled: 0,
            hosts: Vec::new(),
            zones,
            template,
            homes: BTreeMap::new(),
            cuts: BTreeSet::new(),
            mix,
            leaders_fall_until: Timestamp::ZERO,
            loss: 0.0,
            repeat: 0.0,
            calm: false,
            checks: Checks::default(),
            history: History::default(),
            coverage: Coverage {
                schedules: 1,
                ..Coverage::default()
            },
            confirmed_in_calm: false,
        };
        world.form(hosts, target);
        world
    }

    fn form(&mut self, hosts: usize, target: usize) {
        // Most groups begin complete; in some, all join the first replica.
        let founders = if self.rng.random_bool(0.2) { 1 } else { target };
        let ids: Vec<ReplicaId> = (0..hosts)
            .map(|_| self.rng.random_range(1..u64::MAX))
            .collect();
        let zones = self.zones;
        let voters = ids.iter().take(founders).enumerate();
        let members = Membership {
            voters: voters.map(|(i, id)| (*id, member(i, zones))).collect(),
            learners: BTreeMap::new(),
        };
        for (i, id) in ids.into_iter().enumerate() {
            let mut disk = Disk::wiped(id);
            if i < founders {
                disk.state = founded(&members);
            }
            let clock = Clock {
                offset: Duration::from_millis(self.rng.random_range(10_000..90_000)),
                rate: self.rng.random_range(0.975..1.025),
                unix: Duration::from_millis(self.rng.random_range(1_000_000..1_000_500)),
            };
            self.homes.insert(id, i);
            self.hosts.push(Host {
                disk,
                clock,
                running: None,
                life: 0,
                paused_until: Timestamp::ZERO,
                waiting: Default::default(),
                slow_sync: Duration::from_millis(2),
            });
        }
        for i in 0..hosts {
            self.start(i);
        }
        self.schedule(Duration::from_millis(150), Event::Fault);
        self.schedule(Duration::from_millis(100), Event::Call);
        self.schedule(TROUBLE, Event::EndOfFaults);
    }

    fn config(&self, host: usize) -> CoreConfig {
        CoreConfig {
            id: self.hosts[host].disk.id,
            member: member(host, self.zones),
            ..self.template.clone()
        }
    }

    fn start(&mut self, host: usize) {
        let cfg = self.config(host);
        let seed = self.rng.random();
        let now = self.now;
        self.hosts[host].start(cfg, seed, now);
        let life = self.hosts[host].life;
        let first = Duration::from_micros(self.rng.random_range(0..10_000));
        self.schedule_input(first, host, Some(life), Input::Tick);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after, self.scheduled), event);
    }

    fn schedule_input(&mut self, after: Duration, host: usize, life: Option<u64>, input: Input) {
        self.schedule(after, Event::Input { host, life, input });
    }

    /// Runs the schedule to its end.
    pub(super) fn run(mut self) -> Result<Coverage, Violation> {
        let end = TROUBLE + RECOVERY;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            if self.coverage.events > MOST_EVENTS {
                let detail = "messages multiply without end".to_owned();
                return Err(self.violation((Check::Progress, detail)));
            }
            self.happen(event)
                .map_err(|broken| self.violation(broken))?;
        }
        self.finish().map_err(|broken| self.violation(broken))?;
        self.coverage.membership_changes = self.checks.membership_changes;
        Ok(self.coverage)
    }

    fn violation(&self, (check, detail): Broken) -> Violation {
        Violation {
            seed: self.seed,
            check,
            at: self.now,
            detail,
        }
    }

    fn happen(&mut self, event: Event) -> Result<(), Broken> {
        match event {
            Event::Input { host, life, input } => {
                if life.is_some_and(|life| life != self.hosts[host].life) {
                    return Ok(());
                }
                self.reach(host, input)
            }
            Event::Wake(host) => self.wake(host),
            Event::Restart(host, life) => {
                if self.hosts[host].life == life && self.hosts[host].running.is_none() {
                    self.start(host);
                }
                Ok(())
            }
            Event::Fault => {
                if !self.calm {
                    let longest = self.mix.longest_gap.as_millis() as u64;
                    let next = Duration::from_millis(self.rng.random_range(5..longest));
                    self.schedule(next, Event::Fault);
                    let host = self.pick_host(self.mix.at_leader);
                    let fault = faults::draw(&mut self.rng, &self.mix, host, self.hosts.len());
                    self.inflict(fault)?;
                }
                Ok(())
            }
            Event::Crash(host, down) => {
                if !self.calm {
                    self.crash_for(host, down);
                }
                Ok(())
            }
            Event::Call => self.call(),
            Event::EndOfFaults => self.end_faults(),
        }
    }

    /// Hands an input to a replica, or keeps it until the replica wakes.
    fn reach(&mut self, host: usize, input: Input) -> Result<(), Broken> {
        if let Input::Tick = input {
            let life = Some(self.hosts[host].life);
            self.schedule_input(TICK, host, life, Input::Tick);
        }
        if let Input::Synced(seq) = input {
            self.sync(host, seq);
        }
        let h = &mut self.hosts[host];
        if h.running.is_none() {
            return Ok(());
        }
        if self.now < h.paused_until {
            if !matches!(input, Input::Tick) {
                h.waiting.push_back(input);
            }
            return Ok(());
        }
        self.handle(host, input)
    }

    /// The disk has everything up to `seq`, whether or not the process runs to hear of it.
    fn sync(&mut self, host: usize, seq: u64) {
        let h = &mut self.hosts[host];
        let Some(running) = &mut h.running else {
            return;
        };
        let later = running.unsynced.partition_point(|s| s.seq <= seq);
        for save in running.unsynced.drain(..later) {
            h.disk.write(&save);
        }
    }

    fn wake(&mut self, host: usize) -> Result<(), Broken> {
        if self.now < self.hosts[host].paused_until {
            return Ok(());
        }
        // As the runtime does, all that waits is taken before the effects are carried out.
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        for input in waiting {
            self.take(host, input);
        }
        self.settle(host)
    }

    fn handle(&mut self, host: usize, input: Input) -> Result<(), Broken> {
        self.take(host, input);
        self.settle(host)
    }
}

fn founded(members: &Membership) -> Recovered {
    let entry = Entry {
        index: 1,
        term: 1,
        at: Timestamp::ZERO,
        payload: Payload::Members(members.clone()),
    };
    Recovered {
        hard: HardState {
            term: 1,
            voted_for: None,
        },
        entries: vec![entry],
        ..Recovered::default()
    }
}
