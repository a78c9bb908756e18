//! From YAML text to a typed record, with every problem found on the way.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use miette::{NamedSource, SourceSpan};
use saphyr_parser::Marker;

use super::problems::{Finding, Problem, Problems};
use super::yaml::{self, MAX_BYTES, Node, Value};
use super::{Field, Record, Records, Scalar, Texts, Visitor};

/// Most problems shown for one text.
const MAX_PROBLEMS: usize = 100;
/// Least likeness (0 to 1) at which a known key is offered for an unknown one.
const LIKENESS: f64 = 0.6;
/// Longest piece of the text repeated in a message, in characters.
const MAX_QUOTE: usize = 60;

/// Places of the values of one text, by path.
#[derive(Debug, Default)]
pub(crate) struct Source {
    places: HashMap<String, (Marker, Marker)>,
}

impl Source {
    /// Place of the value, or of the nearest one that holds it.
    fn place(&self, path: &str) -> (Marker, Marker) {
        let mut path = path;
        loop {
            if let Some(place) = self.places.get(path) {
                return *place;
            }
            let Some((parent, _)) = path.rsplit_once('.') else {
                return self.places.get("").copied().unwrap_or_default();
            };
            path = parent;
        }
    }
}

/// Reads a record of type `T` from YAML text.
pub fn read<T: Record>(name: &str, text: &str) -> Result<T, Problems> {
    read_with(name, text, |_| Vec::new())
}

/// Reads a record and lets `check` look at it, so that all problems are told together.
pub fn read_with<T: Record>(
    name: &str,
    text: &str,
    check: impl FnOnce(&T) -> Vec<Finding>,
) -> Result<T, Problems> {
    read_from(name, text, Reader::default(), check)
}

/// Reads a part of a record, in which any top-level key may be missing.
pub(crate) fn read_part<T: Record>(name: &str, text: &str) -> Result<T, Problems> {
    let reader = Reader {
        partial: true,
        ..Reader::default()
    };
    read_from(name, text, reader, |_| Vec::new())
}

/// The keys of the mapping that a text holds; none if it holds no mapping.
pub fn top_keys(text: &str) -> Vec<String> {
    let root = load_bounded("", text).ok();
    let Some(Value::Map(pairs)) = root.as_ref().map(|root| &root.value) else {
        return Vec::new();
    };
    let keys = pairs.iter().filter_map(|(key, _)| match &key.value {
        Value::Scalar(name) => Some(name.clone()),
        _ => None,
    });
    keys.collect()
}

fn load_bounded(name: &str, text: &str) -> Result<Rc<Node>, Problems> {
    if text.len() > MAX_BYTES {
        let message = format!("{} bytes are over the limit of {MAX_BYTES}", text.len());
        return Err(Problems::whole(name, message, None));
    }
    match yaml::load(text) {
        Ok(Some(root)) => Ok(root),
        Ok(None) => Err(Problems::whole(name, "the text is empty", None)),
        Err(e) => {
            let found = Found::at(e.at, e.at, e.message);
            Err(problems(name, text, vec![found]))
        }
    }
}

fn read_from<T: Record>(
    name: &str,
    text: &str,
    mut reader: Reader,
    check: impl FnOnce(&T) -> Vec<Finding>,
) -> Result<T, Problems> {
    let root = load_bounded(name, text)?;
    let mut record = T::initial();
    reader.fill(&root, &mut record);
    let well_formed = reader.found.is_empty();
    let findings = check(&record);
    for finding in findings {
        // A value that could not be read keeps its default; what follows from that is no news.
        let place = reader.source.place(&finding.path);
        if well_formed || !reader.is_doubtful(&finding.path) {
            reader.found.push(Found {
                at: place.0,
                end: place.1,
                message: finding.message,
                help: finding.help,
            });
        }
    }
    if reader.found.is_empty() {
        return Ok(record);
    }
    Err(problems(name, text, reader.found))
}

/// Reads a file and then the record in it.
pub(crate) fn read_file<T>(
    path: &Path,
    parse: impl FnOnce(&str, &str) -> Result<T, Problems>,
) -> Result<T, Problems> {
    let name = path.display().to_string();
    let size = std::fs::metadata(path).map(|m| m.len()).unwrap_or(0);
    if size > MAX_BYTES as u64 {
        let message = format!("{size} bytes are over the limit of {MAX_BYTES}");
        return Err(Problems::whole(&name, message, None));
    }
    let bytes = std::fs::read(path)
        .map_err(|e| Problems::whole(&name, format!("the file can't be read: {e}"), None))?;
    let text = String::from_utf8(bytes).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        let message = format!("the text is not UTF-8: byte {at} is wrong");
        Problems::whole(&name, message, Some("save the file as UTF-8".to_owned()))
    })?;
    parse(&name, &text)
}

struct Found {
    at: Marker,
    end: Marker,
    message: String,
    help: Option<String>,
}

impl Found {
    fn at(at: Marker, end: Marker, message: impl Into<String>) -> Self {
        Self {
            at,
            end,
            message: message.into(),
            help: None,
        }
    }
}

