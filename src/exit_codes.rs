//! Exit codes of all programs of this crate.

/// Exit code of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// A failure that none of the other codes covers.
    GeneralError = 1,
    /// The command line is invalid, or a confirmation is required but input is not a terminal.
    Usage = 2,
    /// A document or settings file is invalid.
    Invalid = 3,
    /// An expected outcome was not met: of a replay or comparison, or of a watched job that did not
    /// end as done.
    OutcomeMissed = 4,
    /// The document was changed by another operator since it was read.
    Conflict = 5,
    /// No control replica or entry host could be reached in time.
    Unavailable = 6,
    /// Ended by SIGINT (128 + 2), or a confirmation was answered with no.
    Interrupted = 130,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

impl ExitCode {
    /// All codes, in ascending order.
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

    /// Description of the code for the reference page.
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

/// Content of docs/EXIT_CODES.md; a test compares the file with it.
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
