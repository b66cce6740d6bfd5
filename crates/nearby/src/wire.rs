//! Format of a neighbour's answer.

use serde::{Deserialize, Serialize};
use wagtailreel_fleet::{Keyed, Position};

/// Header of an answer while a read that is expected to bring newer records is in progress.
pub(crate) const READING_HEADER: &str = "wagtailreel-reading";

/// Records from a neighbour's mirror, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownRecords {
    /// The records, the newest of each key, in the order of the log.
    pub(crate) items: Vec<Keyed>,
    /// Position of the next record to read: `next`, and `era`, which older builds don't send.
    #[serde(flatten, with = "next_position")]
    pub(crate) next: Position,
}

/// Names the offset of a position `next`, as older builds do.
mod next_position {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use wagtailreel_core::Offset;
    use wagtailreel_fleet::{Era, Position};

    #[derive(Serialize, Deserialize)]
    struct Next {
        next: Offset,
        #[serde(default)]
        era: Era,
    }

    pub(super) fn serialize<S>(position: &Position, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let Position { era, offset } = *position;
        Next { next: offset, era }.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Position, D::Error>
    where
        D: Deserializer<'de>,
    {
        let Next { next, era } = Next::deserialize(deserializer)?;
        Ok(Position::new(era, next))
    }
}
