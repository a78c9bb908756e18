//! Compares two documents: the changed values and their effects on the cell.

use std::fmt::Write;

use serde::Serialize;

use super::effects::effects;
use super::model::Document;
use crate::schema::{Tree, prune, to_tree, to_yaml};

/// Keys whose values together identify an element of a list.
const IDENTITY_KEYS: &[&str] = &["name", "prefix", "worker", "zone", "rack"];

/// A change of one value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum Change {
    /// The value exists only in the new document.
    Added {
        /// Keys from the root; list elements by their identifying values, in brackets.
        path: String,
        /// The value as YAML, without defaults.
        value: String,
    },
    /// The value exists only in the old document.
    Removed {
        /// Keys from the root.
        path: String,
        /// The value as YAML, without defaults.
        value: String,
    },
    /// The value differs, or the order of a list does.
    Changed {
        /// Keys from the root.
        path: String,
        /// Canonical text in the old document.
        old: String,
        /// Canonical text in the new document.
        new: String,
    },
}

/// All changes between two documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Changes in schema order.
    pub changes: Vec<Change>,
    /// Actions that the cell takes once the new document is applied, a sentence each.
    pub effects: Vec<String>,
}

impl Diff {
    /// Returns true if the documents are equal, defaults included.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Formats the diff for a terminal.
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
    let trees = |d: &Document| ValueTrees {
        full: to_tree(&mut d.clone()),
        pruned: Some(prune(&mut d.clone())),
    };
    let mut changes = Vec::new();
    compare("", &trees(old), &trees(new), &mut changes);
    Diff {
        changes,
        effects: effects(old, new),
    }
}

/// A value of one of the documents.
struct ValueTrees {
    /// With all defaults, for comparing.
    full: Tree,
    /// Without defaults, for printing; `None` for a value that equals its default.
    pruned: Option<Tree>,
}

impl ValueTrees {
    fn text(&self) -> String {
        match self.pruned.as_ref().unwrap_or(&self.full) {
            Tree::Scalar(text) => text.clone(),
            Tree::Texts(items) => format!("[{}]", items.join(", ")),
            Tree::List(items) => format!("{} elements", items.len()),
            map @ Tree::Map(_) => to_yaml(map),
        }
    }

    /// Returns the children by key, or by `identity` for list elements; `None` for a leaf.
    fn children(&self) -> Option<Vec<(String, Self)>> {
        match &self.full {
            Tree::Map(pairs) => {
                let child_trees = |(key, full): &(String, Tree)| {
                    let pruned = self.pruned.as_ref().and_then(|s| s.get(key));
                    (key.clone(), Self::new(full, pruned))
                };
                Some(pairs.iter().map(child_trees).collect())
            }
            Tree::List(items) => {
                let child_trees = |(i, full): (usize, &Tree)| {
                    let pruned = match &self.pruned {
                        Some(Tree::List(items)) => items.get(i),
                        _ => None,
                    };
                    (identity(full), Self::new(full, pruned))
                };
                Some(items.iter().enumerate().map(child_trees).collect())
            }
            Tree::Scalar(_) | Tree::Texts(_) => None,
        }
    }

    fn new(full: &Tree, pruned: Option<&Tree>) -> Self {
        Self {
            full: full.clone(),
            pruned: pruned.cloned(),
        }
    }
}

/// Joins the identifying values of a list element.
fn identity(element: &Tree) -> String {
    let named = IDENTITY_KEYS
        .iter()
        .filter_map(|key| match element.get(key) {
            Some(Tree::Scalar(text)) => Some(text.as_str()),
            _ => None,
        });
    named.collect::<Vec<_>>().join(" ")
}

fn compare(path: &str, old: &ValueTrees, new: &ValueTrees, changes: &mut Vec<Change>) {
    if old.full == new.full {
        return;
    }
    let (Some(before), Some(after)) = (old.children(), new.children()) else {
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
    let count_before = changes.len();
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
    if list && changes.len() == count_before {
        changes.push(Change::Changed {
            path: path.to_owned(),
            old: "in another order".to_owned(),
            new: "in this order".to_owned(),
        });
    }
}
