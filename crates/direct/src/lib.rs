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
mod agents;
mod answered;
mod attempt;
mod choosing;
mod cutter;
mod dialect;
pub mod events;
mod far;
mod front;
mod givers;
mod limits;
mod live;
mod load;
mod lost;
mod metrics;
mod pool;
mod process;
mod refusal;
mod relay;
mod seed;
mod shared;
mod socket;
mod status_page;
mod suspects;
mod tally;
mod view;

pub use cutter::{Cut, Cutter};
pub use dialect::{AnswerHead, Dialect, Dispatch, RequestHead, ServerLoad};
pub use process::{DirectEntry, DirectError};
pub use refusal::Refusal;
pub use wagtailreel_route::direct::{
    Attempt, Ending, Limit, LoadSource, Member, NamedLimit, Next, Pick, Requirements, Unavailable,
    Upstreams, next_step,
};
