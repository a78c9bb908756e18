//! Simulation of a whole group in virtual time: hosts, network, clients and faults.

mod effects;
mod fault_injection;
mod power_loss;
mod recovery;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ids::{ReplicaId, Timestamp};
use crate::replication::core::{
    CoreConfig, Entry, HardState, Member, Membership, Payload, Recovered, Safeguards,
};
use crate::replication::explore::checks::{CheckFailure, Checks};
use crate::replication::explore::faults::{self, FaultProfile};
use crate::replication::explore::history::History;
use crate::replication::explore::host::{Clock, Disk, Host, Input};
use crate::replication::explore::{Check, Coverage, Violation};
use power_loss::PowerLoss;

const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(25);
const TICK: Duration = Duration::from_millis(10);
/// Period in which faults occur.
const FAULT_PERIOD: Duration = Duration::from_millis(2500);
/// Period after the last fault, within which the group must accept writes again.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2500);
/// Period after the last fault within which the membership must be complete: an election, the longest
/// `replace_after`, and some announcements and changes one after the other.
const MEMBERSHIP_PERIOD: Duration = Duration::from_millis(5000);
/// Fewest hosts that are left.
const MIN_HOSTS: usize = 3;
/// Address that no replica has.
const UNUSED_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// Size of a register's snapshot in bytes; larger than one part.
const SNAPSHOT_LEN: usize = 48;
/// Share of messages that are delayed enough for many later ones to arrive first.
const LATE_MESSAGE_SHARE: f64 = 0.03;
/// Longest time from the first input of a batch to the execution of its effects, in microseconds.
const LONGEST_BATCH: u64 = 3_000;
/// Inputs above which messages are assumed to multiply without bound; some thousands are usual.
const MAX_EVENTS: u64 = 200_000;
/// Restarts by one `RepeatedRestarts` fault, and the time between two.
const RESTARTS: u32 = 30;
const RESTART_INTERVAL: Duration = Duration::from_millis(18);

/// A scheduled event.
enum Event {
    Input {
        host: usize,
        /// Process for which the input is meant; any process of the host when absent.
        incarnation: Option<u64>,
        input: Input,
    },
    Wake(usize),
    Restart(usize, u64),
    Crash(usize, Duration),
    /// The process with this incarnation executes the effects of its batch.
    EndOfBatch(usize, u64),
    Fault,
    /// All hosts lose power, now or after the next acknowledged write.
    PowerLoss,
    /// One disk of a `WipeSeries` is lost.
    WipeOfSeries,
    /// Leadership leaves the configured peers of a host.
    LeadElsewhere(usize),
    Call,
    EndOfFaults,
}

/// State of one schedule.
pub(super) struct Simulation {
    seed: u64,
    rng: ChaCha8Rng,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    scheduled: u64,
    hosts: Vec<Host>,
    zones: usize,
    template: CoreConfig,
    /// Number of addresses that are or were in use.
    addrs: u8,
    /// No random fault occurs before.
    quiet_until: Timestamp,
    /// Pairs (from, to) of hosts between which messages are dropped.
    blocked_links: BTreeSet<(usize, usize)>,
    profile: FaultProfile,
    power: PowerLoss,
    crash_leaders_until: Timestamp,
    loss: f64,
    repeat: f64,
    faults_ended: bool,
    checks: Checks,
    history: History,
    coverage: Coverage,
    recovery_write_confirmed: bool,
}

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn member(host: usize, zones: usize) -> Member {
    Member {
        addr: addr(host as u8),
        call_addr: addr(host as u8),
        zone: format!("zone-{}", host % zones).into(),
    }
}

