//! The crate's error: what failed, at which step, with which peer.

use std::fmt;

use compact_str::CompactString;

/// The step of work at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Reading or checking a settings file.
    Settings,
    /// Reading or checking a document.
    Document,
    /// Binding or accepting on a listening address.
    Listen,
    /// Opening a connection.
    Connect,
    /// Proving membership of the cell on a new connection.
    Handshake,
    /// Reading or writing frames on an open connection.
    Transfer,
    /// Encoding or decoding a message.
    Codec,
    /// Reading or writing files of the data folder.
    Storage,
    /// Getting an entry agreed by the replicas.
    Replicate,
    /// Applying a command to the cell's state.
    Apply,
    /// Routing a request to a minion.
    Route,
    /// Replaying a trace.
    Replay,
    /// Answering an HTTP request.
    Http,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Settings => "settings",
            Self::Document => "document",
            Self::Listen => "listen",
            Self::Connect => "connect",
            Self::Handshake => "handshake",
            Self::Transfer => "transfer",
            Self::Codec => "codec",
            Self::Storage => "storage",
            Self::Replicate => "replicate",
            Self::Apply => "apply",
            Self::Route => "route",
            Self::Replay => "replay",
            Self::Http => "http",
        };
        f.write_str(name)
    }
}

/// An error with the step and, where there is one, the peer at which it arose.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{step}{}: {message}", peer.as_ref().map(|p| format!(" with {p}")).unwrap_or_default())]
pub struct Error {
    /// Where it arose.
    pub step: Step,
    /// Address or name of the other side, or the file.
    pub peer: Option<CompactString>,
    /// What happened, in a plain sentence.
    pub message: String,
    /// The error beneath, if any.
    #[source]
    pub source: Option<Box<dyn std::error::Error + Send + Sync>>,
}

impl Error {
    /// An error of this process alone.
    pub fn new(step: Step, message: impl Into<String>) -> Self {
        Self {
            step,
            peer: None,
            message: message.into(),
            source: None,
        }
    }

    /// Names the other side.
    #[must_use]
    pub fn with_peer(mut self, peer: impl fmt::Display) -> Self {
        self.peer = Some(CompactString::from(peer.to_string()));
        self
    }

    /// Keeps the error beneath and adds its text to the message.
    pub fn caused(
        step: Step,
        message: impl fmt::Display,
        source: impl std::error::Error + Send + Sync + 'static,
    ) -> Self {
        let message = format!("{message}: {source}");
        Self {
            step,
            peer: None,
            message,
            source: Some(Box::new(source)),
        }
    }
}

/// Result with the crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;
