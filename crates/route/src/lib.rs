//! Decisions of an entry's request path, without I/O.
//!
//! Every type takes the time as an argument and returns what to do. None reads a clock, opens a
//! socket or holds a random number generator. One service has one [`Membership`], one
//! [`Chooser`], one [`Overload`] and one [`RetryBudget`]; [`Limits`] holds the limits of one service's
//! customers at this entry, [`Shares`] computes the entry's share of each limit, and [`Attempts`] belongs
//! to one request.

mod attempts;
mod budget;
mod chooser;
pub mod direct;
mod limits;
mod membership;
mod overload;
mod shares;

pub use attempts::{
    AttemptEnd, Attempts, AttemptsConfig, CancelState, Next, Repeat, RetryAfter, UnknownReason,
};
pub use budget::{BudgetConfig, RetryBudget};
pub use chooser::{Choice, Chooser, Policy, Requirements, Unavailable, prefix_of};
pub use limits::{LimitVerdict, Limits};
pub use membership::{Member, Membership, MembershipConfig, ReportEffect, Standing};
pub use overload::{Admission, Overload, OverloadConfig, QueueEvent, WaiterId};
pub use shares::{Demand, Shares, SharesConfig};
