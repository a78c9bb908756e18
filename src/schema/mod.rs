//! One schema for everything written in YAML: each type lists its fields once, and reading,
//! writing, comparing, describing and the console's forms all walk that list.

mod describe;
mod problems;
mod read;
mod scalars;
mod tree;
mod units;
mod write;
mod yaml;

use std::collections::BTreeMap;

use compact_str::CompactString;

pub use describe::describe;
pub use problems::{Finding, Problem, Problems};
pub(crate) use read::{nearest, read_file, read_part};
pub use read::{read, read_with, top_keys};
pub(crate) use scalars::check_name;
pub use scalars::{
    Address, Addresses, Bytes, Choice, Chosen, Cores, Count, FilePath, Megabytes, Millipercent,
    Name, Names, OptionalAddress, OptionalName, OptionalPath, Part, Percent, Span, Text, Toggle,
};
pub use tree::{Tree, to_tree};
pub use write::{prune, to_yaml};
pub use yaml::{MAX_BYTES, MAX_DEPTH, MAX_NODES};

/// One field of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Key in YAML.
    pub key: &'static str,
    /// What it is for, in a plain sentence.
    pub doc: &'static str,
    /// Whether it must be given.
    pub required: bool,
}

impl Field {
    /// A field that must be given.
    pub const fn required(key: &'static str, doc: &'static str) -> Self {
        Self {
            key,
            doc,
            required: true,
        }
    }

    /// A field that has a default.
    pub const fn optional(key: &'static str, doc: &'static str) -> Self {
        Self {
            key,
            doc,
            required: false,
        }
    }
}

/// A value written as one YAML scalar.
pub trait Scalar {
    /// Takes a value from its text, or says in a few words what is wrong with it.
    fn parse(&mut self, text: &str) -> Result<(), String>;
    /// Gives the canonical text; none when the value is absent.
    fn text(&self) -> Option<String>;
    /// Says in a few words what is expected, with an example.
    fn expected(&self) -> String;
    /// The words allowed, when it is a choice.
    fn choices(&self) -> Vec<&'static str> {
        Vec::new()
    }
}

/// A value written as a YAML mapping with known keys.
pub trait Record {
    /// Shows each field to the visitor, always in the same order.
    fn visit(&mut self, v: &mut dyn Visitor);
    /// A record in which every optional field has its default.
    fn initial() -> Self
    where
        Self: Sized;
    /// The same as `initial`, behind the trait.
    fn blank(&self) -> Box<dyn Record>;
}

/// A YAML list of scalars.
pub trait Texts {
    /// Takes one more element.
    fn push(&mut self, text: &str) -> Result<(), String>;
    /// The elements.
    fn all(&self) -> Vec<String>;
    /// Says in a few words what an element is.
    fn expected(&self) -> String;
    /// Removes all elements.
    fn clear(&mut self);
}

/// Several records: a YAML mapping by name, or a list.
pub trait Records {
    /// Whether the records have names.
    fn keyed(&self) -> bool;
    /// Adds a record with its defaults and fills it in: under a name, or at a position of a
    /// list, else at its end.
    fn add(&mut self, name: &str, fill: &mut dyn FnMut(&mut dyn Record));
    /// Shows each record with its name, or its position in a list.
    fn each(&mut self, show: &mut dyn FnMut(&str, &mut dyn Record));
    /// A record with its defaults.
    fn sample(&self) -> Box<dyn Record>;
    /// Removes the record with a name, or at a position in a list. Tells whether there was one.
    fn remove(&mut self, name: &str) -> bool;
}

/// Walks the fields of a record.
pub trait Visitor {
    /// A scalar field.
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar);
    /// A list of scalars.
    fn texts(&mut self, field: Field, slot: &mut dyn Texts);
    /// A record within the record.
    fn record(&mut self, field: Field, slot: &mut dyn Record);
    /// Several records.
    fn records(&mut self, field: Field, slot: &mut dyn Records);
}

impl<T: Record + 'static> Records for BTreeMap<CompactString, T> {
    fn keyed(&self) -> bool {
        true
    }

    fn add(&mut self, name: &str, fill: &mut dyn FnMut(&mut dyn Record)) {
        fill(self.entry(name.into()).or_insert_with(T::initial));
    }

    fn each(&mut self, show: &mut dyn FnMut(&str, &mut dyn Record)) {
        for (name, record) in self {
            show(name, record);
        }
    }

    fn sample(&self) -> Box<dyn Record> {
        Box::new(T::initial())
    }

    fn remove(&mut self, name: &str) -> bool {
        BTreeMap::remove(self, name).is_some()
    }
}

impl<T: Record + 'static> Records for Vec<T> {
    fn keyed(&self) -> bool {
        false
    }

    fn add(&mut self, name: &str, fill: &mut dyn FnMut(&mut dyn Record)) {
        let mut record = T::initial();
        fill(&mut record);
        let at = name.parse().unwrap_or(self.len());
        self.insert(at.min(self.len()), record);
    }

    fn each(&mut self, show: &mut dyn FnMut(&str, &mut dyn Record)) {
        for (i, record) in self.iter_mut().enumerate() {
            show(&i.to_string(), record);
        }
    }

    fn sample(&self) -> Box<dyn Record> {
        Box::new(T::initial())
    }

    fn remove(&mut self, name: &str) -> bool {
        let found = name.parse().ok().filter(|i| *i < self.len());
        found.map(|i: usize| Vec::remove(self, i)).is_some()
    }
}
