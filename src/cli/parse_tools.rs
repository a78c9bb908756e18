//! Arguments of the commands for trying out and measuring: stand-ins, load, a cell in one process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;

use super::config::{Command, NewOperator};
use super::parse::{Raw, UsageError};
use crate::console::Role;
use crate::load::{JobLoad, LoadOptions, RequestLoad, Watched};
use crate::replay::ReplayArgs;
use crate::resources::Resources;
use crate::schema::{Choice, Cores, Megabytes, Scalar, Span};
use crate::stand_in::{Behaviour, MinionBehaviour, MinionOptions, WorkerOptions};
use crate::workload::WorkerSpec;

/// Longest time a stand-in worker's poll is held back.
const POLL_WAIT: Duration = Duration::from_secs(3);

impl Raw {
    pub(super) fn token(&self) -> Result<Command, UsageError> {
        let role = self.choice("--role", Role::WORDS)?.unwrap_or_default();
        let operator = NewOperator {
            name: self.named("NAME", self.values.first().map_or("", |v| v))?,
            role,
            teams: self.names("--teams")?,
        };
        Ok(Command::Token { operator })
    }

    pub(super) fn replay(&self) -> Result<Command, UsageError> {
        let args = ReplayArgs {
            traces: self.values.iter().map(PathBuf::from).collect(),
            generate: self.list("--generate").map(str::to_owned).collect(),
            seed: self.number("--seed")?.unwrap_or(1),
            write: self.path("--write"),
            baselines: self.switch("--baselines"),
            waiting_weight: self.number("--waiting-weight")?,
            html: self.path("--html"),
        };
        if args.traces.is_empty() && args.generate.is_empty() {
            return Err(self.wrong("name a TRACE, or --generate NAME"));
        }
        Ok(Command::Replay { args })
    }

    pub(super) fn load(&self) -> Result<Command, UsageError> {
        let defaults = LoadOptions::default();
        let options = LoadOptions {
            entries: self.addresses("--entries")?,
            direct: self.addresses("--direct")?,
            direct_percent: self.number("--direct-percent")?.unwrap_or(0),
            requests: self.request_load()?,
            jobs: self.job_load()?,
            warm_up: self.span("--warm-up", defaults.warm_up)?,
            duration: self.span("--duration", defaults.duration)?,
            seed: self.number("--seed")?.unwrap_or(defaults.seed),
            watched: self.watched()?,
            ..defaults
        };
        Ok(Command::Load {
            options: Box::new(options),
            html: self.path("--html"),
            against: self.path("--against"),
        })
    }

    fn request_load(&self) -> Result<Option<RequestLoad>, UsageError> {
        let Some(service) = self.name("--service")? else {
            return Ok(None);
        };
        let defaults = RequestLoad::default();
        Ok(Some(RequestLoad {
            service,
            path: self.option("--path").map_or(defaults.path, Into::into),
            body: self.number("--body")?.unwrap_or(0),
            rate: self.number("--rate")?.unwrap_or(defaults.rate),
            deadline: self.span("--deadline", defaults.deadline)?,
            once_percent: self.number("--once-percent")?.unwrap_or(0),
            headers: Vec::new(),
        }))
    }

    fn job_load(&self) -> Result<Option<JobLoad>, UsageError> {
        let Some(kind) = self.name("--kind")? else {
            return Ok(None);
        };
        Ok(Some(JobLoad {
            kind,
            tasks: self.number("--tasks")?,
            rate: self.number("--job-rate")?.unwrap_or(10.0),
            settle: self.span("--settle", Duration::from_secs(10))?,
        }))
    }

    /// Processes to measure, each `NAME=PID` or `NAME=PID@ADDRESS` of its metrics.
    fn watched(&self) -> Result<Vec<Watched>, UsageError> {
        let one = |text: &str| {
            let (name, rest) = text.split_once('=')?;
            let (pid, page) = match rest.split_once('@') {
                Some((pid, page)) => (pid, Some(page.parse().ok()?)),
                None => (rest, None),
            };
            Some(Watched {
                name: name.into(),
                pid: pid.parse().ok()?,
                page,
            })
        };
        let all = self.list("--watch").map(|text| {
            one(text).ok_or_else(|| {
                self.wrong(format!(
                    "--watch `{text}` is no NAME=PID or NAME=PID@ADDRESS"
                ))
            })
        });
        all.collect()
    }

