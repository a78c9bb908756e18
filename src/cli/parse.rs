//! From arguments to a `Config`, once.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use lexopt::Arg;

use super::config::{Command, Config, FileKind, Format, Shell};
use super::help;
use super::specs::{COMMON, Opt, SPECS, Spec};
use crate::document::{Drain, DrainTarget};
use crate::schema::{Name, Scalar, nearest};
use crate::wire::JobSubmission;

/// Where the operators' interface is looked for.
const DEFAULT_SERVER: &str = "http://127.0.0.1:7400";
/// Time a drain gives by default.
const DEFAULT_WITHIN: Duration = Duration::from_secs(600);

/// What the arguments come to.
#[derive(Clone, Debug)]
pub enum Parsed {
    /// Print this page.
    Help(String),
    /// Print the version.
    Version,
    /// Run a command.
    Run(Config),
}

/// Arguments that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageError {
    message: String,
    next: String,
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n{}", self.message, self.next)
    }
}

impl std::error::Error for UsageError {}

impl UsageError {
    fn new(spec: Option<&Spec>, message: impl Into<String>) -> Self {
        let next = match spec {
            Some(spec) => format!(
                "{}\nsee `yuccahold {} --help`",
                help::usage(spec),
                spec.name
            ),
            None => "see `yuccahold --help`".to_owned(),
        };
        Self {
            message: message.into(),
            next,
        }
    }
}

/// Arguments of one command, sorted but not yet typed.
pub(super) struct Raw {
    spec: &'static Spec,
    pub(super) values: Vec<String>,
    options: BTreeMap<&'static str, String>,
}

/// Turns arguments, without the program's name, into what is to be done.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Parsed, UsageError> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut spec: Option<&'static Spec> = None;
    let mut values = Vec::new();
    let mut options = BTreeMap::new();
    let bad = |spec, e: lexopt::Error| UsageError::new(spec, e.to_string());
    while let Some(arg) = parser.next().map_err(|e| bad(spec, e))? {
        let flag = match arg {
            Arg::Value(value) => {
                let value = text(spec, value)?;
                match spec {
                    None => spec = Some(find_spec(&value)?),
                    Some(_) => values.push(value),
                }
                continue;
            }
            Arg::Short('h') => "--help".to_owned(),
            Arg::Short('V') => "--version".to_owned(),
            Arg::Short(c) => format!("-{c}"),
            Arg::Long(name) => format!("--{name}"),
        };
        let option = find_option(spec, &flag)?;
        match option.flag {
            "--help" => {
                let page = spec.map_or_else(help::overview, help::page);
                return Ok(Parsed::Help(page));
            }
            "--version" => return Ok(Parsed::Version),
            _ => {}
        }
        let value = match option.value {
            Some(_) => text(spec, parser.value().map_err(|e| bad(spec, e))?)?,
            None => String::new(),
        };
        if options.insert(option.flag, value).is_some() {
            let message = format!("`{}` is given twice", option.flag);
            return Err(UsageError::new(spec, message));
        }
    }
    let Some(spec) = spec else {
        return Ok(Parsed::Help(help::overview()));
    };
    let raw = Raw {
        spec,
        values,
        options,
    };
    raw.config().map(Parsed::Run)
}

fn text(spec: Option<&Spec>, value: OsString) -> Result<String, UsageError> {
    value.into_string().map_err(|value| {
        let message = format!("`{}` is not UTF-8", value.to_string_lossy());
        UsageError::new(spec, message)
    })
}

fn find_spec(name: &str) -> Result<&'static Spec, UsageError> {
    SPECS.iter().find(|s| s.name == name).ok_or_else(|| {
        let known = SPECS.iter().map(|s| s.name);
        let hint = nearest(name, known).map(|n| format!("; did you mean `{n}`?"));
        let message = format!("unknown command `{name}`{}", hint.unwrap_or_default());
        UsageError::new(None, message)
    })
}

