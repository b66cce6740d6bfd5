//! The account of losses, read from the log lines of any number of entries and agents.
//!
//! [`Account`] takes lines in any order and counts what was refused, answered late or broken off, by
//! reason, data centre and second, the calls to the registry, and what processes told each other of
//! weights. [`Account::summary`] gives the tables, [`Summary::to_text`] writes them for people, and
//! `serde` for programs. [`Trail`] follows one request by its id. Damaged lines are counted, never
//! fatal. Nothing here does I/O or reads a clock.

mod account;
mod line;
mod summary;
mod text;
mod trail;

pub use account::{Account, AccountConfig};
pub use summary::{CallRow, LossRow, NamingRow, Summary};
pub use trail::Trail;
