//! Pages that show the cell in tables.

use std::time::SystemTime;

use maud::{Markup, html};

use super::http::refusal;
use super::layout::{table, watch_link};
use super::pages::{Paged, Visit};
use super::state::ConsoleState;
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::slo::BurnReport;
use crate::state::{AuditRow, EntryRow, MinionRow, ReplicaRow, RevisionRow, TeamRow, WorkerRow};
use crate::wire::{JobPhase, JobView};

/// Most jobs that wait shown on the overview.
const WAITING_SHOWN: usize = 10;

fn text(value: impl std::fmt::Display) -> Markup {
    html! { (value.to_string()) }
}

/// An amount in one line.
pub(super) fn amount(r: &Resources) -> String {
    let cores = f64::from(r.millicores) / 1000.0;
    let gigabytes = f64::from(r.memory_mb) / 1000.0;
    let accelerators = match r.accelerators {
        0 => String::new(),
        n => format!(", {n} accelerators"),
    };
    format!("{cores} cores, {gigabytes} GB{accelerators}")
}

/// How much of a capacity is used, as a bar with its figure.
fn share(used: &Resources, of: &Resources) -> Markup {
    let part = |u: u32, o: u32| {
        if o == 0 {
            0.0
        } else {
            f64::from(u) / f64::from(o)
        }
    };
    let cores = part(used.millicores, of.millicores);
    let memory = part(used.memory_mb, of.memory_mb);
    let most = cores.max(memory);
    html! {
        meter min="0" max="1" value=(format!("{:.3}", most.min(1.0))) {}
        " " (format!("{:.0}% of cores, {:.0}% of memory", cores * 100.0, memory * 100.0))
    }
}

/// A point in time since the Unix epoch, in UTC.
fn when(at: Timestamp) -> Markup {
    text(humantime::format_rfc3339_seconds(
        SystemTime::UNIX_EPOCH + at,
    ))
}

pub(super) async fn overview<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let document = visit.api.document(None).await?;
    let jobs: Vec<JobView> = visit.api.get("/v1/jobs").await?;
    let workers: Vec<WorkerRow> = visit.api.get("/v1/workers").await?;
    let entries: Vec<EntryRow> = visit.api.get("/v1/entries").await?;
    let revision = document.as_ref().map_or(0, |d| d.revision);
    let behind = entries.iter().filter(|e| e.in_force != revision).count();
    let all = workers
        .iter()
        .try_fold(Resources::ZERO, |sum, w| sum.checked_add(&w.capacity));
    let granted = workers
        .iter()
        .try_fold(Resources::ZERO, |sum, w| sum.checked_add(&w.granted));
    let running = jobs.iter().filter(|j| j.phase == JobPhase::Running).count();
    let waiting: Vec<_> = jobs.iter().filter(|j| !j.reason.is_empty()).collect();
    let body = html! {
        @match &document {
            Some(d) => p {
                "Cell " strong { (d.document.cell) } " in " (d.document.region)
                ": revision " (d.revision) " is in force; "
                (entries.len()) " entry hosts, " (behind) " not yet on it."
            },
            None => p { "No document is in force yet. " a href="/console/document/yaml" { "Write the first one" } "." },
        }
        @if let (Some(all), Some(granted)) = (all, granted) {
            p { (workers.len()) " workers: " (share(&granted, &all)) }
        }
        p { (running) " jobs run, " (waiting.len()) " wait." }
        (super::job_pages::job_table(waiting.into_iter().take(WAITING_SHOWN), "No job waits."))
        (watch_link(&visit.viewer))
    };
    visit.page("Overview", &body)
}

pub(super) async fn workers<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let rows: Vec<WorkerRow> = visit.api.get("/v1/workers").await?;
    let cells = |w: &WorkerRow| {
        vec![
            text(&w.id),
            text(format!("{} / {}", w.zone, w.rack)),
            text(&w.state),
            text(amount(&w.capacity)),
            share(&w.granted, &w.capacity),
            text(w.runs),
            text(format!("{} s", w.silent.as_secs())),
        ]
    };
    let rows: Vec<_> = rows.iter().map(cells).collect();
    let header = [
        "worker",
        "zone / rack",
        "state",
        "holds",
        "granted",
        "runs",
        "last heard",
    ];
    let body = html! {
        (table(&header, &rows, "No worker has announced itself."))
        (watch_link(&visit.viewer))
    };
    visit.page("Workers", &body)
}

