//! Error reports for a text: all problems together, each with its position.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// A problem located by the path of the value, before it is resolved to a line and column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Keys from the root, joined by dots; list elements by index.
    pub path: String,
    /// Describes the problem in a sentence.
    pub message: String,
    /// Suggested fix, if there is one.
    pub help: Option<String>,
}

impl Finding {
    /// Creates a finding without a suggested fix.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
            help: None,
        }
    }

    /// Adds a suggested fix.
    #[must_use]
    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }
}

/// A problem at one position of the text.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Problem {
    /// Describes the problem in a sentence.
    pub message: String,
    /// Suggested fix, if there is one.
    #[help]
    pub help: Option<String>,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    #[source_code]
    pub(crate) source_code: NamedSource<Arc<str>>,
    #[label("here")]
    pub(crate) span: SourceSpan,
}

/// All problems of one text.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{name}: {} {}", problems.len(), if problems.len() == 1 { "problem" } else { "problems" })]
pub struct Problems {
    /// Name of the file or other origin.
    pub name: String,
    /// Problems by position in the text.
    #[related]
    pub problems: Vec<Problem>,
}

impl Problems {
    /// Creates a single problem that concerns the text as a whole, such as an unreadable file.
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

    /// Formats one line for each problem: file, line, column, message, suggested fix.
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

    /// Formats the problems as a JSON array, for scripts.
    pub fn to_json(&self) -> serde_json::Value {
        let entry = |p: &Problem| {
            serde_json::json!({
                "file": self.name, "line": p.line, "column": p.column,
                "message": p.message, "help": p.help,
            })
        };
        self.problems.iter().map(entry).collect()
    }

    /// Formats excerpts of the text with the positions marked, for a terminal.
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
