//! The switch from one epoch to the next: the agent's gate and the entries' opener, without I/O.

mod gate;

pub use gate::{Admission, Gate, GateChange};
