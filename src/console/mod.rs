//! Console and signed-in HTTP interface for operators.

mod api;
mod document_pages;
mod forms;
mod http;
mod job_pages;
mod layout;
mod operators;
mod pages;
mod parts;
mod routes;
mod scope;
mod sign_in;
mod state;
mod tables;

pub use operators::{NewToken, Operator, OperatorName, Operators, Role, new_token};
pub use pages::Console;
pub use routes::routes;
pub use state::ConsoleState;
