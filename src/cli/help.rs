//! Help pages.

use std::fmt::Write;

use super::specs::{COMMON, Opt, SPECS, Spec};

/// Column at which descriptions start.
const COLUMN: usize = 26;
/// Longest line of a help page.
const WIDTH: usize = 96;

/// The page of the whole program.
pub(super) fn overview() -> String {
    let mut out = String::from(
        "Schedules unlike workloads onto one shared cell of mixed hardware.\n\n\
         usage: yuccahold COMMAND [OPTIONS]\n\ncommands:\n",
    );
    for spec in SPECS {
        entry(&mut out, spec.name, spec.summary);
    }
    options(&mut out, "options of every command", COMMON);
    out.push_str("\nexamples:\n");
    for spec in SPECS {
        if let Some((line, what)) = spec.examples.first() {
            let _ = writeln!(out, "  {line}\n      {what}");
        }
    }
    out.push_str("\n`yuccahold COMMAND --help` tells more. Exit codes: docs/EXIT_CODES.md\n");
    out
}

/// The page of one command.
pub(super) fn page(spec: &Spec) -> String {
    let mut out = format!("{}.\n\n{}\n", spec.summary, usage(spec));
    if !spec.detail.is_empty() {
        let _ = write!(out, "\n{}", wrapped(spec.detail, 0, 0));
    }
    if !spec.options.is_empty() {
        options(&mut out, "options", spec.options);
    }
    options(&mut out, "options of every command", COMMON);
    out.push_str("\nexamples:\n");
    for (line, what) in spec.examples {
        let _ = writeln!(out, "  {line}\n      {what}");
    }
    out
}

/// The usage line of a command.
pub(super) fn usage(spec: &Spec) -> String {
    let arguments = match spec.arguments {
        "" => String::new(),
        arguments => format!(" {arguments}"),
    };
    format!("usage: yuccahold {}{arguments} [OPTIONS]", spec.name)
}

fn options(out: &mut String, title: &str, options: &[Opt]) {
    let _ = writeln!(out, "\n{title}:");
    for option in options {
        let name = match option.value {
            Some(value) => format!("{} {value}", option.flag),
            None => option.flag.to_owned(),
        };
        let doc = match option.default {
            "" => option.doc.to_owned(),
            default => format!("{} [default: {default}]", option.doc),
        };
        entry(out, &name, &doc);
    }
}

/// A name with its description, which moves to the next line after a long name.
fn entry(out: &mut String, name: &str, doc: &str) {
    let name = format!("  {name}");
    let used = name.chars().count();
    if used + 1 >= COLUMN {
        let _ = write!(out, "{name}\n{}", wrapped(doc, COLUMN, 0));
    } else {
        let _ = write!(out, "{name}{}", wrapped(doc, COLUMN, used));
    }
}

/// Text in lines that begin at a column; `used` characters of the first are taken.
fn wrapped(text: &str, column: usize, used: usize) -> String {
    let mut out = " ".repeat(column - used.min(column));
    let mut at = column;
    for (i, word) in text.split_whitespace().enumerate() {
        let length = word.chars().count();
        if i > 0 && at + 1 + length > WIDTH {
            let _ = write!(out, "\n{}", " ".repeat(column));
            at = column;
        } else if i > 0 {
            out.push(' ');
            at += 1;
        }
        out.push_str(word);
        at += length;
    }
    out.push('\n');
    out
}
