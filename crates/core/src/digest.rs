//! Content digests.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

/// A `blake3` digest of 32 bytes, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; 32]);

/// A text that is not a digest.
#[derive(Debug, Snafu)]
#[snafu(display("`{text}` is not a digest: write 64 hexadecimal digits"))]
pub struct ParseDigestError {
    text: String,
}

impl Digest {
    /// Makes a digest from its bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Computes the digest of `data`.
    pub fn of(data: &[u8]) -> Self {
        Self(*blake3::hash(data).as_bytes())
    }

    /// Computes the digest of several parts. The length of each part is hashed too, so that the same
    /// bytes divided differently have a different digest.
    pub fn of_parts<'a, I>(parts: I) -> Self
    where
        I: IntoIterator<Item = &'a [u8]>,
    {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first eight hexadecimal digits, for logs and tables.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({})", self.short())
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match blake3::Hash::from_hex(text) {
            Ok(hash) => Ok(Self(*hash.as_bytes())),
            Err(_) => Err(ParseDigestError {
                text: text.to_owned(),
            }),
        }
    }
}
