//! Fault kinds, and the rules that result from the faults applied so far.

use std::time::Duration;

/// A direction of traffic through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the side that listens.
    ToServer,
    /// From the side that listens to the side that connects.
    ToClient,
    /// Both directions.
    Both,
}

impl Direction {
    pub(crate) fn covers(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// A fault to inject, effective at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Closes every connection and resets new ones; drops datagrams.
    Cut,
    /// Holds back all traffic of a direction, also on new connections, without closing any.
    /// `Reopen` delivers the bytes held back; datagrams are lost.
    Silence(Direction),
    /// Silences the open connections permanently; new ones work.
    SilenceOpen,
    /// Delays each chunk of a direction by a fixed time plus random jitter, keeping the order of
    /// TCP data.
    Delay {
        /// Direction to delay.
        direction: Direction,
        /// Minimum delay.
        fixed: Duration,
        /// Maximum random time added to `fixed`.
        jitter: Duration,
    },
    /// Resets every open connection; new ones work.
    Reset,
    /// Closes each connection when a direction exceeds a byte limit, counted from this fault or,
    /// if later, from the start of the connection.
    Truncate {
        /// Direction to count.
        direction: Direction,
        /// Number of bytes still delivered.
        after: u64,
    },
    /// Drops a percentage of datagrams. TCP traffic is not affected.
    Lose(u8),
    /// Removes all faults, except the effects of `Cut`, `Reset` and `SilenceOpen` on connections
    /// that were open at the time. Bytes held back by `Silence` are delivered.
    Reopen,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rules {
    pub(crate) cut: bool,
    pub(crate) silent_to_server: bool,
    pub(crate) silent_to_client: bool,
    /// Connections with a lower number are silent permanently.
    pub(crate) silent_below: u64,
    /// Connections with a lower number are reset.
    pub(crate) reset_below: u64,
    /// Connections with a lower number are closed.
    pub(crate) closed_below: u64,
    pub(crate) delay_to_server: Option<(Duration, Duration)>,
    pub(crate) delay_to_client: Option<(Duration, Duration)>,
    pub(crate) truncate: Option<Truncation>,
    pub(crate) lose_percent: u8,
}

/// Limit on the bytes delivered. `number` distinguishes two faults with equal values, as each one
/// restarts the count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Truncation {
    pub(crate) number: u64,
    pub(crate) direction: Direction,
    pub(crate) after: u64,
}

impl Rules {
    /// Updates the rules for a fault. `next` is the number of the next connection; `fault_number`
    /// differs for each fault applied.
    pub(crate) fn apply(&mut self, fault: Fault, next: u64, fault_number: u64) {
        match fault {
            Fault::Cut => {
                self.cut = true;
                self.closed_below = next;
            }
            Fault::Silence(direction) => {
                self.silent_to_server |= direction.covers(Direction::ToServer);
                self.silent_to_client |= direction.covers(Direction::ToClient);
            }
            Fault::SilenceOpen => self.silent_below = next,
            Fault::Delay {
                direction,
                fixed,
                jitter,
            } => self.delay(direction, (fixed, jitter)),
            Fault::Reset => self.reset_below = next,
            Fault::Truncate { direction, after } => {
                self.truncate = Some(Truncation {
                    number: fault_number,
                    direction,
                    after,
                });
            }
            Fault::Lose(percent) => self.lose_percent = percent,
            Fault::Reopen => {
                *self = Self {
                    silent_below: self.silent_below,
                    reset_below: self.reset_below,
                    closed_below: self.closed_below,
                    ..Self::default()
                };
            }
        }
    }

    fn delay(&mut self, direction: Direction, delay: (Duration, Duration)) {
        if direction.covers(Direction::ToServer) {
            self.delay_to_server = Some(delay);
        }
        if direction.covers(Direction::ToClient) {
            self.delay_to_client = Some(delay);
        }
    }

    pub(crate) fn silent(&self, connection: u64, direction: Direction) -> bool {
        let held = match direction {
            Direction::ToServer => self.silent_to_server,
            Direction::ToClient => self.silent_to_client,
            Direction::Both => self.silent_to_server && self.silent_to_client,
        };
        held || connection < self.silent_below
    }

    pub(crate) fn delay_of(&self, direction: Direction) -> Option<(Duration, Duration)> {
        match direction {
            Direction::ToServer => self.delay_to_server,
            _ => self.delay_to_client,
        }
    }
}
