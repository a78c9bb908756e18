//! Lists the fields of the document for the schema framework, with defaults and descriptions.

use std::time::Duration;

use compact_str::CompactString;

use super::model::{
    Document, Drain, DrainTarget, JobKind, Limits, Objective, ObjectiveTarget, Policy,
    QueuePriority, Route, Service, Team, Workload, Zone,
};
use crate::resources::Resources;
use crate::schema::{
    Bytes, Choice, Chosen, Cores, Count, Field, Megabytes, Millipercent, Name, Names, OptionalName,
    Part, Percent, Record, Span, Text, Toggle, Visitor,
};
use crate::workload::{Band, MemberLoss, Spread, WorkClass};

/// Version of the document format that this program reads and writes; all others are refused.
pub const FORMAT: u32 = 1;

/// Maximum number of tasks in one job.
const MAX_TASKS: u32 = 100_000;
/// Upper bound of counts that need no tighter one.
const MAX_COUNT: u32 = 1_000_000;

/// Implements `Record` from an expression for the initial value and a body that visits the
/// fields.
macro_rules! record {
    ($type:ty, $initial:expr, |$record:ident, $v:ident| $body:block) => {
        impl Record for $type {
            fn visit(&mut self, $v: &mut dyn Visitor) {
                let $record = self;
                $body
            }

            fn initial() -> Self {
                $initial
            }

            fn blank(&self) -> Box<dyn Record> {
                Box::new(Self::initial())
            }
        }
    };
}

const fn req(key: &'static str, doc: &'static str) -> Field {
    Field::required(key, doc)
}

const fn opt(key: &'static str, doc: &'static str) -> Field {
    Field::optional(key, doc)
}

record!(Document, Document::default(), |d, v| {
    let format = req("format", "Version of the document format.");
    v.scalar(format, &mut Count::new(&mut d.format, 1, MAX_COUNT));
    v.scalar(req("cell", "Name of the cell."), &mut Name(&mut d.cell));
    let region = req("region", "Region the cell lives in.");
    v.scalar(region, &mut Name(&mut d.region));
    let mut zones = Names::new(&mut d.zones, |name| Zone { name }, |z| &z.name);
    v.texts(req("zones", "Availability zones."), &mut zones);
    let teams = opt("teams", "Teams with quotas, by name.");
    v.records(teams, &mut d.teams);
    let services = opt("services", "Services answered by minions, by name.");
    v.records(services, &mut d.services);
    let routes = opt(
        "routes",
        "Path prefixes that lead to services besides `/v1/services/NAME`.",
    );
    v.records(routes, &mut d.routes);
    let kinds = opt("kinds", "Job kinds, by name; a submitted job names one.");
    v.records(kinds, &mut d.kinds);
    let workloads = opt("workloads", "Jobs kept by declaration, by name.");
    v.records(workloads, &mut d.workloads);
    let objectives = opt("objectives", "Service-level objectives.");
    v.records(objectives, &mut d.objectives);
    let policy = opt("policy", "Placement weights and limits.");
    v.record(policy, &mut d.policy);
    v.records(opt("drains", "Capacity to be emptied."), &mut d.drains);
});

record!(Team, initial_team(), |t, v| {
    let quota = req(
        "quota",
        "Guaranteed share; more may be borrowed while others leave it unused.",
    );
    v.record(quota, &mut t.quota);
    let weight = opt("weight", "Weight among teams that borrow.");
    v.scalar(weight, &mut Count::new(&mut t.weight, 1, 1000));
    let limits = opt("limits", "Limits on the team's quick requests.");
    v.record(limits, &mut t.limits);
});

fn initial_team() -> Team {
    Team {
        weight: 1,
        ..Team::default()
    }
}

record!(Resources, Resources::ZERO, |r, v| {
    v.scalar(
        req("cores", "Processor cores."),
        &mut Cores(&mut r.millicores),
    );
    v.scalar(
        req("memory", "Memory, in powers of ten."),
        &mut Megabytes(&mut r.memory_mb),
    );
    let accelerators = opt("accelerators", "Whole accelerators, all of one type.");
    v.scalar(
        accelerators,
        &mut Count::new(&mut r.accelerators, 0, MAX_COUNT),
    );
});

