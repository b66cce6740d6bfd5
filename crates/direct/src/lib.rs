//! Requests straight from an entry to upstreams that name themselves.
//!
//! Where an upstream can tell its instance, its weights and whether it ran a request, no agent has
//! to stand in the way of requests. [`DirectEntry`] is the process on an entry VM for such fleets:
//! it follows the registry, asks the agents of engines for their load, and answers callers.
//!
//! Decisions stand apart from sockets: [`Upstreams`] chooses, [`Cutter`] keeps events whole,
//! [`next_step`] says what follows from the end of an attempt. How requests and answers are marked
//! on the wire is a [`Dialect`].

mod admit;
mod attempt;
mod cutter;
mod dialect;
mod ending;
pub mod events;
mod front;
mod live;
mod load;
mod member;
mod members;
mod metrics;
mod pool;
mod process;
mod refusal;
mod relay;
mod shared;
mod status_page;
mod view;

pub use cutter::{Cut, Cutter};
pub use dialect::{AnswerHead, Dialect, Dispatch, RequestHead, ServerLoad};
pub use ending::{Attempt, Ending, Next, next_step};
pub use member::{LoadSource, Member};
pub use members::{Ask, Pick, Shortage, Upstreams};
pub use process::{DirectEntry, DirectError};
pub use refusal::Refusal;
