//! The frame of every page, and tables.

use maud::{DOCTYPE, Markup, html};

use super::http;
use crate::wire::HttpAnswer;

/// The one style of all pages.
pub(super) const STYLE: &str = include_str!("style.css");

const LINKS: &[(&str, &str)] = &[
    ("/console", "Overview"),
    ("/console/jobs", "Jobs"),
    ("/console/document", "Document"),
    ("/console/teams", "Teams"),
    ("/console/workers", "Workers"),
    ("/console/minions", "Minions"),
    ("/console/entries", "Entry hosts"),
    ("/console/replicas", "Replicas"),
    ("/console/burn", "Burn"),
    ("/console/history", "History"),
    ("/console/audit", "Audit"),
];

/// What the frame shows of the one who looks.
#[derive(Clone, Debug, Default)]
pub(super) struct Viewer {
    /// Name of the operator; none when sign-in is off.
    pub(super) name: Option<String>,
    /// What forms carry against posts from other sites.
    pub(super) form_key: String,
    /// Path of this page, to mark its link.
    pub(super) path: String,
    /// Whether the page loads itself anew.
    pub(super) watch: bool,
}

/// A whole page.
pub(super) fn page(status: u16, viewer: &Viewer, title: &str, body: &Markup) -> HttpAnswer {
    let html = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                @if viewer.watch { meta http-equiv="refresh" content="3"; }
                title { (title) " - yuccahold" }
                link rel="stylesheet" href="/console/style.css";
            }
            body {
                a.skip href="#main" { "Skip to the content" }
                header {
                    strong { "yuccahold" }
                    nav aria-label="Pages" {
                        ul {
                            @for (path, text) in LINKS {
                                li {
                                    a href=(path) aria-current=[(*path == viewer.path).then_some("page")] {
                                        (text)
                                    }
                                }
                            }
                        }
                    }
                    @if let Some(name) = &viewer.name {
                        form.inline method="post" action="/console/sign-out" {
                            (form_key(viewer))
                            span { (name) } " "
                            button { "Sign out" }
                        }
                    }
                }
                main id="main" {
                    h1 { (title) }
                    (body)
                }
            }
        }
    };
    http::page(status, html.into_string())
}

/// The hidden field against posts from other sites.
pub(super) fn form_key(viewer: &Viewer) -> Markup {
    html! { input type="hidden" name="form_key" value=(viewer.form_key); }
}

/// A hidden field.
pub(super) fn hidden(name: &str, value: &str) -> Markup {
    html! { input type="hidden" name=(name) value=(value); }
}

/// A table that becomes a list of cards on a narrow screen.
pub(super) fn table(header: &[&str], rows: &[Vec<Markup>], empty: &str) -> Markup {
    html! {
        @if rows.is_empty() { p { (empty) } } @else {
            table {
                thead { tr { @for name in header { th scope="col" { (name) } } } }
                tbody {
                    @for row in rows {
                        tr {
                            @for (name, cell) in header.iter().zip(row) {
                                td data-label=(name) { (cell) }
                            }
                        }
                    }
                }
            }
        }
    }
}

/// A link that lets the page load itself anew every few seconds, or stops that.
pub(super) fn watch_link(viewer: &Viewer) -> Markup {
    html! {
        p {
            @if viewer.watch { a href=(viewer.path) { "Stop following" } }
            @else { a href=(format!("{}?watch=1", viewer.path)) { "Follow changes" } }
        }
    }
}

/// A refusal with its next step.
pub(super) fn notice(status: u16, viewer: &Viewer, title: &str, message: &str) -> HttpAnswer {
    let body = html! {
        p.wrong role="alert" { (message) }
        p { a href="/console" { "To the overview" } }
    };
    page(status, viewer, title, &body)
}
