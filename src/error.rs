//! What a command ends with.

use std::path::PathBuf;

use snafu::Snafu;

/// Exit codes of both binaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command did what it was asked for.
    Done,
    /// The command failed for a reason outside its input.
    Failed,
    /// The command line, settings or document are wrong; nothing was started or changed.
    Usage,
    /// The system refused: another edit won, no right to the service, or a document with problems.
    Refused,
    /// It is unknown whether the command took effect; running it again with the same edit id is safe.
    Unknown,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        let number = match code {
            ExitCode::Done => 0,
            ExitCode::Failed => 1,
            ExitCode::Usage => 2,
            ExitCode::Refused => 3,
            ExitCode::Unknown => 4,
        };
        Self::from(number)
    }
}

/// Why a command did not end well.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    #[snafu(display("{source}; see `--help`"))]
    Arguments { source: lexopt::Error },

    #[snafu(display("{what}; see `--help`"))]
    Usage { what: String },

    #[snafu(display("{} can't be read: {source}; check the path and its rights", path.display()))]
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },

    #[snafu(display("{} can't be written: {source}; check the path and its rights", path.display()))]
    WriteFile {
        path: PathBuf,
        source: std::io::Error,
    },

    #[snafu(display("{} has mistakes, nothing was started:\n{problems}", path.display()))]
    BadInput { path: PathBuf, problems: String },

    #[snafu(display("no token: set WAGTAILREEL_TOKEN or give --token-file FILE"))]
    NoToken,

    #[snafu(display("{url} is not an address of the administration API: write http://IP:PORT"))]
    BadUrl { url: String },

    #[snafu(display("{url} can't be reached: {what}; try another entry's admin address"))]
    Unreachable { url: String, what: String },

    #[snafu(display(
        "{url} gave no answer: {what}; run the same command again, with the same --edit if it submits"
    ))]
    NoAnswer { url: String, what: String },

    #[snafu(display("refused ({status}): {body}"))]
    Refused { status: u16, body: String },

    #[snafu(display("the entry can't do it now ({status}): {body}; try again later"))]
    Unavailable { status: u16, body: String },

    #[snafu(display(
        "it is unknown whether the edit was accepted: {body}; run it again with --edit {edit}"
    ))]
    UnknownEffect { body: String, edit: String },

    #[snafu(display(
        "none of {urls} gave metrics; name the admin listener of entries and the data listener of agents"
    ))]
    NoMetrics { urls: String },

    #[snafu(display("the process can't start: {what}"))]
    Start { what: String },
}

impl CommandError {
    /// Returns the exit code that the error ends the process with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Arguments { .. } | Self::Usage { .. } => ExitCode::Usage,
            Self::BadInput { .. } | Self::NoToken | Self::BadUrl { .. } => ExitCode::Usage,
            Self::Refused { .. } => ExitCode::Refused,
            Self::NoAnswer { .. } | Self::UnknownEffect { .. } => ExitCode::Unknown,
            Self::ReadFile { .. } => ExitCode::Usage,
            Self::WriteFile { .. }
            | Self::Unreachable { .. }
            | Self::Unavailable { .. }
            | Self::NoMetrics { .. }
            | Self::Start { .. } => ExitCode::Failed,
        }
    }
}
