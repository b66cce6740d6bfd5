//! Bodies of answers to other processes: JSON, compressed if long.

use std::io::{Read as _, Write as _};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::response::Response;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use http::{HeaderMap, HeaderValue, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt as _, ResultExt as _, Snafu};

/// Header with the age of the data, in microseconds. The age is not part of the body, so that the body is
/// encoded once for all readers.
const AGE_HEADER: &str = "wagtailreel-age-us";

/// Content coding of compressed bodies.
const GZIP: &str = "gzip";

/// Minimum size of a body to be compressed, in bytes. Shorter bodies fit into one packet.
const MIN_PACKED_BYTES: usize = 1400;

/// Maximum size of a decompressed body, in bytes. A configuration of 2,000 routes takes 0.6 MB.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// Error of decoding a body.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// The body is no JSON of the expected form.
    #[snafu(display("the answer can't be parsed ({source}): run the same version everywhere"))]
    Unreadable {
        /// Error of the JSON library.
        source: serde_json::Error,
    },
    /// The body can't be decompressed.
    #[snafu(display(
        "the answer can't be decompressed ({source}): run the same version everywhere"
    ))]
    Corrupt {
        /// Error of the decompression.
        source: std::io::Error,
    },
    /// The answer has no header with its age.
    #[snafu(display("the answer has no age: run the same version everywhere"))]
    MissingAge,
}

/// An encoded body.
#[derive(Clone, Debug)]
pub struct Packed {
    body: Bytes,
    is_packed: bool,
}

impl Packed {
    /// Encodes `value`; long JSON is compressed at the fastest level.
    pub fn new<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        // Serialising plain numbers and strings can't fail.
        let json = serde_json::to_vec(value).unwrap_or_default();
        if json.len() < MIN_PACKED_BYTES {
            return Self {
                body: json.into(),
                is_packed: false,
            };
        }
        match pack(&json) {
            Ok(packed) => Self {
                body: packed.into(),
                is_packed: true,
            },
            // Can't happen: a write to a buffer in memory does not fail.
            Err(_) => Self {
                body: json.into(),
                is_packed: false,
            },
        }
    }

    /// Makes the HTTP response; `age` is the age of the data.
    pub fn answer(self, age: Duration) -> Response {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let mut response = Response::new(Body::from(self.body));
        let headers = response.headers_mut();
        headers.insert(AGE_HEADER, HeaderValue::from(age));
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if self.is_packed {
            let packed = HeaderValue::from_static(GZIP);
            headers.insert(header::CONTENT_ENCODING, packed);
        }
        response
    }
}

fn pack(json: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json)?;
    encoder.finish()
}

/// Returns the age of an answer's data.
///
/// # Errors
///
/// Returns [`UnpackError::MissingAge`] if the header is missing or invalid.
pub fn age_of(headers: &HeaderMap) -> Result<Duration, UnpackError> {
    let age = headers.get(AGE_HEADER).and_then(|age| age.to_str().ok());
    let micros = age.and_then(|age| age.parse().ok());
    Ok(Duration::from_micros(micros.context(MissingAgeSnafu)?))
}

/// Decodes the body of an answer.
///
/// # Errors
///
/// Returns an [`UnpackError`] if the body is corrupt or of another form.
pub fn unpack<T>(headers: &HeaderMap, body: &[u8]) -> Result<T, UnpackError>
where
    T: DeserializeOwned,
{
    let coding = headers.get(header::CONTENT_ENCODING);
    if coding.is_none_or(|coding| coding != GZIP) {
        return serde_json::from_slice(body).context(UnreadableSnafu);
    }
    let mut json = Vec::new();
    let mut decoder = GzDecoder::new(body).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut json).context(CorruptSnafu)?;
    serde_json::from_slice(&json).context(UnreadableSnafu)
}
