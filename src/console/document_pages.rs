//! Pages of the document: its parts with a form each, the whole as YAML, the difference before
//! a change is accepted, and what happens when another operator was faster.

use maud::{Markup, html};

use super::api::{Revised, said};
use super::forms::{Shown, Typed, Wrong, field_name, fields};
use super::layout::{self, form_key, hidden, table};
use super::pages::{Paged, Visit};
use super::parts::{Action, CELL, NAME_FIELD, Section, Shape, change, sections, with_part};
use super::state::ConsoleState;
use crate::document::{self, Document, Finding, Problems};
use crate::ids::Revision;
use crate::schema::to_yaml;
use crate::wire::HttpAnswer;

/// Section name of a form that holds the whole document as text.
const WHOLE: &str = "yaml";

pub(super) async fn overview<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let Some(current) = visit.api.document(None).await? else {
        let body = html! {
            p { "No document is in force yet." }
            p.actions { a href="/console/document/yaml" { "Write the first one" } }
        };
        return visit.page("Document", &body);
    };
    let body = html! {
        p { "Revision " (current.revision) " is in force." }
        p.actions {
            a href="/console/document/yaml" { "The whole as YAML" }
            a href="/console/history" { "Earlier ones" }
        }
        @for section in sections(&current.document) { (section_table(&section)) }
    };
    visit.page("Document", &body)
}

fn section_table(section: &Section) -> Markup {
    let base = format!("/console/document/part/{}", section.key);
    let link = |name: &str| match section.shape {
        Shape::Single => base.clone(),
        Shape::Named | Shape::Listed => format!("{base}/{name}"),
    };
    let cells = |(name, says): &(String, crate::schema::Tree)| {
        let shown = match section.shape {
            Shape::Named => name.as_str(),
            Shape::Single | Shape::Listed => "",
        };
        let edit = format!("Edit {} {shown}", section.key);
        vec![
            html! { (shown) },
            html! { pre { (to_yaml(says)) } },
            html! { a href=(link(name)) aria-label=(edit) { "Edit" } },
        ]
    };
    let rows: Vec<_> = section.parts.iter().map(cells).collect();
    html! {
        h2 { (section.key) }
        p { (section.doc) }
        (table(&["name", "says", ""], &rows, "There is none."))
        @if section.shape != Shape::Single {
            p.actions { a href=(base) { "Add to " (section.key) } }
        }
    }
}

pub(super) async fn yaml<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let wanted = visit.query_revision();
    let current = visit.api.document(None).await?;
    let shown = match wanted {
        Some(n) => visit.api.document(Some(n)).await?,
        None => None,
    };
    let base = current.as_ref().map_or(0, |c| c.revision);
    let text = shown.or(current).map_or_else(String::new, |r| r.text);
    let body = html! {
        @if let Some(n) = wanted {
            p { "This is revision " (n) ". Going on puts it in force as a new one." }
        }
        (whole_form(visit, base, &text, None))
    };
    visit.page("Document as YAML", &body)
}

fn whole_form<S>(
    visit: &Visit<'_, S>,
    base: Revision,
    text: &str,
    problems: Option<&Problems>,
) -> Markup {
    html! {
        @if let Some(problems) = problems { pre.wrong role="alert" { (problems.to_text()) } }
        form method="post" action="/console/document/preview" {
            (form_key(&visit.viewer))
            (hidden("base", &base.to_string()))
            (hidden("section", WHOLE))
            label for="text" { "The whole document" }
            // A browser drops the first line break of a text area.
            textarea id="text" name="text" spellcheck="false" { "\n" (text) }
            p.actions { button.main { "Show the difference" } }
        }
    }
}

pub(super) async fn edit<S: ConsoleState>(
    visit: &Visit<'_, S>,
    section: &str,
    name: &str,
) -> Paged {
    let Some(current) = visit.api.document(None).await? else {
        return Ok(super::http::redirect("/console/document/yaml"));
    };
    let ask = Ask {
        base: current.revision,
        section: section.to_owned(),
        name: name.to_owned(),
        ..Ask::default()
    };
    match part_form(visit, &current.document, &ask, &Wrong::new(), &[]) {
        Some(body) => visit.page(&title(&ask), &body),
        None => Ok(gone(visit)),
    }
}

