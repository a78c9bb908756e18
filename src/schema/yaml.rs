//! YAML text to a tree of nodes with their places, within stated bounds.

use std::collections::HashMap;
use std::rc::Rc;

use saphyr_parser::{Event, Marker, Parser, ScalarStyle, ScanError};

/// Largest text in bytes.
pub const MAX_BYTES: usize = 1024 * 1024;
/// Deepest nesting of mappings and lists.
pub const MAX_DEPTH: usize = 16;
/// Most values, counting those behind an alias each time they are used.
pub const MAX_NODES: usize = 200_000;

/// A value with its place.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) at: Marker,
    pub(crate) end: Marker,
    pub(crate) value: Value,
    size: usize,
    depth: usize,
}

#[derive(Debug)]
pub(crate) enum Value {
    /// No value was given.
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

/// Why a text is no tree.
#[derive(Debug)]
pub(crate) struct Malformed {
    pub(crate) at: Marker,
    pub(crate) message: String,
}

impl From<ScanError> for Malformed {
    fn from(e: ScanError) -> Self {
        Self {
            at: *e.marker(),
            message: format!("this is no valid YAML: {}", e.info()),
        }
    }
}

/// A mapping or list whose end has not been read.
struct Open {
    at: Marker,
    anchor: usize,
    map: bool,
    children: Vec<Rc<Node>>,
}

#[derive(Default)]
struct Loader {
    open: Vec<Open>,
    anchors: HashMap<usize, Rc<Node>>,
    nodes: usize,
    root: Option<Rc<Node>>,
}

/// Reads the one YAML document of a text.
pub(crate) fn load(text: &str) -> Result<Option<Rc<Node>>, Malformed> {
    let mut loader = Loader::default();
    for event in Parser::new_from_str(text) {
        let (event, span) = event?;
        loader.take(event, span.start, span.end)?;
    }
    Ok(loader.root)
}

impl Loader {
    fn take(&mut self, event: Event<'_>, at: Marker, end: Marker) -> Result<(), Malformed> {
        match event {
            Event::Scalar(text, style, anchor, _) => {
                let plain = matches!(style, ScalarStyle::Plain);
                let empty = plain && matches!(&*text, "" | "~" | "null");
                let value = if empty {
                    Value::Empty
                } else {
                    Value::Scalar(text.into_owned())
                };
                self.close(at, end, anchor, value, 1, 0)
            }
            Event::Alias(id) => match self.anchors.get(&id).cloned() {
                Some(node) => self.add(node, at),
                None => Err(refuse(at, "this alias refers to itself")),
            },
            Event::SequenceStart(anchor, _) => self.begin(at, anchor, false),
            Event::MappingStart(anchor, _) => self.begin(at, anchor, true),
            Event::SequenceEnd | Event::MappingEnd => self.finish(end),
            Event::DocumentStart(_) if self.root.is_some() => Err(refuse(
                at,
                "a second YAML document begins here; one is expected",
            )),
            _ => Ok(()),
        }
    }

    fn begin(&mut self, at: Marker, anchor: usize, map: bool) -> Result<(), Malformed> {
        if self.open.len() == MAX_DEPTH {
            let message = format!("this is nested deeper than {MAX_DEPTH} levels");
            return Err(refuse(at, message));
        }
        self.open.push(Open {
            at,
            anchor,
            map,
            children: Vec::new(),
        });
        Ok(())
    }

    fn finish(&mut self, end: Marker) -> Result<(), Malformed> {
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
        self.close(open.at, end, open.anchor, value, size, depth)
    }

    fn close(
        &mut self,
        at: Marker,
        end: Marker,
        anchor: usize,
        value: Value,
        size: usize,
        depth: usize,
    ) -> Result<(), Malformed> {
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
        // The parts of a mapping or list were counted when they closed.
        self.nodes += 1;
        self.attach(node, at)
    }

    fn add(&mut self, node: Rc<Node>, at: Marker) -> Result<(), Malformed> {
        // An alias to a list of aliases grows tenfold a line. Counting what stands behind each
        // alias stops that before anything walks the tree.
        self.nodes = self.nodes.saturating_add(node.size);
        if self.open.len() + node.depth > MAX_DEPTH {
            let message = format!("this is nested deeper than {MAX_DEPTH} levels");
            return Err(refuse(at, message));
        }
        self.attach(node, at)
    }

    fn attach(&mut self, node: Rc<Node>, at: Marker) -> Result<(), Malformed> {
        if self.nodes > MAX_NODES {
            let message = format!("there are more than {MAX_NODES} values up to here");
            return Err(refuse(at, message));
        }
        match self.open.last_mut() {
            Some(open) => open.children.push(node),
            None => self.root = Some(node),
        }
        Ok(())
    }
}

fn refuse(at: Marker, message: impl Into<String>) -> Malformed {
    Malformed {
        at,
        message: message.into(),
    }
}

impl Node {
    /// A node at the same place without a value.
    pub(crate) fn emptied(&self) -> Self {
        Self {
            at: self.at,
            end: self.end,
            value: Value::Empty,
            size: 1,
            depth: 0,
        }
    }
}
