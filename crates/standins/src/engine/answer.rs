//! One answer as it is generated, token by token.

use std::io;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::Store;
use super::batch::{Slot, Ticket};
use super::http::Generate;
use super::requests::{RequestState, Track};
use super::weights::Held;
use crate::token::TokenSource;

/// Tokens of one write when there is no time between them.
const FAST_TOKENS: u32 = 16;

/// Bytes of one token's event, for the buffer.
const TOKEN_EVENT: usize = 56;

/// Bytes of the closing event, for the buffer.
const END_EVENT: usize = 128;

/// One answer; it gives its slot back when dropped.
pub(super) struct Answer {
    store: Arc<Store>,
    req: Generate,
    held: Held,
    track: Track,
    /// The place in the queue, until the answer starts.
    ticket: Option<Ticket>,
    /// What is generated, from the start to the end.
    running: Option<Running>,
    is_over: bool,
}

struct Running {
    /// Given back when the answer is over.
    _slot: Slot,
    source: TokenSource,
    /// Index of the next token.
    index: u32,
    /// When the next token comes.
    due: Instant,
}

/// How the wait for something went.
enum Waited<T> {
    Came(T),
    Ended(RequestState),
}

impl Answer {
    pub(super) fn new(
        store: Arc<Store>,
        req: Generate,
        held: Held,
        track: Track,
        ticket: Ticket,
    ) -> Self {
        Self {
            store,
            req,
            held,
            track,
            ticket: Some(ticket),
            running: None,
            is_over: false,
        }
    }

    /// Generates to the end without a reader.
    pub(super) async fn run_unread(mut self) {
        while let Some(Ok(_)) = self.next_frame().await {}
    }

    /// Returns the next bytes of the stream; an error cuts it.
    pub(super) async fn next_frame(&mut self) -> Option<Result<Bytes, io::Error>> {
        self.begin().await?;
        self.wait_for_token().await?;
        self.store.faults.thawed().await;
        Some(self.generate())
    }

    /// Starts the request if it has not been started; none if it has ended before.
    pub(super) async fn begin(&mut self) -> Option<()> {
        match self.ticket.take() {
            Some(ticket) => self.start(ticket).await,
            None => Some(()),
        }
    }

    /// Waits for the slot and starts.
    async fn start(&mut self, ticket: Ticket) -> Option<()> {
        let slot = match ticket {
            Ticket::Slot(slot) => slot,
            Ticket::Waiting(mut waiting) => {
                let waited = self.unless_ended(waiting.slot()).await;
                match waited {
                    Waited::Came(Some(slot)) => slot,
                    Waited::Came(None) => return self.end(RequestState::Cut),
                    Waited::Ended(end) => return self.end(end),
                }
            }
        };
        self.store.faults.thawed().await;
        if let Some(end) = self.ended() {
            return self.end(end);
        }
        let from = self.req.resume_from;
        let requests = &self.store.requests;
        let started = requests.start(&self.req.request, self.held.real, from);
        if !started {
            return self.end(RequestState::Cancelled);
        }
        self.store.counts.started.fetch_add(1, Ordering::Relaxed);
        self.running = Some(Running {
            _slot: slot,
            source: TokenSource::new(self.held.real, &self.req.prompt),
            index: self.req.resume_from,
            due: Instant::now() + self.first_token(),
        });
        Some(())
    }

    /// Returns the time to the first token, and uses the prompt's prefix.
    fn first_token(&self) -> Duration {
        let is_hit = self
            .store
            .cache()
            .use_prefix(self.held.real, &self.req.prompt);
        if !is_hit {
            return self.store.cfg.first_token;
        }
        self.store.counts.cache_hits.fetch_add(1, Ordering::Relaxed);
        let cfg = &self.store.cfg;
        cfg.first_token_hit.unwrap_or(cfg.first_token)
    }

    /// Waits until the next token is due.
    async fn wait_for_token(&mut self) -> Option<()> {
        let due = self.running.as_ref()?.due;
        if due <= Instant::now() {
            tokio::task::yield_now().await;
        } else {
            let waited = self.unless_ended(tokio::time::sleep_until(due)).await;
            if let Waited::Ended(end) = waited {
                return self.end(end);
            }
        }
        match self.ended() {
            Some(end) => self.end(end),
            None => Some(()),
        }
    }

