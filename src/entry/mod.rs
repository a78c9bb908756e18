//! The entry daemon: an HTTP proxy that routes callers' requests to the minions it owns or to
//! peers, and forwards announcements, worker polls and jobs to the control plane.

mod access;
mod announce;
mod burn;
mod callers;
mod control;
mod core;
mod daemon;
mod http;
mod jobs;
mod keys;
mod link;
mod link_connection;
mod minion_client;
mod minion_connection;
mod peer_dialer;
mod peer_message;
mod peer_server;
mod pending_call;
mod reply;
mod service_request;

pub use daemon::{Entry, EntryHandle};
pub use link::{ControlLink, RemoteLink};
pub use reply::Outcome;
