//! The crate's error type.

use std::fmt;

use compact_str::CompactString;

/// Operation during which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Reading or validating a settings file.
    Settings,
    /// Reading or validating a document.
    Document,
    /// Binding a listening address or accepting connections on it.
    Listen,
    /// Opening a connection.
    Connect,
    /// Authenticating a new connection with the cell key.
    Handshake,
    /// Reading or writing frames on an open connection.
    Transfer,
    /// Encoding or decoding a message.
    Codec,
    /// Reading or writing files in the data folder.
    Storage,
    /// Committing an entry to the replicated log.
    Replicate,
    /// Applying a command to the replicated state.
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

/// An error with the operation that failed and, where there is one, the peer or file involved.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{step}{}: {message}", peer.as_ref().map(|p| format!(" with {p}")).unwrap_or_default())]
pub struct Error {
    /// Operation that failed.
    pub step: Step,
    /// Address or name of the other side, or path of the file.
    pub peer: Option<CompactString>,
    /// Description of the failure, including the text of `source`.
    pub message: String,
    /// Underlying error, if any.
    #[source]
    pub source: Option<Box<dyn std::error::Error + Send + Sync>>,
}

impl Error {
    /// Creates an error without peer and source.
    pub fn new(step: Step, message: impl Into<String>) -> Self {
        Self {
            step,
            peer: None,
            message: message.into(),
            source: None,
        }
    }

    /// Sets the peer or file.
    #[must_use]
    pub fn with_peer(mut self, peer: impl fmt::Display) -> Self {
        self.peer = Some(CompactString::from(peer.to_string()));
        self
    }

    /// Creates an error from an underlying one, whose text is appended to the message.
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

/// Result with the crate's error type by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;
