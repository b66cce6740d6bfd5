//! Positions in the registry's log, which stay comparable after the log was restored from a copy.

use serde::{Deserialize, Serialize};
use wagtailreel_core::Offset;

/// Number that the registry raises each time it comes back from an older copy of its log; 0 if it names none.
pub type Era = u64;

/// Position of a record in the log.
///
/// A registry that comes back from an older copy gives out offsets again. Positions are ordered by era first, so
/// that a record that was written after a restoration never counts as older than one from before it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    Serialize,
    Deserialize,
)]
#[display("{era}:{offset}")]
pub struct Position {
    /// Era in which the offset was given out. Processes of older builds send none.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub era: Era,
    /// Offset within the era.
    pub offset: Offset,
}

impl Position {
    /// Makes the position of `offset` in `era`.
    pub const fn new(era: Era, offset: Offset) -> Self {
        Self { era, offset }
    }

    /// Returns the position after this one.
    #[must_use]
    pub const fn following(self) -> Self {
        Self::new(self.era, self.offset.saturating_add(1))
    }
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_unknown(era: &Era) -> bool {
    *era == 0
}
