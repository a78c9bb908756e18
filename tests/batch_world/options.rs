//! How simulated hosts answer and restart.

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
