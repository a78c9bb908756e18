//! `check`: documents and settings without a server.

use std::path::{Path, PathBuf};

use serde_json::json;

use super::config::{Config, FileKind};
use super::{Failure, files, output};
use crate::ExitCode;
use crate::document::{Document, Problems};
use crate::schema::{Record, Tree, to_tree, top_keys};
use crate::settings::{self, ControlSettings, EntrySettings};

pub(super) fn check(
    config: &Config,
    paths: &[PathBuf],
    kind: Option<FileKind>,
) -> Result<ExitCode, Failure> {
    let mut good = Vec::new();
    let mut bad = Vec::new();
    for path in paths {
        let kind = kind.unwrap_or_else(|| guess(path));
        match load(path, kind) {
            Ok(what) => good.push((path, what)),
            Err(problems) => bad.push(problems),
        }
    }
    let found = bad.iter().map(Problems::to_json);
    let found: Vec<_> = found
        .flat_map(|p| p.as_array().cloned())
        .flatten()
        .collect();
    output::result(config, &json!({ "problems": found }), || {
        let line = |(path, what): &(&PathBuf, String)| format!("{}: {what}\n", path.display());
        good.iter().map(line).collect()
    });
    for problems in &bad {
        output::complain(&output::problems_text(problems));
    }
    Ok(if bad.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::Invalid
    })
}

fn load(path: &Path, kind: FileKind) -> Result<String, Problems> {
    Ok(match kind {
        FileKind::Document => {
            let d = files::load(path)?.document;
            format!(
                "a document of cell {}: {} services, {} kinds, {} workloads, {} teams",
                d.cell,
                d.services.len(),
                d.kinds.len(),
                d.workloads.len(),
                d.teams.len()
            )
        }
        FileKind::Entry => {
            let s = settings::load_entry(path)?;
            format!("settings of entry host {} in {}", s.id, s.zone)
        }
        FileKind::Control => {
            let s = settings::load_control(path)?;
            format!("settings of a control replica in {}", s.zone)
        }
    })
}

/// The kind whose keys the file shares most.
fn guess(path: &Path) -> FileKind {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let keys = top_keys(&text);
    let shared = |tree: Tree| keys.iter().filter(|k| tree.get(k).is_some()).count();
    let entry = shared(to_tree(&mut EntrySettings::initial()));
    let control = shared(to_tree(&mut ControlSettings::initial()));
    let document = shared(to_tree(&mut Document::initial()));
    let most = entry.max(control).max(document);
    match most {
        n if n == document => FileKind::Document,
        n if n == entry => FileKind::Entry,
        _ => FileKind::Control,
    }
}
