//! Heads of answers: interim answers, and heads that are too long.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_direct::{HeadPace, HeadProgress, HeadScan, HeadTooLong, MAX_HEAD_BYTES};

const INTERIM: &str = "HTTP/1.1 100 X\r\n\r\n";
const FINAL: &str = "HTTP/1.1 200 X\r\na: b\r\n\r\n";

/// Guards against a count that depends on how the bytes are split into reads, or that includes a body.
#[rstest]
#[case::final_head(FINAL, HeadProgress::Complete)]
#[case::body_with_empty_lines(&format!("{FINAL}data: 1\n\ndata: 2\n\n"), HeadProgress::Complete)]
#[case::interim(INTERIM, HeadProgress::Awaited)]
#[case::interim_and_final(&format!("{INTERIM}{INTERIM}{FINAL}"), HeadProgress::Complete)]
#[case::bare_line_feeds("HTTP/1.1 200 X\na: b\n\n", HeadProgress::Complete)]
#[case::half(&FINAL[..20], HeadProgress::Partial)]
#[case::before_last_line(&FINAL[..FINAL.len() - 2], HeadProgress::Partial)]
#[case::empty_lines("\r\n\r\n", HeadProgress::Partial)]
#[case::empty_lines_and_final(&format!("\r\n\r\n{FINAL}"), HeadProgress::Complete)]
fn progress_of(#[case] text: &str, #[case] progress: HeadProgress) {
    let mut scan = HeadScan::default();
    assert_eq!(scan.push(text.as_bytes()), Ok(progress));
    let mut scan = HeadScan::default();
    let reads: Vec<_> = text.bytes().map(|byte| scan.push(&[byte])).collect();
    assert_eq!(reads.last(), Some(&Ok(progress)));
}

#[rstest]
#[case::interim(INTERIM)]
#[case::lines("HTTP/1.1 200 X\r\na: b")]
#[case::empty_lines("\r\n")]
fn too_long(#[case] repeated: &str) {
    let mut scan = HeadScan::default();
    let count = MAX_HEAD_BYTES / repeated.len();
    for _ in 0..count {
        scan.push(repeated.as_bytes()).unwrap();
    }
    assert_eq!(scan.push(repeated.as_bytes()), Err(HeadTooLong));
}

/// Guards against a body that counts as a part of its head.
#[rstest]
fn long_body() {
    let mut scan = HeadScan::default();
    scan.push(FINAL.as_bytes()).unwrap();
    let body = vec![b'a'; 2 * MAX_HEAD_BYTES];
    assert_eq!(scan.push(&body), Ok(HeadProgress::Complete));
}

/// A head of which a byte comes now and then ends; silence alone does not end it.
#[rstest]
#[case::slow_bytes(100, 10)]
#[case::slower_bytes(250, 4)]
#[case::rare_bytes(2000, 4)]
fn slow_head(#[case] gap_ms: u64, #[case] last: u32) {
    let start = Instant::now();
    let mut pace = HeadPace::default();
    for read in 0..last {
        let now = start + Duration::from_millis(gap_ms) * read;
        assert!(!pace.on_read(true, now), "read {read}");
    }
    assert!(pace.on_read(true, start + Duration::from_millis(gap_ms) * last));
}

/// The time between two heads of one answer does not count.
#[test]
fn interim_heads() {
    let start = Instant::now();
    let mut pace = HeadPace::default();
    for read in 0..100 {
        let now = start + Duration::from_millis(100) * read;
        assert!(!pace.on_read(read % 2 == 0, now));
    }
}
