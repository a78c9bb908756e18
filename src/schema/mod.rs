//! The schema framework for YAML files. Each type lists its fields once; reading, writing,
//! comparing, describing and the console's forms are visitors over that list.

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
    /// Key in the YAML mapping.
    pub key: &'static str,
    /// Purpose of the field, shown in messages and generated pages.
    pub doc: &'static str,
    /// Whether a text without this key is refused.
    pub required: bool,
}

impl Field {
    /// Describes a field that every text must contain.
    pub const fn required(key: &'static str, doc: &'static str) -> Self {
        Self {
            key,
            doc,
            required: true,
        }
    }

    /// Describes a field that keeps its default when the key is missing.
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
    /// Sets the value from its text. The error is a short message for the user.
    fn parse(&mut self, text: &str) -> Result<(), String>;
    /// Returns the canonical text, or `None` when the value is absent.
    fn text(&self) -> Option<String>;
    /// Describes the expected format in a few words, with an example.
    fn expected(&self) -> String;
    /// Returns the allowed words; empty unless the value is an enumeration.
    fn choices(&self) -> Vec<&'static str> {
        Vec::new()
    }
}

/// A value written as a YAML mapping with known keys.
pub trait Record {
    /// Calls the visitor for each field, always in the same order.
    fn visit(&mut self, v: &mut dyn Visitor);
    /// Returns a record in which every optional field has its default.
    fn initial() -> Self
    where
        Self: Sized;
    /// Returns the same as `initial`, callable on a trait object.
    fn blank(&self) -> Box<dyn Record>;
}

/// A YAML list of scalars.
pub trait Texts {
    /// Parses an element and appends it.
    fn push(&mut self, text: &str) -> Result<(), String>;
    /// Returns the canonical texts of all elements.
    fn all(&self) -> Vec<String>;
    /// Describes the expected format of an element in a few words.
    fn expected(&self) -> String;
    /// Removes all elements; a list in the text replaces the default list.
    fn clear(&mut self);
}

/// A collection of records: a YAML mapping from names, or a YAML list.
pub trait Records {
    /// Returns true for a mapping from names and false for a list.
    fn keyed(&self) -> bool;
    /// Adds a record with its defaults and calls `fill` on it. In a mapping, `name` is the key,
    /// and a record already there is filled again. In a list, `name` is the index to insert at;
    /// the record is appended if it is no valid index.
    fn add(&mut self, name: &str, fill: &mut dyn FnMut(&mut dyn Record));
    /// Calls `show` for each record with its name, or with its index in a list.
    fn each(&mut self, show: &mut dyn FnMut(&str, &mut dyn Record));
    /// Returns a record of the element type with its defaults.
    fn sample(&self) -> Box<dyn Record>;
    /// Removes the record with a name, or at an index of a list. Returns whether it existed.
    fn remove(&mut self, name: &str) -> bool;
}

/// Receives the fields of a record from [`Record::visit`].
pub trait Visitor {
    /// Visits a field with a single value.
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar);
    /// Visits a field with a list of scalars.
    fn texts(&mut self, field: Field, slot: &mut dyn Texts);
    /// Visits a field with a nested mapping.
    fn record(&mut self, field: Field, slot: &mut dyn Record);
    /// Visits a field with a collection of records.
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
