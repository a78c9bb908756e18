//! Parses YAML text into a tree of nodes with their positions, within fixed limits on size and
//! nesting.

use std::collections::HashMap;
use std::rc::Rc;

use saphyr_parser::{Event, Marker, Parser, ScalarStyle, ScanError};

/// Maximum size of a text in bytes.
pub const MAX_BYTES: usize = 1024 * 1024;
/// Maximum nesting depth of mappings and lists.
pub const MAX_DEPTH: usize = 16;
/// Maximum number of values; the values behind an alias count each time it is used.
pub const MAX_NODES: usize = 200_000;

/// A value with its position in the text.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) at: Marker,
    pub(crate) end: Marker,
    pub(crate) value: Value,
    /// Number of values in this subtree, with aliases expanded.
    size: usize,
    /// Levels of mappings and lists in this subtree; 0 for a scalar.
    depth: usize,
}

#[derive(Debug)]
pub(crate) enum Value {
    /// A key without a value, or an unquoted `null` or `~`.
    Empty,
    Scalar(String),
    List(Vec<Rc<Node>>),
    Map(Vec<(Rc<Node>, Rc<Node>)>),
}

impl Value {
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Empty => "nothing",
            Self::Scalar(_) => "a single value",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

/// An error in the YAML syntax or a limit exceeded, with its position.
#[derive(Debug)]
pub(crate) struct YamlError {
    pub(crate) at: Marker,
    pub(crate) message: String,
}

impl From<ScanError> for YamlError {
    fn from(e: ScanError) -> Self {
        Self {
            at: *e.marker(),
            message: format!("this is no valid YAML: {}", e.info()),
        }
    }
}

/// A mapping or list whose end event has not been read yet.
struct OpenCollection {
    at: Marker,
    anchor: usize,
    map: bool,
    /// List elements, or alternating keys and values of a mapping.
    children: Vec<Rc<Node>>,
}

#[derive(Default)]
struct Loader {
    open: Vec<OpenCollection>,
    anchors: HashMap<usize, Rc<Node>>,
    /// Values so far, with aliases expanded.
    nodes: usize,
    root: Option<Rc<Node>>,
}

/// Parses a text with one YAML document; `None` if the text is empty.
pub(crate) fn load(text: &str) -> Result<Option<Rc<Node>>, YamlError> {
    let mut loader = Loader::default();
    for event in Parser::new_from_str(text) {
        let (event, span) = event?;
        loader.handle_event(event, span.start, span.end)?;
    }
    Ok(loader.root)
}

impl Loader {
    fn handle_event(&mut self, event: Event<'_>, at: Marker, end: Marker) -> Result<(), YamlError> {
        match event {
            Event::Scalar(text, style, anchor, _) => {
                let plain = matches!(style, ScalarStyle::Plain);
                let empty = plain && matches!(&*text, "" | "~" | "null");
                let value = if empty {
                    Value::Empty
                } else {
                    Value::Scalar(text.into_owned())
                };
                self.add_new(at, end, anchor, value, 1, 0)
            }
            Event::Alias(id) => match self.anchors.get(&id).cloned() {
                Some(node) => self.add_alias(node, at),
                None => Err(error_at(at, "this alias refers to itself")),
            },
            Event::SequenceStart(anchor, _) => self.begin_collection(at, anchor, false),
            Event::MappingStart(anchor, _) => self.begin_collection(at, anchor, true),
            Event::SequenceEnd | Event::MappingEnd => self.end_collection(end),
            Event::DocumentStart(_) if self.root.is_some() => Err(error_at(
                at,
                "a second YAML document begins here; one is expected",
            )),
            _ => Ok(()),
        }
    }

    fn begin_collection(&mut self, at: Marker, anchor: usize, map: bool) -> Result<(), YamlError> {
        if self.open.len() == MAX_DEPTH {
            let message = format!("this is nested deeper than {MAX_DEPTH} levels");
            return Err(error_at(at, message));
        }
        self.open.push(OpenCollection {
            at,
            anchor,
            map,
            children: Vec::new(),
        });
        Ok(())
    }

    fn end_collection(&mut self, end: Marker) -> Result<(), YamlError> {
        let Some(open) = self.open.pop() else {
            return Ok(());
        };
        let size = 1 + open.children.iter().map(|n| n.size).sum::<usize>();
        let depth = 1 + open.children.iter().map(|n| n.depth).max().unwrap_or(0);
        let value = if open.map {
            let mut children = open.children.into_iter();
            let mut pairs = Vec::new();
            while let (Some(key), Some(value)) = (children.next(), children.next()) {
                pairs.push((key, value));
            }
            Value::Map(pairs)
        } else {
            Value::List(open.children)
        };
        self.add_new(open.at, end, open.anchor, value, size, depth)
    }

    fn add_new(
        &mut self,
        at: Marker,
        end: Marker,
        anchor: usize,
        value: Value,
        size: usize,
        depth: usize,
    ) -> Result<(), YamlError> {
        let node = Rc::new(Node {
            at,
            end,
            value,
            size,
            depth,
        });
        if anchor != 0 {
            self.anchors.insert(anchor, Rc::clone(&node));
        }
        // The children of a mapping or list have been counted already, each when it ended.
        self.nodes += 1;
        self.attach(node, at)
    }

    fn add_alias(&mut self, node: Rc<Node>, at: Marker) -> Result<(), YamlError> {
        // Nested aliases grow exponentially: a list of ten aliases to such a list is ten times
        // as large with each line. Counting the expanded size at each alias refuses such a text
        // before anything walks the tree.
        self.nodes = self.nodes.saturating_add(node.size);
        if self.open.len() + node.depth > MAX_DEPTH {
            let message = format!("this is nested deeper than {MAX_DEPTH} levels");
            return Err(error_at(at, message));
        }
        self.attach(node, at)
    }

    fn attach(&mut self, node: Rc<Node>, at: Marker) -> Result<(), YamlError> {
        if self.nodes > MAX_NODES {
            let message = format!("there are more than {MAX_NODES} values up to here");
            return Err(error_at(at, message));
        }
        match self.open.last_mut() {
            Some(open) => open.children.push(node),
            None => self.root = Some(node),
        }
        Ok(())
    }
}

fn error_at(at: Marker, message: impl Into<String>) -> YamlError {
    YamlError {
        at,
        message: message.into(),
    }
}

impl Node {
    /// Returns a node at the same position without a value.
    pub(crate) fn without_value(&self) -> Self {
        Self {
            at: self.at,
            end: self.end,
            value: Value::Empty,
            size: 1,
            depth: 0,
        }
    }
}
