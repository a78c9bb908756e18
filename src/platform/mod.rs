//! Adapter to the platform that the scheduler runs on: its settings file, its JSON formats and its
//! HTTP calls. It only translates; all scheduling decisions are made elsewhere.

mod client;
mod config;
mod connections;
mod control;
mod daemon;
mod entry;
mod front;
mod host;
mod http;
mod jobs;
mod minions;
mod operator;
mod rows;
mod settings;
mod unanswered;

pub use config::decode as decode_config;
pub use control::{parse_args as parse_control_args, run as run_control};
pub use entry::run as run_entry;
pub use front::{read_action, refused as refusal_reply};
pub use host::normal_host;
pub use jobs::decode as decode_job;
pub use minions::{decode_advice, decode_listing, decode_report};
pub use settings::{Boot, BootProblems};
