//! Writes a record as canonical YAML: schema order, canonical units, defaults omitted.

use std::fmt::Write;

use super::tree::{Tree, to_tree};
use super::{Field, Record, Records, Scalar, Texts, Visitor};

/// Spaces of indentation per nesting level.
const INDENT: usize = 2;

/// Converts a record to a tree without the optional values that equal their defaults.
pub fn prune(record: &mut dyn Record) -> Tree {
    let defaults = to_tree(&mut *record.blank());
    let mut pruner = Pruner {
        defaults,
        pairs: Vec::new(),
    };
    record.visit(&mut pruner);
    Tree::Map(pruner.pairs)
}

/// Visitor that builds the tree of one mapping and omits defaults.
struct Pruner {
    defaults: Tree,
    pairs: Vec<(String, Tree)>,
}

impl Pruner {
    fn put(&mut self, field: Field, tree: Tree, full: &Tree) {
        let is_default = self.defaults.get(field.key) == Some(full);
        if field.required || !is_default {
            self.pairs.push((field.key.to_owned(), tree));
        }
    }
}

impl Visitor for Pruner {
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar) {
        if let Some(text) = slot.text() {
            let tree = Tree::Scalar(text);
            self.put(field, tree.clone(), &tree);
        }
    }

    fn texts(&mut self, field: Field, slot: &mut dyn Texts) {
        let tree = Tree::Texts(slot.all());
        self.put(field, tree.clone(), &tree);
    }

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        let full = to_tree(slot);
        let pruned = prune_against(slot, self.defaults.get(field.key));
        self.put(field, pruned, &full);
    }

    fn records(&mut self, field: Field, slot: &mut dyn Records) {
        let mut pairs = Vec::new();
        slot.each(&mut |name, record| pairs.push((name.to_owned(), prune(record))));
        let tree = if slot.keyed() {
            Tree::Map(pairs)
        } else {
            Tree::List(pairs.into_iter().map(|(_, tree)| tree).collect())
        };
        let empty = matches!(&tree, Tree::Map(p) if p.is_empty())
            || matches!(&tree, Tree::List(l) if l.is_empty());
        if field.required || !empty {
            self.pairs.push((field.key.to_owned(), tree));
        }
    }
}

/// Prunes a nested record against the defaults that its parent sets, which may differ from the
/// record type's own; those apply only when the parent has none.
fn prune_against(record: &mut dyn Record, defaults: Option<&Tree>) -> Tree {
    let blank = || to_tree(&mut *record.blank());
    let defaults = defaults.cloned().unwrap_or_else(blank);
    let mut pruner = Pruner {
        defaults,
        pairs: Vec::new(),
    };
    record.visit(&mut pruner);
    Tree::Map(pruner.pairs)
}

/// Formats a tree as YAML; empty unless the root is a mapping.
pub fn to_yaml(tree: &Tree) -> String {
    let mut out = String::new();
    if let Tree::Map(pairs) = tree {
        write_map(&mut out, pairs, 0);
    }
    out
}

fn write_map(out: &mut String, pairs: &[(String, Tree)], depth: usize) {
    for (key, value) in pairs {
        let pad = " ".repeat(depth * INDENT);
        let _ = write!(out, "{pad}{}:", scalar(key));
        write_value(out, value, depth);
    }
}

fn write_value(out: &mut String, value: &Tree, depth: usize) {
    match value {
        Tree::Scalar(text) => {
            let _ = writeln!(out, " {}", scalar(text));
        }
        Tree::Texts(items) => {
            let items: Vec<_> = items.iter().map(|t| scalar(t)).collect();
            let _ = writeln!(out, " [{}]", items.join(", "));
        }
        Tree::Map(pairs) if pairs.is_empty() => out.push_str(" {}\n"),
        Tree::Map(pairs) => {
            out.push('\n');
            write_map(out, pairs, depth + 1);
        }
        Tree::List(items) if items.is_empty() => out.push_str(" []\n"),
        Tree::List(items) => {
            out.push('\n');
            items
                .iter()
                .for_each(|item| write_item(out, item, depth + 1));
        }
    }
}

/// Writes a list element that is a mapping, with the first key after the dash.
fn write_item(out: &mut String, item: &Tree, depth: usize) {
    let Tree::Map(pairs) = item else { return };
    let mut inner = String::new();
    write_map(&mut inner, pairs, depth + 1);
    let pad = " ".repeat(depth * INDENT);
    let rest = inner.get((depth + 1) * INDENT..).unwrap_or("{}\n");
    let _ = write!(out, "{pad}- {rest}");
}

/// Formats a scalar as it is, or in double quotes where YAML would parse it differently.
fn scalar(text: &str) -> String {
    let starts = text.starts_with(|c: char| c.is_ascii_alphanumeric() || c == '/');
    let inner = |c: char| c.is_ascii_alphanumeric() || " ._/%+-".contains(c);
    let plain = starts && text.chars().all(inner) && !text.ends_with(' ');
    if plain && text != "null" {
        return text.to_owned();
    }
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            '\n' => out.push_str("\\n"),
            '\t' => out.push_str("\\t"),
            c if c.is_ascii() && !c.is_control() => out.push(c),
            c if u32::from(c) > 0xFFFF => {
                let _ = write!(out, "\\U{:08X}", u32::from(c));
            }
            c if c.is_alphanumeric() => out.push(c),
            c => {
                let _ = write!(out, "\\u{:04X}", u32::from(c));
            }
        }
    }
    out.push('"');
    out
}