fn gone<S>(visit: &Visit<'_, S>) -> HttpAnswer {
    let message = "The document has no such part; it may have been removed.";
    layout::notice(404, &visit.viewer, "Not found", message)
}

/// What a form of the document asks for.
#[derive(Clone, Debug, Default)]
struct Ask {
    base: Revision,
    section: String,
    /// Name or position of the part; empty for a new one.
    name: String,
    remove: bool,
    /// The whole text, when the section is the whole.
    text: String,
    typed: Typed,
    key: String,
}

impl Ask {
    fn read<S>(visit: &Visit<'_, S>) -> Self {
        let fields = visit.form.iter();
        let own = |name: &str| name == NAME_FIELD || name.starts_with(&field_name(""));
        let typed = fields.filter(|(name, _)| own(name));
        Self {
            base: visit.text("base").parse().unwrap_or(0),
            section: visit.text("section").to_owned(),
            name: visit.text("part").to_owned(),
            remove: visit.text("action") == "remove",
            text: visit.text("text").to_owned(),
            typed: typed.map(|(k, v)| (k.clone(), v.clone())).collect(),
            key: visit.text("key").to_owned(),
        }
    }

    /// The same as hidden fields, so that nothing typed is lost on the way to acceptance.
    fn fields(&self) -> Markup {
        html! {
            (hidden("base", &self.base.to_string()))
            (hidden("section", &self.section))
            (hidden("part", &self.name))
            @if self.remove { (hidden("action", "remove")) }
            @if self.section == WHOLE { (hidden("text", &self.text)) }
            @for (name, value) in &self.typed { (hidden(name, value)) }
        }
    }
}

fn title(ask: &Ask) -> String {
    match (ask.section.as_str(), ask.name.as_str()) {
        (CELL, _) => "Edit the cell".to_owned(),
        ("policy", _) => "Edit the policy".to_owned(),
        (section, "") => format!("Add to {section}"),
        (section, name) => format!("{section}: {name}"),
    }
}

/// The form of one part; none if there is no such part.
fn part_form<S>(
    visit: &Visit<'_, S>,
    document: &Document,
    ask: &Ask,
    wrong: &Wrong,
    others: &[Finding],
) -> Option<Markup> {
    let all = sections(document);
    let section = all.iter().find(|s| s.key == ask.section)?;
    let shown = Shown {
        typed: &ask.typed,
        wrong,
        new: ask.name.is_empty() && section.shape != Shape::Single,
        shallow: ask.section == CELL,
        names: &names_of(document),
    };
    let mut inputs = html! {};
    let mut show = |record: &mut dyn crate::schema::Record| inputs = fields(record, shown);
    if !with_part(&mut document.clone(), &ask.section, &ask.name, &mut show) {
        return None;
    }
    let name = ask.typed.get(NAME_FIELD).unwrap_or(&ask.name);
    let name_wrong = wrong.get(NAME_FIELD);
    Some(html! {
        p { (section.doc) }
        @if !wrong.is_empty() || !others.is_empty() {
            div role="alert" {
                p.wrong { "Nothing was changed yet; please mend what is marked." }
                ul { @for finding in others { li.wrong { (finding.path) ": " (told(finding)) } } }
            }
        }
        form method="post" action="/console/document/preview" {
            (form_key(&visit.viewer))
            (hidden("base", &ask.base.to_string()))
            (hidden("section", &ask.section))
            (hidden("part", &ask.name))
            @if section.shape == Shape::Named {
                div.field {
                    label for="name" { "name" span.needed { " (required)" } }
                    input id="name" name="name" value=(name) required autocomplete="off"
                        aria-invalid[name_wrong.is_some()];
                    @if let Some(wrong) = name_wrong { p.hint { strong.wrong { (wrong) } } }
                }
            }
            (inputs)
            div.actions {
                button.main name="action" value="save" { "Show the difference" }
                @if section.shape != Shape::Single && !ask.name.is_empty() {
                    button name="action" value="remove" formnovalidate { "Remove it" }
                }
                a href="/console/document" { "Back without a change" }
            }
        }
    })
}