record!(Limits, Limits::default(), |l, v| {
    let rate = opt(
        "requests_per_second",
        "Requests a second over the whole cell; 0 for no limit.",
    );
    v.scalar(
        rate,
        &mut Count::new(&mut l.requests_per_second, 0, MAX_COUNT),
    );
    let concurrent = opt(
        "concurrent",
        "Requests in work at once over the whole cell; 0 for no limit.",
    );
    v.scalar(concurrent, &mut Count::new(&mut l.concurrent, 0, MAX_COUNT));
});

record!(Service, initial_service(), |s, v| {
    v.scalar(req("team", "Team that is charged."), &mut Name(&mut s.team));
    let deadline = opt(
        "deadline",
        "Time in which an answer is due when the caller states none.",
    );
    v.scalar(deadline, &mut Span(&mut s.deadline));
    let idempotent = opt(
        "idempotent",
        "Whether requests may run twice unless a caller says otherwise.",
    );
    v.scalar(idempotent, &mut Toggle(&mut s.idempotent));
    v.scalar(
        opt("priority", "Order in the queue."),
        &mut Chosen(&mut s.priority),
    );
    let queue = opt("queue", "Requests that may wait at one entry host.");
    v.scalar(queue, &mut Count::new(&mut s.queue, 0, MAX_COUNT));
    let slots = opt(
        "slots",
        "Requests a minion works on at once when it states none.",
    );
    v.scalar(slots, &mut Count::new(&mut s.slots, 1, 4096));
    let connections = opt("connections", "Connections to one minion.");
    v.scalar(connections, &mut Count::new(&mut s.connections, 1, 4096));
    let body = opt("body_limit", "Largest request or answer body.");
    v.scalar(body, &mut Bytes(&mut s.body_limit));
    let retry = opt(
        "retry_percent",
        "Retries allowed, as a share of the requests.",
    );
    v.scalar(retry, &mut Percent(&mut s.retry_percent));
    let hedge = opt(
        "hedge_percentile",
        "Percentile of service time after which an idempotent request is hedged; 0 for never.",
    );
    v.scalar(hedge, &mut Count::new(&mut s.hedge_percentile, 0, 99));
});

fn initial_service() -> Service {
    Service {
        deadline: Duration::from_secs(2),
        queue: 64,
        slots: 8,
        connections: 64,
        body_limit: 1_000_000,
        retry_percent: 10,
        ..Service::default()
    }
}

record!(Route, Route::default(), |r, v| {
    let prefix = req("prefix", "Path prefix, starting with `/`.");
    v.scalar(prefix, &mut Text(&mut r.prefix));
    v.scalar(
        req("service", "Service behind it."),
        &mut Name(&mut r.service),
    );
});

record!(JobKind, initial_kind(), |k, v| {
    v.scalar(req("team", "Team that is charged."), &mut Name(&mut k.team));
    let class = opt(
        "class",
        "How the tasks live and start: `gang` all together or not at all, `service` and `watcher` without end.",
    );
    v.scalar(class, &mut Chosen(&mut k.class));
    let band = opt(
        "band",
        "Priority band; a later one may preempt an earlier one.",
    );
    v.scalar(band, &mut Chosen(&mut k.band));
    let tasks = opt("tasks", "Tasks when a submission states none.");
    v.scalar(tasks, &mut Count::new(&mut k.tasks, 1, MAX_TASKS));
    v.record(req("need", "Declared need of one task."), &mut k.need);
    let accelerator = opt("accelerator", "Accelerator type required; any when absent.");
    v.scalar(accelerator, &mut OptionalName(&mut k.accelerator));
    let run_time = opt(
        "run_time",
        "Declared run time of one task; none for `service` and `watcher`.",
    );
    v.scalar(run_time, &mut Span(&mut k.run_time));
    let idempotent = opt(
        "idempotent",
        "Whether a task that may have run can be started again.",
    );
    v.scalar(idempotent, &mut Toggle(&mut k.idempotent));
    let checkpoint = opt(
        "checkpoint",
        "Whether a task can be checkpointed and resumed.",
    );
    v.scalar(checkpoint, &mut Toggle(&mut k.checkpoint));
    let attempts = opt(
        "max_attempts",
        "Starts allowed for one task before its job fails.",
    );
    v.scalar(attempts, &mut Count::new(&mut k.max_attempts, 1, 1000));
    let spread = opt("spread", "Failure domain to spread the tasks over.");
    v.scalar(spread, &mut Chosen(&mut k.spread));
    let mut zones = Names::new(&mut k.zones, |name| name, |name| name);
    v.texts(
        opt("zones", "Availability zones allowed; all when empty."),
        &mut zones,
    );
    let loss = opt(
        "on_member_loss",
        "What becomes of a gang that loses a worker.",
    );
    v.scalar(loss, &mut Chosen(&mut k.on_member_loss));
    let away = opt(
        "max_unavailable",
        "Tasks that may be away at once during an update or drain.",
    );
    v.scalar(away, &mut Count::new(&mut k.max_unavailable, 0, MAX_TASKS));
});

