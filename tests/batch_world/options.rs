//! How simulated hosts answer, fail and restart.

use std::time::Duration;

use super::ms;

/// Time from the start of a run to its failure on a minion that fails everything.
pub const FAILURE_DELAY: Duration = ms(60);

/// Whether the answer to a start that crashes its minion is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    Delivered,
    Lost,
}

/// Name under which a minion restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    NewName,
    SameName,
}
