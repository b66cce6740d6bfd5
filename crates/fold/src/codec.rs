//! Encoding of records in the log: the record's JSON with the field `format` added.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use wagtailreel_core::{ConfigRecord, OrderRecord, RECORD_FORMAT};

/// Maximum length of a record that the log accepts, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

const FORMAT: &str = "format";

/// Why a record must not be appended.
#[derive(Debug, Snafu)]
pub enum EncodeError {
    /// The record has no JSON form.
    #[snafu(display("the record can't be written as JSON ({source}): check its numbers"))]
    Json {
        /// Error of the JSON library.
        source: serde_json::Error,
    },
    /// Decoding the encoded record fails or gives another record. Every fold would stop at it.
    #[snafu(display("the record would not be read back as it is ({why}): check its numbers"))]
    NotReadBack {
        /// What fails or differs.
        why: String,
    },
    /// The record is longer than the log accepts.
    #[snafu(display(
        "the record has {length} bytes, the log takes {MAX_RECORD_BYTES}: put less into it"
    ))]
    TooLong {
        /// Length in bytes.
        length: usize,
    },
}

/// Why a record can't be read.
#[derive(Debug, Snafu)]
pub(crate) enum DecodeError {
    #[snafu(display("it carries no format number"))]
    NoFormat,
    #[snafu(display("its format is {format}, known is {RECORD_FORMAT}"))]
    Format { format: u64 },
    #[snafu(display("{source}"))]
    Content { source: serde_json::Error },
}

/// Encodes a record of the stream `config` for the log.
///
/// # Errors
///
/// Returns an [`EncodeError`] if the record is too long or does not decode to itself: such a record
/// would stop every fold permanently.
pub fn encode_config(record: &ConfigRecord) -> Result<Vec<u8>, EncodeError> {
    encode(record)
}

/// Encodes a record of the stream `orders` for the log.
///
/// # Errors
///
/// Returns an [`EncodeError`] in the same cases as [`encode_config`].
pub fn encode_orders(record: &OrderRecord) -> Result<Vec<u8>, EncodeError> {
    encode(record)
}

fn encode<T>(record: &T) -> Result<Vec<u8>, EncodeError>
where
    T: Serialize + DeserializeOwned,
{
    let plain = serde_json::to_value(record).context(JsonSnafu)?;
    let mut value = plain.clone();
    if let Value::Object(fields) = &mut value {
        fields.insert(FORMAT.to_owned(), RECORD_FORMAT.into());
    }
    let buf = serde_json::to_vec(&value).context(JsonSnafu)?;
    let length = buf.len();
    ensure!(length <= MAX_RECORD_BYTES, TooLongSnafu { length });
    check_round_trip::<T>(&buf, &plain)?;
    Ok(buf)
}

/// Checks that `buf` decodes, as in every fold, to the record that was encoded.
fn check_round_trip<T>(buf: &[u8], plain: &Value) -> Result<(), EncodeError>
where
    T: Serialize + DeserializeOwned,
{
    let value: Value = serde_json::from_slice(buf).context(JsonSnafu)?;
    let record: T = match decode(&value) {
        Ok(record) => record,
        Err(e) => return NotReadBackSnafu { why: e.to_string() }.fail(),
    };
    let again = serde_json::to_value(&record).context(JsonSnafu)?;
    let why = "a value changes on the way";
    ensure!(again == *plain, NotReadBackSnafu { why });
    Ok(())
}

/// Decodes a record of the log.
pub(crate) fn decode<T>(data: &Value) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    let format = data.get(FORMAT).and_then(Value::as_u64);
    let format = format.context(NoFormatSnafu)?;
    ensure!(format == u64::from(RECORD_FORMAT), FormatSnafu { format });
    let mut data = data.clone();
    if let Value::Object(fields) = &mut data {
        fields.remove(FORMAT);
    }
    serde_json::from_value(data).context(ContentSnafu)
}
