//! Disruptions in series that overlap only as far as the platform's rules tolerate.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::minion::RestartName;
use super::{Process, Role, System};

/// Time after its start for which a process counts as lost.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Control daemons that may be lost at the same time; one of them may have lost its disk.
const TOLERATED: usize = 2;
/// Time between SIGTERM and SIGKILL, as in the settings.
const STOP_GRACE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(20);

/// What ends a disruption of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repair {
    Resume,
    Start,
}

/// Sends SIGHUP to all processes but those that have no handler yet, as they log nothing.
fn reload_started(system: &System) {
    let started = system.processes.iter();
    let started = started.filter(|p| p.log_since_start().is_some());
    started.for_each(Process::reload);
}

/// Injects random disruptions and remembers which processes count as lost.
pub struct Losses {
    rng: ChaCha8Rng,
    /// Times until which processes count as lost, by index.
    lost_until: Vec<Instant>,
    /// Process that lost its disk last, or that replaces it.
    last_wiped: usize,
    repairs: Vec<(Instant, usize, Repair)>,
    spares: Vec<usize>,
    started: Instant,
    pub disks_lost: usize,
}

impl Losses {
    /// `system` must have run for `CATCH_UP_TIME`.
    pub fn new(seed: u64, system: &System) -> Self {
        let now = Instant::now();
        let unused = |i: &usize| !system.processes[*i].deployed;
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            lost_until: vec![now; system.processes.len()],
            last_wiped: 0,
            repairs: Vec::new(),
            spares: (0..system.processes.len()).filter(unused).collect(),
            started: now,
            disks_lost: 0,
        }
    }

    /// Injects disruptions until `end`, and waits until nothing counts as lost.
    pub async fn run(&mut self, system: &mut System, end: Instant) {
        let mut next = Instant::now();
        while Instant::now() < end {
            if Instant::now() >= next {
                self.disrupt(system);
                next = Instant::now() + Duration::from_millis(self.rng.random_range(100..700));
            }
            self.tick(system).await;
        }
        while !self.repairs.is_empty() || self.lost(system, Role::Control) > 0 {
            self.tick(system).await;
        }
    }

    async fn tick(&mut self, system: &mut System) {
        sleep(TICK).await;
        let now = Instant::now();
        let (due, left) = self.repairs.iter().partition(|(at, ..)| *at <= now);
        self.repairs = left;
        for (_, i, repair) in due {
            match repair {
                Repair::Resume => system.processes[i].resume(),
                Repair::Start => {
                    system.processes[i].kill();
                    system.processes[i].start();
                }
            }
            // On a busy disk a process may take seconds to end.
            self.lost_until[i] = Instant::now() + CATCH_UP_TIME;
        }
        for i in 0..system.processes.len() {
            let restarts = self.repairs.iter().any(|(_, r, _)| *r == i);
            if !restarts && system.processes[i].has_exited() {
                let text = format!("FAULT p{i} has ended by itself");
                system.recorder.record_violation(text);
                system.processes[i].start();
            }
        }
    }

    fn note(&self, system: &System, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let cell = system.folder.file_name().unwrap_or_default().display();
        println!("{cell} {at:6.2} s: {text}");
    }

    fn lost(&self, system: &System, role: Role) -> usize {
        let now = Instant::now();
        let processes = system.processes.iter().zip(&self.lost_until);
        let lost = processes.filter(|(p, until)| p.role == role && **until > now);
        lost.count()
    }

    fn is_disk_lost(&self) -> bool {
        self.lost_until[self.last_wiped] > Instant::now()
    }

    fn repair(&mut self, i: usize, after: Duration, repair: Repair) {
        let at = Instant::now() + after;
        self.repairs.push((at, i, repair));
        self.lost_until[i] = at + CATCH_UP_TIME;
    }

    /// A process of this role that isn't lost, and in every second case the leader.
    fn pick(&mut self, system: &System, role: Role) -> Option<usize> {
        let now = Instant::now();
        let fit = |i: &usize| {
            let process = &system.processes[*i];
            process.role == role && process.deployed && self.lost_until[*i] <= now
        };
        let fit: Vec<_> = (0..system.processes.len()).filter(fit).collect();
        let leader = fit.iter().find(|i| system.processes[**i].is_leader());
        if let Some(leader) = leader
            && self.rng.random_bool(0.5)
        {
            return Some(*leader);
        }
        fit.choose(&mut self.rng).copied()
    }

    fn disrupt(&mut self, system: &mut System) {
        match self.rng.random_range(0..10) {
            0..=2 => self.lose_disk(system),
            3 => self.change_seeds(system),
            4 => reload_started(system),
            5 | 6 => {
                // One of the tolerated losses is kept for a lost disk.
                let kept = usize::from(!self.is_disk_lost());
                self.disrupt_process(system, Role::Control, TOLERATED - kept);
            }
            7 => {
                let entries = system.entry_addrs().len();
                self.disrupt_process(system, Role::Entry, entries.div_ceil(3));
            }
            _ => self.disrupt_minion(system),
        }
    }

    fn lose_disk(&mut self, system: &mut System) {
        if self.is_disk_lost() || self.lost(system, Role::Control) >= TOLERATED {
            return;
        }
        let Some(i) = self.pick(system, Role::Control) else {
            return;
        };
        let led = system.processes[i].is_leader();
        system.processes[i].kill();
        let after = Duration::from_millis(self.rng.random_range(50..900));
        let back = match self.spares.pop_if(|_| self.rng.random_bool(0.25)) {
            Some(spare) => {
                system.processes[i].deployed = false;
                system.processes[spare].deployed = true;
                system.directory.set(system.controls());
                self.change_seeds(system);
                spare
            }
            None => {
                system.processes[i].wipe();
                i
            }
        };
        self.repair(back, after, Repair::Start);
        self.last_wiped = back;
        self.disks_lost += 1;
        let seeds = system.seeds.clone();
        let text = format!("p{i} lost its disk, leader {led}, p{back} starts, seeds {seeds:?}");
        self.note(system, &text);
    }

    /// Names three other control daemons as seeds, the leader not among them.
    pub fn change_seeds(&mut self, system: &mut System) {
        let processes = system.processes.iter().enumerate();
        let fit = processes.filter(|(_, p)| {
            p.role == Role::Control && p.deployed && p.is_started() && !p.is_leader()
        });
        let fit: Vec<_> = fit.map(|(i, _)| i).collect();
        system.seeds = fit.sample(&mut self.rng, 3).copied().collect();
        system.write_settings(false);
        let signal = self.rng.random_bool(0.5);
        if signal {
            reload_started(system);
        }
        let text = format!("seeds are {:?}, SIGHUP {signal}", system.seeds);
        self.note(system, &text);
    }

    fn disrupt_process(&mut self, system: &mut System, role: Role, tolerated: usize) {
        if self.lost(system, role) >= tolerated {
            return;
        }
        let Some(i) = self.pick(system, role) else {
            return;
        };
        let how = match self.rng.random_range(0..3) {
            0 => {
                system.processes[i].pause();
                let span = Duration::from_millis(self.rng.random_range(200..2_000));
                self.repair(i, span, Repair::Resume);
                "SIGSTOP"
            }
            1 => {
                system.processes[i].kill();
                let after = Duration::from_millis(self.rng.random_range(20..800));
                self.repair(i, after, Repair::Start);
                "SIGKILL"
            }
            _ => {
                system.processes[i].begin_termination();
                self.repair(i, STOP_GRACE, Repair::Start);
                "SIGTERM"
            }
        };
        self.note(system, &format!("p{i} gets {how}"));
    }

    fn disrupt_minion(&mut self, system: &System) {
        let minion = system.minions.choose(&mut self.rng).expect("minions");
        match self.rng.random_range(0..4) {
            0 => minion.crash(RestartName::New),
            1 => minion.crash(RestartName::Same),
            2 => {
                let minion = minion.clone();
                tokio::spawn(async move { minion.drain().await });
            }
            _ => {
                let (minion, controls) = (minion.clone(), system.directory.clone());
                let away = Duration::from_millis(self.rng.random_range(100..4_000));
                tokio::spawn(async move { minion.leave(controls, away).await });
            }
        }
    }

    /// Kills all processes at once and starts them within a second, one control daemon with an
    /// empty disk.
    pub async fn final_fault(&mut self, system: &mut System) {
        let wiped = self.pick(system, Role::Control).expect("a control daemon");
        self.note(system, &format!("all are killed; p{wiped} lost its disk"));
        let deployed = || |p: &&mut Process| p.deployed;
        let processes = system.processes.iter_mut().filter(deployed());
        processes.for_each(Process::kill);
        system.processes[wiped].wipe();
        for process in system.processes.iter_mut().filter(deployed()) {
            process.start();
            sleep(Duration::from_millis(self.rng.random_range(0..100))).await;
        }
    }
}
