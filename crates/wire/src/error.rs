//! Errors of reading and writing messages.

use snafu::Snafu;

/// A message can't be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The message is malformed or over a limit.
    #[snafu(display("malformed message: {source}; run the same version on both ends"))]
    Malformed {
        /// Error of the codec.
        source: capnp::Error,
    },
    /// A number is not a value of its enumeration.
    #[snafu(display("`{field}` has unknown value {value}; run the same version on both ends"))]
    UnknownValue {
        /// Name of the field.
        field: &'static str,
        /// The number.
        value: u16,
    },
    /// A text is not UTF-8.
    #[snafu(display("`{field}` is not UTF-8: {source}; run the same version on both ends"))]
    NotText {
        /// Name of the field.
        field: &'static str,
        /// The error of the parser.
        source: std::str::Utf8Error,
    },
    /// A text is not an address.
    #[snafu(display("`{field}` is `{text}`, not an address: {source}; send `ip:port`"))]
    NotAddress {
        /// Name of the field.
        field: &'static str,
        /// The text.
        text: String,
        /// The error of the parser.
        source: std::net::AddrParseError,
    },
    /// A digest does not have 32 bytes.
    #[snafu(display("`{field}` has {length} bytes; a digest has 32"))]
    NotDigest {
        /// Name of the field.
        field: &'static str,
        /// Number of bytes.
        length: usize,
    },
    /// A document can't be read or written as JSON.
    #[snafu(display("document of `{service}`: {source}; run the same version on both ends"))]
    Document {
        /// Name of the service.
        service: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
}

impl From<WireError> for capnp::Error {
    /// Lets a server reject a call whose message can't be read.
    fn from(error: WireError) -> Self {
        Self::failed(error.to_string())
    }
}
