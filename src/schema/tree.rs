//! A record as a tree of canonical texts, the input for writing and comparing.

use super::{Field, Record, Records, Scalar, Texts, Visitor};

/// A node of a record's tree of canonical texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tree {
    /// A scalar.
    Scalar(String),
    /// A list of scalars.
    Texts(Vec<String>),
    /// A list of mappings.
    List(Vec<Tree>),
    /// A mapping: fields in schema order, or records by name.
    Map(Vec<(String, Tree)>),
}

impl Tree {
    /// Returns the value under a key; `None` for a missing key or a node that is no mapping.
    pub fn get(&self, key: &str) -> Option<&Self> {
        let Self::Map(pairs) = self else { return None };
        pairs.iter().find(|(k, _)| k == key).map(|(_, v)| v)
    }
}

/// Converts a record to a tree that includes all defaults.
pub fn to_tree(record: &mut dyn Record) -> Tree {
    let mut builder = Builder { pairs: Vec::new() };
    record.visit(&mut builder);
    Tree::Map(builder.pairs)
}

/// Visitor that builds the tree of one mapping.
struct Builder {
    pairs: Vec<(String, Tree)>,
}

impl Builder {
    fn put(&mut self, field: Field, tree: Tree) {
        self.pairs.push((field.key.to_owned(), tree));
    }
}

impl Visitor for Builder {
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar) {
        if let Some(text) = slot.text() {
            self.put(field, Tree::Scalar(text));
        }
    }

    fn texts(&mut self, field: Field, slot: &mut dyn Texts) {
        self.put(field, Tree::Texts(slot.all()));
    }

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        self.put(field, to_tree(slot));
    }

    fn records(&mut self, field: Field, slot: &mut dyn Records) {
        let mut pairs = Vec::new();
        slot.each(&mut |name, record| pairs.push((name.to_owned(), to_tree(record))));
        let tree = if slot.keyed() {
            Tree::Map(pairs)
        } else {
            Tree::List(pairs.into_iter().map(|(_, tree)| tree).collect())
        };
        self.put(field, tree);
    }
}
