//! Code shared by the daemons: command line, logger, runtime and signal handling.

mod args;
mod run;

pub use args::{Action, DaemonArgs, Program, parse_args};
pub use run::{fail, prepare, run, stop_signals};
