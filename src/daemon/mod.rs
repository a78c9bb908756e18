//! What both daemons share: the command line, the logger, the runtime, and signals.

mod args;
mod run;

pub use args::{Asked, DaemonArgs, Program, parse_args};
pub use run::{fail, prepare, run, stop_signals};
