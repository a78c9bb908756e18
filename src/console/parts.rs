//! Parts of the document that one form edits, found by the schema.

use crate::document::Document;
use crate::schema::{Field, Record, Records, Scalar, Texts, Tree, Visitor, check_name, prune};

use super::forms::{Typed, Wrong, fill};

/// Section of the values that stand at the document's root.
pub(super) const CELL: &str = "cell";
/// Form field that holds the name of a part.
pub(super) const NAME_FIELD: &str = "name";

/// How a section holds its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shape {
    /// It is one part.
    Single,
    /// Parts have names.
    Named,
    /// Parts have positions.
    Listed,
}

/// A section of the document.
pub(super) struct Section {
    pub(super) key: &'static str,
    pub(super) doc: &'static str,
    pub(super) shape: Shape,
    /// Name or position of each part, with what it says.
    pub(super) parts: Vec<(String, Tree)>,
}

/// All sections in the order of the schema.
pub(super) fn sections(document: &Document) -> Vec<Section> {
    let mut lister = Lister {
        root: Vec::new(),
        sections: Vec::new(),
    };
    document.clone().visit(&mut lister);
    let cell = Section {
        key: CELL,
        doc: "Name, region and availability zones.",
        shape: Shape::Single,
        parts: vec![(String::new(), Tree::Map(lister.root))],
    };
    let mut sections = vec![cell];
    sections.append(&mut lister.sections);
    sections
}

struct Lister {
    root: Vec<(String, Tree)>,
    sections: Vec<Section>,
}

impl Visitor for Lister {
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar) {
        let text = slot.text().unwrap_or_default();
        self.root.push((field.key.to_owned(), Tree::Scalar(text)));
    }

    fn texts(&mut self, field: Field, slot: &mut dyn Texts) {
        self.root
            .push((field.key.to_owned(), Tree::Texts(slot.all())));
    }

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        self.sections.push(Section {
            key: field.key,
            doc: field.doc,
            shape: Shape::Single,
            parts: vec![(String::new(), prune(slot))],
        });
    }

    fn records(&mut self, field: Field, slot: &mut dyn Records) {
        let mut parts = Vec::new();
        slot.each(&mut |name, record| parts.push((name.to_owned(), prune(record))));
        let shape = if slot.keyed() {
            Shape::Named
        } else {
            Shape::Listed
        };
        self.sections.push(Section {
            key: field.key,
            doc: field.doc,
            shape,
            parts,
        });
    }
}

/// Shows one part to `show`; an empty name stands for a new one. Tells whether it is there.
pub(super) fn with_part(
    document: &mut Document,
    section: &str,
    name: &str,
    show: &mut dyn FnMut(&mut dyn Record),
) -> bool {
    if section == CELL {
        show(document);
        return true;
    }
    let mut found = false;
    let mut finder = Finder {
        section,
        act: &mut |holder| match holder {
            Holder::One(record) => {
                show(record);
                found = true;
            }
            Holder::Many(records) if name.is_empty() => {
                show(&mut *records.sample());
                found = true;
            }
            Holder::Many(records) => records.each(&mut |key, record| {
                if key == name {
                    show(record);
                    found = true;
                }
            }),
        },
    };
    document.visit(&mut finder);
    found
}

/// What a form does with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Puts what was typed in its place.
    Save,
    /// Takes it out of the document.
    Remove,
}

/// Changes one part as typed; gives what is wrong by form field.
pub(super) fn change(
    document: &mut Document,
    section: &str,
    name: &str,
    action: Action,
    typed: &Typed,
) -> Wrong {
    if section == CELL {
        return fill(document, typed, true);
    }
    let mut wrong = Wrong::new();
    let mut finder = Finder {
        section,
        act: &mut |holder| {
            wrong = match holder {
                Holder::One(record) => fill(record, typed, false),
                Holder::Many(records) => change_one(records, name, action, typed),
            };
        },
    };
    document.visit(&mut finder);
    wrong
}

fn change_one(records: &mut dyn Records, name: &str, action: Action, typed: &Typed) -> Wrong {
    let mut wrong = Wrong::new();
    if !name.is_empty() && !records.remove(name) {
        let gone = "It was removed meanwhile.".to_owned();
        wrong.insert(NAME_FIELD.to_owned(), gone);
        return wrong;
    }
    if action == Action::Remove {
        return wrong;
    }
    let new_name = typed.get(NAME_FIELD).map_or("", |n| n.trim());
    if records.keyed() {
        if let Err(why) = check_name(new_name) {
            wrong.insert(NAME_FIELD.to_owned(), why);
        }
        let mut taken = false;
        records.each(&mut |key, _| taken |= key == new_name);
        if taken {
            let why = "This name is taken.".to_owned();
            wrong.insert(NAME_FIELD.to_owned(), why);
            return wrong;
        }
    }
    let place = if records.keyed() { new_name } else { name };
    records.add(place, &mut |record| {
        wrong.append(&mut fill(record, typed, false));
    });
    wrong
}

/// What a section holds.
enum Holder<'a> {
    One(&'a mut dyn Record),
    Many(&'a mut dyn Records),
}

/// Visitor that acts on the section with a key.
struct Finder<'a> {
    section: &'a str,
    act: &'a mut dyn FnMut(Holder<'_>),
}

impl Visitor for Finder<'_> {
    fn scalar(&mut self, _field: Field, _slot: &mut dyn Scalar) {}

    fn texts(&mut self, _field: Field, _slot: &mut dyn Texts) {}

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        if field.key == self.section {
            (self.act)(Holder::One(slot));
        }
    }

    fn records(&mut self, field: Field, slot: &mut dyn Records) {
        if field.key == self.section {
            (self.act)(Holder::Many(slot));
        }
    }
}
