//! Tests of placement by replay: traces of cluster events are run against a placer under a virtual
//! clock, and the results are compared with the outcome required of each trace.
//!
//! A trace holds at most `MAX_LINES` lines, `MAX_BYTES` bytes and `MAX_TASKS` tasks. A replay
//! holds all of them and their tasks in memory; `large` with 67,000 tasks peaked at 26 MB.

mod builder;
mod command;
mod engine;
mod ledger;
mod measures;
mod outcome;
mod profiles;
mod report;
mod scenarios;
mod trace;

pub use command::{ReplayArgs, command};
pub use engine::run;
pub use ledger::Violation;
pub use measures::{Measured, Sample, Times};
pub use outcome::Outcome;
pub use report::{Row, to_html, to_text};
pub use scenarios::{NAMES, generate};
pub use trace::{
    Change, FORMAT, Header, JobLine, KindLine, Line, MAX_BYTES, MAX_LINES, MAX_TASKS, TeamLine,
    Trace, WorkerLine, read, write,
};

use crate::workload::Band;

/// Bands in the order of the columns of the table.
pub(crate) const fn bands() -> [Band; 4] {
    [Band::Urgent, Band::High, Band::Normal, Band::Spare]
}
