//! A cluster scheduler that runs batch jobs, long-running services and short requests on one
//! cell of mixed hardware.
//!
//! Decisions are made by state machines without I/O: their input is an event and the present
//! time, their output the resulting effects. The daemons under `src/bin` and the command line add
//! the I/O.

pub mod batch;
pub mod cli;
pub mod console;
pub mod control;
pub mod daemon;
pub mod dev;
pub mod document;
pub mod entry;
pub mod error;
pub mod exit_codes;
pub mod fault;
pub mod ids;
pub mod lease;
pub mod load;
pub mod placement;
pub mod platform;
pub mod plot;
pub mod replay;
pub mod replication;
pub mod resources;
pub mod routing;
pub mod schema;
pub mod settings;
pub mod slo;
pub mod stand_in;
pub mod state;
pub mod storage;
mod task;
pub mod telemetry;
pub mod wire;
pub mod workload;

pub use error::{Error, Result, Step};
pub use exit_codes::ExitCode;
