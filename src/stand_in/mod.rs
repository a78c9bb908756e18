//! Simulated workers and minions for demonstrations, tests and load generation. They use the
//! same HTTP interfaces as real ones and count the runs and requests they receive.

mod ledger;
mod minion;
mod minion_state;
mod worker;
mod worker_state;

pub use ledger::{Double, Ledger, LedgerCounts, Overfill};
pub use minion::{MinionHandle, MinionOptions, start_minion};
pub use minion_state::{MinionBehaviour, MinionCounts};
pub use worker::{WorkerHandle, WorkerOptions, start_worker};
pub use worker_state::{Behaviour, RunEvent, WorkerState};
