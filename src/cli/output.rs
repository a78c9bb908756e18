//! Printing: results to standard output, everything else to standard error.

use std::io::{BufRead, IsTerminal, Write};

use serde_json::Value;

use super::Failure;
use super::config::{Config, Format};
use crate::ExitCode;
use crate::document::Problems;

/// Prints to standard output. A reader that has gone away, such as `head`, is no error.
pub(super) fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}

/// Prints to standard error.
pub(super) fn complain(text: &str) {
    let _ = writeln!(std::io::stderr().lock(), "{}", text.trim_end());
}

/// Prints a result in the format asked for.
pub(super) fn result(config: &Config, json: &Value, text: impl FnOnce() -> String) {
    match config.format {
        Format::Json => print(&format!("{json}\n")),
        Format::Text => print(&text()),
    }
}

/// Problems with excerpts on a terminal, one line each otherwise.
pub(super) fn problems_text(problems: &Problems) -> String {
    if std::io::stderr().is_terminal() {
        problems.to_report(std::env::var_os("NO_COLOR").is_none())
    } else {
        problems.to_text()
    }
}

/// Asks whether to go on, unless that was answered on the command line.
pub(super) fn confirm(question: &str, yes: bool) -> Result<(), Failure> {
    if yes {
        return Ok(());
    }
    let stdin = std::io::stdin();
    if !stdin.is_terminal() {
        let message = "no one can be asked here; look at the difference and add --yes";
        return Err(Failure::new(ExitCode::Usage, message));
    }
    let _ = write!(std::io::stderr().lock(), "{question} [y/N] ");
    let mut answer = String::new();
    let _ = stdin.lock().read_line(&mut answer);
    if matches!(answer.trim(), "y" | "Y" | "yes") {
        return Ok(());
    }
    let message = "nothing was changed";
    Err(Failure::new(ExitCode::Interrupted, message))
}

/// Rows in columns as wide as their widest cell.
pub(super) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|row| row.get(i));
        let widest = cells.map(|cell| cell.chars().count()).max();
        widest.unwrap_or(0).max(header[i].len())
    };
    let widths: Vec<_> = (0..header.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded: Vec<_> = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut out = line(&mut header.iter().copied());
    for row in rows {
        out += &line(&mut row.iter().map(String::as_str));
    }
    out
}
