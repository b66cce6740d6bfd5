//! Bodies for other processes: JSON, packed where it is long.

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

/// Name of the header with the age of what is known, in microseconds. It stands apart from the body, so
/// that this is encoded once for all that ask.
const AGE_HEADER: &str = "wagtailreel-age-us";

/// Name of the coding of bodies that are packed.
const GZIP: &str = "gzip";

/// Bodies that are shorter are not packed, in bytes: they fit into one packet.
const MIN_PACKED_BYTES: usize = 1400;

/// Longest body that is unpacked, in bytes. A configuration of 2,000 routes takes 0.6 MB.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// A body can't be read.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// It is no JSON of the wanted form.
    #[snafu(display("the answer can't be read ({source}): run the same version everywhere"))]
    Unreadable {
        /// What the library says.
        source: serde_json::Error,
    },
    /// It can't be unpacked.
    #[snafu(display("the answer can't be unpacked ({source}): run the same version everywhere"))]
    Corrupt {
        /// What the library says.
        source: std::io::Error,
    },
    /// It doesn't say how old it is.
    #[snafu(display("the answer has no age: run the same version everywhere"))]
    MissingAge,
}

/// A body as it is sent.
#[derive(Clone, Debug)]
pub struct Packed {
    body: Bytes,
    is_packed: bool,
}

impl Packed {
    /// Encodes `value`; a long one is packed with the least effort.
    pub fn new<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        // Plain records of numbers and texts are always written.
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
            // A buffer in memory takes all that is written to it.
            Err(_) => Self {
                body: json.into(),
                is_packed: false,
            },
        }
    }

    /// Makes the answer, with how old what it says is.
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

/// Returns how old an answer says that it is.
///
/// # Errors
///
/// Returns [`UnpackError::MissingAge`] if it doesn't say so.
pub fn age_of(headers: &HeaderMap) -> Result<Duration, UnpackError> {
    let age = headers.get(AGE_HEADER).and_then(|age| age.to_str().ok());
    let micros = age.and_then(|age| age.parse().ok());
    Ok(Duration::from_micros(micros.context(MissingAgeSnafu)?))
}

/// Decodes the body of an answer.
///
/// # Errors
///
/// Returns an [`UnpackError`] if it is damaged or of another form.
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
