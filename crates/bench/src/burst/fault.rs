//! What goes wrong during a burst.

use std::time::Duration;

use derive_more::Display;
use tokio::time::sleep;
use wagtailreel_core::VmId;

use super::setup::{Burst, SERVICE};
use crate::error::Result;
use crate::fleet::{Fleet, LinkState};

/// Every how many engines one is killed or frozen.
const TENTH: usize = 10;

/// Share of ranges from the origin with a wrong byte.
const CORRUPT_SHARE: f64 = 0.01;

/// Share of ranges from the origin that stall.
const STALL_SHARE: f64 = 0.05;

/// A fault that is brought about during a burst; times are parts of the window W.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Nothing goes wrong.
    #[display("none")]
    None,
    /// A tenth of the agents is killed after W/4 and does not come back.
    #[display("kill-tenth")]
    KillTenth,
    /// The last data centre is cut off from W/8 on for W/4.
    #[display("cut")]
    Cut,
    /// From W/8 on, for W/4, a tenth of the agents is frozen, so that what they give stalls; one
    /// in twenty ranges from the origin stalls as long.
    #[display("stall")]
    Stall,
    /// One in a hundred ranges from the origin has a wrong byte.
    #[display("corrupt")]
    Corrupt,
    /// The origin is down from W/10 on for a third of the window.
    #[display("origin-down")]
    OriginDown,
    /// A newer version, half of whose chunks are the same, is submitted after W/4.
    #[display("version-change")]
    VersionChange,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::None,
        Self::KillTenth,
        Self::Cut,
        Self::Stall,
        Self::Corrupt,
        Self::OriginDown,
        Self::VersionChange,
    ];

    /// Reads a fault from its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.to_string() == name)
    }

    /// Returns how many replicas of a data centre with `all` are required.
    ///
    /// Killed VMs may all lie in one data centre, so that each has to do without them.
    pub(super) fn required(self, all: u32) -> u32 {
        match self {
            Self::KillTenth => (all - all.div_ceil(4)).max(1),
            _ => all,
        }
    }

    /// Says whether requests may be lost: those at a killed agent are told unknown.
    pub(super) fn may_lose(self) -> bool {
        self == Self::KillTenth
    }

    /// Returns after which time a newer version is submitted, if one is.
    pub(super) fn newer_after(self, window: Duration) -> Option<Duration> {
        (self == Self::VersionChange).then(|| window / 4)
    }
}

/// Brings the fault about and, where it ends, ends it.
///
/// # Errors
///
/// Returns an error if a process can't be signalled.
pub(super) async fn bring_about(burst: &Burst, fleet: &Fleet) -> Result<()> {
    let window = burst.window;
    match burst.fault {
        Fault::None | Fault::VersionChange => Ok(()),
        Fault::KillTenth => {
            sleep(window / 4).await;
            for vm in tenth(fleet) {
                fleet.kill(&vm).await?;
            }
            Ok(())
        }
        Fault::Cut => {
            sleep(window / 8).await;
            let name = fleet.spec().data_centres.last().map(|it| it.name.clone());
            let name = name.unwrap_or_default();
            fleet.cut(&name, LinkState::Stalled);
            sleep(window / 4).await;
            fleet.cut(&name, LinkState::Open);
            Ok(())
        }
        Fault::Stall => stall(fleet, window).await,
        Fault::Corrupt => {
            let faults = fleet.standins.origin.faults();
            faults.update(|it| it.corrupt_share = CORRUPT_SHARE);
            Ok(())
        }
        Fault::OriginDown => {
            sleep(window / 10).await;
            let origin = &fleet.standins.origin;
            origin.crash();
            sleep(window / 3).await;
            crate::fleet::started(origin.resume())
        }
    }
}

async fn stall(fleet: &Fleet, window: Duration) -> Result<()> {
    let faults = fleet.standins.origin.faults();
    faults.update(|it| {
        it.stall_share = STALL_SHARE;
        it.stall = window / 4;
    });
    sleep(window / 8).await;
    let frozen = tenth(fleet);
    for vm in &frozen {
        fleet.freeze(vm).await?;
    }
    sleep(window / 4).await;
    for vm in &frozen {
        fleet.thaw(vm).await?;
    }
    faults.update(|it| it.stall_share = 0.0);
    Ok(())
}

/// Returns every tenth engine VM, at least one.
pub(super) fn tenth(fleet: &Fleet) -> Vec<VmId> {
    fleet
        .upstreams(SERVICE)
        .into_iter()
        .step_by(TENTH)
        .collect()
}
