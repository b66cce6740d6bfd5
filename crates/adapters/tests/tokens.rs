//! Tokens as the engine wrote them: passed on if they are sound, and refused if they are not.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;

use futures::StreamExt as _;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use wagtailreel_adapters::{
    Engine as _, EngineEvent, GenerateRequest, HttpEngine, PlatformError, TokenStream,
};
use wagtailreel_core::{Digest, Priority};

/// Starts an engine that answers one request with `events`.
async fn serve(events: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        let head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
        stream.write_all(head).await.unwrap();
        stream.write_all(&events).await.unwrap();
    });
    addr
}

async fn generate(events: Vec<u8>) -> TokenStream {
    let engine = HttpEngine::new(serve(events).await);
    let req = GenerateRequest {
        request: "r1".to_owned(),
        bundle: Digest::of(b"weights"),
        prompt: "for a mason".to_owned(),
        max_tokens: 9,
        priority: Priority::Normal,
        resume_from: 0,
    };
    engine.generate(&req).await.unwrap()
}

#[rstest]
#[case::spaces(r#"{"index": 7, "token": "a"}"#, r#"{"index": 7, "token": "a"}"#)]
#[case::dense(r#"{"index":7,"token":"a"}"#, r#"{"index":7,"token":"a"}"#)]
#[case::empty(r#"{"index":7,"token":""}"#, r#"{"index":7,"token":""}"#)]
#[case::many_bytes(
    r#"{"index":7,"token":" ñandú ☃"}"#,
    r#"{"index":7,"token":" ñandú ☃"}"#
)]
#[case::escapes(
    r#"{"index":7,"token":"\u0061\n\""}"#,
    r#"{"index":7,"token":"a\n\""}"#
)]
#[case::order(r#"{"token": "a", "index": 7}"#, r#"{"index":7,"token":"a"}"#)]
#[case::more(r#"{"index":7,"token":"a","log":"b"}"#, r#"{"index":7,"token":"a"}"#)]
#[case::spread(r#"{ "index" : 7 , "token" : "a" }"#, r#"{"index":7,"token":"a"}"#)]
#[case::lines("{\"index\":7,\ndata: \"token\":\"a\"}", r#"{"index":7,"token":"a"}"#)]
#[tokio::test]
async fn sound_token(#[case] data: &str, #[case] passed: &str) {
    let mut tokens = generate(format!("data: {data}\n\n").into()).await;
    let event = tokens.next().await.unwrap().unwrap();
    let data = passed.to_owned().into();
    assert_eq!(event, EngineEvent::Token { index: 7, data });
}

#[rstest]
#[case::no_text(br#"{"index":7}"#)]
#[case::no_index(br#"{"token":"a"}"#)]
#[case::empty_index(br#"{"index":,"token":"a"}"#)]
#[case::zero_first(br#"{"index":07,"token":"a"}"#)]
#[case::negative(br#"{"index":-7,"token":"a"}"#)]
#[case::large(br#"{"index":4294967296,"token":"a"}"#)]
#[case::no_end(br#"{"index":7,"token":"a"#)]
#[case::no_quote(br#"{"index":7,"token":"}"#)]
#[case::quote_within(br#"{"index":7,"token":"a"b"}"#)]
#[case::bad_escape(br#"{"index":7,"token":"a\x"}"#)]
#[case::open_escape(br#"{"index":7,"token":"a\"}"#)]
#[case::control(b"{\"index\":7,\"token\":\"a\x01\"}")]
#[case::tab(b"{\"index\":7,\"token\":\"a\tb\"}")]
#[case::line_feed(b"{\"index\":7,\"token\":\"a\ndata: b\"}")]
#[case::bad_bytes(b"{\"index\":7,\"token\":\"a\xff\"}")]
#[case::more_after(br#"{"index":7,"token":"a"} 1"#)]
#[tokio::test]
async fn unsound_token(#[case] data: &[u8]) {
    let mut tokens = generate([b"data: ", data, b"\n\n"].concat()).await;
    let err = tokens.next().await.unwrap().unwrap_err();
    assert!(matches!(err, PlatformError::Protocol { .. }), "{err}");
    assert!(tokens.next().await.is_none());
}
