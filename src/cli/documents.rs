//! `apply`, `show`, `history`, `rollback`: the document in force and before.

use std::path::Path;
use std::time::SystemTime;

use serde_json::json;

use super::client::{Client, Fetched, Put, fresh_key};
use super::config::{Config, Format};
use super::{Failure, files, output};
use crate::ExitCode;
use crate::document::{self, Document};
use crate::ids::{Revision, Timestamp};
use crate::state::RevisionRow;

pub(super) async fn apply(
    config: &Config,
    path: &Path,
    base: Option<Revision>,
    yes: bool,
) -> Result<ExitCode, Failure> {
    let loaded = files::load(path)?;
    let client = Client::new(config)?;
    let current = client.document(None).await?;
    let in_force = current.as_ref().map_or(0, |c| c.revision);
    if let Some(base) = base.filter(|base| *base != in_force) {
        return stale(&client, base, current.as_ref()).await;
    }
    let change = Change {
        old: old_document(current.as_ref())?,
        base: in_force,
        new: loaded.document,
        text: loaded.text,
    };
    put(config, &client, change, yes).await
}

pub(super) async fn show(config: &Config, revision: Option<Revision>) -> Result<ExitCode, Failure> {
    let client = Client::new(config)?;
    let fetched = client.document(revision).await?;
    let fetched = fetched.ok_or_else(|| no_revision(revision))?;
    let json = json!({ "revision": fetched.revision, "document": fetched.text });
    output::result(config, &json, || fetched.text.clone());
    Ok(ExitCode::Success)
}

pub(super) async fn history(config: &Config) -> Result<ExitCode, Failure> {
    let answer = Client::new(config)?.get("/v1/history").await?;
    let rows: Vec<RevisionRow> = serde_json::from_value(answer.clone()).unwrap_or_default();
    output::result(config, &answer, || {
        let cells = |r: &RevisionRow| vec![r.revision.to_string(), when(r.at), r.who.to_string()];
        let rows: Vec<_> = rows.iter().map(cells).collect();
        output::table(&["revision", "when", "who"], &rows)
    });
    Ok(ExitCode::Success)
}

pub(super) async fn rollback(
    config: &Config,
    revision: Revision,
    yes: bool,
) -> Result<ExitCode, Failure> {
    let client = Client::new(config)?;
    let wanted = client.document(Some(revision)).await?;
    let wanted = wanted.ok_or_else(|| no_revision(Some(revision)))?;
    let current = client.document(None).await?;
    let change = Change {
        old: old_document(current.as_ref())?,
        base: current.as_ref().map_or(0, |c| c.revision),
        new: document::parse(&format!("revision {revision}"), &wanted.text)?,
        text: wanted.text,
    };
    put(config, &client, change, yes).await
}

/// A change that is ready to be shown and sent.
pub(super) struct Change {
    pub(super) old: Document,
    pub(super) base: Revision,
    pub(super) new: Document,
    pub(super) text: String,
}

/// Shows the difference, asks, and sends.
pub(super) async fn put(
    config: &Config,
    client: &Client,
    change: Change,
    yes: bool,
) -> Result<ExitCode, Failure> {
    let diff = document::diff(&change.old, &change.new);
    if diff.is_empty() {
        let json = json!({ "revision": change.base, "diff": diff });
        output::result(config, &json, || {
            format!("no difference to revision {}\n", change.base)
        });
        return Ok(ExitCode::Success);
    }
    if config.format == Format::Text {
        output::print(&diff.to_text());
    }
    output::confirm("put this in force?", yes)?;
    let key = fresh_key();
    match client.put_document(change.base, &change.text, &key).await? {
        Put::Accepted(revision) => {
            let json = json!({ "revision": revision, "diff": diff });
            output::result(config, &json, || {
                format!("revision {revision} is in force\n")
            });
            Ok(ExitCode::Success)
        }
        Put::Stale => {
            let current = client.document(None).await?;
            stale(client, change.base, current.as_ref()).await
        }
    }
}

/// Shows what the other operator changed.
async fn stale(
    client: &Client,
    base: Revision,
    current: Option<&Fetched>,
) -> Result<ExitCode, Failure> {
    let in_force = current.map_or(0, |c| c.revision);
    let mut message = format!(
        "the document was changed meanwhile: revision {in_force} is in force, yours is made from \
         {base}; nothing was changed\n"
    );
    let before = client.document(Some(base)).await?;
    if let (Some(before), Some(current)) = (before, current) {
        let other = document::diff(
            &document::parse("the earlier document", &before.text)?,
            &document::parse("the document in force", &current.text)?,
        );
        message += &format!("the other change:\n{}", other.to_text());
    }
    message += "take it into your file (`yuccahold show`), then apply again";
    Err(Failure::new(ExitCode::Conflict, message))
}

pub(super) fn old_document(current: Option<&Fetched>) -> Result<Document, Failure> {
    match current {
        Some(current) => Ok(document::parse("the document in force", &current.text)?),
        None => Ok(Document::default()),
    }
}

fn no_revision(revision: Option<Revision>) -> Failure {
    let message = match revision {
        Some(n) => {
            format!("there is no revision {n}, or it is no longer kept; see `yuccahold history`")
        }
        None => "no document is in force yet; see `yuccahold apply --help`".to_owned(),
    };
    Failure::new(ExitCode::GeneralError, message)
}

/// A point in time since the Unix epoch as people write it, in UTC.
fn when(at: Timestamp) -> String {
    humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + at).to_string()
}