    pub(super) fn stand_in(&self) -> Result<Command, UsageError> {
        match self.values.first().map(String::as_str) {
            Some("minion") => self.stand_in_minion(),
            Some("worker") => self.stand_in_worker(),
            other => {
                let what = other.unwrap_or_default();
                Err(self.wrong(format!("`{what}` is none of minion, worker")))
            }
        }
    }

    fn stand_in_minion(&self) -> Result<Command, UsageError> {
        let defaults = MinionOptions::default();
        let behaviour = MinionBehaviour {
            service_time: self.span("--service-time", MinionBehaviour::default().service_time)?,
            jitter: self.span("--jitter", Duration::ZERO)?,
            fail_percent: self.number("--fail-percent")?.unwrap_or(0),
            ..MinionBehaviour::default()
        };
        let listen = self.addresses("--listen")?;
        let options = MinionOptions {
            id: self.name("--id")?.unwrap_or(defaults.id),
            service: self.name("--service")?.unwrap_or(defaults.service),
            zone: self.name("--zone")?.unwrap_or(defaults.zone),
            listen: listen.first().copied().unwrap_or(defaults.listen),
            slots: self.number("--slots")?.unwrap_or(defaults.slots),
            connections: self
                .number("--connections")?
                .unwrap_or(defaults.connections),
            entries: self.entries()?,
            behaviour,
            ..defaults
        };
        Ok(Command::StandInMinion {
            options: Box::new(options),
        })
    }

    fn stand_in_worker(&self) -> Result<Command, UsageError> {
        let mut capacity = Resources::new(32, 64_000, 0);
        self.scalar("--cores", &mut Cores(&mut capacity.millicores))?;
        self.scalar("--memory", &mut Megabytes(&mut capacity.memory_mb))?;
        capacity.accelerators = self.number("--accelerators")?.unwrap_or(0);
        let word = |name: Option<CompactString>, default: &str| name.unwrap_or(default.into());
        let spec = WorkerSpec {
            id: word(self.name("--id")?, "worker-1"),
            zone: word(self.name("--zone")?, "zone-a"),
            rack: word(self.name("--rack")?, "rack-1"),
            capacity,
            accelerator: self.name("--accelerator")?,
        };
        let behaviour = Behaviour {
            time_scale: self.number("--time-scale")?.unwrap_or(1.0),
            fail_all: self.switch("--fail-all"),
            ..Behaviour::default()
        };
        Ok(Command::StandInWorker {
            options: Box::new(WorkerOptions {
                spec,
                entries: self.entries()?,
                wait: POLL_WAIT,
                behaviour,
            }),
        })
    }

    fn entries(&self) -> Result<Vec<SocketAddr>, UsageError> {
        let entries = self.addresses("--entries")?;
        if entries.is_empty() {
            return Err(self.wrong("--entries is missing: HTTP addresses of entry hosts"));
        }
        Ok(entries)
    }

    fn list(&self, flag: &str) -> impl Iterator<Item = &str> {
        let items = self.option(flag).unwrap_or_default().split(',');
        items.map(str::trim).filter(|item| !item.is_empty())
    }

    fn addresses(&self, flag: &str) -> Result<Vec<SocketAddr>, UsageError> {
        let parse = |text: &str| {
            let parsed = text.parse();
            parsed.map_err(|_| {
                self.wrong(format!(
                    "{flag} `{text}` is no address such as 127.0.0.1:8080"
                ))
            })
        };
        self.list(flag).map(parse).collect()
    }

    fn names(&self, flag: &str) -> Result<Vec<CompactString>, UsageError> {
        self.list(flag).map(|text| self.named(flag, text)).collect()
    }

    pub(super) fn path(&self, flag: &str) -> Option<PathBuf> {
        self.option(flag).map(PathBuf::from)
    }

    pub(super) fn span(&self, flag: &str, default: Duration) -> Result<Duration, UsageError> {
        let mut span = default;
        self.scalar(flag, &mut Span(&mut span))?;
        Ok(span)
    }

    fn scalar(&self, flag: &str, slot: &mut dyn Scalar) -> Result<(), UsageError> {
        let Some(text) = self.option(flag) else {
            return Ok(());
        };
        let parsed = slot.parse(text);
        parsed.map_err(|why| self.wrong(format!("{flag} `{text}`: {why}")))
    }
}