fn find_option(spec: Option<&'static Spec>, flag: &str) -> Result<&'static Opt, UsageError> {
    let known = || spec.map_or(&[][..], |s| s.options).iter().chain(COMMON);
    known().find(|o| o.flag == flag).ok_or_else(|| {
        let hint = nearest(flag, known().map(|o| o.flag));
        let hint = hint.map(|n| format!("; did you mean `{n}`?"));
        let message = format!("unknown option `{flag}`{}", hint.unwrap_or_default());
        UsageError::new(spec, message)
    })
}

impl Raw {
    fn config(&self) -> Result<Config, UsageError> {
        let (least, most) = self.spec.count;
        if self.values.len() < least {
            let message = format!("`{}` is missing", self.spec.arguments);
            return Err(self.wrong(message));
        }
        if let Some(extra) = self.values.get(most) {
            return Err(self.wrong(format!("unexpected argument `{extra}`")));
        }
        let from_env = |name| std::env::var(name).ok().filter(|v: &String| !v.is_empty());
        let server = self.option("--server").map(str::to_owned);
        let token_file = self.option("--token-file").map(str::to_owned);
        Ok(Config {
            command: self.command()?,
            server: server
                .or_else(|| from_env("YUCCAHOLD_SERVER"))
                .unwrap_or_else(|| DEFAULT_SERVER.to_owned())
                .trim_end_matches('/')
                .to_owned(),
            token_file: token_file
                .or_else(|| from_env("YUCCAHOLD_TOKEN_FILE"))
                .map(PathBuf::from),
            format: self
                .choice(
                    "--format",
                    &[("text", Format::Text), ("json", Format::Json)],
                )?
                .unwrap_or_default(),
        })
    }

    fn command(&self) -> Result<Command, UsageError> {
        let first = || self.values.first().cloned().unwrap_or_default();
        let yes = self.switch("--yes");
        Ok(match self.spec.name {
            "dev" => Command::Dev {
                document: self.option("--document").map(PathBuf::from),
                data: self.option("--data").map(PathBuf::from),
                demo: self.switch("--demo"),
            },
            "check" => Command::Check {
                paths: self.values.iter().map(PathBuf::from).collect(),
                kind: self.choice("--as", FILE_KINDS)?,
            },
            "apply" => Command::Apply {
                path: PathBuf::from(first()),
                base: self.number("--revision")?,
                yes,
            },
            "show" => Command::Show {
                revision: self.number("--revision")?,
            },
            "history" => Command::History,
            "rollback" => Command::Rollback {
                revision: self.parsed("N", &first())?,
                yes,
            },
            "submit" => Command::Submit {
                job: self.submission()?,
            },
            "status" => Command::Status {
                job: self.values.first().cloned(),
                watch: self.switch("--watch"),
            },
            "cancel" => Command::Cancel { job: first() },
            "drain" => Command::Drain {
                drain: self.drain()?,
                undo: self.switch("--undo"),
                yes,
            },
            "report" => {
                self.one_of("REPORT", &first(), &[("burn", ())])?;
                Command::ReportBurn {
                    html: self.path("--html"),
                }
            }
            "explore" => Command::Explore {
                from: self.number("--from")?.unwrap_or(1),
                seeds: self.number("--seeds")?.unwrap_or(10_000),
                threads: self.number("--threads")?.unwrap_or(4),
            },
            "replay" => self.replay()?,
            "token" => self.token()?,
            "load" => self.load()?,
            "stand-in" => self.stand_in()?,
            _ => Command::Completions {
                shell: self.one_of("SHELL", &first(), SHELLS)?,
            },
        })
    }

    fn submission(&self) -> Result<JobSubmission, UsageError> {
        Ok(JobSubmission {
            name: self.name("--name")?,
            kind: self.named("KIND", self.values.first().map_or("", |v| v))?,
            team: self.name("--team")?,
            tasks: self.number("--tasks")?,
            payload: self.option("--payload").unwrap_or_default().into(),
            key: self.option("--key").map(CompactString::from),
        })
    }

    fn drain(&self) -> Result<Drain, UsageError> {
        let worker = self.values.first();
        let worker = worker.map(|w| self.named("WORKER", w)).transpose()?;
        let target = match (worker, self.name("--zone")?, self.name("--rack")?) {
            (Some(worker), None, None) => DrainTarget::Worker(worker),
            (None, Some(zone), Some(rack)) => DrainTarget::Rack(zone, rack),
            (None, Some(zone), None) => DrainTarget::Zone(zone),
            _ => {
                let message = "name a WORKER, or --zone, or --zone with --rack";
                return Err(self.wrong(message));
            }
        };
        let within = self.span("--within", DEFAULT_WITHIN)?;
        Ok(Drain { target, within })
    }

    pub(super) fn wrong(&self, message: impl Into<String>) -> UsageError {
        UsageError::new(Some(self.spec), message)
    }

    pub(super) fn option(&self, flag: &str) -> Option<&str> {
        self.options.get(flag).map(String::as_str)
    }

    pub(super) fn switch(&self, flag: &str) -> bool {
        self.options.contains_key(flag)
    }

    pub(super) fn parsed<T: FromStr>(&self, what: &str, text: &str) -> Result<T, UsageError> {
        let parsed = text.parse();
        parsed.map_err(|_| self.wrong(format!("{what} `{text}` is no number in range")))
    }

    pub(super) fn number<T: FromStr>(&self, flag: &str) -> Result<Option<T>, UsageError> {
        self.option(flag).map(|t| self.parsed(flag, t)).transpose()
    }

    pub(super) fn named(&self, what: &str, text: &str) -> Result<CompactString, UsageError> {
        let mut name = CompactString::default();
        let parsed = Name(&mut name).parse(text);
        parsed.map_err(|why| self.wrong(format!("{what} `{text}`: {why}")))?;
        Ok(name)
    }

    pub(super) fn name(&self, flag: &str) -> Result<Option<CompactString>, UsageError> {
        self.option(flag).map(|t| self.named(flag, t)).transpose()
    }

    pub(super) fn one_of<T: Copy>(
        &self,
        what: &str,
        text: &str,
        words: &[(&str, T)],
    ) -> Result<T, UsageError> {
        let found = words.iter().find(|(word, _)| *word == text);
        found.map(|(_, value)| *value).ok_or_else(|| {
            let known: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            self.wrong(format!("{what} `{text}` is none of {}", known.join(", ")))
        })
    }

    pub(super) fn choice<T: Copy>(
        &self,
        flag: &str,
        words: &[(&str, T)],
    ) -> Result<Option<T>, UsageError> {
        let text = self.option(flag);
        text.map(|t| self.one_of(flag, t, words)).transpose()
    }
}

const FILE_KINDS: &[(&str, FileKind)] = &[
    ("document", FileKind::Document),
    ("entry", FileKind::Entry),
    ("control", FileKind::Control),
];

const SHELLS: &[(&str, Shell)] = &[
    ("bash", Shell::Bash),
    ("zsh", Shell::Zsh),
    ("fish", Shell::Fish),
];
