//! Small stand-ins for what the platform provides, for demonstrations, tests and load: they
//! speak the real interfaces and count what happened.

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
