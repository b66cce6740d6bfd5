//! What can go wrong in the tools.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use http::StatusCode;
use snafu::Snafu;

/// One of the tools can't go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// A file or socket operation failed.
    #[snafu(display("can't {what}: {source}"))]
    Io {
        /// What was tried.
        what: String,
        /// What the operating system says.
        source: io::Error,
    },
    /// A condition did not come about in time.
    #[snafu(display("waited {bound:?} for {what}, last seen: {seen}; look into the logs"))]
    Timeout {
        /// The condition.
        what: String,
        /// How long it was waited for.
        bound: Duration,
        /// What was seen last.
        seen: String,
    },
    /// A program can't be started.
    #[snafu(display("can't start {}: {source}; build both programs first", binary.display()))]
    Spawn {
        /// The program.
        binary: PathBuf,
        /// What the operating system says.
        source: io::Error,
    },
    /// A process ended by itself.
    #[snafu(display("process {vm} ended with {status}; the end of its log:\n{log}"))]
    Ended {
        /// VM of the process.
        vm: String,
        /// Exit status in words.
        status: String,
        /// Last lines of the log.
        log: String,
    },
    /// No VM has this name.
    #[snafu(display("the fleet has no VM `{vm}`; it has {known}"))]
    UnknownVm {
        /// The name.
        vm: String,
        /// Names that there are.
        known: String,
    },
    /// Something asked for is not in the fleet's specification.
    #[snafu(display("the fleet's specification has no {what}: add it"))]
    Missing {
        /// What is missing.
        what: String,
    },
    /// An exchange over HTTP failed.
    #[snafu(display("{url}: {detail}"))]
    Http {
        /// Address that was asked.
        url: String,
        /// What failed.
        detail: String,
    },
    /// An answer has another status than wanted.
    #[snafu(display("{url}: status {status}: {body}"))]
    Status {
        /// Address that was asked.
        url: String,
        /// Status of the answer.
        status: StatusCode,
        /// Start of the body.
        body: String,
    },
    /// An answer or file can't be read.
    #[snafu(display("can't read {what}: {detail}"))]
    Parse {
        /// What was read.
        what: String,
        /// What is wrong with it.
        detail: String,
    },
    /// A plan, setting or argument is wrong.
    #[snafu(display("{at}: {detail}"))]
    Plan {
        /// Place of the mistake.
        at: String,
        /// What is wrong and what to do.
        detail: String,
    },
    /// Something that had to hold did not.
    #[snafu(display("did not hold: {what}"))]
    Broken {
        /// What was seen.
        what: String,
    },
}

/// Result of the tools' functions.
pub type Result<T, E = BenchError> = std::result::Result<T, E>;