fn problems(name: &str, text: &str, mut found: Vec<Found>) -> Problems {
    found.sort_by_key(|f| (f.at.line(), f.at.col()));
    let left_out = found.len().saturating_sub(MAX_PROBLEMS);
    found.truncate(MAX_PROBLEMS);
    let shared: Arc<str> = Arc::from(text);
    let byte_of = |m: Marker| {
        let nth = text.char_indices().nth(m.index());
        nth.map_or(text.len(), |(i, _)| i)
    };
    let mut problems: Vec<_> = found
        .into_iter()
        .map(|f| {
            let start = byte_of(f.at);
            let stop = byte_of(f.end).max(start);
            Problem {
                message: f.message,
                help: f.help,
                line: f.at.line().max(1),
                column: f.at.col() + 1,
                source_code: NamedSource::new(name, Arc::clone(&shared)),
                span: SourceSpan::from(start..stop),
            }
        })
        .collect();
    if left_out > 0
        && let Some(last) = problems.last_mut()
    {
        last.message += &format!(" (and {left_out} problems more)");
    }
    Problems {
        name: name.to_owned(),
        problems,
    }
}

/// Visitor that fills a record from the mapping on top of the stack.
#[derive(Default)]
struct Reader {
    source: Source,
    found: Vec<Found>,
    doubtful: Vec<String>,
    path: Vec<String>,
    stack: Vec<Frame>,
    /// Whether keys at the root may be missing.
    partial: bool,
}

/// The mapping being read.
struct Frame {
    node: Rc<Node>,
    known: Vec<&'static str>,
}

impl Reader {
    fn fill(&mut self, node: &Rc<Node>, record: &mut dyn Record) {
        self.note(node);
        if !matches!(node.value, Value::Map(_) | Value::Empty) {
            self.mismatch(node, "a mapping of keys and values");
            return;
        }
        self.stack.push(Frame {
            node: Rc::clone(node),
            known: Vec::new(),
        });
        record.visit(self);
        if let Some(frame) = self.stack.pop() {
            self.check_keys(&frame);
        }
    }

    fn check_keys(&mut self, frame: &Frame) {
        let Value::Map(pairs) = &frame.node.value else {
            return;
        };
        let mut seen: HashSet<&str> = HashSet::new();
        for (key, _) in pairs {
            let Value::Scalar(name) = &key.value else {
                self.mismatch(key, "a key");
                continue;
            };
            if !seen.insert(name) {
                let message = format!("`{}` is given twice", quote(name));
                self.found.push(Found::at(key.at, key.end, message));
            }
            if !frame.known.contains(&name.as_str()) {
                self.unknown_key(key, name, &frame.known);
            }
        }
    }

    fn unknown_key(&mut self, key: &Node, name: &str, known: &[&str]) {
        let mut found = Found::at(key.at, key.end, format!("unknown key `{}`", quote(name)));
        found.help = Some(match nearest(name, known.iter().copied()) {
            Some(near) => format!("did you mean `{near}`?"),
            None => format!("known keys here: {}", known.join(", ")),
        });
        self.found.push(found);
    }

    /// Finds a field's value in the current mapping; tells when a required one is missing.
    fn find(&mut self, field: Field) -> Option<Rc<Node>> {
        let frame = self.stack.last_mut()?;
        frame.known.push(field.key);
        let node = Rc::clone(&frame.node);
        let value = match &node.value {
            Value::Map(pairs) => pairs.iter().find_map(|(key, value)| match &key.value {
                Value::Scalar(name) if name == field.key => Some((Rc::clone(key), value)),
                _ => None,
            }),
            _ => None,
        };
        match value {
            Some((key, value)) if matches!(value.value, Value::Empty) && field.required => {
                let message = format!("`{}` has no value", field.key);
                self.found.push(Found::at(key.at, key.end, message));
                self.doubt(field.key);
                None
            }
            Some((_, value)) => Some(Rc::clone(value)),
            None if field.required && !(self.partial && self.path.is_empty()) => {
                let message = format!("`{}` is missing: {}", field.key, field.doc);
                self.found.push(Found::at(node.at, node.at, message));
                self.doubt(field.key);
                None
            }
            None => None,
        }
    }

    fn doubt(&mut self, key: &str) {
        self.path.push(key.to_owned());
        self.doubtful.push(self.path.join("."));
        self.path.pop();
    }

    fn is_doubtful(&self, path: &str) -> bool {
        let within = |d: &String| path.strip_prefix(d.as_str()).is_some_and(starts_path);
        self.doubtful.iter().any(within)
    }

    fn note(&mut self, node: &Node) {
        let path = self.path.join(".");
        self.source.places.insert(path, (node.at, node.end));
    }

    fn mismatch(&mut self, node: &Node, expected: &str) {
        let got = match &node.value {
            Value::Scalar(text) => format!("`{}`", quote(text)),
            other => other.kind().to_owned(),
        };
        let message = format!("expected {expected}, found {got}");
        self.found.push(Found::at(node.at, node.end, message));
        self.doubtful.push(self.path.join("."));
    }

