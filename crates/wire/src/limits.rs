//! Limits on messages from peers.

use capnp::message::ReaderOptions;

/// Largest message that is read, in bytes. A view of the state with all documents fits in it.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Deepest nesting of a message; the schema needs fewer than ten levels.
const MAX_NESTING: i32 = 32;

/// Bytes of one word of a message.
const WORD_BYTES: usize = 8;

/// Returns the options with which every message of the protocol is read.
pub fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    options.nesting_limit(MAX_NESTING);
    options
}
