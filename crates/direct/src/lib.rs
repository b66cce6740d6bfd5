//! An entry that sends requests directly to upstreams, without a proxying agent.
//!
//! An upstream that reports its instance, its weights and whether it ran a request needs no agent between it
//! and the entry. [`DirectEntry`] is the process on an entry VM for such fleets: it follows the registry,
//! queries the agents of engines for their load, and answers callers.
//!
//! Decisions are kept apart from I/O: [`Upstreams`] chooses an upstream, [`EventSplitter`] splits an answer into
//! events, [`next_step`] decides what follows when an attempt ends. A [`Dialect`] maps the metadata of
//! requests and answers to headers.

mod admit;
mod agents;
mod announced;
mod answer_head;
mod answered;
mod attempt;
mod attempts;
mod choosing;
mod collect;
mod dialect;
mod event_splitter;
pub mod events;
mod exchange;
mod first_event;
mod following;
mod front;
mod head_scan;
mod held;
mod issuers;
mod limits;
mod load;
mod lost;
mod metrics;
mod pool;
mod precheck;
mod process;
mod quarantine_sync;
mod receive;
mod refusal;
mod relay;
mod remote;
mod replacement;
mod request_log;
mod response;
mod seed;
mod shared;
mod shedding;
mod socket;
mod status_page;
mod view;
mod warmup;

pub use dialect::{AnswerHead, Dialect, Dispatch, PromptPart, RequestHead, ServerLoad};
pub use event_splitter::{EventSplitter, Split};
pub use following::{follow_settings, follow_upstreams};
pub use head_scan::{HeadPace, HeadProgress, HeadScan, HeadTooLong, MAX_HEAD_BYTES};
pub use held::Held;
pub use process::{DirectEntry, DirectError};
pub use refusal::Refusal;
pub use wagtailreel_route::direct::{
    Attempt, Ending, Limit, LoadSource, Member, NamedLimit, Next, Pick, Requirements, Unavailable,
    Upstreams, next_step, rest_from_secs,
};
