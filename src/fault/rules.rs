//! Faults, and the rules in force that follow from them.

use std::time::Duration;

/// A direction of traffic through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the side that listens.
    ToServer,
    /// From the side that listens to the side that connects.
    ToClient,
    /// Both.
    Both,
}

impl Direction {
    pub(crate) fn covers(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// A fault to inject from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Closes every connection and refuses new ones; drops datagrams.
    Cut,
    /// Holds back all traffic of a direction, also on new connections, and closes nothing.
    /// What was held is delivered on `Reopen`; datagrams are lost.
    Silence(Direction),
    /// Makes the connections open now silent for good; new ones work.
    SilenceOpen,
    /// Delays each piece of a direction by a fixed time plus up to a random jitter, in order.
    Delay {
        /// Direction.
        direction: Direction,
        /// Least delay.
        fixed: Duration,
        /// Greatest random addition.
        jitter: Duration,
    },
    /// Ends every open connection with a reset; new ones work.
    Reset,
    /// Ends each connection once it has carried this many more bytes of a direction.
    Truncate {
        /// Direction.
        direction: Direction,
        /// Bytes still carried.
        after: u64,
    },
    /// Loses a share of datagrams, in percent. TCP traffic is left alone.
    Lose(u8),
    /// Ends all faults for new connections, and silence for held ones.
    Reopen,
}

/// What a proxy does with traffic at this moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rules {
    pub(crate) cut: bool,
    pub(crate) silent_to_server: bool,
    pub(crate) silent_to_client: bool,
    /// Connections with a lower number are silent for good.
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

/// A limit on bytes carried; its number tells a new one from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Truncation {
    pub(crate) number: u64,
    pub(crate) direction: Direction,
    pub(crate) after: u64,
}

impl Rules {
    /// Takes a fault into the rules. `next` is the number of the next connection, `fault_number`
    /// grows with each fault.
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
