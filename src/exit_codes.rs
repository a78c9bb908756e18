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

impl ExitCode {
    /// All codes.
    pub const ALL: [Self; 8] = [
        Self::Success,
        Self::GeneralError,
        Self::Usage,
        Self::Invalid,
        Self::OutcomeMissed,
        Self::Conflict,
        Self::Unavailable,
        Self::Interrupted,
    ];

    /// What the code tells a caller.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Success => "All done.",
            Self::GeneralError => "Something failed that is none of the cases below.",
            Self::Usage => "The command line could not be understood, or no one could be asked.",
            Self::Invalid => "A document or settings file was refused.",
            Self::OutcomeMissed => {
                "A stated outcome was not met: a replay or comparison, or a watched job that did not end as done."
            }
            Self::Conflict => "The document was changed by someone else meanwhile.",
            Self::Unavailable => "No control replica or entry host could be reached in time.",
            Self::Interrupted => {
                "Ended by an interrupt (128 + SIGINT), or the question was answered with no."
            }
        }
    }
}

/// The whole of docs/EXIT_CODES.md.
pub fn reference() -> String {
    let row = |code: &ExitCode| format!("| {} | {} |\n", *code as u8, code.meaning());
    let rows: String = ExitCode::ALL.iter().map(row).collect();
    format!(
        "# Exit codes

Every program of yuccahold ends with one of these. The table is made from the code; a test keeps
it true. To write it anew: `UPDATE_DOCS=1 cargo test --test cli`.

| code | meaning |
| --- | --- |
{rows}"
    )
}