/// Names that a form offers for fields that refer to other parts.
fn names_of(d: &Document) -> [(&'static str, Vec<String>); 4] {
    let zones = d.zones.iter().map(|z| z.name.to_string());
    [
        ("team", d.teams.keys().map(ToString::to_string).collect()),
        (
            "service",
            d.services.keys().map(ToString::to_string).collect(),
        ),
        ("kind", d.kinds.keys().map(ToString::to_string).collect()),
        ("zone", zones.collect()),
    ]
}

/// Why a form can't be put in force.
enum Refused {
    /// The document is not there any more as the form saw it.
    NoBase,
    Part(Wrong, Vec<Finding>),
    Whole(Problems),
}

/// The document that a form makes from its base.
fn make(base: Option<&Revised>, ask: &Ask) -> Result<(Document, String), Refused> {
    if ask.section == WHOLE {
        let text = ask.text.replace("\r\n", "\n");
        let new = document::parse("document", &text).map_err(Refused::Whole)?;
        return Ok((new, text));
    }
    let mut new = match base {
        Some(base) => Document::clone(&base.document),
        None => return Err(Refused::NoBase),
    };
    let action = if ask.remove {
        Action::Remove
    } else {
        Action::Save
    };
    let mut wrong = change(&mut new, &ask.section, &ask.name, action, &ask.typed);
    if !wrong.is_empty() {
        return Err(Refused::Part(wrong, Vec::new()));
    }
    let (own, others) = sort_findings(&new, ask);
    wrong.extend(own);
    if wrong.is_empty() && others.is_empty() {
        let text = document::render(&new);
        return Ok((new, text));
    }
    Err(Refused::Part(wrong, others))
}

/// Findings at fields of the form, and the others.
fn sort_findings(new: &Document, ask: &Ask) -> (Wrong, Vec<Finding>) {
    let part = part_path(new, ask);
    let mut own = Wrong::new();
    let mut others = Vec::new();
    for finding in document::validate(new) {
        let below = finding.path.strip_prefix(&part).filter(|_| !ask.remove);
        match below.and_then(|path| field_at(path, &ask.typed)) {
            Some(field) => own.insert(field, told(&finding)),
            None => {
                others.push(finding);
                None
            }
        };
    }
    (own, others)
}

/// Path of the form's part, with the dot before its fields.
fn part_path(new: &Document, ask: &Ask) -> String {
    let all = sections(new);
    let section = all.iter().find(|s| s.key == ask.section);
    let key = &ask.section;
    match section.map(|s| (s.shape, s.parts.len())) {
        Some((Shape::Named, _)) => {
            let name = ask.typed.get(NAME_FIELD).map_or("", |n| n.trim());
            format!("{key}.{name}.")
        }
        Some((Shape::Listed, n)) if ask.name.is_empty() => format!("{key}.{}.", n.max(1) - 1),
        Some((Shape::Listed, _)) => format!("{key}.{}.", ask.name),
        Some((Shape::Single, _)) if ask.section != CELL => format!("{key}."),
        _ => String::new(),
    }
}

/// The form field that holds a path: its own, or that of the list it is an element of.
fn field_at(path: &str, typed: &Typed) -> Option<String> {
    let list = path.rsplit_once('.').map(|(list, _)| list);
    let fields = [Some(path), list].into_iter().flatten().map(field_name);
    let mut known = fields.filter(|field| typed.contains_key(field));
    known.next()
}

fn told(finding: &Finding) -> String {
    match &finding.help {
        Some(help) => format!("{}; {help}", finding.message),
        None => finding.message.clone(),
    }
}

pub(super) async fn preview<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let mut ask = Ask::read(visit);
    let base = visit.base(&ask).await?;
    let (new, _) = match make(base.as_ref(), &ask) {
        Ok(made) => made,
        Err(refused) => return refuse(visit, base.as_ref(), &ask, &refused, 422, &html! {}),
    };
    let old = base.map_or_else(Document::default, |b| Document::clone(&b.document));
    let diff = document::diff(&old, &new);
    if diff.is_empty() {
        let body = html! {
            p { "This makes no difference to revision " (ask.base) "." }
            p { a href="/console/document" { "To the document" } }
        };
        return visit.page("No difference", &body);
    }
    ask.key = format!("form-{:032x}", rand::random::<u128>());
    let body = html! {
        p { "This is what changes from revision " (ask.base) ". It is not in force yet." }
        pre { (diff.to_text()) }
        form method="post" action="/console/document/apply" {
            (form_key(&visit.viewer))
            (ask.fields())
            (hidden("key", &ask.key))
            div.actions {
                button.main { "Put in force" }
                a href="/console/document" { "Drop the change" }
            }
        }
    };
    visit.page("Difference", &body)
}

