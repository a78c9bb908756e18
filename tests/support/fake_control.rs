//! A small control: one leader over real connections, with leases, ownership, keys and jobs.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use yuccahold::document::Document;
use yuccahold::ids::{EntryId, MinionId};
use yuccahold::wire::{
    Answer, Call, CellKeys, EntryHello, EntryReport, Feed, FromControl, JobPhase, JobView,
    KeyState, MinionAnnouncement, OwnedMinion, PeerEntry, Refusal, RefusalKind, ToControl,
    WorkerTasks, accept,
};

/// What the fake knows.
pub struct State {
    feed: Feed,
    seen: BTreeMap<EntryId, Instant>,
    announced: BTreeMap<MinionId, Instant>,
    keys: BTreeMap<(String, String), (KeyState, [u8; 16])>,
    jobs: BTreeMap<String, JobView>,
    lease: Duration,
    advertised: BTreeMap<EntryId, SocketAddr>,
    claim_delay: Duration,
}

/// A running fake. Dropping it kills it and its connections.
pub struct FakeControl {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,

    tasks: Vec<JoinHandle<()>>,
}

impl FakeControl {
    pub async fn start(ip: IpAddr, document: Document, keys: CellKeys, lease: Duration) -> Self {
        let state = State {
            feed: Feed {
                revision: 1,
                document: Some(Arc::new(document)),
                ..Feed::default()
            },
            seen: BTreeMap::new(),
            announced: BTreeMap::new(),
            keys: BTreeMap::new(),
            jobs: BTreeMap::new(),
            lease,
            advertised: BTreeMap::new(),
            claim_delay: Duration::ZERO,
        };
        let state = Arc::new(Mutex::new(state));
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let feed = watch::Sender::new(0);
        let (shared, changes) = (state.clone(), feed.clone());
        let serving = tokio::spawn(async move {
            // Connections end with this task: a killed control closes them all.
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (keys, state, feed) = (keys.clone(), shared.clone(), changes.clone());
                connections.spawn(async move {
                    if let Ok(halves) = accept(stream, &keys).await {
                        serve(halves, state, feed).await;
                    }
                });
            }
        });
        let (shared, changes) = (state.clone(), feed.clone());
        let ticking = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                let changed = lock(&shared).tick();
                if changed {
                    changes.send_modify(|n| *n += 1);
                }
            }
        });
        Self {
            addr,
            state,

            tasks: vec![serving, ticking],
        }
    }

    /// Tells everyone another address for an entry host, such as a proxy's.
    pub fn advertise_peer(&self, entry: &str, addr: SocketAddr) {
        lock(&self.state).advertised.insert(entry.into(), addr);
    }

    /// Answers claims of keys only after this time; other calls are answered meanwhile.
    pub fn delay_claims(&self, delay: Duration) {
        lock(&self.state).claim_delay = delay;
    }

    pub fn feed(&self) -> Feed {
        lock(&self.state).feed.clone()
    }
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap()
}

async fn serve(
    (mut reader, mut writer): (yuccahold::wire::FrameReader, yuccahold::wire::FrameWriter),
    state: Arc<Mutex<State>>,
    feed: watch::Sender<u64>,
) {
    let Ok(Some(ToControl::Hello(hello))) = reader.read().await else {
        return;
    };
    let (tx, mut calls) = tokio::sync::mpsc::channel(64);
    let reading = tokio::spawn(async move {
        while let Ok(Some(message)) = reader.read::<ToControl>().await {
            if tx.send(message).await.is_err() {
                return;
            }
        }
    });
    let mut changes = feed.subscribe();
    changes.mark_changed();
    let (late_tx, mut late) = tokio::sync::mpsc::unbounded_channel();
    loop {
        let message = tokio::select! {
            call = calls.recv() => match call {
                Some(ToControl::Call { id, call }) => {
                    let is_claim = matches!(call, Call::ClaimKey(_));
                    let answer = lock(&state).answer(&hello, call);
                    let delay = lock(&state).claim_delay;
                    if is_claim && !delay.is_zero() {
                        let late_tx = late_tx.clone();
                        tokio::spawn(async move {
                            tokio::time::sleep(delay).await;
                            let _ = late_tx.send(FromControl::Answer { id, answer });
                        });
                        continue;
                    }
                    feed.send_modify(|n| *n += 1);
                    FromControl::Answer { id, answer }
                }
                _ => break,
            },
            Some(answer) = late.recv() => answer,
            _ = changes.changed() => FromControl::Feed(lock(&state).feed.clone()),
        };
        if writer.write(&message).await.is_err() {
            break;
        }
    }
    reading.abort();
}

