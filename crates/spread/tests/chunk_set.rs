//! Sets of chunks and their text encoding.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use wagtailreel_spread::ChunkSet;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn text_round_trip(len in 0_u32..300, chunks in prop::collection::btree_set(0_u32..300, 0..64)) {
        let expected: BTreeSet<u32> = chunks.into_iter().filter(|chunk| *chunk < len).collect();
        let mut set = ChunkSet::new(len);
        for chunk in &expected {
            prop_assert!(set.insert(*chunk) && !set.insert(*chunk));
        }
        prop_assert_eq!(ChunkSet::from_hex(&set.to_hex(), len), Some(set.clone()));
        prop_assert_eq!(set.iter().collect::<BTreeSet<_>>(), expected);
        prop_assert_eq!(set.count() as usize + set.missing().count(), len as usize);
    }
}

#[rstest]
#[case::short("0", 4)]
#[case::long("0000", 8)]
#[case::no_digit("0g", 8)]
#[case::beyond_end("10", 4)]
#[case::not_ascii("é", 8)]
fn rejects_invalid_text(#[case] text: &str, #[case] len: u32) {
    assert_eq!(ChunkSet::from_hex(text, len), None);
}
