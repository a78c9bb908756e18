//! The daemon of an entry host, which forwards requests to minions.

use std::process::ExitCode as ProcessExitCode;

use slog::{Logger, error};
use yuccahold::daemon::{self, DaemonArgs, Program, fail, stop_signals};
use yuccahold::entry::Entry;
use yuccahold::{ExitCode, platform, settings};

const HELP: &str = "\
The traffic daemon of a yuccahold entry host: callers' requests, minions and workers.

Usage: yuccahold-entry [OPTIONS] SETTINGS

Arguments:
  SETTINGS              YAML file; examples/entry.yaml shows every key

Options:
      --log-format FORMAT  auto, human or json [default: auto]
      --log-level LEVEL    error, warning, info, debug or trace [default: info]
      --platform           take the settings from the platform's file, serve its contract
  -h, --help               print this
  -V, --version            print the version

TERM or INT stops as planned: not ready first, then requests in flight end and the minions are
handed over. A second one ends at once.
Exit codes: 0 stopped as planned, 1 failed, 2 command line, 3 settings refused.

Example:
  yuccahold-entry /etc/yuccahold/entry.yaml
";

static PROGRAM: Program = Program {
    name: "yuccahold-entry",
    help: HELP,
    forms_groups: false,
};

fn main() -> ProcessExitCode {
    if std::env::args_os()
        .nth(1)
        .is_some_and(|arg| arg == "--platform")
    {
        return platform::run_entry();
    }
    daemon::run(&PROGRAM, serve)
}

async fn serve(args: DaemonArgs, log: Logger) -> ExitCode {
    let loaded = settings::load_entry(&args.settings);
    let (cfg, keys) = match daemon::prepare(loaded, |cfg| &cfg.cell_key, &log) {
        Ok(prepared) => prepared,
        Err(code) => return code,
    };
    let handle = match Entry::start(cfg, keys, log.clone()).await {
        Ok(handle) => handle,
        Err(e) => return fail(&log, &e, ExitCode::GeneralError),
    };
    if let Err(e) = stop_signals(&log).await {
        error!(log, "signals cannot be received"; "error" => %e);
        return ExitCode::GeneralError;
    }
    handle.stop().await;
    ExitCode::Success
}