    fn within(&mut self, key: &str, work: impl FnOnce(&mut Self)) {
        self.path.push(key.to_owned());
        work(self);
        self.path.pop();
    }

    fn text_of(&mut self, node: &Node, expected: &str) -> Option<String> {
        self.note(node);
        match &node.value {
            Value::Scalar(text) => Some(text.clone()),
            _ => {
                self.mismatch(node, expected);
                None
            }
        }
    }

    fn refuse(&mut self, node: &Node, text: &str, why: &str, choices: &[&str]) {
        let message = format!("`{}`: {why}", quote(text));
        let mut found = Found::at(node.at, node.end, message);
        found.help = nearest(text, choices.iter().copied()).map(|n| format!("did you mean `{n}`?"));
        self.found.push(found);
        self.doubtful.push(self.path.join("."));
    }
}

impl Visitor for Reader {
    fn scalar(&mut self, field: Field, slot: &mut dyn Scalar) {
        let Some(node) = self.find(field) else { return };
        if matches!(node.value, Value::Empty) {
            return;
        }
        self.within(field.key, |r| {
            let expected = slot.expected();
            let Some(text) = r.text_of(&node, &expected) else {
                return;
            };
            if let Err(why) = slot.parse(&text) {
                r.refuse(&node, &text, &why, &slot.choices());
            }
        });
    }

    fn texts(&mut self, field: Field, slot: &mut dyn Texts) {
        let Some(node) = self.find(field) else { return };
        self.within(field.key, |r| {
            r.note(&node);
            match &node.value {
                Value::Empty => {}
                Value::List(items) => {
                    slot.clear();
                    for (i, item) in items.iter().enumerate() {
                        r.within(&i.to_string(), |r| {
                            let Some(text) = r.text_of(item, &slot.expected()) else {
                                return;
                            };
                            if let Err(why) = slot.push(&text) {
                                r.refuse(item, &text, &why, &[]);
                            }
                        });
                    }
                }
                _ => r.mismatch(&node, &format!("a list, each element {}", slot.expected())),
            }
        });
    }

    fn record(&mut self, field: Field, slot: &mut dyn Record) {
        let Some(node) = self.find(field) else { return };
        self.within(field.key, |r| r.fill(&node, slot));
    }

    fn records(&mut self, field: Field, slot: &mut dyn Records) {
        let Some(node) = self.find(field) else { return };
        self.within(field.key, |r| {
            r.note(&node);
            match &node.value {
                Value::Empty => {}
                Value::List(items) if !slot.keyed() => {
                    for (i, item) in items.iter().enumerate() {
                        let name = i.to_string();
                        r.within(&name, |r| slot.add(&name, &mut |rec| r.fill(item, rec)));
                    }
                }
                Value::Map(pairs) if slot.keyed() => r.fill_named(pairs, slot),
                _ if slot.keyed() => r.mismatch(&node, "a mapping from names"),
                _ => r.mismatch(&node, "a list, each element a mapping"),
            }
        });
    }
}

impl Reader {
    fn fill_named(&mut self, pairs: &[(Rc<Node>, Rc<Node>)], slot: &mut dyn Records) {
        let mut seen: HashSet<&str> = HashSet::new();
        for (key, value) in pairs {
            let Value::Scalar(name) = &key.value else {
                self.mismatch(key, "a name");
                continue;
            };
            if let Err(why) = super::scalars::check_name(name) {
                self.refuse(key, name, &why, &[]);
                continue;
            }
            if !seen.insert(name) {
                let message = format!("`{}` is given twice", quote(name));
                self.found.push(Found::at(key.at, key.end, message));
                continue;
            }
            let value = match &value.value {
                // Missing keys are told at the name, since an empty value has no place.
                Value::Empty => key,
                _ => value,
            };
            self.within(name, |r| {
                r.source.places.insert(r.path.join("."), (key.at, key.end));
                slot.add(name, &mut |record| r.fill_value(key, value, record));
            });
        }
    }

    fn fill_value(&mut self, key: &Rc<Node>, value: &Rc<Node>, record: &mut dyn Record) {
        if Rc::ptr_eq(key, value) {
            let empty = Rc::new(key.emptied());
            self.fill(&empty, record);
        } else {
            self.fill(value, record);
        }
    }
}

fn starts_path(rest: &str) -> bool {
    rest.is_empty() || rest.starts_with('.')
}

/// The known word most like `word`, if one is like enough.
pub(crate) fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|k| (strsim::normalized_damerau_levenshtein(word, k), k))
        .filter(|(likeness, _)| *likeness >= LIKENESS)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, k)| k)
}

/// A piece of the text, short and on one line.
fn quote(text: &str) -> String {
    let flat = text.escape_debug().to_string();
    if flat.chars().count() <= MAX_QUOTE {
        return flat;
    }
    let head: String = flat.chars().take(MAX_QUOTE).collect();
    format!("{head}...")
}
