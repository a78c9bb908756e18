//! Parses the command line of a daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use slog::Level;

use crate::replication::Formation;
use crate::telemetry::LogFormat;

/// Constant properties of a daemon's program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary, used in messages, log lines and `--version`.
    pub name: &'static str,
    /// Complete output of `--help`.
    pub help: &'static str,
    /// Whether the program accepts the options that create a replication group.
    pub forms_groups: bool,
}

/// Arguments for running a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonArgs {
    /// Path of the YAML settings file.
    pub settings: PathBuf,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub level: Level,
    /// How a replica joins or creates its replication group; `Join` for other daemons.
    pub formation: Formation,
}

/// Action requested by the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the daemon.
    Run(DaemonArgs),
    /// Print this text and exit.
    Print(String),
}

/// Parses the arguments after the program's name. The error is a message for the user.
pub fn parse_args(
    program: &Program,
    args: impl IntoIterator<Item = impl Into<OsString>>,
) -> Result<Action, String> {
    use lexopt::prelude::{Long, Short, Value, ValueExt};
    let mut parser = lexopt::Parser::from_args(args);
    let mut settings: Option<PathBuf> = None;
    let mut parsed = DaemonArgs {
        settings: PathBuf::new(),
        log_format: LogFormat::Auto,
        level: Level::Info,
        formation: Formation::Join,
    };
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Short('h') | Long("help") => return Ok(Action::Print(program.help.to_owned())),
            Short('V') | Long("version") => return Ok(Action::Print(version(program))),
            Long("log-format") => parsed.log_format = log_format(&mut parser)?,
            Long("log-level") => {
                let text = parser.value().and_then(|v| v.string());
                let text = text.map_err(|e| e.to_string())?;
                parsed.level = text.parse().map_err(|()| unknown_level(&text))?;
            }
            Long("form-group") if program.forms_groups => {
                parsed.formation = Formation::FormGroup;
            }
            Long("force-group-of-one") if program.forms_groups => {
                parsed.formation = Formation::ForceGroupOfOne;
            }
            Value(path) if settings.is_none() => settings = Some(PathBuf::from(path)),
            other => return Err(other.unexpected().to_string()),
        }
    }
    parsed.settings = settings.ok_or("name a settings file; see --help")?;
    Ok(Action::Run(parsed))
}

fn version(program: &Program) -> String {
    format!("{} {}\n", program.name, env!("CARGO_PKG_VERSION"))
}

fn log_format(parser: &mut lexopt::Parser) -> Result<LogFormat, String> {
    use lexopt::ValueExt;
    let text = parser.value().and_then(|v| v.string());
    match text.map_err(|e| e.to_string())?.as_str() {
        "auto" => Ok(LogFormat::Auto),
        "human" => Ok(LogFormat::Human),
        "json" => Ok(LogFormat::Json),
        other => Err(format!(
            "unknown log format {other:?}; expected auto, human or json"
        )),
    }
}

fn unknown_level(text: &str) -> String {
    format!("unknown log level {text:?}; expected error, warning, info, debug or trace")
}
