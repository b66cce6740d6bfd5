//! The processes of a fleet: kill, freeze, restart.

use std::process::ExitStatus;
use std::time::Duration;

use super::Fleet;
use crate::error::{MissingSnafu, Result};
use crate::http_client::url_of;
use crate::process::Process;
use crate::wait::{Look, wait_for};

/// Time within which a restarted process has to be healthy.
const RESTART_BOUND: Duration = Duration::from_secs(30);

impl Fleet {
    /// Returns the process id of `vm` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub async fn pid(&self, vm: &str) -> Result<Option<u32>> {
        let slot = self.vm(vm)?.process.lock().await;
        Ok(slot.as_ref().and_then(Process::pid))
    }

    /// Returns all that the process of `vm` logged.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn log_text(&self, vm: &str) -> Result<String> {
        Ok(self.vm(vm)?.log_text())
    }

    /// Kills the process of `vm` with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn kill(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_mut() {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Stops the process of `vm` with SIGSTOP until [`Fleet::thaw`].
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn freeze(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_ref() {
            Some(process) => process.freeze(),
            None => Ok(()),
        }
    }

    /// Continues a frozen process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn thaw(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_ref() {
            Some(process) => process.thaw(),
            None => Ok(()),
        }
    }

    /// Asks the process of `vm` to shut down with SIGTERM, without waiting for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn terminate(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_ref() {
            Some(process) => process.terminate(),
            None => Ok(()),
        }
    }

    /// Waits until the process of `vm` has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or it still runs after `bound`.
    pub async fn wait_exit(&self, vm: &str, bound: Duration) -> Result<ExitStatus> {
        let mut slot = self.vm(vm)?.process.lock().await;
        let Some(process) = slot.as_mut() else {
            let what = format!("process of {vm}");
            return MissingSnafu { what }.fail();
        };
        process.wait(bound).await
    }

    /// Starts the process of `vm` anew with the same settings, and waits until it is healthy. One
    /// that still runs is killed first.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or it does not become healthy.
    pub async fn restart(&self, vm: &str) -> Result<()> {
        self.vm(vm)?.start(&self.spec.log_level).await?;
        self.wait_healthy(vm, RESTART_BOUND).await
    }

    /// Waits until the process of `vm` answers `/healthz`.
    ///
    /// # Errors
    ///
    /// Returns an error if it ends or is not healthy within `bound`.
    pub async fn wait_healthy(&self, vm: &str, bound: Duration) -> Result<()> {
        self.wait_ok(vm, "/healthz", bound).await
    }

    /// Waits until the entry `vm` answers `/readyz`: it knows the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if it ends or is not ready within `bound`.
    pub async fn wait_ready(&self, vm: &str, bound: Duration) -> Result<()> {
        self.wait_ok(vm, "/readyz", bound).await
    }

    async fn wait_ok(&self, vm: &str, path: &str, bound: Duration) -> Result<()> {
        let url = url_of(self.health_addr(vm)?, path);
        wait_for(&format!("{vm} to answer {path}"), bound, || async {
            if let Err(error) = self.check_running(vm).await {
                return Look::Found(Err(error));
            }
            match self.client.get(&url).await {
                Ok(_) => Look::Found(Ok(())),
                Err(error) => Look::NotYet(error.to_string()),
            }
        })
        .await?
    }

    /// Checks that the process of `vm` runs.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of its log if not.
    pub async fn check_running(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_mut() {
            Some(process) => process.check_running(),
            None => Ok(()),
        }
    }
}
