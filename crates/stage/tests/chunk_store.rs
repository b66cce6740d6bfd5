//! The chunk store accepts and returns only verified chunks.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;
use wagtailreel_stage::{ChunkManifest, ChunkStore, DigestKind};

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
    let chunk_store = ChunkStore::default();
    let manifest = manifest(1, kind);
    chunk_store.add_version(&manifest);
    assert!(!chunk_store.put(&manifest, 0, chunk(1, 1)), "another chunk");
    assert!(
        !chunk_store.put(&manifest, 0, chunk(2, 0)),
        "another version"
    );
    assert!(!chunk_store.put(&manifest, 7, chunk(1, 0)), "no such chunk");
    assert_eq!(chunk_store.get("epitaph", 1, 0), None);
    assert!(chunk_store.put(&manifest, 0, chunk(1, 0)));
    assert_eq!(chunk_store.get("epitaph", 1, 0), Some(chunk(1, 0)));
    assert_eq!(chunk_store.get("epitaph", 2, 0), None);
    assert!(!chunk_store.is_full("epitaph", 1));
}

#[rstest]
fn known_digest() {
    let digest = DigestKind::Sha256.of(b"abc").to_string();
    assert!(digest.starts_with("ba7816bf8f01cfea"), "{digest}");
}

#[rstest]
fn oldest_version_is_evicted() {
    let chunk_store = ChunkStore::default();
    for version in 1..=3 {
        chunk_store.add_version(&manifest(version, DigestKind::Sha256));
    }
    assert!(chunk_store.manifest("epitaph", Some(1)).is_none());
    assert_eq!(chunk_store.manifest("epitaph", None).unwrap().version, 3);
}

#[rstest]
fn released_version() {
    let chunk_store = ChunkStore::default();
    let manifest = manifest(1, DigestKind::Sha256);
    chunk_store.add_version(&manifest);
    for index in 0..3 {
        chunk_store.put(&manifest, index, chunk(1, index));
    }
    assert!(chunk_store.is_full("epitaph", 1));
    chunk_store.release("epitaph", 1);
    assert_eq!(chunk_store.get("epitaph", 1, 0), None);
    assert!(!chunk_store.is_full("epitaph", 1));
    assert!(chunk_store.manifest("epitaph", Some(1)).is_some());
}
