//! A whole group in virtual time: hosts, network, clients and faults.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checks::{Broken, Checks};
use super::faults::{self, Fault, Mix};
use super::history::{History, OpId, Outcome};
use super::host::{Clock, Disk, Host, Input, Running};
use super::{Check, Coverage, Violation};
use crate::ids::{ReplicaId, Timestamp};
use crate::replication::core::{
    CoreConfig, Effect, Entry, HardState, Member, Membership, Message, Payload, Recovered,
    Safeguards,
};

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

    fn take(&mut self, host: usize, input: Input) {
        self.coverage.events += 1;
        let clock = self.hosts[host].clock;
        let (now, unix) = (clock.monotonic(self.now), clock.unix(self.now));
        let Some(r) = &mut self.hosts[host].running else {
            return;
        };
        match input {
            Input::Message(message) => r.core.receive(now, message),
            Input::Synced(seq) => r.core.saved(now, seq),
            Input::Tick => r.core.tick(now),
            Input::HandOver => r.core.hand_over(now),
            Input::DiskFull(full) => r.core.disk_full(now, full),
            Input::Write(op) => match r.core.propose(now, unix, op.to_le_bytes().to_vec()) {
                Ok(index) => {
                    r.writes.insert(index, (r.core.term(), op));
                }
                Err(_) => {
                    self.coverage.refused += 1;
                    self.history.answer(op, Outcome::Refused, self.now);
                }
            },
            Input::Read(op) => match r.core.read(now) {
                Ok(id) => {
                    r.reads.insert(id, op);
                }
                Err(_) => self.coverage.refused += 1,
            },
        }
    }

    /// Carries out what a replica wants and checks what has become of it.
    fn settle(&mut self, host: usize) -> Result<(), Broken> {
        let now = self.hosts[host].clock.monotonic(self.now);
        if let Some(r) = &mut self.hosts[host].running {
            r.core.replicate(now);
        }
        self.carry_out(host)?;
        self.check_host(host)
    }

    fn carry_out(&mut self, host: usize) -> Result<(), Broken> {
        loop {
            let Some(r) = &mut self.hosts[host].running else {
                return Ok(());
            };
            let effects = r.core.take_effects();
            if effects.is_empty() {
                return Ok(());
            }
            for effect in effects {
                self.carry_out_one(host, effect)?;
            }
        }
    }

    fn carry_out_one(&mut self, host: usize, effect: Effect) -> Result<(), Broken> {
        let now = self.hosts[host].clock.monotonic(self.now);
        let life = Some(self.hosts[host].life);
        let Some(r) = &mut self.hosts[host].running else {
            return Ok(());
        };
        match effect {
            Effect::Save(save) => {
                for entry in &save.entries {
                    self.checks.appends(&r.core, entry)?;
                }
                let seq = save.seq;
                r.unsynced.push_back(save);
                let longest = self.hosts[host].slow_sync.as_micros() as u64;
                let time = Duration::from_micros(self.rng.random_range(100..=longest.max(200)));
                self.schedule_input(time, host, life, Input::Synced(seq));
            }
            Effect::Send(message) => {
                if let Some(to) = self.homes.get(&message.to).copied() {
                    self.transmit(host, to, message);
                }
            }
            Effect::Announce(message) => {
                for to in (0..self.hosts.len()).filter(|to| *to != host) {
                    self.transmit(host, to, message.clone());
                }
            }
            Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(host, &entry)?;
                }
            }
            Effect::Restore(snapshot) => {
                let mut version = [0; 8];
                version.copy_from_slice(&snapshot.data[..8]);
                r.register.version = u64::from_le_bytes(version);
                self.coverage.snapshots_installed += 1;
            }
            Effect::Leadership(leading) => self.coverage.elections += u64::from(leading),
            Effect::ReadsReady(through) => {
                let confirmed = r.core.is_confirmed(now);
                let later = r.reads.split_off(&(through + 1));
                for (_, op) in std::mem::replace(&mut r.reads, later) {
                    if confirmed {
                        let outcome = Outcome::Version(r.register.version);
                        self.history.answer(op, outcome, self.now);
                        self.coverage.reads += 1;
                    }
                }
            }
            Effect::TakeSnapshot(index) => {
                let mut data = r.register.version.to_le_bytes().to_vec();
                data.resize(SNAPSHOT_LEN, 0);
                r.core.snapshot_taken(index, data);
            }
        }
        Ok(())
    }

    fn apply(&mut self, host: usize, entry: &Entry) -> Result<(), Broken> {
        let Some(r) = &mut self.hosts[host].running else {
            return Ok(());
        };
        self.checks.applies(&r.core, entry)?;
        let Payload::Command(command) = &entry.payload else {
            return Ok(());
        };
        let mut op = [0; 8];
        op.copy_from_slice(command);
        r.register.version = entry.index;
        self.history.applied(OpId::from_le_bytes(op), entry.index);
        if let Some((term, op)) = r.writes.remove(&entry.index)
            && term == entry.term
        {
            let outcome = Outcome::Version(entry.index);
            self.history.answer(op, outcome, self.now);
            self.coverage.writes += 1;
            self.confirmed_in_calm |= self.calm;
        }
        Ok(())
    }

    fn check_host(&mut self, host: usize) -> Result<(), Broken> {
        let Some(r) = &mut self.hosts[host].running else {
            return Ok(());
        };
        if r.core.is_leader() {
            if r.led_term != r.core.term() {
                r.led_term = r.core.term();
                self.checks.leads(&r.core)?;
                if self.now < self.leaders_fall_until {
                    let after = Duration::from_millis(self.rng.random_range(0..30));
                    let down = Duration::from_millis(self.rng.random_range(1..200));
                    self.schedule(after, Event::Crash(host, down));
                }
            }
        } else {
            self.coverage.refused += (r.writes.len() + r.reads.len()) as u64;
            r.writes.clear();
            r.reads.clear();
        }
        let acting: Vec<_> = self
            .hosts
            .iter()
            .filter_map(|h| {
                let core = &h.running.as_ref()?.core;
                let acts = core.is_confirmed(h.clock.monotonic(self.now));
                acts.then(|| (core.id(), core.term()))
            })
            .collect();
        // With reads unguarded, their own check must find it.
        let guarded = self.template.safeguards.read_after_round;
        if acting.len() > 1 && guarded {
            let detail = format!("(replica, term) {acting:?} may act");
            return Err((Check::OneActingLeader, detail));
        }
        Ok(())
    }

    fn transmit(&mut self, from: usize, to: usize, message: Message) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.repeat));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let late = !self.calm && self.rng.random_bool(LATE_SHARE);
            let usual = self.mix.longest_delay.as_micros() as u64;
            let longest = if late { 250_000 } else { usual };
            let delay = Duration::from_micros(self.rng.random_range(300..longest));
            self.schedule_input(delay, to, None, Input::Message(message.clone()));
        }
    }

    /// Some host; with the given chance one that believes it leads.
    fn pick_host(&mut self, leading: f64) -> usize {
        let leads = |i: &usize| {
            let running = self.hosts[*i].running.as_ref();
            running.is_some_and(|r| r.core.is_leader())
        };
        let leaders: Vec<_> = (0..self.hosts.len()).filter(leads).collect();
        if leaders.is_empty() || !self.rng.random_bool(leading) {
            return self.rng.random_range(0..self.hosts.len());
        }
        leaders[self.rng.random_range(0..leaders.len())]
    }

    /// A client calls some host, mostly one that leads.
    fn call(&mut self) -> Result<(), Broken> {
        let longest = self.mix.longest_call_gap.as_micros() as u64;
        let next = Duration::from_micros(self.rng.random_range(1_000..longest));
        self.schedule(next, Event::Call);
        let host = self.pick_host(0.9);
        if self.hosts[host].running.is_none() {
            return Ok(());
        }
        let is_read = self.rng.random_bool(0.5);
        let op = self.history.call(is_read, self.now);
        let input = if is_read {
            Input::Read(op)
        } else {
            Input::Write(op)
        };
        self.reach(host, input)
    }

    fn inflict(&mut self, fault: Fault) -> Result<(), Broken> {
        match fault {
            Fault::Crash { host, down } => self.crash_for(host, down),
            Fault::Pause { host, time } => {
                self.coverage.pauses += 1;
                self.hosts[host].paused_until = self.now + time;
                self.schedule(time, Event::Wake(host));
            }
            Fault::CutOneWay { from, to } => {
                self.cuts.insert((from, to));
            }
            Fault::Isolate { host } => {
                for other in 0..self.hosts.len() {
                    self.cuts.insert((host, other));
                    self.cuts.insert((other, host));
                }
            }
            Fault::Heal => self.cuts.clear(),
            Fault::Wipe { host } => {
                if self.keeps_majorities(Some(host)) {
                    self.wipe(host);
                }
            }
            Fault::HandOver { host } => return self.reach(host, Input::HandOver),
            Fault::SlowDisk { host, longest } => self.hosts[host].slow_sync = longest,
            Fault::FullDisk { host, full } => return self.reach(host, Input::DiskFull(full)),
            Fault::SetClock { host, unix } => self.hosts[host].clock.unix = unix,
            Fault::FallingLeaders { time } => self.leaders_fall_until = self.now + time,
            Fault::Restarts { offset } => {
                let hosts = self.hosts.len();
                let leader = self.pick_host(1.0);
                let host = (leader + offset) % hosts;
                let cut_off = (leader + offset % (hosts - 1) + 1) % hosts;
                self.cuts.insert((leader, cut_off));
                self.cuts.insert((cut_off, leader));
                for n in 0..RESTARTS {
                    let crash = Event::Crash(host, Duration::from_millis(1));
                    self.schedule(RESTART_GAP * n, crash);
                }
            }
            Fault::Network { loss, repeat } => (self.loss, self.repeat) = (loss, repeat),
        }
        Ok(())
    }

    fn crash_for(&mut self, host: usize, down: Duration) {
        self.crash(host);
        let life = self.hosts[host].life;
        self.schedule(down, Event::Restart(host, life));
    }

    fn crash(&mut self, host: usize) {
        let Some(running) = &self.hosts[host].running else {
            return;
        };
        let kept = self.rng.random_range(0..=running.unsynced.len());
        self.coverage.crashes += 1;
        self.hosts[host].crash(kept);
    }

    /// Whether every membership that any replica holds keeps a majority of disks without those
    /// of one host. More loss than that no protocol survives.
    fn keeps_majorities(&self, without: Option<usize>) -> bool {
        let others = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(i, _)| Some(*i) != without);
        let alive: HashSet<_> = others.map(|(_, h)| h.disk.id).collect();
        let keeps = |members: &Membership| {
            let left = members
                .voters
                .keys()
                .filter(|id| alive.contains(id))
                .count();
            members.voters.is_empty() || left >= members.quorum()
        };
        self.hosts.iter().all(|h| {
            let state = &h.disk.state;
            let held = state.entries.iter().filter_map(|e| match &e.payload {
                Payload::Members(members) => Some(members),
                _ => None,
            });
            let running = h.running.as_ref().map(|r| r.core.members());
            held.chain(running)
                .chain([&state.snapshot.members])
                .all(keeps)
        })
    }

    fn wipe(&mut self, host: usize) {
        self.coverage.wipes += 1;
        self.crash(host);
        let old = self.hosts[host].disk.id;
        let id = if self.template.safeguards.fresh_identity {
            self.rng.random_range(1..u64::MAX)
        } else {
            old
        };
        self.homes.insert(id, host);
        self.hosts[host].disk = Disk::wiped(id);
        let life = self.hosts[host].life;
        let down = Duration::from_millis(self.rng.random_range(5..100));
        self.schedule(down, Event::Restart(host, life));
    }

    fn end_faults(&mut self) -> Result<(), Broken> {
        self.calm = true;
        self.mix = Mix::calm();
        self.cuts.clear();
        (self.loss, self.repeat) = (0.0, 0.0);
        for host in 0..self.hosts.len() {
            self.hosts[host].slow_sync = Duration::from_millis(2);
            self.hosts[host].paused_until = self.now;
            self.wake(host)?;
            if self.hosts[host].running.is_none() {
                self.start(host);
            }
            self.reach(host, Input::DiskFull(false))?;
        }
        Ok(())
    }

    fn finish(&mut self) -> Result<(), Broken> {
        self.history
            .check()
            .map_err(|detail| (Check::Linearizable, detail))?;
        if !self.confirmed_in_calm {
            return self.explain_standstill();
        }
        let committed = self.checks.committed();
        let Some(leader) = self.running().find(|r| r.core.is_leader()) else {
            return self.explain_standstill();
        };
        let voters = leader.core.members().voters.clone();
        let held = |id: &ReplicaId| {
            let replica = self.running().find(|r| r.core.id() == *id);
            replica.map_or(0, |r| r.core.status().applied)
        };
        // The last few entries may still be on their way.
        let behind = voters.keys().find(|id| held(id) + 20 < committed);
        match behind {
            Some(id) => {
                let detail = format!("voter {id} holds {} of {committed} entries", held(id));
                Err((Check::Progress, detail))
            }
            None => Ok(()),
        }
    }

    /// A disk may be lost at the very moment at which the leader removes another voter. The
    /// majority of the new membership is then gone for good, which only operators can mend.
    fn explain_standstill(&mut self) -> Result<(), Broken> {
        if !self.keeps_majorities(None) {
            self.coverage.quorums_lost += 1;
            return Ok(());
        }
        let states: Vec<_> = self.running().map(|r| r.core.status()).collect();
        Err((
            Check::Progress,
            format!("the group stands still: {states:?}"),
        ))
    }

    fn running(&self) -> impl Iterator<Item = &Running> {
        self.hosts.iter().filter_map(|h| h.running.as_ref())
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
