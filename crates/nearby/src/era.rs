//! The newest era of the registry of which a process has heard.

use std::sync::Arc;

use tokio::sync::watch;
use wagtailreel_fleet::{Era, RegistryError};

/// The newest era of the registry, from its answers and from neighbours. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownEra(Arc<watch::Sender<Era>>);

impl KnownEra {
    /// Returns the newest era.
    pub(crate) fn get(&self) -> Era {
        *self.0.borrow()
    }

    /// Records that the registry is in `era` or a later one.
    pub(crate) fn note(&self, era: Era) {
        self.0.send_if_modified(|known| {
            let is_later = era > *known;
            *known = era.max(*known);
            is_later
        });
    }

    /// Records the era of an answer.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Stale`] if a later era is known.
    pub(crate) fn check(&self, era: Era) -> Result<(), RegistryError> {
        self.note(era);
        let known = self.get();
        if era < known {
            return Err(RegistryError::Stale { era, known });
        }
        Ok(())
    }

    /// Waits until an era after `era` is known, and returns the error for reads of `era`.
    pub(crate) async fn restored_since(&self, era: Era) -> RegistryError {
        let mut known = self.0.subscribe();
        // The sender lives as long as this type.
        let _ = known.wait_for(|known| *known > era).await;
        RegistryError::Restored { era: self.get() }
    }
}
