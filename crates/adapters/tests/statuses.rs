//! Statuses that no final answer has.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use http::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use wagtailreel_adapters::{Body, Effect, HttpClient};

/// Guards against an outside system's answer that counts although its status is none of a final one.
#[rstest]
#[case::zeros("000 X", false)]
#[case::low("099 X", false)]
#[case::switching("101 Switching Protocols", false)]
#[case::high("600 X", false)]
#[case::highest("999 X", false)]
#[case::four_digits("2000 X", false)]
#[case::success("200 OK", true)]
#[case::failure("599 X", true)]
#[tokio::test]
async fn odd_status(#[case] line: &'static str, #[case] is_answer: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let text = format!("HTTP/1.1 {line}\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(text.as_bytes()).await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
    });
    let req = Request::get(&url).body(Body::empty()).unwrap();
    let timeout = Duration::from_secs(5);
    match HttpClient::new().request_within(req, timeout).await {
        Ok(response) => assert!(is_answer, "{}", response.status()),
        Err(err) => {
            assert!(!is_answer, "{err}");
            assert_eq!(err.took_effect(), Effect::Maybe);
        }
    }
}
