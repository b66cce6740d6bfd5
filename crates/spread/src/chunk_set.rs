//! Sets of chunks of one bundle.

use std::fmt;

use wagtailreel_core::ChunkIndex;

/// Bits per word of a set.
const WORD_BITS: u32 = u64::BITS;

/// A set of the chunks `0..len` of one bundle.
#[derive(Clone, PartialEq, Eq)]
pub struct ChunkSet {
    words: Vec<u64>,
    len: u32,
}

impl ChunkSet {
    /// Makes an empty set over `len` chunks.
    pub fn new(len: u32) -> Self {
        Self {
            words: vec![0; len.div_ceil(WORD_BITS) as usize],
            len,
        }
    }

    /// Returns the number of chunks of the bundle, in the set or not.
    pub const fn capacity(&self) -> u32 {
        self.len
    }

    /// Returns the number of chunks in the set.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether the set contains every chunk of the bundle.
    pub fn is_full(&self) -> bool {
        self.count() == self.len
    }

    /// Returns whether the set contains `chunk`; `false` for a chunk outside the bundle.
    pub fn contains(&self, chunk: ChunkIndex) -> bool {
        self.words
            .get((chunk / WORD_BITS) as usize)
            .is_some_and(|word| word & bit(chunk) != 0)
    }

    /// Adds `chunk`, and returns whether it was missing. Ignores a chunk outside the bundle.
    pub fn insert(&mut self, chunk: ChunkIndex) -> bool {
        if chunk >= self.len || self.contains(chunk) {
            return false;
        }
        self.words[(chunk / WORD_BITS) as usize] |= bit(chunk);
        true
    }

    /// Removes `chunk`, and returns whether the set contained it.
    pub fn remove(&mut self, chunk: ChunkIndex) -> bool {
        if !self.contains(chunk) {
            return false;
        }
        self.words[(chunk / WORD_BITS) as usize] &= !bit(chunk);
        true
    }

    /// Returns the chunks of the set in order.
    pub fn iter(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        (0..self.len).filter(|chunk| self.contains(*chunk))
    }

    /// Returns the chunks that are not in the set, in order.
    pub fn missing(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        (0..self.len).filter(|chunk| !self.contains(*chunk))
    }

    /// Encodes the set as hexadecimal digits: eight chunks per byte, with the lowest chunk in the
    /// lowest bit of the first byte.
    pub fn to_hex(&self) -> String {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes
            .take(self.len.div_ceil(u8::BITS) as usize)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Decodes the text of [`ChunkSet::to_hex`] for a bundle of `len` chunks.
    ///
    /// Returns `None` if the text has another length, an invalid digit, or a chunk at or after `len`.
    pub fn from_hex(text: &str, len: u32) -> Option<Self> {
        let expected_len = len.div_ceil(u8::BITS) as usize * 2;
        if text.len() != expected_len || !text.is_ascii() {
            return None;
        }
        let mut set = Self::new(len);
        for (at, pair) in text.as_bytes().chunks(2).enumerate() {
            let digits = std::str::from_utf8(pair).ok()?;
            let byte = u8::from_str_radix(digits, 16).ok()?;
            for chunk in bits_of(at, byte) {
                if chunk >= len {
                    return None;
                }
                set.insert(chunk);
            }
        }
        Some(set)
    }
}

impl fmt::Debug for ChunkSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkSet({}/{})", self.count(), self.len)
    }
}

/// Returns the mask of `chunk` in its word.
const fn bit(chunk: ChunkIndex) -> u64 {
    1 << (chunk % WORD_BITS)
}

/// Returns the chunks whose bits are set in `byte` at position `at`.
fn bits_of(at: usize, byte: u8) -> impl Iterator<Item = ChunkIndex> {
    let first = u32::try_from(at)
        .unwrap_or(u32::MAX)
        .saturating_mul(u8::BITS);
    (0..u8::BITS)
        .filter(move |shift| byte & (1 << shift) != 0)
        .map(move |shift| first.saturating_add(shift))
}
