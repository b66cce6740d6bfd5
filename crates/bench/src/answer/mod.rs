//! A caller: asks an entry for an answer and reads what comes.

mod ask;
mod dialect;
mod ending;
mod head;
mod stream;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

pub use ask::Ask;
pub(crate) use ask::set;
pub(crate) use dialect::read_token;
pub use ending::Ending;
pub(crate) use stream::Step;
pub use stream::{AnswerStream, Token};

use crate::error::Result;
use crate::http_client::HttpClient;

/// A whole answer with its times.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How it ended.
    pub ending: Ending,
    /// The tokens in the order in which they came.
    pub tokens: Vec<Token>,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end.
    pub took: Duration,
}

/// Sends `ask` to the entry at `entry` and reads the whole answer.
///
/// # Errors
///
/// Returns an error only if `ask` can't be written as a request.
pub async fn ask_whole(client: &HttpClient, entry: SocketAddr, ask: &Ask) -> Result<Answer> {
    let start = Instant::now();
    let mut stream = AnswerStream::open(client, entry, ask).await?;
    let mut tokens = Vec::new();
    let mut first_token = None;
    while let Some(token) = stream.next_token().await {
        first_token.get_or_insert_with(|| start.elapsed());
        tokens.push(token);
    }
    Ok(Answer {
        ending: stream.finish().await,
        tokens,
        first_token,
        took: start.elapsed(),
    })
}
