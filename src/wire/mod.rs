//! Protocol between the system's own processes: postcard messages in frames over TCP, authenticated
//! by the cell key.

mod auth;
mod calls;
mod connection;
mod delta;

pub use auth::{CellKey, CellKeys, KeyId};
pub use calls::{
    Answer, AssignedRun, Call, CallId, EndedRun, EntryHello, EntryReport, Feed, FromControl,
    HttpAnswer, HttpCall, JobPhase, JobSubmission, JobView, KeyClaim, KeySettlement, KeyState,
    MinionAnnouncement, OwnedMinion, PeerEntry, Refusal, RefusalKind, RunUsage, StopKind, StopRun,
    StoredAnswer, ToControl, WorkerPoll, WorkerTasks,
};
pub(crate) use connection::dial;
pub use connection::{
    FrameReader, FrameWriter, accept, client_handshake, connect, server_handshake,
};
pub use delta::{DocumentDelta, FeedDelta, MapDelta};

/// Version of the frame format and of all messages. Peers with another version are refused during
/// the handshake.
pub const WIRE_VERSION: u16 = 1;

/// Largest payload of a frame in bytes.
pub const MAX_FRAME: usize = 16 * 1024 * 1024;
