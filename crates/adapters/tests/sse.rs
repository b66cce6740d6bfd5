//! Cutting a stream into events, however the network cuts it into frames.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use wagtailreel_adapters::SseDecoder;

/// Decodes `text` in frames of `size` bytes.
fn decode(text: &[u8], size: usize) -> Vec<(String, String)> {
    let mut decoder = SseDecoder::new();
    let mut events = Vec::new();
    for frame in text.chunks(size) {
        decoder.push(frame);
        while let Some(event) = decoder.next_event().unwrap() {
            let name = String::from_utf8(event.name.to_vec()).unwrap();
            let data = String::from_utf8(event.data.to_vec()).unwrap();
            events.push((name, data));
        }
    }
    events
}

#[rstest]
#[case::one("data: a\n\n", &[("", "a")])]
#[case::named("event: end\ndata: a\n\n", &[("end", "a")])]
#[case::two("data: a\n\nevent: end\ndata: b\n\n", &[("", "a"), ("end", "b")])]
#[case::carriage_returns("event: end\r\ndata: a\r\n\r\ndata: b\r\n\r\n", &[("end", "a"), ("", "b")])]
#[case::no_space("data:a\n\n", &[("", "a")])]
#[case::two_spaces("data:  a\n\n", &[("", " a")])]
#[case::lines("data: a\ndata\ndata: b\n\n", &[("", "a\n\nb")])]
#[case::comments(": ping\n\ndata: a\n: ping\nid: 7\n\n", &[("", "a")])]
#[case::no_data("event: end\n\ndata: a\n\n", &[("", "a")])]
#[case::other_field("database: a\ndata: b\n\n", &[("", "b")])]
#[case::unfinished("data: a\n\ndata: b\n", &[("", "a")])]
#[case::many_bytes("data: ñandú ☃\n\n", &[("", "ñandú ☃")])]
#[case::colons("data: {\"a\": 1}\n\n", &[("", "{\"a\": 1}")])]
fn every_cut(#[case] text: &str, #[case] expected: &[(&str, &str)]) {
    for size in 1..=text.len() {
        let events = decode(text.as_bytes(), size);
        let events: Vec<(&str, &str)> = events
            .iter()
            .map(|(name, data)| (name.as_str(), data.as_str()))
            .collect();
        assert_eq!(events, expected, "in frames of {size}");
    }
}

#[test]
fn endless_event() {
    let mut decoder = SseDecoder::new();
    decoder.push(b"data: ");
    decoder.push(&vec![b'a'; 2 * 1024 * 1024]);
    assert!(decoder.next_event().is_err());
}

#[test]
fn mid_event() {
    let mut decoder = SseDecoder::new();
    decoder.push(b"data: a\n\n");
    decoder.next_event().unwrap().unwrap();
    assert!(!decoder.is_mid_event());
    decoder.push(b"data");
    assert!(decoder.next_event().unwrap().is_none());
    assert!(decoder.is_mid_event());
}