pub(super) async fn minions<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let rows: Vec<MinionRow> = visit.api.get("/v1/minions").await?;
    let cells = |m: &MinionRow| {
        vec![
            text(&m.id),
            text(&m.service),
            text(&m.zone),
            text(m.addr),
            text(m.slots),
            text(m.owner.as_deref().unwrap_or("none yet")),
            text(if m.leaving { "leaving" } else { "ready" }),
        ]
    };
    let rows: Vec<_> = rows.iter().map(cells).collect();
    let header = [
        "minion", "service", "zone", "address", "slots", "owner", "state",
    ];
    let body = html! {
        (table(&header, &rows, "No minion has announced itself."))
        (watch_link(&visit.viewer))
    };
    visit.page("Minions", &body)
}

pub(super) async fn entries<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let rows: Vec<EntryRow> = visit.api.get("/v1/entries").await?;
    let revision = visit.api.document(None).await?.map_or(0, |d| d.revision);
    let cells = |e: &EntryRow| {
        let behind = e.in_force != revision;
        let in_force = html! {
            (e.in_force) @if behind { " " strong.wrong { "not " (revision) } }
        };
        vec![
            text(&e.id),
            text(&e.zone),
            text(e.peer_addr),
            in_force,
            text(e.minions),
            text(format!("{} s", e.silent.as_secs())),
        ]
    };
    let rows: Vec<_> = rows.iter().map(cells).collect();
    let header = [
        "entry host",
        "zone",
        "peer address",
        "revision in force",
        "minions",
        "last heard",
    ];
    let body = html! {
        p { "Revision " (revision) " is the latest." }
        (table(&header, &rows, "No entry host is known."))
        (watch_link(&visit.viewer))
    };
    visit.page("Entry hosts", &body)
}

pub(super) async fn replicas<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let rows: Vec<ReplicaRow> = visit.api.get("/v1/replicas").await?;
    let cells = |r: &ReplicaRow| {
        let addr = r.addr.map(|a| a.to_string());
        vec![
            text(format!("{:016x}", r.id)),
            text(format!("{:?}", r.role).to_lowercase()),
            text(&r.zone),
            text(addr.unwrap_or_default()),
        ]
    };
    let rows: Vec<_> = rows.iter().map(cells).collect();
    let body = html! {
        (table(&["replica", "role", "zone", "address"], &rows, "No replica is known."))
        (watch_link(&visit.viewer))
    };
    visit.page("Replicas", &body)
}

pub(super) async fn teams<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let rows: Vec<TeamRow> = visit.api.get("/v1/teams").await?;
    let cells = |t: &TeamRow| {
        vec![
            text(&t.name),
            text(amount(&t.quota)),
            text(amount(&t.used)),
            share(&t.used, &t.quota),
            text(t.running),
            text(t.waiting),
        ]
    };
    let rows: Vec<_> = rows.iter().map(cells).collect();
    let header = [
        "team",
        "quota",
        "used",
        "of the quota",
        "tasks running",
        "tasks waiting",
    ];
    let body = html! {
        p { "Use above the quota is borrowed from teams that leave theirs unused." }
        (table(&header, &rows, "The document names no team."))
        (watch_link(&visit.viewer))
    };
    visit.page("Teams", &body)
}

pub(super) async fn history<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let rows: Vec<RevisionRow> = visit.api.get("/v1/history").await?;
    let cells = |r: &RevisionRow| {
        let open = format!("/console/document/yaml?revision={}", r.revision);
        let link = html! { a href=(open) { "Look at it" } };
        vec![text(r.revision), when(r.at), text(&r.who), link]
    };
    let rows: Vec<_> = rows.iter().map(cells).collect();
    let header = ["revision", "when (UTC)", "who", ""];
    visit.page(
        "History",
        &table(&header, &rows, "No document was accepted yet."),
    )
}

pub(super) async fn burn<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let report: BurnReport = visit.api.get("/v1/burn").await?;
    let body = crate::slo::render_body(&report).map_err(|e| refusal(500, &e.to_string()))?;
    visit.page("Service-level burn", &body)
}

pub(super) async fn audit<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let rows: Vec<AuditRow> = visit.api.get("/v1/audit").await?;
    let cells = |r: &AuditRow| vec![when(r.at), text(&r.who), text(&r.what)];
    let rows: Vec<_> = rows.iter().map(cells).collect();
    visit.page(
        "Audit",
        &table(
            &["when (UTC)", "who", "what"],
            &rows,
            "Nothing was changed yet.",
        ),
    )
}
