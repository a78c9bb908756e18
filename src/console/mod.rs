//! Console and signed-in HTTP interface for operators.

mod state;

pub use state::ConsoleState;
