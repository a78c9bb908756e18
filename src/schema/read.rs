//! Reads YAML text into a typed record and collects all problems instead of stopping at the
//! first.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use miette::{NamedSource, SourceSpan};
use saphyr_parser::Marker;

use super::problems::{Finding, Problem, Problems};
use super::yaml::{self, MAX_BYTES, Node, Value};
use super::{Field, Record, Records, Scalar, Texts, Visitor};

/// Maximum number of problems reported for one text.
const MAX_PROBLEMS: usize = 100;
/// Minimum similarity (0 to 1) at which a known word is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.6;
/// Maximum length in characters of a quotation from the text in a message.
const MAX_QUOTE: usize = 60;

/// Positions of the values of one text, by path.
#[derive(Debug, Default)]
pub(crate) struct Source {
    places: HashMap<String, (Marker, Marker)>,
}

impl Source {
    /// Returns the start and end of the value, or of the nearest enclosing one in the text.
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

/// Reads a record and runs `check` on it, so that syntax errors and semantic errors are
/// reported together.
pub fn read_with<T: Record>(
    name: &str,
    text: &str,
    check: impl FnOnce(&T) -> Vec<Finding>,
) -> Result<T, Problems> {
    read_from(name, text, Reader::default(), check)
}

/// Reads a partial record, in which any top-level key may be missing.
pub(crate) fn read_part<T: Record>(name: &str, text: &str) -> Result<T, Problems> {
    let reader = Reader {
        partial: true,
        ..Reader::default()
    };
    read_from(name, text, reader, |_| Vec::new())
}

/// Returns the top-level keys of a text; empty if it holds no valid mapping.
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
            let found = LocatedProblem::at(e.at, e.at, e.message);
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
        // A value that could not be read keeps its default. Findings on that default would only
        // repeat the first error, so they are dropped.
        let place = reader.source.place(&finding.path);
        if well_formed || !reader.is_unread(&finding.path) {
            reader.found.push(LocatedProblem {
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

/// Reads a file and parses its text with `parse`, which gets the file's name and the text.
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

/// A problem with its position, before the position is converted to a byte range.
struct LocatedProblem {
    at: Marker,
    end: Marker,
    message: String,
    help: Option<String>,
}

impl LocatedProblem {
    fn at(at: Marker, end: Marker, message: impl Into<String>) -> Self {
        Self {
            at,
            end,
            message: message.into(),
            help: None,
        }
    }
}

fn problems(name: &str, text: &str, mut found: Vec<LocatedProblem>) -> Problems {
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

/// Visitor that fills a record from the innermost mapping on the stack.
#[derive(Default)]
struct Reader {
    source: Source,
    found: Vec<LocatedProblem>,
    /// Paths of values that are missing or could not be parsed.
    unread_paths: Vec<String>,
    /// Keys from the root to the value being read.
    path: Vec<String>,
    stack: Vec<Frame>,
    /// Whether required keys at the root may be missing.
    partial: bool,
}

/// A mapping being read.
struct Frame {
    node: Rc<Node>,
    /// Keys that the schema allows here; filled as the record visits its fields.
    known: Vec<&'static str>,
}

impl Reader {
    fn fill(&mut self, node: &Rc<Node>, record: &mut dyn Record) {
        self.record_place(node);
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
                self.found
                    .push(LocatedProblem::at(key.at, key.end, message));
            }
            if !frame.known.contains(&name.as_str()) {
                self.unknown_key(key, name, &frame.known);
            }
        }
    }

    fn unknown_key(&mut self, key: &Node, name: &str, known: &[&str]) {
        let mut found =
            LocatedProblem::at(key.at, key.end, format!("unknown key `{}`", quote(name)));
        found.help = Some(match nearest(name, known.iter().copied()) {
            Some(near) => format!("did you mean `{near}`?"),
            None => format!("known keys here: {}", known.join(", ")),
        });
        self.found.push(found);
    }

    /// Finds a field's value in the current mapping; reports a required field that is missing.
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
                self.found
                    .push(LocatedProblem::at(key.at, key.end, message));
                self.mark_unread(field.key);
                None
            }
            Some((_, value)) => Some(Rc::clone(value)),
            None if field.required && !(self.partial && self.path.is_empty()) => {
                let message = format!("`{}` is missing: {}", field.key, field.doc);
                self.found
                    .push(LocatedProblem::at(node.at, node.at, message));
                self.mark_unread(field.key);
                None
            }
            None => None,
        }
    }

    fn mark_unread(&mut self, key: &str) {
        self.path.push(key.to_owned());
        self.unread_paths.push(self.path.join("."));
        self.path.pop();
    }

    fn is_unread(&self, path: &str) -> bool {
        let within = |d: &String| path.strip_prefix(d.as_str()).is_some_and(starts_path);
        self.unread_paths.iter().any(within)
    }

    fn record_place(&mut self, node: &Node) {
        let path = self.path.join(".");
        self.source.places.insert(path, (node.at, node.end));
    }

    fn mismatch(&mut self, node: &Node, expected: &str) {
        let got = match &node.value {
            Value::Scalar(text) => format!("`{}`", quote(text)),
            other => other.kind().to_owned(),
        };
        let message = format!("expected {expected}, found {got}");
        self.found
            .push(LocatedProblem::at(node.at, node.end, message));
        self.unread_paths.push(self.path.join("."));
    }

    fn within(&mut self, key: &str, work: impl FnOnce(&mut Self)) {
        self.path.push(key.to_owned());
        work(self);
        self.path.pop();
    }

    fn text_of(&mut self, node: &Node, expected: &str) -> Option<String> {
        self.record_place(node);
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
        let mut found = LocatedProblem::at(node.at, node.end, message);
        found.help = nearest(text, choices.iter().copied()).map(|n| format!("did you mean `{n}`?"));
        self.found.push(found);
        self.unread_paths.push(self.path.join("."));
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
            r.record_place(&node);
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
            r.record_place(&node);
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
                self.found
                    .push(LocatedProblem::at(key.at, key.end, message));
                continue;
            }
            let value = match &value.value {
                // Missing keys are reported at the name, since an empty value has no position.
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
            let empty = Rc::new(key.without_value());
            self.fill(&empty, record);
        } else {
            self.fill(value, record);
        }
    }
}

fn starts_path(rest: &str) -> bool {
    rest.is_empty() || rest.starts_with('.')
}

/// Returns the known word most similar to `word`, if one reaches `MIN_SIMILARITY`.
pub(crate) fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|k| (strsim::normalized_damerau_levenshtein(word, k), k))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, k)| k)
}

/// Escapes a piece of the text onto one line and truncates it to `MAX_QUOTE` characters.
fn quote(text: &str) -> String {
    let flat = text.escape_debug().to_string();
    if flat.chars().count() <= MAX_QUOTE {
        return flat;
    }
    let head: String = flat.chars().take(MAX_QUOTE).collect();
    format!("{head}...")
}