    /// Writes the tokens that are due, and the end after the last.
    fn generate(&mut self) -> Result<Bytes, io::Error> {
        let between = self.between_tokens();
        let last = self.req.max_tokens;
        let first = self.req.resume_from;
        let cut_after = self.store.faults.read(|faults| faults.cut_after);
        let cut_at = cut_after.map_or(u32::MAX, |tokens| first.saturating_add(tokens));
        let Some(running) = &mut self.running else {
            return Err(cut());
        };
        if running.index >= cut_at {
            self.end(RequestState::Cut);
            return Err(cut());
        }
        let count = if between.is_zero() { FAST_TOKENS } else { 1 };
        let start = running.index;
        let end = start.saturating_add(count).min(last).min(cut_at);
        let mut buf = Vec::with_capacity(count as usize * TOKEN_EVENT + END_EVENT);
        for index in start..end {
            write_token(&mut buf, index, &running.source);
        }
        running.index = running.index.max(end);
        // An answer that fell behind goes on at its pace.
        running.due = (running.due + between).max(Instant::now());
        let is_whole = running.index >= last && running.index < cut_at;
        let tokens = u64::from(end.saturating_sub(start));
        self.track.tokens.fetch_add(tokens, Ordering::Relaxed);
        self.store
            .counts
            .tokens
            .fetch_add(tokens, Ordering::Relaxed);
        if is_whole {
            self.write_end(&mut buf);
            self.end(RequestState::Done);
        }
        Ok(Bytes::from(buf))
    }

    /// Writes the closing event.
    fn write_end(&self, buf: &mut Vec<u8>) {
        let tokens = self.req.max_tokens;
        let bundle = self.held.real;
        // Writing to a Vec does not fail.
        let _ = write!(
            buf,
            "event: end\ndata: {{\"tokens\": {tokens}, \"bundle\": \"{bundle}\"}}\n\n"
        );
    }

    /// Returns the time to the next token, which grows with the batch.
    fn between_tokens(&self) -> Duration {
        let cfg = &self.store.cfg;
        let fault = self.store.faults.read(|faults| faults.slow_tokens);
        if cfg.batch_slowdown == 0.0 || cfg.between_tokens.is_zero() {
            return cfg.between_tokens + fault;
        }
        let slower = 1.0 + cfg.batch_slowdown * self.store.batch.crowding();
        cfg.between_tokens.mul_f64(slower) + fault
    }

    /// Says whether the answer was cancelled or its bundle dropped.
    fn ended(&self) -> Option<RequestState> {
        if self.track.cancel.is_cancelled() {
            return Some(RequestState::Cancelled);
        }
        self.held.gone.is_cancelled().then_some(RequestState::Cut)
    }

    /// Waits for `wait` unless the answer is cancelled or its bundle dropped before.
    async fn unless_ended<W>(&self, wait: W) -> Waited<W::Output>
    where
        W: Future,
    {
        tokio::select! {
            biased;
            () = self.track.cancel.cancelled() => Waited::Ended(RequestState::Cancelled),
            () = self.held.gone.cancelled() => Waited::Ended(RequestState::Cut),
            output = wait => Waited::Came(output),
        }
    }

    /// Ends the answer.
    fn end(&mut self, end: RequestState) -> Option<()> {
        self.running = None;
        self.is_over = true;
        self.store.requests.end(&self.req.request, end);
        None
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.is_over {
            self.end(RequestState::Cut);
        }
    }
}

/// Writes the event of one token.
fn write_token(buf: &mut Vec<u8>, index: u32, source: &TokenSource) {
    let token = source.text(index);
    // Writing to a Vec does not fail.
    let _ = write!(
        buf,
        "data: {{\"index\": {index}, \"token\": \"{token}\"}}\n\n"
    );
}

/// The error that cuts a stream.
fn cut() -> io::Error {
    io::Error::other("cut on purpose")
}