impl State {
    fn answer(&mut self, hello: &EntryHello, call: Call) -> Answer {
        match call {
            Call::Renew(report) => self.renew(hello, &report),
            Call::AnnounceMinion(minion) => self.announce(minion),
            Call::LeaveMinion(id) => {
                if let Some(minion) = self.feed.minions.get_mut(&id) {
                    minion.leaving = true;
                }
                Answer::Ok
            }
            Call::PollWorker(_) => Answer::Tasks(WorkerTasks::default()),
            Call::SubmitJob(job) => {
                let name = job.name.or(job.key).unwrap_or_default();
                let view = JobView {
                    name: name.clone(),
                    kind: job.kind,
                    ..JobView::default()
                };
                Answer::Job(self.jobs.entry(name.to_string()).or_insert(view).clone())
            }
            Call::QueryJob(name) => self.job(&name),
            Call::CancelJob(name) => {
                if let Some(job) = self.jobs.get_mut(name.as_str()) {
                    job.phase = JobPhase::Cancelled;
                }
                self.job(&name)
            }
            Call::ClaimKey(claim) => {
                let name = (claim.service.to_string(), claim.key.to_string());
                let running = KeyState::InProgress(claim.entry);
                match self.keys.get(&name) {
                    Some((_, digest)) if *digest != claim.digest => Answer::Key(KeyState::Mismatch),
                    Some((state, _)) if *state != KeyState::NotRun => Answer::Key(state.clone()),
                    _ => {
                        self.keys.insert(name, (running, claim.digest));
                        Answer::Key(KeyState::Claimed)
                    }
                }
            }
            Call::SettleKey(settlement) => {
                let name = (settlement.service.to_string(), settlement.key.to_string());
                if let Some((state, _)) = self.keys.get_mut(&name) {
                    *state = settlement.state;
                }
                Answer::Ok
            }
            Call::Burn(_) => Answer::Ok,
            Call::Http(_) => not_found(),
        }
    }

    fn job(&self, name: &str) -> Answer {
        let job = self.jobs.get(name);
        job.map_or_else(not_found, |job| Answer::Job(job.clone()))
    }

    fn renew(&mut self, hello: &EntryHello, report: &EntryReport) -> Answer {
        self.seen.insert(hello.entry.clone(), Instant::now());
        let peer = PeerEntry {
            zone: hello.zone.clone(),
            peer_addr: *self
                .advertised
                .get(&hello.entry)
                .unwrap_or(&hello.peer_addr),
            process: hello.process,
        };
        if report.leaving {
            self.feed.entries.remove(&hello.entry);
            let owned = self.feed.minions.values_mut();
            let owned = owned.filter(|m| m.owner.as_ref() == Some(&hello.entry));
            owned.for_each(|m| m.release = true);
        } else {
            self.feed.entries.insert(hello.entry.clone(), peer);
        }
        for id in &report.released {
            if let Some(minion) = self.feed.minions.get_mut(id)
                && minion.owner.as_ref() == Some(&hello.entry)
            {
                (minion.owner, minion.release, minion.lapsed) = (None, false, false);
            }
        }
        self.assign();
        Answer::Lease(self.lease)
    }

    fn announce(&mut self, announced: MinionAnnouncement) -> Answer {
        let id = announced.id.clone();
        self.announced
            .insert(id.clone(), Instant::now() + announced.ttl);
        let minion = self.feed.minions.entry(id).or_insert_with(|| OwnedMinion {
            minion: announced.clone(),
            owner: None,
            epoch: 0,
            leaving: false,
            release: false,
            lapsed: false,
        });
        minion.leaving &= minion.minion.process == announced.process;
        minion.minion = announced;
        self.assign();
        Answer::Ok
    }

    /// Gives minions without an owner to the entry host that has fewest.
    fn assign(&mut self) {
        let Feed {
            entries, minions, ..
        } = &mut self.feed;
        let mut owned: BTreeMap<_, _> = entries.keys().map(|e| (e.clone(), 0)).collect();
        for owner in minions.values().filter_map(|m| m.owner.as_ref()) {
            owned.entry(owner.clone()).and_modify(|n| *n += 1);
        }
        for minion in minions.values_mut().filter(|m| m.owner.is_none()) {
            if let Some((entry, n)) = owned.iter_mut().min_by_key(|(_, n)| **n) {
                *n += 1;
                minion.owner = Some(entry.clone());
                minion.epoch += 1;
            }
        }
    }

    /// Takes minions from entry hosts whose lease has lapsed, and drops silent minions.
    fn tick(&mut self) -> bool {
        let now = Instant::now();
        let lease = self.lease;
        let lapsed: Vec<_> = self
            .seen
            .iter()
            .filter(|(_, at)| now > **at + lease)
            .collect();
        let lapsed: Vec<_> = lapsed.into_iter().map(|(entry, _)| entry.clone()).collect();
        for entry in &lapsed {
            self.seen.remove(entry);
            self.feed.entries.remove(entry);
            let owned = self.feed.minions.values_mut();
            for minion in owned.filter(|m| m.owner.as_ref() == Some(entry)) {
                (minion.owner, minion.release, minion.lapsed) = (None, false, true);
            }
        }
        let before = self.feed.minions.len();
        let announced = &self.announced;
        let alive = |id: &MinionId| announced.get(id).is_none_or(|until| *until > now);
        self.feed.minions.retain(|id, _| alive(id));
        self.assign();
        !lapsed.is_empty() || before != self.feed.minions.len()
    }
}

fn not_found() -> Answer {
    Answer::Refused(Refusal {
        kind: RefusalKind::NotFound,
        message: "no such thing".to_owned(),
        retry_after: None,
    })
}
