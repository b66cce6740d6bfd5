//! Guards against a connection reset that discards the 413 answer to a body over the limit.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;

use common::{Bench, KEY, SERVICE, TOKEN};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Far more than socket buffers hold, so that a listener that stops reading resets the connection.
const BODY_BYTES: usize = 12 << 20;

const CHUNK_BYTES: usize = 64 << 10;

/// Sends a whole request with a body over the limit and then reads the answer.
async fn answer(addr: SocketAddr, path: &str, token: &str, is_chunked: bool) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let framing = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {BODY_BYTES}")
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
         content-type: application/yaml\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunk = vec![b'x'; CHUNK_BYTES];
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        if is_chunked {
            let length = format!("{CHUNK_BYTES:x}\r\n");
            stream.write_all(length.as_bytes()).await.unwrap();
        }
        stream.write_all(&chunk).await.unwrap();
        if is_chunked {
            stream.write_all(b"\r\n").await.unwrap();
        }
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").await.unwrap();
    }
    let mut buf = vec![0; 4096];
    let read = stream.read(&mut buf).await.unwrap();
    String::from_utf8_lossy(&buf[..read]).into_owned()
}

#[rstest]
#[case::declared(false)]
#[case::in_chunks(true)]
#[tokio::test(flavor = "multi_thread")]
async fn front_listener(#[case] is_chunked: bool) {
    let bench = Bench::start(SERVICE, 1, &[]).await;
    let addr = bench.entries[0].addrs().callers;
    let path = format!("/v1/services/{SERVICE}/generate");
    let answer = answer(addr, &path, KEY, is_chunked).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    bench.stop().await;
}

#[rstest]
#[case::declared(false)]
#[case::in_chunks(true)]
#[tokio::test(flavor = "multi_thread")]
async fn admin_listener(#[case] is_chunked: bool) {
    let bench = Bench::start(SERVICE, 1, &[]).await;
    let path = format!("/admin/v1/services/{SERVICE}/document?base=1&edit=a");
    let answer = answer(bench.admin(0), &path, TOKEN, is_chunked).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    bench.stop().await;
}
