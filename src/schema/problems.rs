//! Everything wrong with a text, together, each with its place and what was expected.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// Something wrong, found by a check that knows only the path of the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Keys from the root, joined by dots; list elements by position.
    pub path: String,
    /// What is wrong, in a sentence.
    pub message: String,
    /// What to do, if that can be said.
    pub help: Option<String>,
}

impl Finding {
    /// Something wrong at a path.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
            help: None,
        }
    }

    /// Says what to do.
    #[must_use]
    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }
}

/// One thing wrong at one place.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Problem {
    /// What is wrong, in a sentence.
    pub message: String,
    /// What to do, if that can be said.
    #[help]
    pub help: Option<String>,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    #[source_code]
    pub(crate) source_code: NamedSource<Arc<str>>,
    #[label("here")]
    pub(crate) span: SourceSpan,
}

/// All things wrong with one text.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{name}: {} {}", problems.len(), if problems.len() == 1 { "problem" } else { "problems" })]
pub struct Problems {
    /// Name of the file or other origin.
    pub name: String,
    /// In the order of the text.
    #[related]
    pub problems: Vec<Problem>,
}

impl Problems {
    /// Problems that concern the text as a whole.
    pub fn whole(name: &str, message: impl Into<String>, help: Option<String>) -> Self {
        let source_code = NamedSource::new(name, Arc::from(""));
        Self {
            name: name.to_owned(),
            problems: vec![Problem {
                message: message.into(),
                help,
                line: 1,
                column: 1,
                source_code,
                span: SourceSpan::from(0..0),
            }],
        }
    }

    /// One line for each problem: file, line, column, what is wrong, what to do.
    pub fn to_text(&self) -> String {
        let line = |p: &Problem| {
            let help = p.help.as_ref().map(|h| format!("; {h}"));
            let help = help.unwrap_or_default();
            format!(
                "{}:{}:{}: {}{help}\n",
                self.name, p.line, p.column, p.message
            )
        };
        self.problems.iter().map(line).collect()
    }

    /// The same as JSON, for scripts.
    pub fn to_json(&self) -> serde_json::Value {
        let entry = |p: &Problem| {
            serde_json::json!({
                "file": self.name, "line": p.line, "column": p.column,
                "message": p.message, "help": p.help,
            })
        };
        self.problems.iter().map(entry).collect()
    }

    /// Excerpts of the text with the places marked, for a terminal.
    pub fn to_report(&self, colour: bool) -> String {
        let theme = if colour {
            miette::GraphicalTheme::unicode()
        } else {
            miette::GraphicalTheme::unicode_nocolor()
        };
        let handler = miette::GraphicalReportHandler::new_themed(theme);
        let mut out = String::new();
        match handler.render_report(&mut out, self) {
            Ok(()) => out,
            Err(fmt::Error) => self.to_text(),
        }
    }
}
