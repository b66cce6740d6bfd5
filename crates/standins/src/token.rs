//! Text of the tokens that the stand-in for an engine gives.

use blake3::Hasher;
use wagtailreel_core::Digest;

/// Bytes of a token's hash that make its text; each gives two characters.
const TOKEN_BYTES: usize = 6;

/// Length of a token's text.
const TOKEN_CHARS: usize = 2 * TOKEN_BYTES;

/// Bytes of a prompt that make its prefix for the cache.
const PREFIX_BYTES: usize = 64;

/// Length of a prefix's hash as text.
const PREFIX_CHARS: usize = 16;

/// Gives the tokens of one answer; cheaper than [`token_text`] for each.
#[derive(Clone, Copy, Debug)]
pub struct TokenSource {
    base: [u8; 32],
}

impl TokenSource {
    /// Makes the source of the answer that `bundle` gives to `prompt`.
    pub fn new(bundle: Digest, prompt: &str) -> Self {
        let mut hasher = Hasher::new();
        // The digest's length is fixed, so that no two pairs are hashed alike.
        hasher.update(bundle.as_bytes());
        hasher.update(prompt.as_bytes());
        Self {
            base: *hasher.finalize().as_bytes(),
        }
    }

    /// Returns the text of the token at `index`.
    pub fn text(&self, index: u32) -> String {
        let mut input = [0_u8; 36];
        input[..32].copy_from_slice(&self.base);
        input[32..].copy_from_slice(&index.to_le_bytes());
        let hex = blake3::hash(&input).to_hex();
        hex[..TOKEN_CHARS].to_owned()
    }
}

/// Returns the token at `index` of the answer that `bundle` gives to `prompt`.
pub fn token_text(bundle: Digest, prompt: &str, index: u32) -> String {
    TokenSource::new(bundle, prompt).text(index)
}

/// Returns the hash of a whole prompt as the engine's stats name it: 16 hexadecimal digits.
pub fn prompt_hash(prompt: &str) -> String {
    blake3::hash(prompt.as_bytes()).to_hex()[..PREFIX_CHARS].to_owned()
}

/// Returns the hash of a prompt's prefix as the engine's cache events name it: 16 hexadecimal
/// digits of the `blake3` of its first 64 bytes.
pub fn prefix_hash(prompt: &str) -> String {
    let prefix = prompt.as_bytes();
    let prefix = &prefix[..prefix.len().min(PREFIX_BYTES)];
    blake3::hash(prefix).to_hex()[..PREFIX_CHARS].to_owned()
}
