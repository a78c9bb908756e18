//! Exit codes of every program of this crate.

/// What a process tells its caller when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// All done.
    Success = 0,
    /// Something failed that is none of the cases below.
    GeneralError = 1,
    /// The command line could not be understood.
    Usage = 2,
    /// A document or settings file was refused.
    Invalid = 3,
    /// A stated outcome of a replay or a comparison was not met.
    OutcomeMissed = 4,
    /// The document was changed by someone else meanwhile.
    Conflict = 5,
    /// No control replica or entry host could be reached in time.
    Unavailable = 6,
    /// Ended by an interrupt (128 + SIGINT).
    Interrupted = 130,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
