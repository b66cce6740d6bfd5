//! Records, pages and snapshots of a log in several eras.
#![allow(dead_code, reason = "each test program uses a part")]

use wagtailreel_fleet::{BootTime, Change, Era, Keyed, Page, Position, Snapshot};

pub(crate) fn place(era: Era, offset: u64) -> Position {
    Position::new(era, offset)
}

pub(crate) fn keyed(era: Era, offset: u64, change: Change) -> Keyed {
    let position = place(era, offset);
    Keyed { position, change }
}

pub(crate) fn snapshot(items: Vec<Keyed>, end: Position) -> Snapshot {
    Snapshot {
        items,
        end,
        as_of: BootTime::now(),
        is_relayed: false,
    }
}

pub(crate) fn page(items: Vec<Keyed>, next: Position) -> Page {
    Page {
        items,
        next,
        end: next,
        as_of: BootTime::now(),
        is_relayed: false,
    }
}
