//! The switch from one epoch to the next: the agent's gate and the entries' opener, without I/O.

mod gate;
mod opener;
mod peers;
mod ready;
mod table;
mod timing;

pub use gate::{Admission, Gate, GateChange};
pub use opener::{Changes, Opener, OpenerConfig};
pub use timing::Timing;
