//! Pages of jobs: the list, one job, a form to submit one.

use maud::{Markup, html};

use super::api::{request, said};
use super::layout::{self, form_key, hidden, table, watch_link};
use super::pages::{Paged, Visit};
use super::state::ConsoleState;
use crate::wire::{JobPhase, JobSubmission, JobView};

fn phase(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Unknown => "unknown: may have run, is not started again",
        phase => phase.as_str(),
    }
}

/// Jobs with why each waits.
pub(super) fn job_table<'j>(jobs: impl Iterator<Item = &'j JobView>, empty: &str) -> Markup {
    let cells = |j: &JobView| {
        let open = format!("/console/jobs/of/{}", j.name);
        vec![
            html! { a href=(open) { (j.name) } },
            html! { (j.kind) },
            html! { (j.team) },
            html! { (phase(j.phase)) },
            html! { (j.waiting) " waiting, " (j.running) " running, " (j.done) " of " (j.tasks) " done" },
            html! { (j.reason) },
        ]
    };
    let rows: Vec<_> = jobs.map(cells).collect();
    table(
        &["job", "kind", "team", "state", "tasks", "why it waits"],
        &rows,
        empty,
    )
}

pub(super) async fn list<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let jobs: Vec<JobView> = visit.api.get("/v1/jobs").await?;
    let body = html! {
        p.actions { a href="/console/jobs/new" { "Submit a job" } }
        (job_table(jobs.iter(), "There is no job."))
        (watch_link(&visit.viewer))
    };
    visit.page("Jobs", &body)
}

pub(super) async fn one<S: ConsoleState>(visit: &Visit<'_, S>, name: &str) -> Paged {
    let j: JobView = visit.api.get(&format!("/v1/jobs/{name}")).await?;
    let waited = j.waited.map(|w| format!("{} ms", w.as_millis()));
    let facts = [
        ("state", phase(j.phase).to_owned()),
        ("kind", j.kind.to_string()),
        ("team", j.team.to_string()),
        (
            "tasks",
            format!(
                "{}: {} waiting, {} running, {} done, {} failed, {} unknown",
                j.tasks, j.waiting, j.running, j.done, j.failed, j.unknown
            ),
        ),
        ("starts", j.starts.to_string()),
        ("waited for its first start", waited.unwrap_or_default()),
        ("runs on", j.workers.join(", ")),
        ("why it waits", j.reason.clone()),
    ];
    let body = html! {
        table {
            tbody {
                @for (name, value) in facts.iter().filter(|(_, v)| !v.is_empty()) {
                    tr { th scope="row" { (name) } td { (value) } }
                }
            }
        }
        (watch_link(&visit.viewer))
        @if !j.phase.is_final() {
            details {
                summary { "Cancel this job" }
                form method="post" action=(format!("/console/jobs/of/{name}")) {
                    (form_key(&visit.viewer))
                    p { "Tasks that have not started never will; those that run are stopped." }
                    button { "Cancel it now" }
                }
            }
        }
    };
    visit.page(&format!("Job {}", j.name), &body)
}

pub(super) async fn cancel<S: ConsoleState>(visit: &Visit<'_, S>, name: &str) -> Paged {
    let call = request("DELETE", &format!("/v1/jobs/{name}"), Vec::new());
    let answer = visit.api.call(call).await;
    if answer.status == 200 {
        return Ok(super::http::redirect(&format!("/console/jobs/of/{name}")));
    }
    Err(answer)
}

pub(super) async fn new<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    form(visit, 200, "").await
}

/// The form with what was typed, and what is wrong with it.
async fn form<S: ConsoleState>(visit: &Visit<'_, S>, status: u16, wrong: &str) -> Paged {
    let document = visit.api.document(None).await?;
    let kinds = document.as_ref().map(|d| d.document.kinds.keys());
    // The key comes back with a resend of the same form, so the job is accepted once.
    let key = match visit.text("key") {
        "" => format!("form-{:032x}", rand::random::<u128>()),
        key => key.to_owned(),
    };
    let body = html! {
        @if !wrong.is_empty() { p.wrong role="alert" { (wrong) } }
        form method="post" action="/console/jobs/new" {
            (form_key(&visit.viewer))
            (hidden("key", &key))
            div.field {
                label for="kind" { "kind" }
                select id="kind" name="kind" {
                    @for kind in kinds.into_iter().flatten() {
                        option value=(kind) selected[kind == visit.text("kind")] { (kind) }
                    }
                }
            }
            (input(visit, "job", "name", "Unique in the cell; made from the key when empty."))
            (input(visit, "tasks", "tasks", "The kind's number when empty."))
            (input(visit, "payload", "payload", "Opaque text handed to the worker."))
            button.main { "Submit" }
        }
    };
    Ok(layout::page(status, &visit.viewer, "Submit a job", &body))
}

fn input<S>(visit: &Visit<'_, S>, name: &str, label: &str, hint: &str) -> Markup {
    let described = format!("{name}-hint");
    html! {
        div.field {
            label for=(name) { (label) }
            input id=(name) name=(name) value=(visit.text(name)) autocomplete="off"
                aria-describedby=(described);
            p.hint id=(described) { (hint) }
        }
    }
}

pub(super) async fn submit<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let tasks = visit.text("tasks").trim();
    let number = match tasks {
        "" => None,
        text => match text.parse() {
            Ok(n) => Some(n),
            Err(_) => return form(visit, 422, "`tasks` is a whole number.").await,
        },
    };
    let name = visit.text("job").trim();
    let job = JobSubmission {
        name: (!name.is_empty()).then(|| name.into()),
        kind: visit.text("kind").into(),
        team: None,
        tasks: number,
        payload: visit.text("payload").into(),
        key: Some(visit.text("key").into()),
    };
    let answer = visit.api.call(submission(&job)).await;
    if answer.status != 200 {
        return form(visit, answer.status, &said(&answer)).await;
    }
    let view: JobView = serde_json::from_slice(&answer.body).unwrap_or_default();
    Ok(super::http::redirect(&format!(
        "/console/jobs/of/{}",
        view.name
    )))
}

fn submission(job: &JobSubmission) -> crate::wire::HttpCall {
    let body = serde_json::to_vec(job).unwrap_or_default();
    let mut call = request("POST", "/v1/jobs", body);
    super::http::set_header(&mut call, "content-type", "application/json");
    call
}
