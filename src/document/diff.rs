//! What changes between two documents, and what the cell will do about it.

use std::fmt::Write;

use serde::Serialize;

use super::effects::effects;
use super::model::Document;
use crate::schema::{Tree, prune, to_tree, to_yaml};

/// Keys that tell the elements of a list apart.
const IDENTITY_KEYS: &[&str] = &["name", "prefix", "worker", "zone", "rack"];

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum Change {
    /// Something is there that was not.
    Added {
        /// Keys from the root; elements of lists by what tells them apart.
        path: String,
        /// As YAML.
        value: String,
    },
    /// Something is gone.
    Removed {
        /// Keys from the root.
        path: String,
        /// As YAML.
        value: String,
    },
    /// A value is another.
    Changed {
        /// Keys from the root.
        path: String,
        /// Value before.
        old: String,
        /// Value after.
        new: String,
    },
}

/// All changes between two documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// In the order of the schema.
    pub changes: Vec<Change>,
    /// What the cell will do, a sentence each.
    pub effects: Vec<String>,
}

impl Diff {
    /// Whether the documents say the same.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// A page for people.
    pub fn to_text(&self) -> String {
        if self.is_empty() {
            return "no difference\n".to_owned();
        }
        let mut out = String::new();
        for change in &self.changes {
            write_change(&mut out, change);
        }
        if !self.effects.is_empty() {
            out.push_str("\nthis will:\n");
        }
        for effect in &self.effects {
            let _ = writeln!(out, "  {effect}");
        }
        out
    }
}

fn write_change(out: &mut String, change: &Change) {
    let (sign, path, value) = match change {
        Change::Added { path, value } => ('+', path, value),
        Change::Removed { path, value } => ('-', path, value),
        Change::Changed { path, old, new } => {
            let _ = writeln!(out, "~ {path}: {old} -> {new}");
            return;
        }
    };
    if value.ends_with('\n') {
        let _ = writeln!(out, "{sign} {path}:");
        for line in value.lines() {
            let _ = writeln!(out, "{sign}   {line}");
        }
    } else {
        let _ = writeln!(out, "{sign} {path}: {value}");
    }
}

/// Compares two documents.
pub fn diff(old: &Document, new: &Document) -> Diff {
    let side = |d: &Document| Side {
        full: to_tree(&mut d.clone()),
        short: Some(prune(&mut d.clone())),
    };
    let mut changes = Vec::new();
    compare("", &side(old), &side(new), &mut changes);
    Diff {
        changes,
        effects: effects(old, new),
    }
}

/// A tree with every default, and the same without them for showing whole parts.
struct Side {
    full: Tree,
    short: Option<Tree>,
}

impl Side {
    fn text(&self) -> String {
        match self.short.as_ref().unwrap_or(&self.full) {
            Tree::Scalar(text) => text.clone(),
            Tree::Texts(items) => format!("[{}]", items.join(", ")),
            Tree::List(items) => format!("{} elements", items.len()),
            map @ Tree::Map(_) => to_yaml(map),
        }
    }

    /// The parts by key, or by what tells list elements apart.
    fn parts(&self) -> Option<Vec<(String, Self)>> {
        match &self.full {
            Tree::Map(pairs) => {
                let part = |(key, full): &(String, Tree)| {
                    let short = self.short.as_ref().and_then(|s| s.get(key));
                    (key.clone(), Self::new(full, short))
                };
                Some(pairs.iter().map(part).collect())
            }
            Tree::List(items) => {
                let part = |(i, full): (usize, &Tree)| {
                    let short = match &self.short {
                        Some(Tree::List(items)) => items.get(i),
                        _ => None,
                    };
                    (identity(full), Self::new(full, short))
                };
                Some(items.iter().enumerate().map(part).collect())
            }
            Tree::Scalar(_) | Tree::Texts(_) => None,
        }
    }

    fn new(full: &Tree, short: Option<&Tree>) -> Self {
        Self {
            full: full.clone(),
            short: short.cloned(),
        }
    }
}

fn identity(element: &Tree) -> String {
    let named = IDENTITY_KEYS
        .iter()
        .filter_map(|key| match element.get(key) {
            Some(Tree::Scalar(text)) => Some(text.as_str()),
            _ => None,
        });
    named.collect::<Vec<_>>().join(" ")
}

fn compare(path: &str, old: &Side, new: &Side, changes: &mut Vec<Change>) {
    if old.full == new.full {
        return;
    }
    let (Some(before), Some(after)) = (old.parts(), new.parts()) else {
        changes.push(Change::Changed {
            path: path.to_owned(),
            old: old.text(),
            new: new.text(),
        });
        return;
    };
    let list = matches!(new.full, Tree::List(_));
    let child = |key: &str| match (path, list) {
        ("", _) => key.to_owned(),
        (_, true) => format!("{path}[{key}]"),
        (_, false) => format!("{path}.{key}"),
    };
    let earlier = changes.len();
    for (key, was) in &before {
        match after.iter().find(|(k, _)| k == key) {
            Some((_, is)) => compare(&child(key), was, is, changes),
            None => changes.push(Change::Removed {
                path: child(key),
                value: was.text(),
            }),
        }
    }
    for (key, is) in &after {
        if !before.iter().any(|(k, _)| k == key) {
            changes.push(Change::Added {
                path: child(key),
                value: is.text(),
            });
        }
    }
    if list && changes.len() == earlier {
        changes.push(Change::Changed {
            path: path.to_owned(),
            old: "in another order".to_owned(),
            new: "in this order".to_owned(),
        });
    }
}