fn initial_kind() -> JobKind {
    JobKind {
        tasks: 1,
        max_attempts: 3,
        max_unavailable: 1,
        ..JobKind::default()
    }
}

record!(Workload, initial_workload(), |w, v| {
    v.scalar(req("kind", "Its job kind."), &mut Name(&mut w.kind));
    let tasks = opt("tasks", "Number of tasks.");
    v.scalar(tasks, &mut Count::new(&mut w.tasks, 1, MAX_TASKS));
    let payload = opt("payload", "Opaque text handed to the worker.");
    v.scalar(payload, &mut Text(&mut w.payload));
});

fn initial_workload() -> Workload {
    Workload {
        tasks: 1,
        ..Workload::default()
    }
}

record!(Objective, initial_objective(), |o, v| {
    v.scalar(req("name", "Its name."), &mut Name(&mut o.name));
    let service = opt(
        "service",
        "Service whose requests are to be answered in time.",
    );
    let set = |t: &mut _, name| {
        *t = ObjectiveTarget::Service(name);
        Ok(())
    };
    v.scalar(service, &mut Part::new(&mut o.target, target_service, set));
    let kind = opt("kind", "Job kind whose tasks are to start in time.");
    v.scalar(
        kind,
        &mut Part::new(&mut o.target, target_kind, set_target_kind),
    );
    let within = req(
        "within",
        "Time within which an answer or a start counts as good.",
    );
    v.scalar(within, &mut Span(&mut o.within));
    let target = req("target", "Share of good events wanted.");
    v.scalar(target, &mut Millipercent(&mut o.millipercent));
    let window = opt("window", "Span over which the error budget is counted.");
    v.scalar(window, &mut Span(&mut o.window));
});

fn initial_objective() -> Objective {
    Objective {
        name: CompactString::default(),
        target: ObjectiveTarget::Service(CompactString::default()),
        within: Duration::ZERO,
        millipercent: 0,
        window: Duration::from_secs(28 * 24 * 3600),
    }
}

fn target_service(target: &ObjectiveTarget) -> Option<&CompactString> {
    match target {
        ObjectiveTarget::Service(name) => Some(name).filter(|n| !n.is_empty()),
        ObjectiveTarget::Kind(_) => None,
    }
}

fn target_kind(target: &ObjectiveTarget) -> Option<&CompactString> {
    match target {
        ObjectiveTarget::Kind(name) => Some(name),
        ObjectiveTarget::Service(_) => None,
    }
}

fn set_target_kind(target: &mut ObjectiveTarget, name: CompactString) -> Result<(), String> {
    if target_service(target).is_some() {
        return Err("an objective speaks of a `service` or a `kind`, not of both".to_owned());
    }
    *target = ObjectiveTarget::Kind(name);
    Ok(())
}

