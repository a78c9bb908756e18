//! The command line of a daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use slog::Level;

use crate::replication::Formation;
use crate::telemetry::LogFormat;

/// A daemon's name and what it says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// The whole text of `--help`.
    pub help: &'static str,
    /// Whether it takes the options that form a group of replicas.
    pub forms_groups: bool,
}

/// A daemon's command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonArgs {
    /// Settings file.
    pub settings: PathBuf,
    /// Form of the log.
    pub log_format: LogFormat,
    /// Least level logged.
    pub level: Level,
    /// What a replica does about its group.
    pub formation: Formation,
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Run.
    Run(DaemonArgs),
    /// Print this and end.
    Print(String),
}

/// Reads a command line without the program's name; an error is one sentence for the user.
pub fn parse_args(
    program: &Program,
    args: impl IntoIterator<Item = impl Into<OsString>>,
) -> Result<Asked, String> {
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
            Short('h') | Long("help") => return Ok(Asked::Print(program.help.to_owned())),
            Short('V') | Long("version") => return Ok(Asked::Print(version(program))),
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
    Ok(Asked::Run(parsed))
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
