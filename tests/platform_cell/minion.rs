//! A minion that takes orders by call, as the platform's minions do, and the policy service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use warp::Filter;
use warp::http::StatusCode;
use yuccahold::fault::{Fault, TcpProxy};

use super::book::{Book, Need};
use super::payload::Payload;
use super::policy::listen;
use super::room::Room;

/// Longest lease in ms.
pub const LEASE_MAX: u64 = 3_000;
const HEARTBEAT: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(10);
/// Time between the order to stop a run and its end.
const STOP_TAKES: u64 = 60;
/// Time from the start of a task that crashes its minion to the crash, in ms.
const CRASHES_AFTER: u64 = 10;
/// Time for which a minion is away that a task has crashed.
const AWAY: Duration = Duration::from_secs(1);

struct Run {
    run: u32,
    need: Need,
    ends_at: u64,
    how: &'static str,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    /// The lease lapsed before anybody took note of it. By the platform's contract it counts for
    /// nothing then, whatever is acknowledged later: the system had to take the run for lost.
    void: bool,
}

struct State {
    id: String,
    began: Instant,
    /// Unix time of its start in ms.
    born: u64,
    /// When a task crashes it, by its clock.
    crashes_at: Option<u64>,
    token: u64,
    lease: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    past: BTreeMap<String, u32>,
    ended: Vec<End>,
    last_end: u64,
    sequence: u64,
    draining: bool,
}

impl State {
    fn new(id: String) -> Self {
        Self {
            id,
            began: Instant::now(),
            born: unix_ms(),
            crashes_at: None,
            token: 0,
            lease: 0,
            runs: BTreeMap::new(),
            past: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            sequence: 0,
            draining: false,
        }
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline: u64) {
        let longest = self.clock() + LEASE_MAX;
        self.lease = self.lease.max(deadline.min(longest));
    }

    fn end(&mut self, task: &str, how: &'static str, book: &Book) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        book.over(task, &self.id, run.need, how == "failed");
        let past = self.past.entry(task.to_owned()).or_default();
        *past = run.run.max(*past);
        self.last_end += 1;
        self.ended.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run: run.run,
            how,
            void: false,
        });
    }
}

#[derive(Deserialize)]
struct StartBody {
    task: String,
    run: u32,
    spec: String,
    deadline_ms: u64,
    fencing_token: u64,
}

#[derive(Deserialize)]
struct StopBody {
    task: String,
    run: u32,
    fencing_token: u64,
}

#[derive(Deserialize)]
struct HoldBody {
    fencing_token: u64,
    acked_upto: u64,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}

/// Under which name a minion starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    New,
    Same,
}

/// One machine; its incarnations follow each other at one address.
pub struct Minion {
    state: Mutex<State>,
    changed: Notify,
    name: String,
    lives: AtomicU64,
    /// Starts in a hundred that are carried out late and not answered.
    late_percent: AtomicU64,
    drawn: AtomicU64,
    room: Mutex<Room>,
    /// It has crashed and is not back yet.
    is_down: AtomicBool,
    /// Its cell is gone: it reports no more.
    is_over: AtomicBool,
    book: Book,
    /// Where the system reaches it.
    pub proxy: TcpProxy,
}

type Answer = (StatusCode, Value);