pub(super) async fn apply<S: ConsoleState>(visit: &Visit<'_, S>) -> Paged {
    let ask = Ask::read(visit);
    let base = visit.base(&ask).await?;
    let text = match make(base.as_ref(), &ask) {
        Ok((_, text)) => text,
        Err(refused) => return refuse(visit, base.as_ref(), &ask, &refused, 422, &html! {}),
    };
    let answer = visit.api.put_document(ask.base, &text, &ask.key).await;
    match answer.status {
        200 => Ok(super::http::redirect("/console/document")),
        412 => overtaken(visit, base.as_ref(), &ask).await,
        status => {
            let notice = html! { p.wrong role="alert" { (said(&answer)) } };
            refuse(
                visit,
                base.as_ref(),
                &ask,
                &Refused::Part(Wrong::new(), Vec::new()),
                status,
                &notice,
            )
        }
    }
}

/// Shows the other operator's change, and the form again with what was typed.
async fn overtaken<S: ConsoleState>(
    visit: &Visit<'_, S>,
    base: Option<&Revised>,
    ask: &Ask,
) -> Paged {
    let Some(current) = visit.api.document(None).await? else {
        return Ok(gone(visit));
    };
    let before = base.map_or_else(Document::default, |b| Document::clone(&b.document));
    let other = document::diff(&before, &current.document);
    let notice = html! {
        div role="alert" {
            p.wrong {
                "Another operator was faster: revision " (current.revision) " is in force, your "
                "change was made from " (ask.base) ". Nothing of yours was changed; what you typed "
                "is below, now on top of revision " (current.revision) "."
            }
            h2 { "The other change" }
            pre { (other.to_text()) }
        }
    };
    let ask = Ask {
        base: current.revision,
        ..ask.clone()
    };
    let nothing = Refused::Part(Wrong::new(), Vec::new());
    refuse(visit, Some(&current), &ask, &nothing, 409, &notice)
}

/// The form again with everything typed, under a notice.
fn refuse<S>(
    visit: &Visit<'_, S>,
    base: Option<&Revised>,
    ask: &Ask,
    refused: &Refused,
    status: u16,
    notice: &Markup,
) -> Paged {
    let form = match (refused, base) {
        (Refused::Whole(problems), _) => {
            Some(whole_form(visit, ask.base, &ask.text, Some(problems)))
        }
        (Refused::Part(..), _) if ask.section == WHOLE => {
            Some(whole_form(visit, ask.base, &ask.text, None))
        }
        (Refused::Part(wrong, others), Some(base)) => {
            part_form(visit, &base.document, ask, wrong, others)
        }
        _ => None,
    };
    let Some(form) = form else {
        return Ok(gone(visit));
    };
    let body = html! { (notice) (form) };
    Ok(layout::page(status, &visit.viewer, &title(ask), &body))
}

impl<S: ConsoleState> Visit<'_, S> {
    /// The document that a form was made from.
    async fn base(&self, ask: &Ask) -> Result<Option<Revised>, HttpAnswer> {
        match ask.base {
            0 => Ok(None),
            n => self.api.document(Some(n)).await,
        }
    }
}
