//! One process of the system under control: start, freeze, thaw, end.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::error::{EndedSnafu, IoSnafu, Result, SpawnSnafu, TimeoutSnafu};

/// Lines of a log that an error shows.
const LOG_TAIL: usize = 20;

/// A running or ended process of one VM.
///
/// Dropping it kills the process: none outlives its fleet.
#[derive(Debug)]
pub struct Process {
    vm: String,
    child: Child,
    pid: Option<Pid>,
    log: PathBuf,
}

impl Process {
    /// Starts `binary` with `args` and `log_level` as `RUST_LOG`; its standard error is appended
    /// to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be opened or the program can't be started.
    pub fn spawn(
        vm: &str,
        binary: &Path,
        args: &[&str],
        log_level: &str,
        log: &Path,
    ) -> Result<Self> {
        let file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .context(IoSnafu {
                what: format!("open {}", log.display()),
            })?;
        let child = Command::new(binary)
            .args(args)
            .env("RUST_LOG", log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .context(SpawnSnafu { binary })?;
        let pid = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        Ok(Self {
            vm: vm.to_owned(),
            child,
            pid,
            log: log.to_owned(),
        })
    }

    /// Returns the process id while the process has not been reaped.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends SIGKILL and reaps the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub async fn kill(&mut self) -> Result<()> {
        self.child.kill().await.context(IoSnafu {
            what: format!("kill {}", self.vm),
        })
    }

    /// Stops the process with SIGSTOP until [`Process::thaw`].
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues a frozen process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to shut down with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has ended, at most for `bound`.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Timeout`](crate::BenchError::Timeout) if it still runs.
    pub async fn wait(&mut self, bound: Duration) -> Result<ExitStatus> {
        match timeout(bound, self.child.wait()).await {
            Ok(status) => status.context(IoSnafu {
                what: format!("wait for {}", self.vm),
            }),
            Err(_) => TimeoutSnafu {
                what: format!("the end of {}", self.vm),
                bound,
                seen: "it still runs",
            }
            .fail(),
        }
    }

    /// Checks that the process still runs.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Ended`](crate::BenchError::Ended) with the end of its log if not.
    pub fn check_running(&mut self) -> Result<()> {
        let ended = self.child.try_wait().context(IoSnafu {
            what: format!("look after {}", self.vm),
        })?;
        match ended {
            None => Ok(()),
            Some(status) => EndedSnafu {
                vm: &self.vm,
                status: status.to_string(),
                log: self.log_tail(),
            }
            .fail(),
        }
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL)..].join("\n")
    }

    /// Signals only a process that is not reaped, so that the pid can't be another's by now.
    fn signal(&self, signal: Signal) -> Result<()> {
        let reaped = self.child.id().is_none();
        let pid = self.pid.filter(|_| !reaped);
        let sent = match pid {
            Some(pid) => kill_process(pid, signal).map_err(std::io::Error::from),
            None => Err(std::io::Error::from(std::io::ErrorKind::NotFound)),
        };
        sent.context(IoSnafu {
            what: format!("signal {}", self.vm),
        })
    }
}
