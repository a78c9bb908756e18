//! `drain`: a change of the document that empties capacity.

use super::Failure;
use super::client::Client;
use super::config::Config;
use super::documents::{Change, old_document, put};
use crate::ExitCode;
use crate::document::{self, Drain};

pub(super) async fn drain(
    config: &Config,
    drain: &Drain,
    undo: bool,
    yes: bool,
) -> Result<ExitCode, Failure> {
    let client = Client::new(config)?;
    let Some(current) = client.document(None).await? else {
        let message = "no document is in force yet; see `yuccahold apply --help`";
        return Err(Failure::new(ExitCode::GeneralError, message));
    };
    let old = old_document(Some(&current))?;
    let mut new = old.clone();
    let before = new.drains.len();
    new.drains.retain(|d| d.target != drain.target);
    if undo && new.drains.len() == before {
        let message = "there is no such drain in the document; see `yuccahold show`";
        return Err(Failure::new(ExitCode::GeneralError, message));
    }
    if !undo {
        new.drains.push(drain.clone());
    }
    let text = document::render(&new);
    let new = document::parse("the changed document", &text)?;
    let change = Change {
        old,
        base: current.revision,
        new,
        text,
    };
    put(config, &client, change, yes).await
}