impl Minion {
    pub async fn start(number: usize, controls: Vec<SocketAddr>, book: Book) -> Arc<Self> {
        let proxy = TcpProxy::start(None, number as u64).await.expect("a proxy");
        let minion = Arc::new(Self {
            state: Mutex::new(State::new(format!("i-{number}-0"))),
            changed: Notify::new(),
            name: format!("i-{number}"),
            lives: AtomicU64::new(0),
            late_percent: AtomicU64::new(0),
            drawn: AtomicU64::new(number as u64),
            room: Mutex::new(Room::new(Instant::now())),
            is_down: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            book,
            proxy,
        });
        let addr = serve(Arc::clone(&minion)).await;
        minion.proxy.set_upstream(addr);
        tokio::spawn(Arc::clone(&minion).tick());
        tokio::spawn(Arc::clone(&minion).report(controls));
        minion
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Has it report no more. Another cell may have the addresses of its own by then.
    pub fn end_for_good(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// All that runs is gone; another incarnation begins at the same address.
    pub fn crash(&self, name: Name) {
        for task in self.lock().runs.keys() {
            self.book.crashed(task);
        }
        self.start_again(name);
    }

    fn start_again(&self, name: Name) {
        let life = match name {
            Name::New => self.lives.fetch_add(1, Ordering::Relaxed) + 1,
            Name::Same => self.lives.load(Ordering::Relaxed),
        };
        let mut state = self.lock();
        for (task, run) in std::mem::take(&mut state.runs) {
            self.book.over(&task, &state.id, run.need, false);
        }
        *state = State::new(format!("{}-{life}", self.name));
        drop(state);
        self.changed.notify_waiters();
    }

    /// It crashes and is back after a while, now and then under its former name.
    async fn crash_for(self: Arc<Self>, away: Duration) {
        self.is_down.store(true, Ordering::Relaxed);
        self.proxy.apply(Fault::Cut);
        let name = match self.drawn.fetch_add(1, Ordering::Relaxed) % 2 {
            0 => Name::New,
            _ => Name::Same,
        };
        self.crash(name);
        tokio::time::sleep(away).await;
        self.proxy.apply(Fault::Reopen);
        self.is_down.store(false, Ordering::Relaxed);
    }

    /// Its capacity is a part of what it was at first.
    pub fn resize(&self, percent: u32) {
        let mut room = self.room.lock().expect("no holder panics");
        room.resize(percent, Instant::now());
    }

    fn room(&self) -> Room {
        *self.room.lock().expect("no holder panics")
    }

    /// Says that it leaves; a while later it is another incarnation.
    pub async fn drain(&self) {
        self.lock().draining = true;
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        self.start_again(Name::New);
    }

    pub fn set_late(&self, percent: u64) {
        self.late_percent.store(percent, Ordering::Relaxed);
    }

    fn is_late(&self) -> bool {
        let drawn = self.drawn.fetch_add(1, Ordering::Relaxed);
        let drawn = drawn.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        drawn % 100 < self.late_percent.load(Ordering::Relaxed)
    }

    async fn tick(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            let mut state = self.lock();
            let now = state.clock();
            if state.crashes_at.take_if(|at| *at <= now).is_some() {
                drop(state);
                tokio::spawn(Arc::clone(&self).crash_for(AWAY));
                continue;
            }
            let lapsed = now > state.lease;
            if lapsed {
                state.ended.iter_mut().for_each(|end| end.void = true);
            }
            let over = state
                .runs
                .iter()
                .filter(|(_, r)| lapsed || r.ends_at <= now);
            let over: Vec<_> = over.map(|(t, r)| (t.clone(), r.how)).collect();
            for (task, how) in &over {
                let how = if lapsed { "lapsed" } else { how };
                state.end(task, how, &self.book);
            }
            drop(state);
            if !over.is_empty() {
                self.changed.notify_waiters();
            }
        }
    }

    async fn report(self: Arc<Self>, controls: Vec<SocketAddr>) {
        let client = reqwest::Client::new();
        let mut next = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            if self.is_down.load(Ordering::Relaxed) {
                tokio::time::sleep(HEARTBEAT).await;
                continue;
            }
            let room = self.room().now;
            let (id, body) = {
                let mut state = self.lock();
                state.sequence += 1;
                let body = json!({
                    "service": "desk", "addr": self.proxy.addr().to_string(), "zone": "z-a",
                    "version": "v1", "slots": 8,
                    "state": if state.draining { "draining" } else { "ready" },
                    "capacity": {
                        "cpu": room.millicores, "mem_mb": room.memory_mb, "gpu": 0,
                    },
                    "labels": ["a", "r1-1"], "clock_ms": state.clock(), "seq": state.sequence,
                    "born": state.born,
                });
                (state.id.clone(), body)
            };
            for _ in 0..controls.len() {
                let control = controls[next % controls.len()];
                let url = format!("http://{control}/yuccahold/instances/{id}");
                let sent = client.put(url).json(&body).timeout(Duration::from_secs(1));
                if sent.send().await.is_ok_and(|r| r.status().is_success()) {
                    break;
                }
                next += 1;
            }
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    fn refused(clock: u64, reason: &str) -> Answer {
        let body = json!({"clock_ms": clock, "reason": reason});
        (StatusCode::CONFLICT, body)
    }

    /// The token of an order, and the incarnation that it is meant for.
    fn admit(state: &mut State, id: &str, token: u64) -> Result<(), Answer> {
        if id != state.id {
            return Err((StatusCode::MISDIRECTED_REQUEST, json!({})));
        }
        if token < state.token {
            return Err(Self::refused(state.clock(), "fence"));
        }
        state.token = token;
        Ok(())
    }

    fn begin(&self, id: &str, body: &StartBody) -> Answer {
        let mut state = self.lock();
        if let Err(refused) = Self::admit(&mut state, id, body.fencing_token) {
            return refused;
        }
        let clock = state.clock();
        let ok = (StatusCode::OK, json!({"clock_ms": clock}));
        if clock > body.deadline_ms {
            return Self::refused(clock, "late");
        }
        state.extend(body.deadline_ms);
        if state
            .past
            .get(&body.task)
            .is_some_and(|past| *past >= body.run)
        {
            return Self::refused(clock, "old");
        }
        if state
            .runs
            .get(&body.task)
            .is_some_and(|r| r.run >= body.run)
        {
            return ok;
        }
        let order = Payload::parse(&body.spec);
        let run = Run {
            run: body.run,
            need: order.need,
            ends_at: clock + order.takes,
            how: order.ends(&body.task, body.run),
        };
        let room = self.room().granted(Instant::now());
        self.book
            .started(&body.task, body.run, &state.id, run.need, room);
        if order.crashes {
            self.book.started_crasher(&body.task);
            state.crashes_at = Some(clock + CRASHES_AFTER);
        }
        state.runs.insert(body.task.clone(), run);
        ok
    }

    async fn run_start(self: Arc<Self>, id: String, body: StartBody) -> Answer {
        if !self.is_late() {
            return self.begin(&id, &body);
        }
        let wait = 500 + u64::from(body.run) * 331 % 2_500;
        tokio::time::sleep(Duration::from_millis(wait)).await;
        self.begin(&id, &body);
        // Whoever asked has given up long ago.
        tokio::time::sleep(Duration::from_secs(5)).await;
        (StatusCode::SERVICE_UNAVAILABLE, json!({}))
    }

    async fn run_stop(self: Arc<Self>, id: String, body: StopBody) -> Answer {
        let mut state = self.lock();
        if let Err(refused) = Self::admit(&mut state, &id, body.fencing_token) {
            return refused;
        }
        let clock = state.clock();
        let past = state.past.entry(body.task.clone()).or_default();
        *past = body.run.max(*past);
        if let Some(run) = state.runs.get_mut(&body.task)
            && run.run <= body.run
        {
            run.ends_at = run.ends_at.min(clock + STOP_TAKES);
            run.how = "stopped";
        }
        (StatusCode::OK, json!({"clock_ms": clock}))
    }

    async fn hold(self: Arc<Self>, id: String, body: HoldBody) -> Answer {
        let until = Instant::now() + Duration::from_millis(body.wait_ms);
        {
            let mut state = self.lock();
            if let Err(refused) = Self::admit(&mut state, &id, body.fencing_token) {
                return refused;
            }
            for end in &state.ended {
                if end.number <= body.acked_upto && end.how == "done" && !end.void {
                    self.book.noted_done(&end.task);
                }
            }
            state.ended.retain(|end| end.number > body.acked_upto);
            if let Some(deadline) = body.deadline_ms {
                state.extend(deadline);
            }
        }
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                if let Err(refused) = Self::admit(&mut state, &id, body.fencing_token) {
                    return refused;
                }
                if !state.ended.is_empty() || Instant::now() >= until {
                    return (StatusCode::OK, lists(&state));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            let _ = tokio::time::timeout(left, changed).await;
        }
    }
}

fn lists(state: &State) -> Value {
    let running: Vec<_> = state
        .runs
        .iter()
        .map(|(task, run)| json!([task, run.run, "", 50, run.need.millicores]))
        .collect();
    let ended: Vec<_> = state
        .ended
        .iter()
        .take(500)
        .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
        .collect();
    json!({
        "born": state.born, "clock_ms": state.clock(), "running": running, "ended": ended,
    })
}

fn reply((status, body): Answer) -> impl warp::Reply {
    warp::reply::with_status(warp::reply::json(&body), status)
}

async fn serve(minion: Arc<Minion>) -> SocketAddr {
    let here = warp::any().map(move || Arc::clone(&minion));
    let named = || warp::header::<String>("yuccahold-expect-instance");
    let start = warp::path!("yuccahold" / "run-start")
        .and(here.clone())
        .and(named())
        .and(warp::body::json())
        .then(|m: Arc<Minion>, id, body| async move { reply(m.run_start(id, body).await) });
    let stop = warp::path!("yuccahold" / "run-stop")
        .and(here.clone())
        .and(named())
        .and(warp::body::json())
        .then(|m: Arc<Minion>, id, body| async move { reply(m.run_stop(id, body).await) });
    let hold = warp::path!("yuccahold" / "hold")
        .and(here)
        .and(named())
        .and(warp::body::json())
        .then(|m: Arc<Minion>, id, body| async move { reply(m.hold(id, body).await) });
    listen(start.or(stop).or(hold)).await
}