impl Simulation {
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
        let profile = FaultProfile::random(&mut rng);
        let mut sim = Self {
            seed,
            rng,
            now: Timestamp::ZERO,
            events: BTreeMap::new(),
            scheduled: 0,
            hosts: Vec::new(),
            zones,
            template,
            addrs: hosts as u8,
            quiet_until: Timestamp::ZERO,
            blocked_links: BTreeSet::new(),
            profile,
            power: PowerLoss::new(seed),
            crash_leaders_until: Timestamp::ZERO,
            loss: 0.0,
            repeat: 0.0,
            faults_ended: false,
            checks: Checks::default(),
            history: History::default(),
            coverage: Coverage {
                schedules: 1,
                ..Coverage::default()
            },
            recovery_write_confirmed: false,
        };
        sim.create_hosts(hosts, target);
        sim
    }

    fn create_hosts(&mut self, hosts: usize, target: usize) {
        // Most groups start with all voters; in some, the others join the first replica.
        let initial_voters = if self.rng.random_bool(0.2) { 1 } else { target };
        let ids: Vec<ReplicaId> = (0..hosts)
            .map(|_| self.rng.random_range(1..u64::MAX))
            .collect();
        let zones = self.zones;
        let voters = ids.iter().take(initial_voters).enumerate();
        let members = Membership {
            voters: voters.map(|(i, id)| (*id, member(i, zones))).collect(),
            learners: BTreeMap::new(),
        };
        self.checks.members = (1, members.clone());
        for (i, id) in ids.into_iter().enumerate() {
            let mut disk = Disk::empty(id);
            if i < initial_voters {
                disk.state = initial_state(&members);
            }
            let clock = Clock {
                offset: Duration::from_millis(self.rng.random_range(10_000..90_000)),
                rate: self.rng.random_range(0.975..1.025),
                unix: Duration::from_millis(self.rng.random_range(1_000_000..1_000_500)),
            };
            self.hosts.push(Host {
                disk,
                member: member(i, zones),
                configured: Vec::new(),
                retired: false,
                clock,
                running: None,
                incarnation: 0,
                paused_until: Timestamp::ZERO,
                in_batch: false,
                queued_inputs: Default::default(),
                longest_sync: Duration::from_millis(2),
            });
        }
        self.configure_peers();
        for i in 0..hosts {
            self.start(i);
        }
        self.schedule(Duration::from_millis(150), Event::Fault);
        self.schedule(Duration::from_millis(100), Event::Call);
        self.schedule(FAULT_PERIOD, Event::EndOfFaults);
        self.schedule_power_loss();
    }

    /// Usually all hosts have the same configured peers, which are not all hosts of the group.
    fn configure_peers(&mut self) {
        let same = self.rng.random_bool(0.6);
        let seeds = self.random_peers(self.hosts.len());
        for host in 0..self.hosts.len() {
            let others = seeds
                .iter()
                .any(|addr| *addr != self.hosts[host].member.addr);
            self.hosts[host].configured = if same && others {
                seeds.clone()
            } else {
                self.random_peers(host)
            };
        }
    }

    fn config(&self, host: usize) -> CoreConfig {
        CoreConfig {
            id: self.hosts[host].disk.id,
            member: self.hosts[host].member.clone(),
            ..self.template.clone()
        }
    }

    fn start(&mut self, host: usize) {
        if self.hosts[host].retired {
            return;
        }
        let cfg = self.config(host);
        let seed = self.rng.random();
        let now = self.now;
        self.hosts[host].start(cfg, seed, now);
        let incarnation = self.hosts[host].incarnation;
        let first = Duration::from_micros(self.rng.random_range(0..10_000));
        self.schedule_input(first, host, Some(incarnation), Input::Tick);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after, self.scheduled), event);
    }

    fn schedule_input(
        &mut self,
        after: Duration,
        host: usize,
        incarnation: Option<u64>,
        input: Input,
    ) {
        self.schedule(
            after,
            Event::Input {
                host,
                incarnation,
                input,
            },
        );
    }

    /// Runs the schedule to its end.
    pub(super) fn run(mut self) -> Result<Coverage, Violation> {
        let mut end = FAULT_PERIOD + RECOVERY_PERIOD;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                if at > FAULT_PERIOD + MEMBERSHIP_PERIOD || self.check_membership().is_ok() {
                    break;
                }
                end += ELECTION_TIMEOUT;
            }
            self.now = at;
            if self.coverage.events > MAX_EVENTS {
                let detail = "too many events: messages multiply without bound".to_owned();
                return Err(self.violation((Check::Progress, detail)));
            }
            self.handle_event(event)
                .and_then(|()| self.check_power())
                .map_err(|failure| self.violation(failure))?;
        }
        self.finish().map_err(|failure| self.violation(failure))?;
        self.coverage.membership_changes = self.checks.membership_changes;
        Ok(self.coverage)
    }

    fn violation(&self, (check, detail): CheckFailure) -> Violation {
        Violation {
            seed: self.seed,
            check,
            at: self.now,
            detail,
        }
    }

    fn handle_event(&mut self, event: Event) -> Result<(), CheckFailure> {
        match event {
            Event::Input {
                host,
                incarnation,
                input,
            } => {
                if incarnation
                    .is_some_and(|incarnation| incarnation != self.hosts[host].incarnation)
                {
                    return Ok(());
                }
                self.deliver(host, input)
            }
            Event::Wake(host) => self.wake(host),
            Event::Restart(host, incarnation) => {
                if self.hosts[host].incarnation == incarnation && self.hosts[host].running.is_none()
                {
                    self.start(host);
                }
                Ok(())
            }
            Event::Fault => {
                if !self.faults_ended {
                    let longest = self.profile.longest_gap.as_millis() as u64;
                    let next = Duration::from_millis(self.rng.random_range(5..longest));
                    self.schedule(next, Event::Fault);
                    if self.now < self.quiet_until {
                        return Ok(());
                    }
                    let host = self.pick_host(self.profile.leader_share);
                    let fault =
                        faults::random_fault(&mut self.rng, &self.profile, host, self.hosts.len());
                    self.apply_fault(fault)?;
                }
                Ok(())
            }
            Event::Crash(host, down) => {
                if !self.faults_ended {
                    self.crash_for(host, down);
                }
                Ok(())
            }
            Event::EndOfBatch(host, incarnation) => {
                let h = &self.hosts[host];
                if h.incarnation != incarnation || !h.in_batch || self.now < h.paused_until {
                    return Ok(());
                }
                self.execute_and_check(host)
            }
            Event::PowerLoss => self.power_loss_due(),
            Event::WipeOfSeries => {
                self.wipe_of_series();
                Ok(())
            }
            Event::LeadElsewhere(host) => self.lead_elsewhere(host),
            Event::Call => self.call(),
            Event::EndOfFaults => self.end_faults(),
        }
    }

    /// Passes an input to a replica, or queues it while the replica is paused.
    fn deliver(&mut self, host: usize, input: Input) -> Result<(), CheckFailure> {
        if let Input::Tick = input {
            let incarnation = Some(self.hosts[host].incarnation);
            self.schedule_input(TICK, host, incarnation, Input::Tick);
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
                h.queued_inputs.push_back(input);
            }
            return Ok(());
        }
        self.handle(host, input)
    }

    /// Writes all saves up to `seq` to the disk, even while the process is paused.
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

    fn wake(&mut self, host: usize) -> Result<(), CheckFailure> {
        if self.now < self.hosts[host].paused_until {
            return Ok(());
        }
        // Like the runtime, handles all queued inputs before it executes the effects.
        let queued = std::mem::take(&mut self.hosts[host].queued_inputs);
        for input in queued {
            self.process_input(host, input);
        }
        self.execute_and_check(host)
    }

    /// Handles an input, as the runtime does: it may handle several before it executes their effects.
    fn handle(&mut self, host: usize, input: Input) -> Result<(), CheckFailure> {
        self.process_input(host, input);
        if self.hosts[host].in_batch {
            self.read_in_batch(host);
            return Ok(());
        }
        if !self.rng.random_bool(self.profile.batch_share) {
            return self.execute_and_check(host);
        }
        self.hosts[host].in_batch = true;
        let time = Duration::from_micros(self.rng.random_range(100..LONGEST_BATCH));
        let incarnation = self.hosts[host].incarnation;
        self.schedule(time, Event::EndOfBatch(host, incarnation));
        self.read_in_batch(host);
        Ok(())
    }

    /// Calls for a leased read at a leader whose effects are not executed yet.
    fn read_in_batch(&mut self, host: usize) {
        let running = self.hosts[host].running.as_ref();
        if running.is_some_and(|r| r.core.is_leader()) {
            let op = self.history.call(true, self.now);
            self.process_input(host, Input::LeasedRead(op));
        }
    }
}

fn initial_state(members: &Membership) -> Recovered {
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
