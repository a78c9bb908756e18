//! Forms made from the schema: fields out of a record, and a record out of what was typed.

use std::collections::BTreeMap;

use maud::{Markup, html};

use crate::schema::{Field, Record, Records, Scalar, Texts, Tree, Visitor, to_tree};

/// Texts by field name.
pub(super) type Typed = BTreeMap<String, String>;
/// What is wrong, by field name.
pub(super) type Wrong = BTreeMap<String, String>;

/// Stands before the names of fields that come from the schema.
const PREFIX: &str = "f.";

/// Name of the form field for a path within the record.
pub(super) fn field_name(path: &str) -> String {
    format!("{PREFIX}{path}")
}

/// How a record is shown.
#[derive(Clone, Copy)]
pub(super) struct Shown<'a> {
    /// What was typed before, to be kept.
    pub(super) typed: &'a Typed,
    /// What is wrong with it.
    pub(super) wrong: &'a Wrong,
    /// Whether the record is new, so that required fields start empty.
    pub(super) new: bool,
    /// Whether records within it are left out.
    pub(super) shallow: bool,
    /// Names that fields of certain keys are to be taken from.
    pub(super) names: &'a [(&'static str, Vec<String>)],
}

/// The fields of a record.
pub(super) fn fields(record: &mut dyn Record, shown: Shown<'_>) -> Markup {
    let mut writer = Writer {
        shown,
        path: String::new(),
        out: Vec::new(),
    };
    record.visit(&mut writer);
    html! {
        @for (key, names) in shown.names {
            datalist id=(list_id(key)) { @for name in names { option value=(name) {} } }
        }
        @for field in &writer.out { (field) }
    }
}

fn list_id(key: &str) -> String {
    format!("names-of-{key}")
}

struct Writer<'a> {
    shown: Shown<'a>,
    path: String,
    out: Vec<Markup>,
}

impl Writer<'_> {
    fn input(&mut self, field: Field, value: String, expected: &str, choices: &[&str]) {
        let name = field_name(&format!("{}{}", self.path, field.key));
        let fresh = self.shown.new && field.required;
        let value = match self.shown.typed.get(&name) {
            Some(typed) => typed.clone(),
            None if fresh => String::new(),
            None => value,
        };
        let wrong = self.shown.wrong.get(&name);
        let hint = format!("{name}-hint");
        let named = self.shown.names.iter().any(|(key, _)| *key == field.key);
        let list = named.then(|| list_id(field.key));
        self.out.push(html! {
            div.field {
                label for=(name) { (field.key) @if field.required { span.needed { " (required)" } } }
                @if choices.is_empty() {
                    input id=(name) name=(name) value=(value) required[field.required]
                        autocomplete="off" list=[list] aria-describedby=(hint) aria-invalid[wrong.is_some()];
                } @else {
                    select id=(name) name=(name) aria-describedby=(hint) {
                        @for choice in choices {
                            option value=(choice) selected[*choice == value] { (choice) }
                        }
                    }
                }
                p.hint id=(hint) {
                    (field.doc)
                    @if choices.is_empty() { " Give " (expected) "." }
                    @if let Some(wrong) = wrong { strong.wrong { " " (wrong) } }
                }
            }
        });
    }
}

impl Visitor for Writer<'_> {
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar) {
        let value = slot.text().unwrap_or_default();
        self.input(field, value, &slot.expected(), &slot.choices());
    }

    fn texts(&mut self, field: Field, slot: &mut dyn Texts) {
        let expected = format!("a list with commas between, each {}", slot.expected());
        self.input(field, slot.all().join(", "), &expected, &[]);
    }

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        if self.shown.shallow {
            return;
        }
        let mut inner = Writer {
            shown: self.shown,
            path: format!("{}{}.", self.path, field.key),
            out: Vec::new(),
        };
        slot.visit(&mut inner);
        self.out.push(html! {
            fieldset {
                legend { (field.key) }
                p.hint { (field.doc) }
                @for field in &inner.out { (field) }
            }
        });
    }

    fn records(&mut self, _field: Field, _slot: &mut dyn Records) {}
}

/// Fills a record from what was typed; an empty optional field gets its default.
pub(super) fn fill(record: &mut dyn Record, typed: &Typed, shallow: bool) -> Wrong {
    let defaults = to_tree(&mut *record.blank());
    let mut filler = Filler {
        typed,
        defaults: Some(defaults),
        shallow,
        path: String::new(),
        wrong: Wrong::new(),
    };
    record.visit(&mut filler);
    filler.wrong
}

struct Filler<'a> {
    typed: &'a Typed,
    defaults: Option<Tree>,
    shallow: bool,
    path: String,
    wrong: Wrong,
}

impl Filler<'_> {
    /// The name of the form field and what was typed into it.
    fn typed(&mut self, field: Field) -> (String, String) {
        let name = field_name(&format!("{}{}", self.path, field.key));
        let text = self.typed.get(&name).cloned().unwrap_or_default();
        if text.trim().is_empty() && field.required {
            self.wrong
                .insert(name.clone(), "This is missing.".to_owned());
        }
        (name, text)
    }

    fn default(&self, field: Field) -> Option<&Tree> {
        self.defaults.as_ref().and_then(|d| d.get(field.key))
    }
}

impl Visitor for Filler<'_> {
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar) {
        let (name, text) = self.typed(field);
        let filled = if !text.trim().is_empty() {
            slot.parse(&text)
        } else if let Some(Tree::Scalar(default)) = self.default(field) {
            slot.parse(default)
        } else {
            Ok(())
        };
        if let Err(why) = filled {
            self.wrong.entry(name).or_insert(why);
        }
    }

    fn texts(&mut self, field: Field, slot: &mut dyn Texts) {
        let (name, text) = self.typed(field);
        slot.clear();
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        for item in items {
            if let Err(why) = slot.push(item) {
                self.wrong.insert(name.clone(), format!("`{item}`: {why}"));
            }
        }
    }

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        if self.shallow {
            return;
        }
        let mut inner = Filler {
            typed: self.typed,
            defaults: self.default(field).cloned(),
            shallow: false,
            path: format!("{}{}.", self.path, field.key),
            wrong: Wrong::new(),
        };
        slot.visit(&mut inner);
        self.wrong.append(&mut inner.wrong);
    }

    fn records(&mut self, _field: Field, _slot: &mut dyn Records) {}
}
