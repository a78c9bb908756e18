//! What the arguments ask for, as typed values.

use std::path::PathBuf;

use crate::console::Role;
use crate::document::Drain;
use crate::ids::{Revision, TeamName};
use crate::load::LoadOptions;
use crate::replay::ReplayArgs;
use crate::stand_in::{MinionOptions, WorkerOptions};
use crate::wire::JobSubmission;

/// Everything one run of the program needs to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// What to do.
    pub command: Command,
    /// Address of the operators' HTTP interface.
    pub server: String,
    /// File with the token to sign in with.
    pub token_file: Option<PathBuf>,
    /// How to print results.
    pub format: Format,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For scripts.
    Json,
}

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// The desired state of a cell.
    Document,
    /// Settings of `yuccahold-entry`.
    Entry,
    /// Settings of `yuccahold-control`.
    Control,
}

/// A shell that completes command lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// Z shell.
    Zsh,
    /// fish.
    Fish,
}

/// An operator who is to get a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewOperator {
    /// Name to sign in under.
    pub name: crate::console::OperatorName,
    /// What the operator may do.
    pub role: Role,
    /// Teams that `operate` extends to.
    pub teams: Vec<TeamName>,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Runs a whole cell in one process.
    Dev {
        /// Document of the cell; an example when absent.
        document: Option<PathBuf>,
        /// Folder of the cell's files.
        data: Option<PathBuf>,
        /// Whether to drive a short load and end.
        demo: bool,
    },
    /// Checks files without a server.
    Check {
        /// Files, or folders with the parts of one document.
        paths: Vec<PathBuf>,
        /// What they hold; guessed from their keys when absent.
        kind: Option<FileKind>,
    },
    /// Puts a document in force.
    Apply {
        /// File, or folder with the parts of the document.
        path: PathBuf,
        /// Revision the file was made from; the one in force when absent.
        base: Option<Revision>,
        /// Whether to go on without asking.
        yes: bool,
    },
    /// Prints the document in force or an earlier one.
    Show {
        /// Which one.
        revision: Option<Revision>,
    },
    /// Lists accepted documents.
    History,
    /// Puts an earlier document in force again, as a new revision.
    Rollback {
        /// Which one.
        revision: Revision,
        /// Whether to go on without asking.
        yes: bool,
    },
    /// Submits a job.
    Submit {
        /// The job.
        job: JobSubmission,
    },
    /// Shows one job, or the cell.
    Status {
        /// Which job.
        job: Option<String>,
        /// Whether to go on until the job has ended.
        watch: bool,
    },
    /// Cancels a job.
    Cancel {
        /// Which job.
        job: String,
    },
    /// Declares that capacity is to be emptied, or takes that back.
    Drain {
        /// What, and how soon.
        drain: Drain,
        /// Whether to take it back.
        undo: bool,
        /// Whether to go on without asking.
        yes: bool,
    },
    /// Explores schedules of failures of the replicated log.
    Explore {
        /// First seed.
        from: u64,
        /// Number of seeds.
        seeds: u64,
        /// Threads.
        threads: usize,
    },
    /// Replays traces against the decision code.
    Replay {
        /// Which, and how.
        args: ReplayArgs,
    },
    /// Shows how the objectives' error budgets burn.
    ReportBurn {
        /// File for the report as a page with plots.
        html: Option<PathBuf>,
    },
    /// Makes a token for an operator.
    Token {
        /// The operator.
        operator: NewOperator,
    },
    /// Puts load on entry hosts and measures.
    Load {
        /// What load.
        options: Box<LoadOptions>,
        /// File for the report as a page with plots.
        html: Option<PathBuf>,
        /// Earlier report as JSON to compare with.
        against: Option<PathBuf>,
    },
    /// Runs a stand-in minion until it is interrupted.
    StandInMinion {
        /// What it is.
        options: Box<MinionOptions>,
    },
    /// Runs a stand-in worker until it is interrupted.
    StandInWorker {
        /// What it is.
        options: Box<WorkerOptions>,
    },
    /// Prints a completion script.
    Completions {
        /// For which shell.
        shell: Shell,
    },
}
