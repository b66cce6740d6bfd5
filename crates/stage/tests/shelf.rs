//! Only chunks that were verified are kept and given.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;
use wagtailreel_stage::{ChunkManifest, DigestKind, Shelf};

fn chunk(version: u64, index: u32) -> Bytes {
    Bytes::from(format!("version {version} chunk {index}"))
}

fn manifest(version: u64, kind: DigestKind) -> Arc<ChunkManifest> {
    Arc::new(ChunkManifest {
        model: "epitaph".to_owned(),
        version,
        kind,
        digests: (0..3)
            .map(|index| kind.of(&chunk(version, index)))
            .collect(),
    })
}

#[rstest]
#[case(DigestKind::Sha256)]
#[case(DigestKind::Blake3)]
fn verified_chunk(#[case] kind: DigestKind) {
    let shelf = Shelf::default();
    let manifest = manifest(1, kind);
    shelf.open(&manifest);
    assert!(!shelf.put(&manifest, 0, chunk(1, 1)), "another chunk");
    assert!(!shelf.put(&manifest, 0, chunk(2, 0)), "another version");
    assert!(!shelf.put(&manifest, 7, chunk(1, 0)), "no such chunk");
    assert_eq!(shelf.get("epitaph", 1, 0), None);
    assert!(shelf.put(&manifest, 0, chunk(1, 0)));
    assert_eq!(shelf.get("epitaph", 1, 0), Some(chunk(1, 0)));
    assert_eq!(shelf.get("epitaph", 2, 0), None);
    assert!(!shelf.is_full("epitaph", 1));
}

#[rstest]
fn known_digest() {
    let digest = DigestKind::Sha256.of(b"abc").to_string();
    assert!(digest.starts_with("ba7816bf8f01cfea"), "{digest}");
}

#[rstest]
fn oldest_goes() {
    let shelf = Shelf::default();
    for version in 1..=3 {
        shelf.open(&manifest(version, DigestKind::Sha256));
    }
    assert!(shelf.manifest("epitaph", Some(1)).is_none());
    assert_eq!(shelf.manifest("epitaph", None).unwrap().version, 3);
}

#[rstest]
fn released_version() {
    let shelf = Shelf::default();
    let manifest = manifest(1, DigestKind::Sha256);
    shelf.open(&manifest);
    for index in 0..3 {
        shelf.put(&manifest, index, chunk(1, index));
    }
    assert!(shelf.is_full("epitaph", 1));
    shelf.release("epitaph", 1);
    assert_eq!(shelf.get("epitaph", 1, 0), None);
    assert!(!shelf.is_full("epitaph", 1));
    assert!(shelf.manifest("epitaph", Some(1)).is_some());
}