record!(Policy, Policy::default(), |p, v| {
    let waiting = opt(
        "waiting_weight",
        "Weight of short waiting (100) against tight packing (0).",
    );
    v.scalar(waiting, &mut Count::new(&mut p.waiting_weight, 0, 100));
    let preemption = opt("preemption_limit", "Times one task may be preempted.");
    v.scalar(
        preemption,
        &mut Count::new(&mut p.preemption_limit, 0, 1000),
    );
    let failures = opt(
        "quarantine_failures",
        "Different jobs that must fail on a worker before it is quarantined.",
    );
    v.scalar(
        failures,
        &mut Count::new(&mut p.quarantine_failures, 1, 1000),
    );
    let trial = opt(
        "quarantine_trial",
        "Time after which a quarantined worker gets one task as a trial.",
    );
    v.scalar(trial, &mut Span(&mut p.quarantine_trial));
    let lease = opt(
        "lease",
        "Time a worker's lease runs from the moment it asked.",
    );
    v.scalar(lease, &mut Span(&mut p.lease));
    let keys = opt(
        "key_retention",
        "Time for which idempotency keys are kept after their answer.",
    );
    v.scalar(keys, &mut Span(&mut p.key_retention));
});

record!(Drain, initial_drain(), |d, v| {
    let worker = opt("worker", "The one worker to empty.");
    let set = |t: &mut _, name| {
        *t = DrainTarget::Worker(name);
        Ok(())
    };
    v.scalar(worker, &mut Part::new(&mut d.target, drain_worker, set));
    let zone = opt(
        "zone",
        "The availability zone to empty, or the one the rack is in.",
    );
    v.scalar(
        zone,
        &mut Part::new(&mut d.target, drain_zone, set_drain_zone),
    );
    let rack = opt("rack", "The rack to empty.");
    v.scalar(
        rack,
        &mut Part::new(&mut d.target, drain_rack, set_drain_rack),
    );
    let within = opt(
        "within",
        "Time its tasks have to finish or checkpoint before they are stopped.",
    );
    v.scalar(within, &mut Span(&mut d.within));
});

fn initial_drain() -> Drain {
    Drain {
        target: DrainTarget::Worker(CompactString::default()),
        within: Duration::from_secs(600),
    }
}

fn drain_worker(target: &DrainTarget) -> Option<&CompactString> {
    match target {
        DrainTarget::Worker(name) => Some(name).filter(|n| !n.is_empty()),
        DrainTarget::Zone(_) | DrainTarget::Rack(..) => None,
    }
}

fn drain_zone(target: &DrainTarget) -> Option<&CompactString> {
    match target {
        DrainTarget::Zone(zone) | DrainTarget::Rack(zone, _) => Some(zone),
        DrainTarget::Worker(_) => None,
    }
}

fn set_drain_zone(target: &mut DrainTarget, zone: CompactString) -> Result<(), String> {
    if drain_worker(target).is_some() {
        return Err("a drain names a `worker` or a `zone`, not both".to_owned());
    }
    *target = DrainTarget::Zone(zone);
    Ok(())
}

fn drain_rack(target: &DrainTarget) -> Option<&CompactString> {
    match target {
        DrainTarget::Rack(_, rack) => Some(rack),
        DrainTarget::Worker(_) | DrainTarget::Zone(_) => None,
    }
}

fn set_drain_rack(target: &mut DrainTarget, rack: CompactString) -> Result<(), String> {
    let DrainTarget::Zone(zone) = target else {
        return Err("a `rack` needs the `zone` it is in".to_owned());
    };
    *target = DrainTarget::Rack(std::mem::take(zone), rack);
    Ok(())
}

impl Choice for QueuePriority {
    const WORDS: &'static [(&'static str, Self)] = &[
        ("low", Self::Low),
        ("normal", Self::Normal),
        ("high", Self::High),
    ];
}

impl Choice for WorkClass {
    const WORDS: &'static [(&'static str, Self)] = &[
        ("batch", Self::Batch),
        ("gang", Self::Gang),
        ("service", Self::Service),
        ("watcher", Self::Watcher),
    ];
}

impl Choice for Band {
    const WORDS: &'static [(&'static str, Self)] = &[
        ("spare", Self::Spare),
        ("normal", Self::Normal),
        ("high", Self::High),
        ("urgent", Self::Urgent),
    ];
}

impl Choice for Spread {
    const WORDS: &'static [(&'static str, Self)] = &[
        ("none", Self::None),
        ("worker", Self::Worker),
        ("rack", Self::Rack),
        ("zone", Self::Zone),
    ];
}

impl Choice for MemberLoss {
    const WORDS: &'static [(&'static str, Self)] = &[
        ("restart-all", Self::RestartAll),
        ("replace", Self::Replace),
        ("fail", Self::Fail),
    ];
}
