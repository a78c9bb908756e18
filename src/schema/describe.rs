//! Renders a schema as Markdown: every key with its type, default and purpose.

use std::fmt::Write;

use super::{Field, Record, Records, Scalar, Texts, Visitor};

/// Describes a record as Markdown tables, one for each mapping, outer mappings first.
pub fn describe(title: &str, record: &mut dyn Record) -> String {
    let mut pending = vec![(title.to_owned(), String::new(), None)];
    let mut out = String::new();
    while !pending.is_empty() {
        let (title, path, nested): (String, String, Option<Box<dyn Record>>) = pending.remove(0);
        let mut rows = Rows {
            path,
            rows: String::new(),
            nested: Vec::new(),
        };
        match nested {
            Some(mut nested) => nested.visit(&mut rows),
            None => record.visit(&mut rows),
        }
        let _ = writeln!(out, "## {title}\n");
        let _ = writeln!(
            out,
            "| key | value | default | purpose |\n| --- | --- | --- | --- |"
        );
        let _ = writeln!(out, "{}", rows.rows);
        pending.extend(
            rows.nested
                .into_iter()
                .map(|(p, r)| (format!("`{p}`"), p, Some(r))),
        );
    }
    out
}

/// Visitor that collects one table row for each field of a mapping.
struct Rows {
    path: String,
    rows: String,
    /// Mappings within this one, by path; each gets a table of its own.
    nested: Vec<(String, Box<dyn Record>)>,
}

impl Rows {
    fn row(&mut self, field: Field, kind: &str, default: &str) {
        let default = match (field.required, default) {
            (true, _) => "required".to_owned(),
            (false, "") => "none".to_owned(),
            (false, text) => format!("`{text}`"),
        };
        let kind = kind.replace('|', "\\|");
        let _ = writeln!(
            self.rows,
            "| `{}` | {kind} | {default} | {} |",
            field.key, field.doc
        );
    }

    fn nest(&mut self, field: Field, suffix: &str, record: Box<dyn Record>) {
        let dot = if self.path.is_empty() { "" } else { "." };
        let path = format!("{}{dot}{}{suffix}", self.path, field.key);
        self.nested.push((path, record));
    }
}

impl Visitor for Rows {
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar) {
        let default = slot.text().unwrap_or_default();
        self.row(field, &slot.expected(), &default);
    }

    fn texts(&mut self, field: Field, slot: &mut dyn Texts) {
        let kind = format!("a list; each element {}", slot.expected());
        self.row(field, &kind, &format!("[{}]", slot.all().join(", ")));
    }

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        self.row(field, "a mapping, see below", "all its defaults");
        self.nest(field, "", slot.blank());
    }

    fn records(&mut self, field: Field, slot: &mut dyn Records) {
        let (kind, default, suffix) = if slot.keyed() {
            ("a mapping by name, see below", "{}", ".NAME")
        } else {
            ("a list of mappings, see below", "[]", "[]")
        };
        self.row(field, kind, default);
        self.nest(field, suffix, slot.sample());
    }
}
