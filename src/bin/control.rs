//! The control daemon, one replica of the cell's state.

use std::process::ExitCode as ProcessExitCode;

use slog::{Logger, error};
use yuccahold::daemon::{self, DaemonArgs, Program, fail, stop_signals};
use yuccahold::{ExitCode, control, platform, settings};

const HELP: &str = "\
One replica of a yuccahold cell's state: placement, leases, documents and the console.

Usage: yuccahold-control [OPTIONS] SETTINGS

Arguments:
  SETTINGS                  YAML file; examples/control.yaml shows every key

Options:
      --form-group          form a new group of one on an empty data folder; others then join
      --force-group-of-one  last resort when a quorum is gone for good: go on alone with what
                            this folder holds; what only the lost replicas held is lost
      --log-format FORMAT   auto, human or json [default: auto]
      --log-level LEVEL     error, warning, info, debug or trace [default: info]
      --platform            take the settings from the platform's file and serve its contract
      --admission           after --platform: refuse jobs of workspaces that would be served too late
      --without NAMES       after --platform: decide without these mechanisms, named with commas;
                            docs/OPERATIONS.md lists them
  -h, --help                print this
  -V, --version             print the version

TERM or INT stops as planned: leadership is handed over first. A second one ends at once.
Exit codes: 0 stopped as planned, 1 failed, 2 command line, 3 settings refused.

Examples:
  yuccahold-control --form-group /etc/yuccahold/control.yaml   the first replica, once
  yuccahold-control /etc/yuccahold/control.yaml                every other start
";

static PROGRAM: Program = Program {
    name: "yuccahold-control",
    help: HELP,
    forms_groups: true,
};

fn main() -> ProcessExitCode {
    if std::env::args_os()
        .nth(1)
        .is_some_and(|arg| arg == "--platform")
    {
        return platform::run_control(std::env::args_os().skip(2));
    }
    daemon::run(&PROGRAM, serve)
}

async fn serve(args: DaemonArgs, log: Logger) -> ExitCode {
    let loaded = settings::load_control(&args.settings);
    let (cfg, keys) = match daemon::prepare(loaded, |cfg| &cfg.cell_key, &log) {
        Ok(prepared) => prepared,
        Err(code) => return code,
    };
    let handle = match control::start(cfg, keys, args.formation, &log).await {
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
