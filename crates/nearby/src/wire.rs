//! What a neighbour answers: records as JSON, packed where they are long.

use std::io::{Read as _, Write as _};

use axum::body::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use serde::{Deserialize, Serialize};
use wagtailreel_core::Offset;
use wagtailreel_fleet::Keyed;

/// Name of the header with the age of what is known, in microseconds. It stands apart from the records,
/// so that these are encoded once for all neighbours.
pub(crate) const AGE_HEADER: &str = "wagtailreel-age-us";

/// Name of the coding of records that are packed.
pub(crate) const PACKED: &str = "gzip";

/// Records that are shorter are not packed, in bytes: they fit into a few packets.
const WORTH_PACKING: usize = 4096;

/// Longest records that are unpacked, in bytes. A configuration of 2,000 routes takes 0.6 MB.
const LONGEST: u64 = 32 << 20;

/// Records that a neighbour knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownRecords {
    /// The records, the newest of each key, in the order of the log.
    pub(crate) items: Vec<Keyed>,
    /// Place of the next record to be read.
    pub(crate) next: Offset,
}

/// Records as they are sent.
#[derive(Clone, Debug)]
pub(crate) struct EncodedRecords {
    pub(crate) body: Bytes,
    pub(crate) is_packed: bool,
}

impl KnownRecords {
    /// Encodes the records; long ones are packed with the least effort.
    ///
    /// Load pattern: a configuration of 1,500 routes that changes several times a second, and 14 entries
    /// and 30 agents that take each over the link of the one that reads it.
    pub(crate) fn encode(&self) -> EncodedRecords {
        // Plain records of numbers and texts are always written.
        let json = serde_json::to_vec(self).unwrap_or_default();
        if json.len() < WORTH_PACKING {
            return EncodedRecords {
                body: json.into(),
                is_packed: false,
            };
        }
        match pack(&json) {
            Ok(packed) => EncodedRecords {
                body: packed.into(),
                is_packed: true,
            },
            // A buffer in memory takes all that is written to it.
            Err(_) => EncodedRecords {
                body: json.into(),
                is_packed: false,
            },
        }
    }
}

fn pack(json: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json)?;
    encoder.finish()
}

/// Unpacks a body that was packed.
///
/// # Errors
///
/// Returns what the library says if it is damaged.
pub(crate) fn unpack(body: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut json = Vec::new();
    GzDecoder::new(body).take(LONGEST).read_to_end(&mut json)?;
    Ok(json)
}
